"""A pool of keep-alive connections, by the upstream or peer that they were opened to.

An upstream that starts at the address of an earlier one gets none of the earlier one's connections:
these may still be served by the earlier process.
"""

from __future__ import annotations

import asyncio
from collections import deque
from functools import partial
from typing import TYPE_CHECKING

from heatherhead.proxy.answer_memory import create_answer_memory
from heatherhead.proxy.kept_addresses import create_kept_addresses
from heatherhead.proxy.upstream_connection import UpstreamConnection

if TYPE_CHECKING:
    from heatherhead.entry.settings import HostPort
    from heatherhead.proxy.answer_memory import AnswerMemory
    from heatherhead.registry.entries import UpstreamAddress

    Destination = UpstreamAddress | HostPort  # the latter of a peer

__all__ = ["ConnectError", "UpstreamPool", "create_upstream_pool"]

CONNECT_TIMEOUT_S = 1.0  # several times the longest round trip between regions
IDLE_TIMEOUT_MARGIN_S = 1.2  # subtracted from the upstream's keep-alive timeout
DEFAULT_MAX_IDLE_S = 4.0  # for upstreams that announce no keep-alive timeout
SWEEP_INTERVAL_S = 1.0


class ConnectError(Exception):
    """The connection could not be opened; nothing was sent."""


class UpstreamPool:
    """Reuses the most recently used idle connection of an upstream, or opens one."""

    def __init__(self, memory: AnswerMemory, connect_timeout_s: float) -> None:
        self._memory = memory
        self._connect_timeout_s = connect_timeout_s
        self._loop = asyncio.get_running_loop()
        self._idle_by_destination: dict[Destination, deque[UpstreamConnection]] = {}
        self._kept_addresses = create_kept_addresses()
        self.opened_connections = 0
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    async def acquire(
        self,
        destination: Destination,
        max_idle_s: float | None = None,
        *,
        request_id: str = "",
        for_call: bool = True,
    ) -> UpstreamConnection:
        """Return a connection that has not carried a request's id; raises `ConnectError`.

        `max_idle_s` bounds how long a reused connection may have been idle, in addition to the
        upstream's keep-alive timeout: upstreams may drop idle connections earlier, and a request
        sent on a dropped one is lost. A call gets none that another request has used if the
        upstream has lately answered twice.
        """
        if for_call and not self._kept_addresses.keeps(destination):
            return await self._open(destination)
        idle = self._idle_by_destination.get(destination, deque())
        connection = _take_fit(idle, self._loop.time(), max_idle_s, request_id)
        return connection or await self._open(destination)

    async def open(self, destination: Destination) -> UpstreamConnection:
        """Open a connection though others may be idle; raises `ConnectError`."""
        return await self._open(destination)

    async def open_for_head(self, destination: Destination) -> UpstreamConnection:
        """Open a connection for one request whose answer has no body; raises `ConnectError`."""
        return await self._open(destination, with_body=False)

    async def _open(
        self, destination: Destination, *, with_body: bool = True
    ) -> UpstreamConnection:
        loop = self._loop
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(loop, self._memory, with_body=with_body),
                    destination.host,
                    destination.port,
                )
        except (OSError, TimeoutError) as error:
            raise ConnectError(f"{type(error).__name__}: {error}") from error
        self.opened_connections += 1
        connection.on_stray_bytes = partial(self._kept_addresses.stop_keeping, destination)
        return connection

    def release(
        self, destination: Destination, connection: UpstreamConnection, *, for_call: bool = True
    ) -> None:
        """Return a connection to the pool if it is usable and may be kept."""
        if for_call and not self._kept_addresses.keeps(destination):
            connection.close()
        elif connection.usable:
            self._idle_by_destination.setdefault(destination, deque()).append(connection)

    def _sweep(self) -> None:
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self._loop.time()
        for destination, idle in list(self._idle_by_destination.items()):
            while idle and not _is_fit(idle[0], now):
                idle.popleft().close()
            if not idle:
                del self._idle_by_destination[destination]

    def close(self) -> None:
        """Close all idle connections."""
        self._sweep_timer.cancel()
        for idle in self._idle_by_destination.values():
            for connection in idle:
                connection.close()
        self._idle_by_destination.clear()


def _take_fit(
    idle: deque[UpstreamConnection], now: float, max_idle_s: float | None, request_id: str
) -> UpstreamConnection | None:
    """Take the last used connection that is fit for a request, if any.

    If all have carried its id one is closed: else each call under one id would add a connection.
    """
    _close_unusable(idle, now)
    carried = None
    for connection in reversed(idle):
        if max_idle_s is not None and _idle_s(connection, now) > max_idle_s:
            break
        if not _is_fit(connection, now):
            continue
        if not connection.has_carried(request_id):
            idle.remove(connection)
            return connection
        carried = connection
    if carried is not None:
        idle.remove(carried)
        carried.close()
    return None


def _close_unusable(idle: deque[UpstreamConnection], now: float) -> None:
    """Close the last used connections as long as they are unfit for another request."""
    while idle and not _is_fit(idle[-1], now):
        idle.pop().close()


def _is_fit(connection: UpstreamConnection, now: float) -> bool:
    return connection.usable and _idle_s(connection, now) <= _max_idle_s(connection)


def _idle_s(connection: UpstreamConnection, now: float) -> float:
    return now - connection.idle_since


def _max_idle_s(connection: UpstreamConnection) -> float:
    timeout_s = connection.idle_timeout_s
    return DEFAULT_MAX_IDLE_S if timeout_s is None else max(0.0, timeout_s - IDLE_TIMEOUT_MARGIN_S)


def create_upstream_pool(
    memory: AnswerMemory | None = None, connect_timeout_s: float = CONNECT_TIMEOUT_S
) -> UpstreamPool:
    """Create an empty pool; must be called inside the running loop.

    `memory` bounds the answers that are being received.
    """
    return UpstreamPool(memory or create_answer_memory(), connect_timeout_s)
