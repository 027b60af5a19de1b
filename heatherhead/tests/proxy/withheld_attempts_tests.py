"""Tests of attempts that may no longer be sent when their connection is open."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from heatherhead.tests.proxy.fakes import (
    EntryPath,
    ScriptedUpstream,
    answer,
    request,
    run_path,
    status_of,
)

if TYPE_CHECKING:
    from heatherhead.proxy.upstream_connection import UpstreamConnection
    from heatherhead.proxy.upstream_pool import Destination

OPENING_S = 0.3


def _open_slowly(path: EntryPath) -> None:
    """Have each connection to an upstream take `OPENING_S`."""
    open_now = path.pool._open

    async def open_late(destination: Destination, *, with_body: bool = True) -> UpstreamConnection:
        await asyncio.sleep(OPENING_S)
        return await open_now(destination, with_body=with_body)

    path.pool._open = open_late  # type: ignore[method-assign]


@pytest.mark.parametrize("method", ["GET", "HEAD"])
def test_call_reaches_a_zone_that_was_evacuated_while_its_connection_was_opened(
    method: str,
) -> None:
    """The slot was taken before, and nothing asked again; a connection may take a second."""

    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        _open_slowly(path)
        sent = asyncio.get_running_loop().create_task(path.send(request(method=method)))
        await asyncio.sleep(OPENING_S / 2)
        path.dispatcher.set_evacuated_zones(frozenset({"a"}))
        await asyncio.wait([sent], timeout=2 * OPENING_S)
        assert not upstreams[0].requests
        assert not path.dispatcher.states_of("stock")[0].own_in_flight

        if method == "GET":
            assert status_of(sent.result()) == 503
        sent.cancel()

    run_path(scenario, [answer()])


def test_connection_of_a_head_request_that_was_not_sent_serves_a_get() -> None:
    """It was kept, and the answer to the next call on it was passed on without its body."""

    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure(timeout_s=OPENING_S - 0.05)  # with its grace, it ends after the opening
        _open_slowly(path)
        _, writer = await path.connect()
        writer.write(request(method="HEAD"))
        await asyncio.sleep(1.5 * OPENING_S)
        writer.close()
        assert not upstreams[0].requests
        held = path.table.configuration
        routes = {name: replace(route, timeout_s=1.5) for name, route in held.route_by_name.items()}
        path.table.apply(replace(held, version=2, route_by_name=routes))
        received = await path.send(request(X_Heatherhead_Request_Id="r2"))
        assert received.endswith(b"whole")

    run_path(scenario, [answer().replace(b": r1", b": r2")])


@pytest.mark.parametrize("becomes_cold", [True, False])
def test_call_reaches_a_cold_upstream_long_after_its_permit(becomes_cold: bool) -> None:
    """Connections that open together after a stall brought the calls of several seconds at once."""

    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        _open_slowly(path)
        path.dispatcher.warmups.calls_per_s = lambda _: 3.7
        sent = asyncio.get_running_loop().create_task(path.send(request()))
        await asyncio.sleep(OPENING_S / 2)
        if becomes_cold:
            state = path.dispatcher.states_of("stock")[0]
            state.rate_limit.set_warmup(3.7)
        assert status_of(await sent) == (503 if becomes_cold else 200)
        assert len(upstreams[0].requests) == (0 if becomes_cold else 1)

    run_path(scenario, [answer()])
