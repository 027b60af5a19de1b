"""Tests of hedging within an operator-set limit, on a paused clock without a network."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import pytest

from heatherhead.dispatch.dispatcher import Dispatcher, Slot, create_dispatcher
from heatherhead.dispatch.rate_limits import RateLimitEvidence
from heatherhead.dispatch.tail_hedging import (
    MAX_TRIAL_INTERVAL_S,
    MIN_TRIAL_INTERVAL_S,
    CallHedging,
    RecentDurations,
    TailHedging,
    WinRecord,
    create_tail_hedging,
    quantile_of,
)
from heatherhead.dispatch.upstream_state import LoadReading
from heatherhead.tests.base import run_with_paused_clock
from heatherhead.tests.dispatch.fakes import create_demand, create_entry
from heatherhead.tests.dispatch.tail_hedging_replay import HedgePattern, replay_hedging

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from heatherhead.dispatch.demand import Demand

REGION_BY_ZONE = {"a": "r", "b": "r", "x": "other"}
USUAL_S = 0.07
LATE_S = 0.1  # less than twice the expected time, from which on calls are hedged anyway
TRANSIENT = HedgePattern()
UNREAD = HedgePattern(reads_load=False)  # upstreams that don't report their load
LONG_REQUESTS = HedgePattern(slow_share=0.0, long_share=0.03)


@dataclass(eq=False)
class _Fixture:
    """A dispatcher with upstreams, and a route whose calls have taken `USUAL_S` so far."""

    ratio: float = 0.1
    zones: tuple[str, ...] = ("a", "a", "a")
    slots: int = 4
    slack: float = 25.0
    events: Counter[str] = field(default_factory=Counter)
    dispatcher: Dispatcher = field(init=False)
    hedging: TailHedging = field(init=False)

    def __post_init__(self) -> None:
        clock = asyncio.get_running_loop().time
        self.dispatcher = create_dispatcher("a", REGION_BY_ZONE, 0.2, 10.0, self.slack)
        for number, zone in enumerate(self.zones):
            self.dispatcher.on_entry(None, create_entry(f"u{number}", zone=zone, slots=self.slots))
        self.hedging = create_tail_hedging(self.dispatcher, self.ratio, 10.0, self.events, clock)

    def read_load(self) -> None:
        """Apply a load reading of each upstream."""
        now = asyncio.get_running_loop().time()
        for state in self.dispatcher.states:
            self.dispatcher.apply_reading(state, LoadReading(0, 0, self.slots, 1.0, now))

    async def serve_usual_calls(self, count: int = 100) -> None:
        """Send calls that take the usual time, a little more each."""
        for number in range(count):
            self.read_load()
            demand = self.create_demand()
            call, first = await self.begin(demand)
            await asyncio.sleep(USUAL_S + number * 1e-5)
            self.answer(call, first, demand)

    def create_demand(self, **changes: object) -> Demand:
        """Create the demand of a call, whose target is far away."""
        now = asyncio.get_running_loop().time()
        return create_demand(now, **{"target_at": now + 5.0, "give_up_at": now + 9.0, **changes})

    async def begin(self, demand: Demand) -> tuple[CallHedging, Slot]:
        """Begin the first attempt of a call."""
        call = CallHedging()
        slot = await self.dispatcher.acquire(demand, ())
        self.hedging.record_attempt(call, demand.service)
        return call, slot

    def answer(self, call: CallHedging, slot: Slot, demand: Demand) -> None:
        """End an attempt with an answer."""
        call.record_answer(slot)
        self.cancel(call, slot, demand)

    def cancel(self, call: CallHedging, slot: Slot, demand: Demand) -> None:
        """End an attempt."""
        self.hedging.record_end(call, "read", demand, slot)
        self.dispatcher.release(slot)

    def try_hedge(self, call: CallHedging, first: Slot, demand: Demand) -> Slot | None:
        """Hedge a call if that is worth it."""
        tried_ids = {first.state.entry.id}
        second = self.hedging.try_hedge(call, "read", demand, tried_ids, first, lambda _: True)
        if second is not None:
            self.hedging.record_attempt(call, demand.service)
        return second

    async def hedge_late_call(self, **changes: object) -> tuple[CallHedging, Slot, Slot | None]:
        """Begin a call, let it become late and hedge it."""
        self.read_load()
        demand = self.create_demand(**changes)
        call, first = await self.begin(demand)
        await asyncio.sleep(LATE_S)
        self.read_load()
        return call, first, self.try_hedge(call, first, demand)


def _run(scenario: Callable[[], Coroutine[None, None, None]]) -> None:
    run_with_paused_clock(scenario())


def test_late_call_is_hedged_once_and_the_first_answer_decides_who_won() -> None:
    async def scenario() -> None:
        fixture = _Fixture()
        await fixture.serve_usual_calls()
        demand = fixture.create_demand()
        call, first, second = await fixture.hedge_late_call()
        assert second is not None
        assert second.state is not first.state
        assert fixture.try_hedge(call, first, demand) is None
        fixture.answer(call, second, demand)
        fixture.cancel(call, first, demand)
        call, first, second = await fixture.hedge_late_call()
        assert second is not None
        fixture.answer(call, first, demand)
        fixture.cancel(call, second, demand)
        assert fixture.events == {"hedge": 2, "hedges_won": 1, "hedges_lost": 1}

    _run(scenario)


def test_hedge_of_a_call_without_an_answer_counts_as_lost_once() -> None:
    async def scenario() -> None:
        fixture = _Fixture()
        await fixture.serve_usual_calls()
        call, first, second = await fixture.hedge_late_call()
        assert second is not None
        demand = fixture.create_demand()
        fixture.cancel(call, second, demand)
        assert not fixture.events["hedges_lost"]
        fixture.cancel(call, first, demand)
        assert fixture.events["hedges_lost"] == 1

    _run(scenario)


def test_call_is_checked_when_it_becomes_late() -> None:
    """A check at the usual interval alone would hedge it later."""

    async def scenario() -> None:
        fixture = _Fixture()
        demand = fixture.create_demand()
        _, first = await fixture.begin(demand)
        assert fixture.hedging.next_check_s("read", first, 0.5) == 0.5
        fixture.dispatcher.release(first)
        await fixture.serve_usual_calls()
        _, first = await fixture.begin(demand)
        assert USUAL_S < fixture.hedging.next_check_s("read", first, 0.5) < USUAL_S + 0.001
        await asyncio.sleep(LATE_S)
        assert fixture.hedging.next_check_s("read", first, 0.5) == 0.5

    _run(scenario)


def test_call_that_is_not_late_or_an_order_is_not_hedged() -> None:
    async def scenario() -> None:
        fixture = _Fixture()
        await fixture.serve_usual_calls()
        demand = fixture.create_demand()
        call, first = await fixture.begin(demand)
        await asyncio.sleep(USUAL_S / 2)
        assert fixture.try_hedge(call, first, demand) is None
        fixture.answer(call, first, demand)
        call, first, second = await fixture.hedge_late_call(idempotent=False)
        assert second is None
        fixture.answer(call, first, demand)
        assert (await fixture.hedge_late_call())[2] is not None

    _run(scenario)


def test_call_is_not_hedged_if_its_caller_gives_up_before_the_second_answer() -> None:
    async def scenario() -> None:
        fixture = _Fixture()
        await fixture.serve_usual_calls()
        now = asyncio.get_running_loop().time()
        give_up_at = now + LATE_S + USUAL_S / 2
        # Without proof of the service time, placement alone would not refuse it.
        late = await fixture.hedge_late_call(give_up_at=give_up_at, proven_work_s=0.0)
        assert late[2] is None

    _run(scenario)


def test_no_hedge_while_calls_wait_or_without_a_free_slot() -> None:
    async def scenario() -> None:
        fixture = _Fixture(slots=1)
        await fixture.serve_usual_calls()
        demand = fixture.create_demand()
        call, first = await fixture.begin(demand)
        held = [(await fixture.begin(demand))[1] for _ in range(2)]
        await asyncio.sleep(LATE_S)
        assert fixture.try_hedge(call, first, demand) is None
        waiting = asyncio.get_running_loop().create_task(fixture.dispatcher.acquire(demand, ()))
        await asyncio.sleep(0)
        fixture.dispatcher.release(held[0])
        assert fixture.try_hedge(call, first, demand) is None
        await asyncio.sleep(0)
        assert waiting.done()  # it got the slot

    _run(scenario)


def test_cold_and_limited_upstreams_get_no_hedge() -> None:
    async def scenario() -> None:
        fixture = _Fixture()
        await fixture.serve_usual_calls()
        call, first, second = await fixture.hedge_late_call()
        assert second is not None
        fixture.cancel(call, second, fixture.create_demand())
        await asyncio.sleep(10 * LATE_S)  # so late that a cold upstream would be worth it
        fixture.read_load()
        now = asyncio.get_running_loop().time()
        others = [state for state in fixture.dispatcher.states if state is not first.state]
        for state in others:
            state.cold_until = now + 60.0
        fixture.dispatcher.record_rate_limit(others[1], RateLimitEvidence(5.0, now))
        others[1].rate_limit.add_permits(5, now)
        others[1].cold_until = 0.0
        assert others[1].limited
        assert fixture.try_hedge(CallHedging(), first, fixture.create_demand()) is None
        others[0].cold_until = 0.0
        second = fixture.try_hedge(CallHedging(), first, fixture.create_demand())
        assert second is not None
        assert second.state is others[0]

    _run(scenario)


def test_hedge_stays_in_the_regions_of_its_call() -> None:
    async def scenario() -> None:
        fixture = _Fixture(zones=("a", "x", "x"))
        fixture.dispatcher.record_round_trip("x", 0.002)  # else too far for a call this short
        await fixture.serve_usual_calls()
        assert (await fixture.hedge_late_call(regions=frozenset({"r"})))[2] is None
        _, _, second = await fixture.hedge_late_call(regions=frozenset({"r", "other"}))
        assert second is not None

    _run(scenario)


def test_hedge_avoids_the_zone_of_the_first_attempt_if_calls_are_late_there() -> None:
    async def scenario() -> None:
        fixture = _Fixture(ratio=0.5, zones=("a", "a", "a", "b", "b"))
        await fixture.serve_usual_calls()
        zones = []
        for _ in range(12):
            # Calls of zone b are in time, so the whole service is not late.
            await _serve_in(fixture, "b")
            call, first, second = await fixture.hedge_late_call()
            assert first.state.entry.availability_zone == "a"
            zones.append(None if second is None else second.state.entry.availability_zone)
            if second is not None:
                fixture.answer(call, second, fixture.create_demand())
            fixture.cancel(call, first, fixture.create_demand())
        assert zones[0] == "a"
        assert zones[-1] == "b"

    _run(scenario)


async def _serve_in(fixture: _Fixture, zone: str) -> None:
    """Serve a call in a zone in time."""
    avoid = {
        state.entry.id
        for state in fixture.dispatcher.states
        if state.entry.availability_zone != zone
    }
    for _ in range(2):
        demand = fixture.create_demand()
        call = CallHedging()
        slot = await fixture.dispatcher.acquire(demand, avoid)
        fixture.hedging.record_attempt(call, demand.service)
        await asyncio.sleep(USUAL_S / 2)
        fixture.answer(call, slot, demand)


def test_hedge_spends_from_the_limit_and_from_the_retry_budget() -> None:
    async def scenario() -> None:
        fixture = _Fixture(ratio=0.1)  # 100 calls in 10 s allow seven hedges
        await fixture.serve_usual_calls()
        budget = fixture.dispatcher.budget("stock")
        before = budget.remaining(asyncio.get_running_loop().time())
        assert (await fixture.hedge_late_call())[2] is not None
        assert budget.remaining(asyncio.get_running_loop().time()) == before - 1.0
        while budget.try_spend(asyncio.get_running_loop().time()):
            pass
        assert (await fixture.hedge_late_call())[2] is None
        assert not fixture.events["hedges_over_limit"]

    _run(scenario)


def test_hedge_left_out_for_the_limit_is_counted_once_for_its_call() -> None:
    async def scenario() -> None:
        fixture = _Fixture(ratio=0.02)  # 100 calls in 10 s allow one hedge
        await fixture.serve_usual_calls()
        assert (await fixture.hedge_late_call())[2] is not None
        call, first, second = await fixture.hedge_late_call()
        assert second is None
        assert fixture.try_hedge(call, first, fixture.create_demand()) is None
        assert fixture.events["hedges_over_limit"] == 1
        assert fixture.events["hedge"] == 1

    _run(scenario)


def test_slot_that_may_not_be_used_is_released_and_nothing_is_spent() -> None:
    async def scenario() -> None:
        fixture = _Fixture()
        await fixture.serve_usual_calls()
        demand = fixture.create_demand()
        call, first = await fixture.begin(demand)
        await asyncio.sleep(LATE_S)
        fixture.read_load()
        ids = {first.state.entry.id}
        assert not fixture.hedging.try_hedge(call, "read", demand, ids, first, lambda _: False)
        assert sum(state.own_in_flight for state in fixture.dispatcher.states) == 1
        assert fixture.try_hedge(call, first, demand) is not None

    _run(scenario)


def test_ratio_of_zero_records_nothing_and_leaves_the_checks_as_they_are() -> None:
    async def scenario() -> None:
        fixture = _Fixture(ratio=0.0)
        await fixture.serve_usual_calls()
        _, first = await fixture.begin(fixture.create_demand())
        assert not fixture.hedging.enabled
        assert fixture.hedging.next_check_s("read", first, 0.5) == 0.5
        assert not fixture.events

    _run(scenario)


def test_threshold_is_a_quantile_and_old_durations_are_forgotten() -> None:
    durations = RecentDurations(0.95)
    assert durations.threshold_s(0.0) == float("inf")
    for number in range(100):
        durations.record(number / 100, number / 100)
    assert durations.threshold_s(1.0) == 0.94
    durations.record(5.0, 40.0)
    assert durations.threshold_s(40.0) == float("inf")  # too few are left
    for number in range(2000):
        durations.record(1.0 + number % 2, 41.0)
    assert durations.threshold_s(41.0) == 2.0


def test_attempts_that_lost_to_a_hedge_count_for_the_threshold() -> None:
    """Else each hedge that wins would lower the threshold, and lead to more hedges."""

    async def scenario() -> None:
        fixture = _Fixture()
        for _ in range(8):
            await fixture.serve_usual_calls(20)
            for _ in range(3):  # more than the one in twenty beyond the quantile
                call, first, second = await fixture.hedge_late_call()
                demand = fixture.create_demand()
                if second is not None:
                    fixture.answer(call, second, demand)
                fixture.cancel(call, first, demand)
        assert fixture.events["hedges_won"]
        _, first = await fixture.begin(fixture.create_demand())
        assert fixture.hedging.next_check_s("read", first, 9.0) >= LATE_S

    _run(scenario)


def test_no_hedge_while_half_of_the_last_calls_were_late() -> None:
    """Upstreams that report no load look free and quick when the whole service turns slow."""

    async def scenario() -> None:
        fixture = _Fixture(ratio=0.5, zones=("a", "a", "a", "b", "b"))
        await fixture.serve_usual_calls()
        hedged = []
        for _ in range(12):
            call, first, second = await fixture.hedge_late_call()
            hedged.append(second is not None)
            if second is not None:
                fixture.answer(call, second, fixture.create_demand())
            fixture.cancel(call, first, fixture.create_demand())
        assert hedged[:4] == [True] * 4
        assert hedged[-4:] == [False] * 4
        await fixture.serve_usual_calls(10)
        assert (await fixture.hedge_late_call())[2] is not None

    _run(scenario)


def test_no_hedge_that_is_expected_to_be_late_itself() -> None:
    async def scenario() -> None:
        fixture = _Fixture()
        await fixture.serve_usual_calls()
        demand = fixture.create_demand()
        call, first = await fixture.begin(demand)
        await asyncio.sleep(LATE_S)
        now = asyncio.get_running_loop().time()
        for state in fixture.dispatcher.states:
            slowdown = 1.0 if state is first.state else 1.5
            reading = LoadReading(0, 0, fixture.slots, slowdown, now)
            fixture.dispatcher.apply_reading(state, reading)
        assert fixture.try_hedge(call, first, demand) is None

    _run(scenario)


def test_upstreams_read_as_slow_get_no_hedge() -> None:
    """Also a call whose own upstream is slower yet: all are slow then, or the others are full."""

    async def scenario() -> None:
        fixture = _Fixture()
        await fixture.serve_usual_calls()
        call, first = await fixture.begin(fixture.create_demand())
        await asyncio.sleep(LATE_S)
        now = asyncio.get_running_loop().time()
        demand = fixture.create_demand(target_at=now)
        for slowdown, is_hedged in ((3.0, False), (1.0, True)):
            for state in fixture.dispatcher.states:
                own = 7.0 if state is first.state else slowdown
                reading = LoadReading(0, 0, fixture.slots, own, now + 0.001 / slowdown)
                fixture.dispatcher.apply_reading(state, reading)
            assert (fixture.try_hedge(call, first, demand) is not None) == is_hedged

    _run(scenario)


@pytest.mark.parametrize(
    ("ratio", "quantile"), [(0.0, 0.99), (0.02, 0.985), (0.05, 0.9625), (0.1, 0.95), (1.0, 0.95)]
)
def test_quantile_leaves_as_many_calls_as_the_limit_allows(ratio: float, quantile: float) -> None:
    assert quantile_of(ratio) == pytest.approx(quantile)


def test_hedges_that_never_win_end_in_rare_trials_until_one_wins() -> None:
    wins = WinRecord()
    now = 0.0
    sent_at = []
    while now < 600.0:
        if wins.allows(now):
            sent_at.append(now)
            wins.record_sent(now)
            wins.record_outcome(False, now)
        now += 0.5
    assert len([at for at in sent_at if at < 10.0]) <= 12
    trials = [at for at in sent_at if at >= 120.0]
    assert len(trials) <= 480.0 / MAX_TRIAL_INTERVAL_S + 1
    for _ in range(3):
        wins.record_outcome(True, now)
    assert wins.allows(now)
    assert wins.trial_interval_s == MIN_TRIAL_INTERVAL_S


def test_p99_of_upstreams_with_unreported_slow_periods_falls_with_the_ratio() -> None:
    """Hedges by load readings don't see these; 10% of the time, up to sevenfold, 0.3 to 0.7 s."""
    p99 = {ratio: replay_hedging(replace(UNREAD, ratio=ratio)) for ratio in (0.0, 0.05, 0.1)}
    assert p99[0.1].percentile_s(99) < 0.92 * p99[0.0].percentile_s(99)
    assert p99[0.1].late < 0.6 * p99[0.0].late
    assert p99[0.05].late < 0.8 * p99[0.0].late


