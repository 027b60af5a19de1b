"""Loopback links that delay, reset, silence or cut one way what passes them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import Enum, auto

__all__ = ["Fault", "Link"]

CHUNK_BYTES = 65536
CONNECT_TIMEOUT_S = 1.0


class Fault(Enum):
    """What a link does to the bytes on it."""

    NONE = auto()
    DELAY = auto()
    SILENT = auto()  # both ways; connections stay open
    DEAF = auto()  # the target's bytes are lost, the client's pass
    MUTE = auto()  # the client's bytes are lost, the target's pass


@dataclass(eq=False)
class Link:
    """A listener that forwards to a target; `fault` may change at any moment."""

    host: str
    target_host: str
    target_port: int
    fault: Fault = Fault.NONE
    delay_s: float = 0.0
    port: int = 0
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                far_reader, far_writer = await asyncio.open_connection(
                    self.target_host, self.target_port
                )
        except (OSError, TimeoutError):
            self._writers.discard(writer)
            writer.transport.abort()
            return
        self._writers.add(far_writer)
        lost_out = (Fault.SILENT, Fault.MUTE)
        lost_in = (Fault.SILENT, Fault.DEAF)
        await asyncio.gather(
            self._pump(reader, far_writer, lost_out), self._pump(far_reader, writer, lost_in)
        )
        for each in (writer, far_writer):
            self._writers.discard(each)
            each.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, lost: tuple[Fault, ...]
    ) -> None:
        silenced = False  # lost bytes leave the rest of the stream out of step
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.fault is Fault.DELAY:
                    await asyncio.sleep(self.delay_s)
                silenced = silenced or self.fault in lost
                if not silenced:
                    writer.write(data)
                    await writer.drain()
            if not silenced:
                writer.write_eof()
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
