"""Tests of calls that may run in some regions only; each names the failure that it guards against."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from typing import TYPE_CHECKING, Any

import pytest

from heatherhead.dispatch.dispatcher import Dispatcher, create_dispatcher
from heatherhead.dispatch.rate_limits import RateLimitEvidence
from heatherhead.dispatch.regions import RegionLoad, region_fields
from heatherhead.dispatch.rejection import RejectedError
from heatherhead.dispatch.upstream_state import LoadReading
from heatherhead.tests.base import run_with_paused_clock
from heatherhead.tests.dispatch.fakes import create_demand, create_entry

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from heatherhead.dispatch.demand import Demand
    from heatherhead.dispatch.dispatcher import Slot
    from heatherhead.dispatch.upstream_state import UpstreamState

REGION_BY_ZONE = {"a": "near", "b": "near", "c": "far", "d": "far", "e": "third"}
NEAR, FAR, THIRD = (frozenset({each}) for each in ("near", "far", "third"))


def _dispatcher(zones: str, slots: int = 2) -> Dispatcher:
    """Create a dispatcher in zone a with an idle upstream for each letter of `zones`."""
    dispatcher = create_dispatcher("a", REGION_BY_ZONE, 0.2, 10.0, 25.0)
    for number, zone in enumerate(zones):
        dispatcher.on_entry(None, create_entry(f"{zone}{number}", zone, slots))
    _read(dispatcher)
    return dispatcher


def _read(dispatcher: Dispatcher, running: int = 0) -> None:
    now = asyncio.get_running_loop().time()
    for state in dispatcher.states:
        reading = LoadReading(running, 0, state.entry.slots, 1.0, now)
        dispatcher.apply_reading(state, reading)


def _demand(regions: frozenset[str] | None = None, **changes: Any) -> Demand:
    return create_demand(asyncio.get_running_loop().time(), regions=regions, **changes)


def _fill(dispatcher: Dispatcher, regions: frozenset[str] | None = None) -> list[Slot]:
    """Take all slots that calls with some regions may use."""
    slots = []
    while (slot := dispatcher.try_acquire(_demand(regions), ())) is not None:
        slots.append(slot)
    return slots


async def _rejection(
    dispatcher: Dispatcher, regions: frozenset[str] | None, **changes: Any
) -> RejectedError:
    """Return why a call is rejected; it must be so without waiting."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    with pytest.raises(RejectedError) as caught:
        await dispatcher.acquire(_demand(regions, **changes), ())
    assert loop.time() == began
    return caught.value


def _wait_for_slot(
    dispatcher: Dispatcher, regions: frozenset[str] | None, **changes: Any
) -> asyncio.Task[Slot]:
    demand = _demand(regions, **changes)
    return asyncio.get_running_loop().create_task(dispatcher.acquire(demand, ()))


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> Callable[[], None]:
    """Run a test on a paused clock."""

    def run_test() -> None:
        run_with_paused_clock(test())

    run_test.__doc__ = test.__doc__
    return run_test


@run
async def test_call_runs_in_its_regions_only() -> None:
    """Guards against an upstream of another region being chosen, as it is nearer and idle."""
    dispatcher = _dispatcher("aabcde")
    taken = Counter(slot.state.region for slot in _fill(dispatcher, FAR | THIRD))
    assert taken == {"far": 4, "third": 2}


@run
async def test_upstream_of_an_unknown_zone_serves_no_restricted_call() -> None:
    """Guards against a zone without a region counting as one of the allowed regions."""
    dispatcher = _dispatcher("x")
    await _rejection(dispatcher, NEAR)
    assert dispatcher.try_acquire(_demand(), ()) is not None


@run
async def test_calls_without_restriction_create_no_groups() -> None:
    """Guards against work on the path of calls that may run anywhere."""
    dispatcher = _dispatcher("aace")
    _fill(dispatcher)
    waiting = _wait_for_slot(dispatcher, None, work_s=0.01)
    await asyncio.sleep(0.05)
    _read(dispatcher)
    assert not dispatcher._service("stock").groups
    waiting.cancel()