def test_p99_of_upstreams_that_report_slow_periods_is_kept_within_a_limit() -> None:
    """Without a limit these get 0.017 hedges per call; 0.05 must not cut what these gain."""
    without = replay_hedging(TRANSIENT)
    limited = replay_hedging(replace(TRANSIENT, ratio=0.05))
    assert limited.percentile_s(99) <= 1.05 * without.percentile_s(99)
    assert limited.percentile_s(99.9) <= 1.1 * without.percentile_s(99.9)


@pytest.mark.parametrize("ratio", [0.02, 0.05, 0.1])
def test_limit_holds_in_every_window_over_all_instances(ratio: float) -> None:
    """Demand swings by 55%, so a window may have many hedges of the calls of a busier time."""
    pattern = replace(UNREAD, ratio=ratio, homes=4, swing=0.55)
    replay = replay_hedging(pattern)
    assert len(replay.hedged_at) > 30
    assert replay.most_in_window() <= ratio
    assert replay.most_in_any_window() <= ratio


@pytest.mark.parametrize("reads_load", [True, False])
def test_slow_service_gets_no_hedges(reads_load: bool) -> None:
    """All upstreams turn slow, at a load at which slots stay free."""
    pattern = HedgePattern(
        ratio=0.1,
        calls_per_s=40.0,
        slow_share=0.0,
        reads_load=reads_load,
        slow_from_s=5.0,
        slow_until_s=15.0,
        seconds=20.0,
    )
    replay = replay_hedging(pattern)
    assert replay.hedges_between(7.0, 15.0) == 0
    assert replay.hedges_between(5.0, 7.0) <= (0 if reads_load else 6)


