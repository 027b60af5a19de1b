"""Tests of the dispatcher under load patterns on a paused clock, compared to simple baselines."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from heatherhead.dispatch import placement
from heatherhead.dispatch.dispatcher import (
    OVERFLOW_SAMPLE_SIZE,
    Dispatcher,
    create_dispatcher,
)
from heatherhead.dispatch.rejection import RejectedError
from heatherhead.dispatch.upstream_state import LoadReading
from heatherhead.tests.base import run_with_paused_clock
from heatherhead.tests.dispatch.fakes import create_demand, create_entry
from heatherhead.tests.dispatch.replayed_upstream import ReplayedUpstream

if TYPE_CHECKING:
    from collections.abc import Callable

    import pytest

    from heatherhead.dispatch.upstream_state import UpstreamState

WORK_S = 0.06
TARGET_S = 0.2
GIVE_UP_S = 1.0
READ_INTERVAL_S = 0.1
SLOW_PERIOD_S = 0.5


@dataclass
class _Pattern:
    """Upstreams and the load on them."""

    upstreams: list[ReplayedUpstream]
    calls_per_s: Callable[[float], float]
    slow_share: float = 0.25
    duration_s: float = 20.0


async def _change_slowdowns(pattern: _Pattern, rng: Random) -> None:
    while True:
        for upstream in pattern.upstreams:
            upstream.slowdown = 7.0 if rng.random() < pattern.slow_share else 1.0
        await asyncio.sleep(SLOW_PERIOD_S)


async def _readings(pattern: _Pattern, dispatcher: Dispatcher) -> None:
    loop = asyncio.get_running_loop()
    while True:
        for upstream in pattern.upstreams:
            state = dispatcher.state(upstream.name)
            assert state is not None
            running = min(upstream.in_flight, upstream.slots)
            reading = LoadReading(
                running,
                upstream.in_flight - running,
                upstream.slots,
                upstream.slowdown,
                loop.time(),
            )
            dispatcher.apply_reading(state, reading)
        await asyncio.sleep(READ_INTERVAL_S)


async def _replay(pattern: _Pattern, choose: str) -> float:
    """Return the share of calls that were answered within the latency target."""
    loop = asyncio.get_running_loop()
    rng = Random(7)
    dispatcher = create_dispatcher("a", {"a": "r"}, 0.2, 10.0, 25.0)
    by_name = {upstream.name: upstream for upstream in pattern.upstreams}
    for upstream in pattern.upstreams:
        dispatcher.on_entry(None, create_entry(upstream.name, slots=upstream.slots))
    background = [
        loop.create_task(_change_slowdowns(pattern, rng)),
        loop.create_task(_readings(pattern, dispatcher)),
    ]
    in_target = 0

    async def call() -> None:
        nonlocal in_target
        began = loop.time()
        work_s = WORK_S * (0.7 + 0.6 * rng.random())
        if choose == "dispatcher":
            demand = create_demand(began, target_at=began + TARGET_S, give_up_at=began + GIVE_UP_S)
            try:
                slot = await dispatcher.acquire(demand, ())
            except RejectedError:
                return
            await by_name[slot.state.entry.id].run(work_s)
            dispatcher.record_answer(slot, WORK_S, loop.time() - slot.acquired_at)
            dispatcher.release(slot)
        elif choose == "least":
            upstream = min(pattern.upstreams, key=lambda each: (each.in_flight, rng.random()))
            await upstream.run(work_s)
        else:
            await rng.choice(pattern.upstreams).run(work_s)
        in_target += loop.time() - began <= TARGET_S

    calls = []
    start = loop.time()
    while (elapsed := loop.time() - start) < pattern.duration_s:
        calls.append(loop.create_task(call()))
        await asyncio.sleep(rng.expovariate(pattern.calls_per_s(elapsed)))
    await asyncio.gather(*calls)
    for task in background:
        task.cancel()
    return in_target / len(calls)


def _shares(create_pattern: Callable[[], _Pattern]) -> tuple[float, float, float]:
    """Return the results of the dispatcher, of least loaded and of random choice."""
    dispatcher = run_with_paused_clock(_replay(create_pattern(), "dispatcher"))
    least = run_with_paused_clock(_replay(create_pattern(), "least"))
    random = run_with_paused_clock(_replay(create_pattern(), "random"))
    return dispatcher, least, random


def test_slow_periods_cause_a_third_of_the_missed_targets_of_the_baselines() -> None:
    def create() -> _Pattern:
        return _Pattern([ReplayedUpstream(f"u{n}", 4) for n in range(6)], lambda _: 80.0)

    dispatcher, least, random = _shares(create)
    assert 1 - dispatcher <= (1 - least) / 3
    assert 1 - dispatcher <= (1 - random) / 3


def test_burst_of_170_percent_causes_half_of_the_missed_targets_of_the_baselines() -> None:
    def create() -> _Pattern:
        upstreams = [ReplayedUpstream(f"u{n}", 4) for n in range(6)]
        return _Pattern(upstreams, lambda at: 230.0 if 8.0 < at < 13.0 else 135.0)

    dispatcher, least, random = _shares(create)
    assert 1 - dispatcher <= (1 - least) / 2
    assert 1 - dispatcher <= (1 - random) / 2


def test_upstreams_that_slow_down_when_full_are_not_filled() -> None:
    def create() -> _Pattern:
        upstreams = [ReplayedUpstream(f"u{n}", 3, speed_when_full=1 / 1.7) for n in range(6)]
        return _Pattern(upstreams, lambda _: 80.0, slow_share=0.2)  # half of the capacity

    dispatcher, least, _ = _shares(create)
    assert 1 - dispatcher <= (1 - least) / 2


def test_overload_is_rejected_at_once_and_the_rest_is_served() -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        dispatcher = create_dispatcher("a", {"a": "r"}, 0.2, 10.0, 25.0)
        dispatcher.on_entry(None, create_entry("u", slots=2))
        state = dispatcher.state("u")
        assert state is not None
        dispatcher.apply_reading(state, LoadReading(0, 0, 2, 1.0, loop.time()))
        held = [await dispatcher.acquire(create_demand(loop.time()), ()) for _ in range(2)]
        tasks = [
            loop.create_task(dispatcher.acquire(create_demand(loop.time()), ())) for _ in range(60)
        ]
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        rejected = [task.exception() for task in tasks if task.done()]
        assert len(rejected) > 20
        assert all(isinstance(error, RejectedError) for error in rejected)
        retry_after_s = [error.retry_after_s for error in rejected]  # type: ignore[union-attr]
        assert retry_after_s == sorted(retry_after_s)
        assert len(set(retry_after_s)) > len(retry_after_s) // 2
        for slot in held:
            dispatcher.release(slot)
        await asyncio.sleep(0)
        assert sum(task.done() for task in tasks) == len(rejected) + 2
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    run_with_paused_clock(main())


def test_costs_of_full_upstreams_are_not_recomputed_for_each_waiting_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """After a power loss, hundreds of counts arrive per second while calls wait."""
    computed = 0

    def count_computations(state: UpstreamState, now: float, baseline: float) -> placement.Prospect:
        nonlocal computed
        computed += 1
        return compute_costs(state, now, baseline)

    compute_costs = placement.prospect_of
    monkeypatch.setattr(placement, "prospect_of", count_computations)

    async def main() -> None:
        nonlocal computed
        loop = asyncio.get_running_loop()
        dispatcher = create_dispatcher("a", {"a": "r"}, 0.2, 10.0, 25.0)
        for number in range(12):
            dispatcher.on_entry(None, create_entry(f"u{number}"))
        for state in dispatcher.states:
            dispatcher.apply_reading(state, LoadReading(0, 0, 4, 1.0, loop.time()))
        held = [await dispatcher.acquire(create_demand(loop.time()), ()) for _ in range(48)]
        waiting = [
            loop.create_task(dispatcher.acquire(create_demand(loop.time()), ())) for _ in range(100)
        ]
        await asyncio.sleep(0)
        computed = 0
        for _ in range(200):
            dispatcher.apply_peer_counts("peer", {"u1": 1}, complete=False)
            dispatcher.apply_peer_counts("peer", {"u1": 0}, complete=False)
        assert computed == 0
        for slot in held[:10]:
            dispatcher.release(slot)
        await asyncio.sleep(0)
        assert sum(task.done() and not task.exception() for task in waiting) == 10
        assert computed <= 10 * (12 + 1)
        for task in waiting:
            task.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)

    run_with_paused_clock(main())


def test_home_does_not_queue_calls_for_slots_that_other_homes_use() -> None:
    """Three homes under overload: each has its own queue, but they share the slots."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        dispatcher = create_dispatcher("a", {"a": "r"}, 0.2, 10.0, 25.0)
        dispatcher.set_share((0, 1), lambda _: True, 3)
        for number in range(3):
            dispatcher.on_entry(None, create_entry(f"u{number}"))
        for state in dispatcher.states:
            dispatcher.apply_reading(state, LoadReading(0, 0, 4, 1.0, loop.time()))
        held = [await dispatcher.acquire(create_demand(loop.time()), ()) for _ in range(4)]
        for peer in ("p1", "p2"):
            others = {
                state.entry.id: (4 - state.own_in_flight) // 2 + 1 for state in dispatcher.states
            }
            dispatcher.apply_peer_counts(peer, others, complete=True)
        tasks = [
            loop.create_task(dispatcher.acquire(create_demand(loop.time()), ())) for _ in range(150)
        ]
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        waits = sum(not task.done() for task in tasks)
        # Calls that its own slots can serve before all callers give up.
        feasible = (1.0 - 0.06) / 0.06 * len(held)
        assert waits <= feasible + 1
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    run_with_paused_clock(main())


