"""Tests of the explanation of a placement; each names the failure that it guards against."""

from __future__ import annotations

import asyncio
import math
import random
from typing import TYPE_CHECKING, Any

import pytest

from heatherhead.dispatch.dispatcher import Dispatcher, create_dispatcher
from heatherhead.dispatch.explanation import CostPart, ExclusionCode, Outcome, Standing
from heatherhead.dispatch.rate_limits import RateLimitEvidence
from heatherhead.dispatch.rejection import RejectedError
from heatherhead.dispatch.upstream_state import LoadReading
from heatherhead.tests.base import run_with_paused_clock
from heatherhead.tests.dispatch.fakes import create_demand, create_entry
from heatherhead.tests.state_snapshot import snapshot

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from heatherhead.dispatch.demand import Demand
    from heatherhead.dispatch.explanation import Candidate
    from heatherhead.dispatch.upstream_state import UpstreamState

REGION_BY_ZONE = {"a": "near", "b": "near", "c": "far", "d": "far", "e": "third"}
ALL = (None, frozenset({"near"}), frozenset({"far"}), frozenset({"far", "third"}))


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> Callable[[], None]:
    """Run a test on a paused clock."""

    def run_test() -> None:
        run_with_paused_clock(_ended(test()))

    run_test.__doc__ = test.__doc__
    return run_test


async def _ended(scenario: Coroutine[Any, Any, None]) -> None:
    """Run a scenario, then end the calls that still wait."""
    await scenario
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _now() -> float:
    return asyncio.get_running_loop().time()


def _dispatcher(zones: str, slots: int = 2) -> Dispatcher:
    """Create a dispatcher in zone a with an idle upstream for each letter of `zones`."""
    dispatcher = create_dispatcher("a", REGION_BY_ZONE, 0.2, 10.0, 25.0)
    for number, zone in enumerate(zones):
        dispatcher.on_entry(None, create_entry(f"{zone}{number}", zone, slots))
    for state in dispatcher.states:
        dispatcher.apply_reading(state, LoadReading(0, 0, slots, 1.0, _now()))
    return dispatcher


def _demand(regions: frozenset[str] | None = None, **changes: Any) -> Demand:
    return create_demand(_now(), regions=regions, **changes)


def _state(dispatcher: Dispatcher, name: str) -> UpstreamState:
    state = dispatcher.state(name)
    assert state is not None
    return state


def _candidate(dispatcher: Dispatcher, name: str, demand: Demand) -> Candidate:
    explained = dispatcher.explain(demand)
    return next(each for each in explained.candidates if each.state.entry.id == name)


def _codes(dispatcher: Dispatcher, name: str, demand: Demand) -> list[ExclusionCode]:
    candidate = _candidate(dispatcher, name, demand)
    assert (candidate.standing is Standing.EXCLUDED) == bool(candidate.exclusions)
    assert (candidate.cost_s is None) == bool(candidate.exclusions)
    return [each.code for each in candidate.exclusions]


def _start_waiting(dispatcher: Dispatcher, demand: Demand) -> asyncio.Task[Any]:
    return asyncio.get_running_loop().create_task(dispatcher.acquire(demand, ()))


async def _real_end(dispatcher: Dispatcher, demand: Demand) -> tuple[Outcome, str, float | None]:
    """Make a call; return how it ends at once, with its upstream or reason and its Retry-After."""
    task = _start_waiting(dispatcher, demand)
    await asyncio.sleep(0)
    if not task.done():
        return Outcome.WAITS, "", None
    try:
        return Outcome.ADMITTED, task.result().state.entry.id, None
    except RejectedError as error:
        return Outcome.REJECTED, error.reason, error.retry_after_s


async def _explained_end(
    dispatcher: Dispatcher, demand: Demand
) -> tuple[Outcome, str, float | None]:
    explained = dispatcher.explain(demand)
    forecast = explained.forecast
    if forecast.outcome is Outcome.WAITS:
        assert forecast.chosen is None
        return Outcome.WAITS, "", None
    if forecast.outcome is Outcome.REJECTED:
        return Outcome.REJECTED, forecast.reason, forecast.retry_after_s
    first = explained.candidates[0]
    assert first.state is forecast.chosen
    assert first.standing is Standing.CHOSEN
    return Outcome.ADMITTED, first.state.entry.id, None


@pytest.mark.parametrize("seed", range(12))
def test_call_made_right_after_ends_as_explained(seed: int) -> None:
    """Guards against an explanation by other rules than those of a call."""

    async def scenario() -> None:
        chooser = random.Random(seed)
        dispatcher = _dispatcher("aabcde", slots=chooser.choice((1, 2)))
        if seed % 3 == 0:
            dispatcher.set_evacuated_zones(frozenset({"a", "b"}))
        ends = set()
        for _ in range(40):
            for state in dispatcher.states:
                state.transit_s = chooser.uniform(0.001, 0.05)
                slowdown = chooser.choice((1.0, 1.3, 4.0))
                running = chooser.randint(0, state.entry.slots)
                reading = LoadReading(running, 0, state.entry.slots, slowdown, _now())
                dispatcher.apply_reading(state, reading)
            changes = {
                "priority": chooser.randint(0, 2),
                "give_up_at": _now() + chooser.choice((0.1, 0.3, 1.0)),
                "size_bytes": chooser.choice((1_000, 200_000)),
                "waited_before_s": chooser.choice((0.0, 0.1)),
            }
            regions = chooser.choice(ALL)
            explained = await _explained_end(dispatcher, _demand(regions, **changes))
            real = await _real_end(dispatcher, _demand(regions, **changes))
            assert explained == real
            ends.add(real[0])
            await asyncio.sleep(0.015)
        assert Outcome.ADMITTED in ends
        assert len(ends) > 1

    run_with_paused_clock(_ended(scenario()))


