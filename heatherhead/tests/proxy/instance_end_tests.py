"""Tests of calls that would still be at work when the instance ends: they are refused unsent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from heatherhead.dispatch.estimates import DurationBound
from heatherhead.tests.proxy.detour_tests import REFUSED, run_detour
from heatherhead.tests.proxy.fakes import answer, read_answer, request, run_path, status_of

if TYPE_CHECKING:
    from heatherhead.tests.proxy.fakes import EntryPath, ScriptedUpstream

WORK_S = 0.4
ORDER = request("/order/x", method="POST", body=b"a")
SLOW = ("wait", WORK_S, answer())


def _end_in(path: EntryPath, seconds: float) -> float:
    ends_at = asyncio.get_running_loop().time() + seconds
    path.forwarder.end_at(ends_at)
    path.callers.leaving = True
    return ends_at


def _measure(path: EntryPath) -> None:
    """Have the instance know how long an order takes."""
    route = path.table.match("shop.example", "/order/x")
    assert route is not None
    for _ in range(20):
        path.forwarder._estimate(route).duration.record(WORK_S)


def test_order_passed_on_shortly_before_the_end_is_cut() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        _measure(path)
        _end_in(path, 2 * WORK_S)
        assert status_of(await path.send(ORDER)) == 200
        refused = await path.send(ORDER)
        assert status_of(refused) == 503
        assert b"Connection: close" in refused
        assert len(upstreams[0].requests) == 1

    run_path(scenario, [SLOW])


def test_order_whose_duration_is_unknown_is_passed_on_late() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        _end_in(path, 1.0)  # its route allows 1.5 s
        assert status_of(await path.send(ORDER)) == 503
        assert not upstreams[0].requests
        _end_in(path, 2.0)
        assert status_of(await path.send(ORDER)) == 200

    run_path(scenario, [])


def test_order_that_waits_for_a_slot_is_passed_on_late() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        _measure(path)
        loop = asyncio.get_running_loop()
        for state in path.dispatcher.states:
            state.own_in_flight = 4
        waiting = asyncio.create_task(path.send(ORDER))
        await asyncio.sleep(0.05)
        ends_at = _end_in(path, 2 * WORK_S)
        assert status_of(await waiting) == 503
        assert loop.time() < ends_at - 0.1
        assert not upstreams[0].requests

    run_path(scenario, [])


def test_order_whose_body_comes_late_is_passed_on() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        _measure(path)
        reader, writer = await path.connect()
        writer.write(ORDER[:-1])
        await asyncio.sleep(0.05)
        ends_at = _end_in(path, 2 * WORK_S)
        loop = asyncio.get_running_loop()
        while loop.time() < ends_at - 0.1:
            path.forwarder.instance_end.refuse_late_bodies()
            await asyncio.sleep(0.05)
        writer.write(ORDER[-1:])
        assert status_of(await read_answer(reader)) == 503
        assert not upstreams[0].requests
        writer.close()

    run_path(scenario, [])


def test_order_behind_another_one_is_passed_on_late() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        _measure(path)
        reader, writer = await path.connect()
        writer.write(ORDER + ORDER)
        await asyncio.sleep(0.05)
        _end_in(path, 2 * WORK_S)
        assert [status_of(await read_answer(reader)) for _ in range(2)] == [200, 503]
        assert len(upstreams[0].requests) == 1
        writer.close()

    run_path(scenario, [SLOW])


def test_second_attempt_after_a_refusal_begins_too_late() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        _measure(path)
        _end_in(path, 2 * WORK_S)
        assert status_of(await path.send(ORDER)) == 503
        assert sum(len(each.requests) for each in upstreams) == 1

    late_refusal = ("wait", WORK_S, REFUSED)
    run_path(scenario, [late_refusal], [late_refusal])


def test_peer_that_stops_takes_a_call_on_a_detour() -> None:
    """It is refused as one that may be offered to another peer."""

    async def scenario(cut: EntryPath, peer: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        _measure(cut)
        _measure(peer)
        cut.peers.append(cut.peers[0])
        peer.forwarder.end_at(asyncio.get_running_loop().time() + WORK_S / 2)
        assert status_of(await cut.send(ORDER)) == 503
        assert not upstreams[0].requests
        assert peer.forwarder.metrics.events["rejected_at_end"] == 2

    run_detour(scenario, [])


@pytest.mark.parametrize("durations_s", [[0.4], [0.4] * 30, [0.1, 0.5] * 20])
def test_bound_covers_the_durations_that_were_seen(durations_s: list[float]) -> None:
    bound = DurationBound()
    for each in durations_s:
        bound.record(each)
    assert max(durations_s) < bound.value_s < 4 * max(durations_s)