def test_slow_zone_gets_no_hedges() -> None:
    pattern = HedgePattern(
        ratio=0.1,
        calls_per_s=100.0,
        zones=3,
        slow_share=0.0,
        reads_load=False,
        slow_zone="b",
        slow_from_s=5.0,
        seconds=25.0,
    )
    replay = replay_hedging(pattern)
    assert replay.hedge_zones["b", "b"] <= 0.1 * replay.hedge_zones.total()


def test_hedges_stop_on_a_route_whose_requests_take_long_anywhere() -> None:
    """Three in a hundred take seven times as long; without a limit each of them is hedged."""
    without = replay_hedging(LONG_REQUESTS)
    limited = replay_hedging(replace(LONG_REQUESTS, ratio=0.1))
    assert without.extra > 0.025
    assert limited.hedges_between(0.0, 30.0) <= 2 * 0.0025 * len(limited.durations_s)
    assert limited.events["hedges_won"] <= 0.1 * limited.events["hedges_lost"]


def test_calls_that_wait_for_slots_come_before_hedges() -> None:
    """At 80% of the slots; hedges must not cause refusals or later answers."""
    busy = replace(TRANSIENT, calls_per_s=400.0)
    without = replay_hedging(busy)
    limited = replay_hedging(replace(busy, ratio=0.1))
    assert limited.hedged_at
    assert limited.hedges_while_calls_wait == 0
    assert limited.refused <= 1.1 * without.refused
    assert limited.percentile_s(95) <= 1.05 * without.percentile_s(95)
