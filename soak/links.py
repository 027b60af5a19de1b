"""Loopback links that can delay or drop bytes, reset connections, and cut single clients."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Collection

__all__ = ["Cut", "Fault", "Link"]

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


class Cut(Enum):
    """What happens to the connections of one client of a link."""

    HANG = auto()  # kept and new ones
    RESET = auto()  # kept and new ones
    RESET_NEW = auto()  # kept ones live on


@dataclass(eq=False)
class Link:
    """A listener that forwards connections to a target; `fault` may change at any time."""

    host: str
    target_host: str
    target_port: int
    fault: Fault = Fault.NONE
    delay_s: float = 0.0
    port: int = 0
    # Returns the names of the clients that have some local ports.
    client_names: Callable[[Collection[int]], Awaitable[dict[int, str]]] | None = None
    cut_by_client: dict[str, Cut] = field(default_factory=dict)
    _port_by_writer: dict[asyncio.StreamWriter, int] = field(default_factory=dict)  # of clients
    _name_by_port: dict[int, str] = field(default_factory=dict)  # known while there is a cut
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

    async def cut(self, clients: Collection[str], how: Cut) -> None:
        """Cut some clients until `heal`."""
        self.cut_by_client.update(dict.fromkeys(clients, how))
        await self._look_up(list(self._port_by_writer.values()))
        if how is Cut.RESET:
            self._reset_clients(clients)

    def heal(self, clients: Collection[str]) -> None:
        """End the cut of some clients; connections that hang are reset."""
        hanging = [each for each in clients if self.cut_by_client.pop(each, None) is Cut.HANG]
        self._reset_clients(hanging)

    async def _look_up(self, ports: Collection[int]) -> None:
        if self.client_names is not None:
            self._name_by_port.update(await self.client_names(ports))

    def _reset_clients(self, clients: Collection[str]) -> None:
        for writer, port in list(self._port_by_writer.items()):
            if self._name_by_port.get(port) in clients:
                writer.transport.abort()

    def _cut_of(self, port: int) -> Cut | None:
        return self.cut_by_client.get(self._name_by_port.get(port, ""))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        port = writer.get_extra_info("peername")[1]
        self._port_by_writer[writer] = port
        if self.cut_by_client:
            await self._look_up((port,))
        try:
            await self._forward_connection(port, reader, writer)
        finally:
            self._port_by_writer.pop(writer, None)
            self._name_by_port.pop(port, None)

    async def _forward_connection(
        self, port: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._cut_of(port) in (Cut.RESET, Cut.RESET_NEW):
            self._writers.discard(writer)
            writer.transport.abort()
            return
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
            self._forward(port, reader, target_writer, client_drop_faults),
            self._forward(port, target_reader, writer, target_drop_faults),
        )
        for each in (writer, target_writer):
            self._writers.discard(each)
            each.close()

    async def _forward(
        self,
        port: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        drop_faults: tuple[Fault, ...],
    ) -> None:
        dropped = False  # the rest of the stream would be corrupt after a gap
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.fault is Fault.DELAY:
                    await asyncio.sleep(self.delay_s)
                hangs = self._cut_of(port) is Cut.HANG
                dropped = dropped or hangs or self.fault in drop_faults
                if not dropped:
                    writer.write(data)
                    await writer.drain()
            if not dropped:
                writer.write_eof()
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