@run
async def test_costs_sum_up_and_order_the_candidates() -> None:
    """Guards against a list whose order or parts are not those of the decision."""
    dispatcher = _dispatcher("aabce")
    _state(dispatcher, "a1").own_in_flight = 2
    candidates = dispatcher.explain(_demand()).candidates
    costs = [each.cost_s for each in candidates if each.cost_s is not None]
    assert costs == sorted(costs)
    assert len(costs) == 5
    for each in candidates:
        assert each.cost_s == pytest.approx(sum(each.cost_by_part.values()))
    standing_by_id = {each.state.entry.id: each.standing for each in candidates}
    assert standing_by_id["a0"] is Standing.CHOSEN
    assert standing_by_id["a1"] is Standing.FULL
    full = _candidate(dispatcher, "a1", _demand())
    assert full.reason.startswith(CostPart.SLOT.value)
    assert _candidate(dispatcher, "a0", _demand()).reason == "least cost"
    large = _candidate(dispatcher, "c3", _demand(size_bytes=500_000))
    assert large.reason.startswith(CostPart.BYTES.value)


@run
async def test_asking_a_hundred_times_changes_nothing() -> None:
    """Guards against slots, permits, groups, arrivals or random numbers used by an explanation."""
    dispatcher = _dispatcher("a" * 70 + "bcde")
    permits = _state(dispatcher, "b70")
    dispatcher.record_rate_limit(permits, RateLimitEvidence(2.0, _now()))
    dispatcher.add_permits(permits, 2)
    requested: list[UpstreamState] = []
    dispatcher.may_request = dispatcher.may_request_warmup = lambda _: True
    dispatcher.request_permits = requested.append
    dispatcher.budget("stock").record_call(_now())
    for _ in range(160):
        dispatcher.try_acquire(_demand(), ())
    for regions in (*ALL, frozenset({"third"})):
        for _ in range(3):
            _start_waiting(dispatcher, _demand(regions))
    await asyncio.sleep(0)
    requested.clear()
    before = snapshot(dispatcher)
    kinds = set()
    for number in range(100):
        regions = (*ALL, frozenset({"near", "third"}), frozenset())[number % 6]
        demand = _demand(regions, priority=number % 4, work_s=0.06 + number % 3)
        kinds.add(dispatcher.explain(demand).forecast.outcome)
        dispatcher.explain(create_demand(_now(), service="unheard"))
    assert snapshot(dispatcher) == before
    assert not requested
    assert Outcome.REJECTED in kinds


@run
async def test_snapshot_notices_what_a_call_changes() -> None:
    """Guards against a comparison that sees no change, so that the test above can't fail."""
    dispatcher = _dispatcher("abc")
    changes: list[Callable[[], object]] = [
        lambda: dispatcher.try_acquire(_demand(), ()),
        lambda: dispatcher.try_acquire(_demand(frozenset({"far"})), ()),
        lambda: dispatcher.budget("stock").try_spend(_now(), _demand()),
        lambda: dispatcher.budget("other"),
        lambda: random.random(),
        lambda: dispatcher._service("stock").retry_after.next_retry_after_s(_now(), 1.0, 1.0),
        lambda: dispatcher._service("stock").arrival_rate.record(_now()),
    ]
    for change in changes:
        before = snapshot(dispatcher)
        change()
        assert snapshot(dispatcher) != before


@run
async def test_each_reason_for_exclusion_is_named() -> None:
    """Guards against an upstream that gets no calls while the operator isn't told why."""
    dispatcher = _dispatcher("aabcde")
    ejected, misdirected = _state(dispatcher, "a0"), _state(dispatcher, "a1")
    ejected.eject(_now())
    misdirected.misdirected = True
    dispatcher.record_pause(_state(dispatcher, "b2").entry, 3.0)
    dispatcher.record_pause(_state(dispatcher, "c3").entry, math.inf)
    dispatcher.set_evacuated_zones(frozenset({"d"}))
    dispatcher.record_rate_limit(_state(dispatcher, "e5"), RateLimitEvidence(2.0, _now()))
    demand = _demand()
    assert _codes(dispatcher, "a0", demand) == [ExclusionCode.EJECTED]
    assert _codes(dispatcher, "a1", demand) == [ExclusionCode.MISDIRECTED]
    assert _codes(dispatcher, "b2", demand) == [ExclusionCode.PAUSED]
    assert _codes(dispatcher, "c3", demand) == [ExclusionCode.LEAVES]
    assert _codes(dispatcher, "d4", demand) == [ExclusionCode.EVACUATED_ZONE]
    assert _codes(dispatcher, "e5", demand) == [ExclusionCode.NO_PERMIT]
    confined = _demand(frozenset({"third"}))
    assert _codes(dispatcher, "a0", confined) == [
        ExclusionCode.REGION_NOT_ALLOWED,
        ExclusionCode.EJECTED,
    ]
    detail = _candidate(dispatcher, "b2", demand).exclusions[0].detail
    assert detail == "paused for 3.000 s, by its own answer"