@run
async def test_waiting_call_holds_up_no_call_with_other_regions() -> None:
    """Guards against a queue in which the first call, whose region is full, blocks all others."""
    dispatcher = _dispatcher("ace")
    _fill(dispatcher, FAR)
    first = _wait_for_slot(dispatcher, FAR)
    await asyncio.sleep(0)
    assert dispatcher.try_acquire(_demand(THIRD), ()) is not None
    assert dispatcher.try_acquire(_demand(FAR | THIRD), ()) is not None
    assert dispatcher.try_acquire(_demand(), ()) is not None
    assert not first.done()
    first.cancel()


@run
async def test_free_slot_goes_to_the_first_waiting_call_that_may_use_it() -> None:
    """Guards against a slot that stays free because the first waiting call may not use it."""
    dispatcher = _dispatcher("ace")
    slots = _fill(dispatcher, FAR) + _fill(dispatcher, THIRD)
    first = _wait_for_slot(dispatcher, FAR, priority=0)
    await asyncio.sleep(0)
    second = _wait_for_slot(dispatcher, THIRD)
    third = _wait_for_slot(dispatcher, THIRD, target_at=asyncio.get_running_loop().time() + 0.3)
    await asyncio.sleep(0)
    assert not (first.done() or second.done() or third.done())
    dispatcher.release(next(each for each in slots if each.state.region == "third"))
    await asyncio.sleep(0)
    assert second.done()
    assert second.result().state.region == "third"
    assert not first.done()
    assert not third.done()
    first.cancel()
    third.cancel()


@run
async def test_overflow_sample_is_drawn_from_the_allowed_upstreams() -> None:
    """Guards against a sample of 8 of 200 that has no allowed one, so that the call waits."""
    dispatcher = _dispatcher("a" * 100 + "e" * 100 + "c")
    for _ in range(2):
        slot = dispatcher.try_acquire(_demand(FAR), ())
        assert slot is not None
        assert slot.state.region == "far"


@run
async def test_upstreams_beyond_the_own_part_are_used_when_that_is_full() -> None:
    """Guards against calls for the local region that leave out the upstreams of other cells."""
    dispatcher = _dispatcher("a" * 4 + "c" * 2, slots=1)
    dispatcher.set_share((0, 2), lambda state: state.entry.id in ("a0", "a1"), 2)
    taken = [slot.state.entry.id for slot in _fill(dispatcher, NEAR)]
    assert set(taken[:2]) == {"a0", "a1"}
    assert set(taken) == {"a0", "a1", "a2", "a3"}


@run
async def test_waiting_call_gets_a_slot_of_an_upstream_that_others_fill_first() -> None:
    """Guards against waiting calls that look only at the local upstreams of a large service."""
    dispatcher = _dispatcher("a" * 70 + "c")
    slots = _fill(dispatcher, FAR)
    waiting = _wait_for_slot(dispatcher, FAR)
    await asyncio.sleep(0)
    dispatcher.release(slots[0])
    await asyncio.sleep(0)
    assert waiting.done()


@run
async def test_hedge_goes_to_an_allowed_upstream_or_is_left() -> None:
    """Guards against a second attempt in a region that is not allowed."""
    dispatcher = _dispatcher("aac")
    slot = dispatcher.try_acquire(_demand(FAR), ())
    assert slot is not None
    tried = {slot.state.entry.id}
    assert dispatcher.expected_elsewhere_s(_demand(FAR), tried) is None
    assert dispatcher.try_acquire(_demand(FAR), tried) is None
    assert dispatcher.expected_elsewhere_s(_demand(), tried) is not None


@run
async def test_hedges_yield_only_to_calls_that_wait_for_the_same_slots() -> None:
    """Guards against a full region that ends hedging in all others."""
    dispatcher = _dispatcher("aac")
    _fill(dispatcher, FAR)
    waiting = _wait_for_slot(dispatcher, FAR)
    await asyncio.sleep(0)
    assert dispatcher.expected_elsewhere_s(_demand(), ()) is not None
    assert dispatcher.expected_elsewhere_s(_demand(NEAR), ()) is not None
    assert dispatcher.expected_elsewhere_s(_demand(FAR), ()) is None
    waiting.cancel()


