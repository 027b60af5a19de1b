"""Tests of health checks in a complete instance."""

from __future__ import annotations

import asyncio

from aiohttp import web

from heatherhead.tests.callers.fakes import FakeUpstream, run_with_shifted_clock, running_instance

SERVICE = {"health_path": "/health"}
ROUTING = {"health_interval_ms": 100, "health_timeout_ms": 30_000}
HANG_TIMEOUT_S = 30.0  # fails a test to which no health check is sent


async def _draining(_upstream: FakeUpstream, request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(headers={"Heatherhead-Draining": "true"})


async def _wait_for_two_checks(upstream: FakeUpstream) -> None:
    """Wait for the second check, which is sent after the first answer has been applied."""
    async with asyncio.timeout(HANG_TIMEOUT_S):
        for _ in range(2):
            await upstream.arrived.wait()
            upstream.arrived.clear()


def test_idle_upstream_that_drains_gets_no_calls() -> None:
    async def main() -> None:
        async with running_instance(_draining, None, service=SERVICE, routing=ROUTING) as here:
            await _wait_for_two_checks(here.upstreams[0])
            for _ in range(20):
                async with here.session.get(here.url + "/stock") as answer:
                    assert answer.status == 200
            assert set(here.upstreams[0].seen) == {"GET /health"}
            evidence = {each.upstream.id: each for each in here.assembly.router.evidence("orders")}
            assert evidence["u0"].state == "draining"
            assert "health check" in evidence["u0"].reason

    run_with_shifted_clock(main())