@run
async def test_cold_upstream_without_permit_and_too_slow_one_are_excluded() -> None:
    """Guards against a cold upstream or a hopelessly slow one that is listed as a choice."""
    dispatcher = _dispatcher("ab")
    dispatcher.warmups.calls_per_s = lambda _: 3.7
    cold = create_entry("b1", "b", 2, warmup_left_s=3.0, revision=2, sequence=2)
    dispatcher.on_entry(_state(dispatcher, "b1").entry, cold)
    assert _codes(dispatcher, "b1", _demand()) == [ExclusionCode.COLD]
    dispatcher.add_permits(_state(dispatcher, "b1"), 1)
    assert _codes(dispatcher, "b1", _demand()) == []
    assert _candidate(dispatcher, "b1", _demand()).cold_left_s == pytest.approx(3.0)
    slow = LoadReading(0, 0, 2, 40.0, _now() + 0.001)
    dispatcher.apply_reading(_state(dispatcher, "a0"), slow)
    assert _codes(dispatcher, "a0", _demand()) == [ExclusionCode.TOO_SLOW]


@run
async def test_permit_that_a_call_would_request_is_named_and_not_requested() -> None:
    """Guards against an explanation that rejects a call which would wait for a permit."""
    dispatcher = _dispatcher("a")
    requested: list[UpstreamState] = []
    dispatcher.may_request = lambda _: True
    dispatcher.request_permits = requested.append
    dispatcher.record_rate_limit(_state(dispatcher, "a0"), RateLimitEvidence(2.0, _now()))
    forecast = dispatcher.explain(_demand()).forecast
    assert forecast.outcome is Outcome.WAITS
    assert forecast.permits_of == ("a0",)
    assert not requested


@run
async def test_wait_names_the_calls_ahead_and_its_length() -> None:
    """Guards against a forecast for another place in the queue than the call would get."""
    dispatcher = _dispatcher("a")
    dispatcher.try_acquire(_demand(), ())
    dispatcher.try_acquire(_demand(), ())
    for _ in range(2):
        _start_waiting(dispatcher, _demand())
    await asyncio.sleep(0)
    urgent = dispatcher.explain(_demand(priority=0)).forecast
    equal = dispatcher.explain(_demand()).forecast
    assert (urgent.outcome, urgent.ahead) == (Outcome.WAITS, 0)
    assert (equal.outcome, equal.ahead) == (Outcome.WAITS, 2)
    assert urgent.wait_s is not None
    assert equal.wait_s is not None
    assert 0 < urgent.wait_s < equal.wait_s


@run
async def test_late_call_counts_its_own_arrival() -> None:
    """Guards against a shorter wait than that by which a call itself is judged."""
    dispatcher = _dispatcher("a")
    dispatcher.try_acquire(_demand(), ())
    dispatcher.try_acquire(_demand(), ())
    for _ in range(3):
        forecast = dispatcher.explain(_demand(target_at=_now())).forecast
        # Two slots of 60 ms, less the part that calls on time leave of one arrival a second.
        assert forecast.wait_s == pytest.approx(1 / (2 / 0.06 - 0.85))


@run
async def test_upstreams_of_others_are_told_from_those_filled_first() -> None:
    """Guards against a free upstream above the chosen one that a call doesn't look at."""
    dispatcher = _dispatcher("a" * 70 + "c")
    explained = dispatcher.explain(_demand())
    assert explained.candidates[0].standing is Standing.CHOSEN
    assert explained.candidates[-1].standing is Standing.NOT_COMPARED
    dispatcher.set_share((0, 2), lambda state: state.entry.id in ("a0", "a1"), 2)
    for _ in range(4):
        dispatcher.try_acquire(_demand(), ())
    beyond = dispatcher.explain(_demand()).forecast
    assert beyond.outcome is Outcome.ADMITTED
    assert beyond.sampled_of == 69
    standing = {each.standing for each in dispatcher.explain(_demand()).candidates}
    assert standing == {Standing.CHOSEN, Standing.FREE, Standing.FULL}


@run
async def test_service_without_upstreams_is_rejected_and_not_created() -> None:
    """Guards against a question that leaves state of a service behind."""
    dispatcher = _dispatcher("a")
    explained = dispatcher.explain(create_demand(_now(), service="unheard"))
    assert explained.forecast.outcome is Outcome.REJECTED
    assert explained.forecast.reason == "no upstream"
    assert explained.forecast.retry_after_s
    assert explained.candidates == []
    assert explained.budget_left == 25.0
    assert "unheard" not in dispatcher._service_by_name
