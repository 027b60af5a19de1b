"""Tests of the dispatcher while zones are evacuated; each names the failure it guards against."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from heatherhead.dispatch.dispatcher import Dispatcher, create_dispatcher
from heatherhead.dispatch.rejection import RejectedError
from heatherhead.dispatch.upstream_state import LoadReading
from heatherhead.tests.base import run_with_paused_clock
from heatherhead.tests.dispatch.fakes import create_demand, create_entry

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from heatherhead.dispatch.dispatcher import Slot

REGION_BY_ZONE = {"a": "near", "b": "near", "c": "far"}
NONE: frozenset[str] = frozenset()
ZONE_A, ZONE_B = frozenset({"a"}), frozenset({"b"})


def _dispatcher(slowdown_by_upstream: dict[str, float], slots: int = 2) -> Dispatcher:
    """Create a dispatcher in zone a; the first letter of an upstream names its zone."""
    dispatcher = create_dispatcher("a", REGION_BY_ZONE, 0.2, 10.0, 25.0)
    now = asyncio.get_running_loop().time()
    for name, slowdown in slowdown_by_upstream.items():
        dispatcher.on_entry(None, create_entry(name, name[0], slots))
        state = dispatcher.state(name)
        assert state is not None
        dispatcher.apply_reading(state, LoadReading(0, 0, slots, slowdown, now))
    return dispatcher


def _take(dispatcher: Dispatcher, **changes: Any) -> Slot | None:
    demand = create_demand(asyncio.get_running_loop().time(), **changes)
    return dispatcher.try_acquire(demand, ())


def _wait_for_slot(dispatcher: Dispatcher, **changes: Any) -> asyncio.Task[Slot]:
    demand = create_demand(asyncio.get_running_loop().time(), **changes)
    return asyncio.get_running_loop().create_task(dispatcher.acquire(demand, ()))


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> Callable[[], None]:
    """Run a test on a paused clock."""

    def run_test() -> None:
        run_with_paused_clock(test())

    run_test.__doc__ = test.__doc__
    return run_test


@run
async def test_upstreams_of_an_evacuated_zone_get_no_calls_until_it_returns() -> None:
    """Guards against calls to a zone that is about to be switched off, as it is the nearest."""
    dispatcher = _dispatcher({"a0": 1.0, "b0": 1.0})
    dispatcher.set_evacuated_zones(ZONE_A)
    slots = [_take(dispatcher) for _ in range(3)]
    assert [slot.state.entry.id for slot in slots if slot] == ["b0", "b0"]
    dispatcher.set_evacuated_zones(NONE)
    slot = _take(dispatcher)
    assert slot is not None
    assert slot.state.entry.id == "a0"


@run
async def test_upstream_that_starts_in_an_evacuated_zone_gets_no_calls() -> None:
    """Guards against evacuations that are applied to the upstreams of the moment only."""
    dispatcher = _dispatcher({"b0": 3.0})
    dispatcher.set_evacuated_zones(ZONE_A)
    dispatcher.on_entry(None, create_entry("a0", "a"))
    dispatcher.on_entry(None, create_entry("a0", "a", started_ms=2))
    slot = _take(dispatcher)
    assert slot is not None
    assert slot.state.entry.id == "b0"


@run
async def test_several_evacuated_zones_and_one_that_no_upstream_is_in() -> None:
    """Guards against a name that no zone has keeping calls from the others."""
    dispatcher = _dispatcher({"a0": 1.0, "b0": 1.0, "c0": 1.0})
    dispatcher.set_evacuated_zones(ZONE_A | ZONE_B | {"nowhere"})
    slot = _take(dispatcher)
    assert slot is not None
    assert slot.state.entry.id == "c0"


@run
async def test_call_that_waits_for_an_evacuated_upstream_is_placed_anew() -> None:
    """Guards against a call that goes on waiting for the faster, but evacuated upstream."""
    dispatcher = _dispatcher({"a0": 1.0, "b0": 6.0}, slots=1)
    assert _take(dispatcher, give_up_at=asyncio.get_running_loop().time() + 5.0) is not None
    waiting = _wait_for_slot(dispatcher, give_up_at=asyncio.get_running_loop().time() + 5.0)
    await asyncio.sleep(0)
    assert not waiting.done()
    dispatcher.set_evacuated_zones(ZONE_A)
    await asyncio.sleep(0)
    assert waiting.result().state.entry.id == "b0"


@run
async def test_calls_are_rejected_at_once_when_all_upstreams_are_evacuated() -> None:
    """Guards against calls that wait until their callers give up."""
    dispatcher = _dispatcher({"a0": 1.0}, slots=1)
    assert _take(dispatcher) is not None
    waiting = _wait_for_slot(dispatcher)
    await asyncio.sleep(0)
    dispatcher.set_evacuated_zones(ZONE_A)
    await asyncio.sleep(0)
    assert isinstance(waiting.exception(), RejectedError)
    began = asyncio.get_running_loop().time()
    with pytest.raises(RejectedError):
        await dispatcher.acquire(create_demand(began), ())
    assert asyncio.get_running_loop().time() == began
    assert not dispatcher.all_unreachable("stock")  # a detour would not help


@run
async def test_call_in_flight_keeps_its_slot() -> None:
    """Guards against the release of a slot that counts for nothing, or twice."""
    dispatcher = _dispatcher({"a0": 1.0}, slots=1)
    slot = _take(dispatcher)
    assert slot is not None
    dispatcher.set_evacuated_zones(ZONE_A)
    assert slot.state.own_in_flight == 1
    dispatcher.release(slot)
    dispatcher.set_evacuated_zones(NONE)
    assert slot.state.own_in_flight == 0
    assert _take(dispatcher) is not None


@run
async def test_calls_wait_for_other_regions_when_the_own_one_is_evacuated() -> None:
    """Guards against a large service whose waiting calls look at the local region's upstreams only."""
    dispatcher = _dispatcher({**{f"a{n}": 1.0 for n in range(70)}, "c0": 1.0}, slots=1)
    dispatcher.set_evacuated_zones(ZONE_A)
    slot = _take(dispatcher)
    assert slot is not None
    assert slot.state.entry.id == "c0"
    waiting = _wait_for_slot(dispatcher)
    await asyncio.sleep(0.01)
    dispatcher.release(slot)
    await asyncio.sleep(0)
    assert waiting.result().state.entry.id == "c0"


@run
async def test_unreachable_upstreams_beside_evacuated_ones_need_a_detour() -> None:
    """Guards against calls kept from a detour by upstreams that no instance may use."""
    dispatcher = _dispatcher({"a0": 1.0, "b0": 1.0})
    dispatcher.set_evacuated_zones(ZONE_A)
    assert not dispatcher.all_unreachable("stock")
    state = dispatcher.state("b0")
    assert state is not None
    state.eject(asyncio.get_running_loop().time())
    assert dispatcher.all_unreachable("stock")