def _limit(dispatcher: Dispatcher, calls_per_s: float = 20.0) -> list[str]:
    """Let all upstreams name a rate limit; return the list of requests for permits."""
    requested: list[str] = []
    dispatcher.may_request = lambda _: True
    dispatcher.request_permits = lambda state: requested.append(state.entry.id)
    now = asyncio.get_running_loop().time()
    for state in dispatcher.states:
        dispatcher.record_rate_limit(state, RateLimitEvidence(calls_per_s, now))
    return requested


@run
async def test_permits_are_requested_of_allowed_upstreams_only() -> None:
    """Guards against permits that are requested and never used, and so lost to other instances."""
    dispatcher = _dispatcher("ac")
    requested = _limit(dispatcher)
    dispatcher.try_acquire(_demand(FAR), ())
    assert set(requested) == {"c1"}


@run
async def test_permits_are_requested_for_each_group_of_waiting_calls() -> None:
    """Guards against a first waiting call whose regions keep requests of all others back."""
    dispatcher = _dispatcher("ace")
    requested = _limit(dispatcher)
    waiting = [_wait_for_slot(dispatcher, each) for each in (FAR, THIRD)]
    await asyncio.sleep(0)
    requested.clear()
    await asyncio.sleep(0.1)
    assert set(requested) == {"c1", "e2"}
    for each in waiting:
        each.cancel()


@run
async def test_upstreams_of_other_regions_keep_no_call_from_a_detour() -> None:
    """Guards against calls that wait for ejected upstreams, as others are in reach."""
    dispatcher = _dispatcher("acc")
    now = asyncio.get_running_loop().time()
    for state in dispatcher.states:
        if state.region == "far":
            state.eject(now)
    assert dispatcher.all_unreachable("stock", FAR)
    assert not dispatcher.all_unreachable("stock", NEAR | FAR)
    assert not dispatcher.all_unreachable("stock")


@run
async def test_call_that_no_region_may_serve_is_no_reason_for_a_detour() -> None:
    """Guards against bodies sent to peers that have no upstream for them either."""
    dispatcher = _dispatcher("a")
    assert not dispatcher.all_unreachable("stock", frozenset())
    assert not dispatcher.all_unreachable("stock", FAR)


@run
async def test_call_without_an_upstream_is_rejected_at_once() -> None:
    """Guards against calls that wait until their caller gives up, though nothing can serve them."""
    dispatcher = _dispatcher("aac")
    assert (await _rejection(dispatcher, frozenset())).reason == "no region is allowed"
    reason = (await _rejection(dispatcher, THIRD)).reason
    assert reason == "no upstream is in the allowed regions"
    leaving = dispatcher.state("c2")
    assert leaving is not None
    dispatcher.record_pause(leaving.entry, math.inf)
    await _rejection(dispatcher, FAR)


@run
async def test_waiting_call_is_rejected_when_its_last_upstream_goes() -> None:
    """Guards against a call that waits for a region that has been lost meanwhile."""
    dispatcher = _dispatcher("aac")
    _fill(dispatcher, FAR)
    waiting = _wait_for_slot(dispatcher, FAR)
    await asyncio.sleep(0.01)
    dispatcher.on_entry(create_entry("c2", "c", 2), None)
    await asyncio.sleep(0.03)
    error = waiting.exception()
    assert isinstance(error, RejectedError)
    assert error.reason == "no upstream is in the allowed regions"


@run
async def test_call_waits_while_its_upstreams_are_full() -> None:
    """Guards against rejecting at once where a slot will soon be free."""
    dispatcher = _dispatcher("aac")
    slots = _fill(dispatcher, FAR)
    waiting = _wait_for_slot(dispatcher, FAR)
    await asyncio.sleep(0.05)
    dispatcher.release(slots[0])
    await asyncio.sleep(0)
    assert waiting.result().state.region == "far"


