"""Tests of the probes that find out whether a service is in reach."""

from __future__ import annotations

import asyncio
from contextlib import suppress

import pytest

from heatherhead.dispatch.dispatcher import create_dispatcher
from heatherhead.dispatch.reach import create_reach
from heatherhead.platform.dialect import PlatformDialect
from heatherhead.proxy.reach_prober import ReachProber, create_reach_prober
from heatherhead.proxy.upstream_pool import create_upstream_pool
from heatherhead.routes.model import CallerLimits, RouteConfiguration, ServiceRules
from heatherhead.routes.table import create_route_table
from heatherhead.tests.dispatch.fakes import create_entry
from heatherhead.tests.truncating_server import END_DELAY_S, INVALID_STATUSES, End, TruncatingServer

HEALTHY = b"HTTP/1.1 200 OK\r\nX-Heatherhead-Instance-Id: u0\r\nContent-Length: 0\r\n\r\n"
REGAINED_WITHIN_S = 1.0
TIMEOUT_S = 5.0  # only reached by a test that hangs


class _Upstreams:
    """Listeners that answer health checks, or accept connections and say nothing."""

    def __init__(self) -> None:
        self.silent = False
        self.checks = 0
        self.ports: list[int] = []
        self._servers: list[asyncio.Server] = []

    async def start(self, number: int) -> None:
        """Listen on some ports."""
        for _ in range(number):
            self._servers.append(await asyncio.start_server(self._serve, "127.0.0.1", 0))
            self.ports.append(self._servers[-1].sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.checks += 1
                if not self.silent:
                    writer.write(HEALTHY)
        writer.close()

    def stop(self) -> None:
        """Close the listeners."""
        for server in self._servers:
            server.close()


async def _create(
    upstreams: _Upstreams, health_path: str | None, attempts: dict[str, float]
) -> ReachProber:
    table = create_route_table()
    rules = {"stock": ServiceRules("stock", health_path)}
    table.apply(RouteConfiguration(1, {}, rules, CallerLimits()))
    dispatcher = create_dispatcher("a", {"a": "r"}, 0.2, 10.0, 1.0)
    for number, port in enumerate(upstreams.ports):
        dispatcher.on_entry(None, create_entry(f"u{number}", host="127.0.0.1", port=port))
    loop = asyncio.get_running_loop()
    reach = create_reach(loop.time, lambda service: len(dispatcher.states_of(service)))
    return create_reach_prober(
        table, dispatcher, create_upstream_pool(), PlatformDialect(), reach, lambda: attempts
    )


@pytest.mark.parametrize("health_path", ["/healthz", None])
def test_service_without_calls_or_readings_stays_out_of_reach(health_path: str | None) -> None:
    """No call goes there any more; a service may also have no health check."""

    async def main() -> None:
        upstreams = _Upstreams()
        await upstreams.start(3)
        prober = await _create(upstreams, health_path, {})
        for upstream_id in ("u0", "u1"):
            prober._reach.record_failure("stock", upstream_id, "test", connected=False)
        assert prober._reach.lost_services
        prober.start()
        await asyncio.sleep(REGAINED_WITHIN_S)
        assert not prober._reach.lost_services
        prober.stop()
        prober._pool.close()
        await asyncio.sleep(0.05)
        upstreams.stop()

    asyncio.run(main())


def test_unanswered_call_is_all_that_an_instance_without_readings_notices() -> None:
    async def main() -> None:
        upstreams = _Upstreams()
        await upstreams.start(3)
        loop = asyncio.get_running_loop()
        attempts: dict[str, float] = {}
        prober = await _create(upstreams, "/healthz", attempts)
        prober._reach.record_answer("stock")
        prober.start()
        await asyncio.sleep(0.5)
        assert upstreams.checks == 0  # nothing is in doubt
        upstreams.silent = True
        attempts["stock"] = loop.time()
        await asyncio.sleep(2.0)
        assert upstreams.checks > 0
        assert prober._reach.lost_services == {"stock"}
        upstreams.silent = False
        await asyncio.sleep(REGAINED_WITHIN_S)
        assert not prober._reach.lost_services
        prober.stop()
        prober._pool.close()
        await asyncio.sleep(0.05)
        upstreams.stop()

    asyncio.run(main())


def _is_regained(answer: bytes, end: End) -> bool:
    """Return whether a service is in reach again after its only upstream gave an answer."""

    async def main() -> bool:
        async with TruncatingServer(answer, end) as server:
            upstreams = _Upstreams()
            upstreams.ports.append(server.port)
            prober = await _create(upstreams, "/healthz", {})
            prober._reach.record_failure("stock", "u0", "test", connected=False)
            prober.start()
            async with asyncio.timeout(TIMEOUT_S):
                while not server.requests:
                    await asyncio.sleep(0.01)
            await asyncio.sleep(3 * END_DELAY_S)
            prober.stop()
            prober._pool.close()
            return not prober._reach.lost_services

    return asyncio.run(main())


@pytest.mark.parametrize("version", [b"HTTP/1.0", b"HTTP/1.1"])
def test_answer_that_broke_off_proves_that_a_service_is_in_reach(version: bytes) -> None:
    answer = HEALTHY.replace(b"Content-Length: 0\r\n", b"").replace(b"HTTP/1.1", version)
    assert not _is_regained(answer, End.RESET)
    assert _is_regained(answer, End.ORDERLY)


@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_answer_with_an_invalid_status_proves_that_a_service_is_in_reach(status: str) -> None:
    assert not _is_regained(HEALTHY.replace(b"200", status.encode()), End.ORDERLY)