def test_calls_of_a_large_service_consider_the_own_part_and_a_sample_of_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Among hundreds of upstreams, a home fills its own part first, then a sample of others."""
    computed: list[str] = []

    def record_computation(state: UpstreamState, now: float, baseline: float) -> placement.Prospect:
        computed.append(state.entry.id)
        return compute_costs(state, now, baseline)

    compute_costs = placement.prospect_of
    monkeypatch.setattr(placement, "prospect_of", record_computation)

    async def main() -> None:
        loop = asyncio.get_running_loop()
        dispatcher = create_dispatcher("a", {"a": "r"}, 0.2, 10.0, 25.0)
        own = {f"u{number}" for number in range(10)}
        for number in range(300):
            dispatcher.on_entry(None, create_entry(f"u{number}", slots=1))
        dispatcher.set_share((0, 30), lambda state: state.entry.id in own, 2)
        for state in dispatcher.states:
            dispatcher.apply_reading(state, LoadReading(0, 0, 1, 1.0, loop.time()))
        slots = [await dispatcher.acquire(create_demand(loop.time()), ()) for _ in range(10)]
        assert {slot.state.entry.id for slot in slots} == own
        assert set(computed) == own
        computed.clear()
        overflowed = await dispatcher.acquire(create_demand(loop.time()), ())
        assert overflowed.state.entry.id not in own
        assert len(computed) <= len(own) + OVERFLOW_SAMPLE_SIZE
        dispatcher.on_entry(overflowed.state.entry, None)
        dispatcher.on_entry(slots[0].state.entry, None)
        assert len(list(dispatcher.states)) == 298

    run_with_paused_clock(main())


def test_slot_assigned_to_a_cancelled_call_is_released() -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        dispatcher = create_dispatcher("a", {"a": "r"}, 0.2, 10.0, 25.0)
        dispatcher.on_entry(None, create_entry("u", slots=1))
        state = dispatcher.state("u")
        assert state is not None
        dispatcher.apply_reading(state, LoadReading(0, 0, 1, 1.0, loop.time()))
        slot = await dispatcher.acquire(create_demand(loop.time()), ())
        waiting = loop.create_task(dispatcher.acquire(create_demand(loop.time()), ()))
        await asyncio.sleep(0)
        dispatcher.release(slot)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        assert state.own_in_flight == 0

    run_with_paused_clock(main())


def test_draining_or_restarted_upstream_gets_no_new_call() -> None:
    async def main() -> None:
        dispatcher = create_dispatcher("a", {"a": "r"}, 0.2, 10.0, 25.0)
        first = create_entry("u", started_ms=1)
        dispatcher.on_entry(None, first)
        before = dispatcher.state("u")
        restarted = create_entry("u", started_ms=2, warmup_left_s=3.0)
        dispatcher.on_entry(first, restarted)
        after = dispatcher.state("u")
        assert after is not None
        assert after is not before
        assert after.cold_factor(asyncio.get_running_loop().time()) > 1
        dispatcher.on_entry(restarted, create_entry("u", started_ms=2, draining=True))
        assert dispatcher.state("u") is None

    run_with_paused_clock(main())


def test_counts_of_a_silent_home_are_removed() -> None:
    async def main() -> None:
        dispatcher = create_dispatcher("a", {"a": "r"}, 0.2, 10.0, 25.0)
        dispatcher.on_entry(None, create_entry("u"))
        dispatcher.apply_peer_counts("peer", {"u": 3}, complete=False)
        state = dispatcher.state("u")
        assert state is not None
        assert state.occupancy(0.0) == 3
        dispatcher.apply_peer_counts("peer", {}, complete=True)
        assert state.occupancy(0.0) == 0
        dispatcher.apply_peer_counts("peer", {"u": 2}, complete=True)
        dispatcher.retain_peers([])
        assert state.occupancy(0.0) == 0

    run_with_paused_clock(main())