@run
async def test_slots_of_the_local_region_promise_nothing_to_other_calls() -> None:
    """Guards against calls that wait in vain: the estimate had the slots of the local region."""
    dispatcher = _dispatcher("a" * 30 + "c", slots=1)
    _fill(dispatcher, FAR)
    waiting = [
        _wait_for_slot(dispatcher, FAR, work_s=0.3, target_at=asyncio.get_running_loop().time() + 1)
        for _ in range(6)
    ]
    await asyncio.sleep(0)
    rejected = [each for each in waiting if each.done() and each.exception()]
    assert 2 <= len(rejected) <= 4  # one slot serves about three calls of 0.3 s within a second
    for each in waiting:
        each.cancel()


@run
async def test_calls_in_flight_elsewhere_are_no_capacity_of_the_local_region() -> None:
    """Guards against calls kept waiting because calls of other groups have slots elsewhere."""
    dispatcher = _dispatcher("a" + "c" * 30, slots=1)
    confined = _fill(dispatcher, FAR)
    service = dispatcher._service("stock")
    assert service.capacity(asyncio.get_running_loop().time(), 1).slots <= 1.0
    for slot in confined:
        dispatcher.release(slot)
    assert not any(state.own_confined for state in dispatcher.states)


@run
async def test_slots_in_flight_count_as_capacity_of_their_group() -> None:
    """Guards against rejections by a fair share that is less than what the instance has."""
    dispatcher = _dispatcher("a" + "c" * 4, slots=2)
    dispatcher.set_share((0, 1), lambda _: True, 4)
    now = asyncio.get_running_loop().time()
    service = dispatcher._service("stock")
    before = dispatcher._capacity(service, FAR, now)
    _fill(dispatcher, FAR)
    after = dispatcher._capacity(service, FAR, now)
    assert 0.5 <= before.slots < 3.0
    assert after.slots == pytest.approx(8.0)


@run
async def test_room_that_others_leave_is_shared_by_the_homes_of_this_region() -> None:
    """Guards against a fair share that stays small while the homes of a region leave it idle."""
    dispatcher = _dispatcher("a" + "c" * 10, slots=2)
    dispatcher.set_share((0, 1), lambda _: True, 2)
    service = dispatcher._service("stock")
    dispatcher.try_acquire(_demand(FAR), ())
    for _ in range(30):
        await asyncio.sleep(0.01)
        _read(dispatcher, running=0)
    now = asyncio.get_running_loop().time()
    idle = dispatcher._capacity(service, FAR, now).slots
    for _ in range(30):
        await asyncio.sleep(0.01)
        _read(dispatcher, running=2)
    busy = dispatcher._capacity(service, FAR, asyncio.get_running_loop().time()).slots
    assert idle == pytest.approx(10.0, abs=0.5)
    assert busy == pytest.approx(20 / 6, abs=0.5)  # of three regions with two homes each


@run
async def test_waiting_calls_of_other_regions_are_not_ahead() -> None:
    """Guards against rejections for a queue that waits for other slots."""
    dispatcher = _dispatcher("aace", slots=1)
    _fill(dispatcher)
    _fill(dispatcher, FAR)
    waiting = [_wait_for_slot(dispatcher, FAR, give_up_at=math.inf) for _ in range(40)]
    await asyncio.sleep(0)
    service = dispatcher._service("stock")
    now = asyncio.get_running_loop().time()
    assert service.queue.restricted == len(service.queue) == 40
    assert service.ahead_of(_demand(FAR), now) == 40
    assert service.ahead_of(_demand(FAR | THIRD), now) == 40
    assert service.ahead_of(_demand(THIRD), now) == 0
    assert service.ahead_of(_demand(), now) == 0
    for each in waiting:
        each.cancel()
    await asyncio.sleep(0)
    assert service.queue.restricted == 0


