"""Loopback links that can delay or drop bytes and reset connections."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import Enum, auto

__all__ = ["Fault", "Link"]

CHUNK_BYTES = 65536
CONNECT_TIMEOUT_S = 1.0


class Fault(Enum):
    """The fault of a link.

    A connection whose bytes were dropped stays open but carries nothing more in that direction.
    """

    NONE = auto()
    DELAY = auto()
    DROP_ALL = auto()  # in both directions
    DROP_FROM_TARGET = auto()  # bytes of the client pass
    DROP_FROM_CLIENT = auto()  # bytes of the target pass


@dataclass(eq=False)
class Link:
    """A listener that forwards connections to a target; `fault` may change at any time."""

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
                target_reader, target_writer = await asyncio.open_connection(
                    self.target_host, self.target_port
                )
        except (OSError, TimeoutError):
            self._writers.discard(writer)
            writer.transport.abort()
            return
        self._writers.add(target_writer)
        client_drop_faults = (Fault.DROP_ALL, Fault.DROP_FROM_CLIENT)
        target_drop_faults = (Fault.DROP_ALL, Fault.DROP_FROM_TARGET)
        await asyncio.gather(
            self._forward(reader, target_writer, client_drop_faults),
            self._forward(target_reader, writer, target_drop_faults),
        )
        for each in (writer, target_writer):
            self._writers.discard(each)
            each.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        drop_faults: tuple[Fault, ...],
    ) -> None:
        dropped = False  # the rest of the stream would be corrupt after a gap
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.fault is Fault.DELAY:
                    await asyncio.sleep(self.delay_s)
                dropped = dropped or self.fault in drop_faults
                if not dropped:
                    writer.write(data)
                    await writer.drain()
            if not dropped:
                writer.write_eof()
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
