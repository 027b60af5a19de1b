"""A pool of keep-alive connections to upstreams, by address."""

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
        self._idle_by_address: dict[HostPort, deque[UpstreamConnection]] = {}
        self._kept_addresses = create_kept_addresses()
        self.opened_connections = 0
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    async def acquire(
        self, address: HostPort, max_idle_s: float | None = None, *, for_call: bool = True
    ) -> UpstreamConnection:
        """Return a connection; raises `ConnectError`.

        `max_idle_s` bounds how long a reused connection may have been idle, in addition to the
        upstream's keep-alive timeout: upstreams may drop idle connections earlier, and a request
        sent on a dropped one is lost. A call gets none that another request has used if the
        upstream has lately answered twice.
        """
        if for_call and not self._kept_addresses.keeps(address):
            return await self._open(address)
        idle = self._idle_by_address.get(address)
        now = self._loop.time()
        while idle:
            connection = idle[-1]
            if not connection.usable or _idle_s(connection, now) > _max_idle_s(connection):
                idle.pop()
                connection.close()
                continue
            if max_idle_s is not None and _idle_s(connection, now) > max_idle_s:
                break
            return idle.pop()
        return await self._open(address)

    async def open(self, address: HostPort) -> UpstreamConnection:
        """Open a connection though others may be idle; raises `ConnectError`."""
        return await self._open(address)

    async def open_for_head(self, address: HostPort) -> UpstreamConnection:
        """Open a connection for one request whose answer has no body; raises `ConnectError`."""
        return await self._open(address, with_body=False)

    async def _open(self, address: HostPort, *, with_body: bool = True) -> UpstreamConnection:
        loop = self._loop
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(loop, self._memory, with_body=with_body),
                    address.host,
                    address.port,
                )
        except (OSError, TimeoutError) as error:
            raise ConnectError(f"{type(error).__name__}: {error}") from error
        self.opened_connections += 1
        connection.on_stray_bytes = partial(self._kept_addresses.stop_keeping, address)
        return connection

    def release(
        self, address: HostPort, connection: UpstreamConnection, *, for_call: bool = True
    ) -> None:
        """Return a connection to the pool if it is usable and may be kept."""
        if for_call and not self._kept_addresses.keeps(address):
            connection.close()
        elif connection.usable:
            self._idle_by_address.setdefault(address, deque()).append(connection)

    def close_idle(self, address: HostPort) -> None:
        """Close the idle connections of an address that another upstream has taken over."""
        for connection in self._idle_by_address.pop(address, ()):
            connection.close()

    def _sweep(self) -> None:
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self._loop.time()
        for address, idle in list(self._idle_by_address.items()):
            while idle and (not idle[0].usable or _idle_s(idle[0], now) > _max_idle_s(idle[0])):
                idle.popleft().close()
            if not idle:
                del self._idle_by_address[address]

    def close(self) -> None:
        """Close all idle connections."""
        self._sweep_timer.cancel()
        for address in list(self._idle_by_address):
            self.close_idle(address)


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
