"""Tests of hedges within an operator-set limit on the path of a call."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from heatherhead.tests.proxy.fakes import answer, request, run_path, status_of

if TYPE_CHECKING:
    from heatherhead.tests.proxy.fakes import EntryPath, ScriptedUpstream

USUAL_CALLS = 40


async def send_usual_calls(path: EntryPath) -> None:
    for _ in range(USUAL_CALLS):
        assert status_of(await path.send(request())) == 200


def test_hedge_wins_and_the_connection_of_the_slow_attempt_is_closed() -> None:
    """The upstream learns by the close that it can drop the request."""

    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        await send_usual_calls(path)
        for upstream in upstreams:
            upstream.script[:] = ["hang"]
            upstream.requests.clear()
        first = asyncio.ensure_future(path.send(request()))
        while not any(upstream.requests for upstream in upstreams):
            await asyncio.sleep(0.001)
        slow, other = sorted(upstreams, key=lambda each: not each.requests)
        other.script[:] = [answer()]
        assert status_of(await first) == 200
        await asyncio.wait_for(slow.lost.wait(), 1.0)
        assert path.forwarder.metrics.events["hedges_won"] == 1
        assert path.forwarder.metrics.events["hedge"] == 1

    run_path(scenario, [], [], hedge_ratio=0.5)


def test_order_is_never_hedged() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        for _ in range(USUAL_CALLS):
            assert status_of(await path.send(request("/order/x", method="POST"))) == 200
        for upstream in upstreams:
            upstream.script[:] = [("wait", 0.5, answer())]
            upstream.requests.clear()
        assert status_of(await path.send(request("/order/x", method="POST"))) == 200
        assert sum(len(upstream.requests) for upstream in upstreams) == 1

    run_path(scenario, [], [], hedge_ratio=0.5)