@run
async def test_evidence_of_a_rejection_counts_the_allowed_upstreams() -> None:
    """Guards against log lines that show free upstreams which the call may not use."""
    dispatcher = _dispatcher("aaaac", slots=1)
    _fill(dispatcher, FAR)
    error = await _rejection(
        dispatcher, FAR, give_up_at=asyncio.get_running_loop().time() + 0.05, proven_work_s=0.1
    )
    assert (error.evidence.upstreams, error.evidence.free) == (1, 0)


@run
async def test_region_with_room_is_preferred_while_readings_are_old() -> None:
    """Guards against calls for a full region, as nothing recent is known of its upstreams."""
    dispatcher = _dispatcher("a" + "c" * 10 + "e" * 10)
    dispatcher.try_acquire(_demand(FAR | THIRD), ())  # from now on, the load of regions is recorded
    await asyncio.sleep(0.1)
    now = asyncio.get_running_loop().time()
    for state in dispatcher.states:
        busy = 2 if state.region == "far" else 0
        dispatcher.apply_reading(state, LoadReading(busy, 0, 2, 1.0, now))
    await asyncio.sleep(1.0)
    taken: Counter[str | None] = Counter()
    for _ in range(10):
        slot = dispatcher.try_acquire(_demand(FAR | THIRD), ())
        assert slot is not None
        taken[slot.state.region] += 1
    assert taken["third"] >= 9


@run
async def test_instances_begin_with_different_upstreams() -> None:
    """Guards against all instances sending their first calls to the same upstream."""
    first: Counter[str] = Counter()
    for _ in range(60):
        dispatcher = _dispatcher("a" + "c" * 6)
        slot = dispatcher.try_acquire(_demand(FAR), ())
        assert slot is not None
        first[slot.state.entry.id] += 1
    assert len(first) >= 4
    assert max(first.values()) <= 30


def test_load_of_a_region_without_answers_becomes_unknown() -> None:
    """Guards against a region that gets no calls, and so no correction, for one full moment."""
    load = RegionLoad(share=1.0, recorded_at=100.0)
    assert load.share_now(100.0) == 1.0
    assert load.share_now(110.0) < 0.55


def test_call_that_has_no_region_limit_logs_none() -> None:
    """Guards against changed log lines where no restriction is configured."""
    assert region_fields(None) == {}
    assert region_fields(frozenset({"b", "a"})) == {"regions": "a,b"}


@run
async def test_permits_for_other_regions_keep_a_call_from_requesting_its_own() -> None:
    """Guards against calls that wait for cold upstreams elsewhere being counted as provided for."""
    dispatcher = _dispatcher("ac")
    dispatcher.warmups.calls_per_s = lambda _: 3.7
    for name, zone in (("a0", "a"), ("c1", "c")):
        cold = create_entry(name, zone, 2, warmup_left_s=3.0, revision=2, sequence=1)
        dispatcher.on_entry(None, cold)
    requested: list[tuple[str, int]] = []

    def request(states: list[UpstreamState], wanted: int) -> None:
        requested.append((states[0].entry.id, wanted))
        until = asyncio.get_running_loop().time() + 0.2
        for state in states[:wanted]:
            state.rate_limit.await_permits(1, until)

    dispatcher.may_request_warmup = lambda state: not state.rate_limit.awaited
    dispatcher.request_warmup_permits = request
    near, far = (_wait_for_slot(dispatcher, each) for each in (NEAR, FAR))
    await asyncio.sleep(0.0)
    assert requested == [("a0", 1), ("c1", 1)]
    near.cancel()
    far.cancel()


@run
async def test_zone_that_changes_without_a_restart_is_ignored() -> None:
    """Guards against calls to a region that was allowed at the address of the upstream before."""
    dispatcher = _dispatcher("c")
    slot = dispatcher.try_acquire(_demand(FAR), ())
    assert slot is not None
    held = slot.state.entry
    dispatcher.on_entry(held, create_entry("c0", "a", 2, revision=2))
    _read(dispatcher)
    await _rejection(dispatcher, FAR)
    dispatcher.set_evacuated_zones(frozenset({"c"}))
    assert dispatcher.try_acquire(_demand(NEAR), ()) is not None
    dispatcher.release(slot)
