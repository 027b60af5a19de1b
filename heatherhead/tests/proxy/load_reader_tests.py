"""Tests of which upstreams a home reads as they start, restart and stop."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import pytest

from heatherhead.dispatch.dispatcher import create_dispatcher
from heatherhead.dispatch.reach import create_reach
from heatherhead.platform.dialect import PlatformDialect
from heatherhead.proxy.load_reader import RECONNECT_DELAY_S, create_load_reader
from heatherhead.proxy.upstream_pool import ConnectError, create_upstream_pool
from heatherhead.routes.model import CallerLimits, RouteConfiguration, ServiceRules
from heatherhead.routes.table import create_route_table
from heatherhead.tests.base import run_with_paused_clock
from heatherhead.tests.dispatch.fakes import create_entry
from heatherhead.tests.truncating_server import END_DELAY_S, INVALID_STATUSES, End, TruncatingServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from heatherhead.dispatch.dispatcher import Dispatcher
    from heatherhead.dispatch.upstream_state import LoadReading
    from heatherhead.proxy.load_reader import LoadReader
    from heatherhead.proxy.upstream_pool import UpstreamPool

INTERVAL_S = 0.02
TIMEOUT_S = 20.0  # ends a test that hangs
READING = (
    b"HTTP/1.1 200 OK\r\nX-Heatherhead-Instance-Id: u1\r\n"
    b"X-Heatherhead-Server-Load: 1,0,4,100\r\nContent-Length: 2\r\n\r\nok"
)


def _create_reader(
    dispatcher: Dispatcher, pool: UpstreamPool, on_reading: Callable[[LoadReading], None]
) -> LoadReader:
    """Create a reader that is assigned all upstreams of the service `stock`."""
    table = create_route_table()
    rules = {"stock": ServiceRules("stock", "/healthz")}
    table.apply(RouteConfiguration(1, {}, rules, CallerLimits()))
    return create_load_reader(
        table,
        dispatcher,
        pool,
        PlatformDialect(),
        create_reach(asyncio.get_running_loop().time, lambda _: 1),
        lambda _: True,
        lambda: INTERVAL_S,
        lambda _, reading: on_reading(reading),
    )


class _UnreachablePool:
    """Records the ports that connections are requested to and refuses them all."""

    def __init__(self) -> None:
        self.ports: list[int] = []

    async def acquire(self, address: Any, *, for_call: bool) -> Any:
        """Record the port and fail."""
        self.ports.append(address.port)
        raise ConnectError("refused")


def test_upstream_restarted_under_its_id_is_read_at_its_new_address() -> None:
    async def main() -> None:
        dispatcher = create_dispatcher("a", {"a": "r"}, 0.2, 10.0, 1.0)
        pool: Any = _UnreachablePool()
        reader = _create_reader(dispatcher, pool, lambda _: None)
        first = create_entry("u1", port=1001)
        restarted = replace(first, port=1002, started_ms=first.started_ms + 5000)
        dispatcher.on_entry(None, first)
        reader.update_upstream("u1")
        await asyncio.sleep(0.01)
        dispatcher.on_entry(first, restarted)
        reader.update_upstream("u1")
        pool.ports.clear()
        await asyncio.sleep(3 * RECONNECT_DELAY_S)
        assert set(pool.ports) == {1002}
        dispatcher.on_entry(restarted, None)
        reader.update_upstream("u1")
        pool.ports.clear()
        await asyncio.sleep(3 * RECONNECT_DELAY_S)
        assert not pool.ports

    run_with_paused_clock(main())


def test_recently_read_connection_is_reused_for_non_idempotent_requests() -> None:
    """Otherwise each such request would open a connection, as it may not use a long idle one."""

    async def main() -> None:
        opened = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal opened
            opened += 1
            try:
                while await reader.readuntil(b"\r\n\r\n"):
                    writer.write(READING)
            except asyncio.IncompleteReadError:
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        dispatcher = create_dispatcher("a", {"a": "r"}, 0.2, 10.0, 1.0)
        pool = create_upstream_pool()
        readings: asyncio.Queue[LoadReading] = asyncio.Queue()
        reader = _create_reader(dispatcher, pool, readings.put_nowait)
        entry = create_entry("u1", host="127.0.0.1", port=port)
        dispatcher.on_entry(None, entry)
        reader.update_upstream("u1")
        async with asyncio.timeout(TIMEOUT_S):
            for _ in range(3):
                assert (await readings.get()).running == 1
            connection = await pool.acquire(entry.address, max_idle_s=1.0)
        assert connection.calls >= 3
        assert opened == 1
        reader.stop()
        connection.close()
        server.close()

    asyncio.run(main())


def _readings_of(answer: bytes, end: End) -> list[LoadReading]:
    """Return what is taken from an upstream that gives an answer and ends its connection."""
    readings: list[LoadReading] = []

    async def main() -> None:
        async with TruncatingServer(answer, end) as server:
            dispatcher = create_dispatcher("a", {"a": "r"}, 0.2, 10.0, 1.0)
            pool = create_upstream_pool()
            reader = _create_reader(dispatcher, pool, readings.append)
            dispatcher.on_entry(None, create_entry("u1", host="127.0.0.1", port=server.port))
            reader.update_upstream("u1")
            async with asyncio.timeout(TIMEOUT_S):
                while not server.requests:
                    await asyncio.sleep(0.01)
            await asyncio.sleep(3 * END_DELAY_S)
            reader.stop()
            pool.close()

    asyncio.run(main())
    return readings


@pytest.mark.parametrize("version", [b"HTTP/1.0", b"HTTP/1.1"])
@pytest.mark.parametrize("framing", [b"", b"Content-Length: 9\r\n"])
def test_load_is_taken_from_an_answer_that_broke_off(framing: bytes, version: bytes) -> None:
    answer = READING.replace(b"Content-Length: 2\r\n", framing)
    assert not _readings_of(answer.replace(b"HTTP/1.1", version), End.RESET)


@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_load_is_taken_from_an_answer_with_an_invalid_status(status: str) -> None:
    assert not _readings_of(READING.replace(b"200", status.encode()), End.ORDERLY)


def test_no_load_is_taken_from_a_whole_answer_that_ends_with_its_connection() -> None:
    assert _readings_of(READING.replace(b"Content-Length: 2\r\n", b""), End.ORDERLY)
