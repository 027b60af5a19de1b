"""Tests of `heatherhead.routing.quarantine` and `heatherhead.routing.isolation`."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from result import Err, Ok

from heatherhead.calls import AttemptResult, AttemptState, UpstreamSignal
from heatherhead.exceptions import QuarantinedError
from heatherhead.tests.base import run_with_paused_clock
from heatherhead.tests.routing.fakes import (
    answered,
    create_call,
    create_instance,
    create_router_fleet,
    create_service,
    create_single_router,
    warm_up,
)

if TYPE_CHECKING:
    from heatherhead.routing.interface import Slot
    from heatherhead.routing.router import RoutingRouter

CULPRIT = 666
QUARANTINE_MS = 10_000
VECTOR_INTERVAL_S = 0.02
DIED = AttemptResult(AttemptState.UNKNOWN, 0, 0.001, UpstreamSignal.DIED)


async def _take(router: RoutingRouter, fingerprint: int, **changes: Any) -> Slot:
    call = create_call(fingerprint=fingerprint, target=f"/{fingerprint}", **changes)
    return (await router.acquire(call)).unwrap()


async def _crash(router: RoutingRouter, other_calls: tuple[int, ...] = (1, 2)) -> None:
    """Crash upstreams with the culprit and other calls in flight."""
    slots = [await _take(router, CULPRIT)]
    others = frozenset(
        each.upstream.id
        for each in router.evidence("orders")
        if each.upstream.id != slots[0].upstream.id
    )
    for number in other_calls:
        call = create_call(fingerprint=number)
        slots.append((await router.acquire(call, others)).unwrap())
    for slot in slots:
        slot.finish(DIED)


def _router(**settings: Any) -> RoutingRouter:
    service = create_service(upstreams=4, slots=4)
    return create_single_router(service, quarantine_ms=QUARANTINE_MS, **settings)


def test_two_deaths_quarantine_the_culprit_but_not_the_calls_beside_it() -> None:
    async def main() -> None:
        router = _router()
        await warm_up(router)
        await _crash(router)
        assert router.quarantined() == []
        (await _take(router, CULPRIT)).finish(DIED)
        for innocent in (1, 2):
            (await _take(router, innocent)).finish(answered())
        assert [each.fingerprint for each in router.quarantined()] == [CULPRIT]
        refused = await router.acquire(create_call(fingerprint=CULPRIT))
        assert isinstance(refused.unwrap_err(), QuarantinedError)
        assert isinstance(await router.acquire(create_call(fingerprint=1)), Ok)

    run_with_paused_clock(main())


def test_a_suspect_runs_alone_on_its_upstream() -> None:
    async def main() -> None:
        router = _router()
        await warm_up(router)
        await _crash(router)
        busy = [await _take(router, number) for number in range(10, 18)]
        waiting = asyncio.create_task(_take(router, CULPRIT))
        await asyncio.sleep(0.1)
        for slot in busy:
            slot.finish(answered(0.1))
        suspect = await waiting
        beside = [await _take(router, number) for number in range(20, 28)]
        assert suspect.upstream.id not in {each.upstream.id for each in beside}
        suspect.finish(answered())
        assert {each.state for each in router.evidence("orders")} >= {"ejected"}
        assert "reserved" not in {each.state for each in router.evidence("orders")}

    run_with_paused_clock(main())


def test_a_suspect_waits_until_the_reservation_has_reached_the_other_homes() -> None:
    async def main() -> None:
        router = _router()
        await warm_up(router)
        await _crash(router)
        loop = asyncio.get_running_loop()
        began = loop.time()
        await _take(router, CULPRIT)
        assert round(loop.time() - began, 6) >= 2 * VECTOR_INTERVAL_S

    run_with_paused_clock(main())


def test_a_suspect_is_cleared_by_its_answer() -> None:
    async def main() -> None:
        router = _router()
        await warm_up(router)
        await _crash(router)
        for _ in range(2):
            (await _take(router, 1)).finish(answered())
        crashed = await _take(router, 1)
        crashed.finish(DIED)
        assert router.quarantined() == []

    run_with_paused_clock(main())


def test_deaths_with_several_calls_in_flight_quarantine_none() -> None:
    async def main() -> None:
        router = _router(ejected_share=0.9)
        await warm_up(router)
        first = [await _take(router, number) for number in range(1, 9)]
        for slot in first:
            slot.finish(DIED)
        assert router.quarantined() == []

    run_with_paused_clock(main())


def test_suspects_are_never_hedged() -> None:
    async def main() -> None:
        router = _router()
        await warm_up(router)
        await _crash(router)
        call = create_call(fingerprint=CULPRIT)
        assert router.hedge_delay_s(call) is None
        assert router.try_acquire(call) is None
        assert router.hedge_delay_s(create_call(fingerprint=9)) is not None

    run_with_paused_clock(main())


def test_a_waiting_suspect_is_refused_at_its_deadline() -> None:
    async def main() -> None:
        router = create_single_router(create_service(upstreams=1, slots=4), ejected_share=0.0)
        await warm_up(router)
        await _crash(router)
        await _take(router, 5)
        refused = await router.acquire(create_call(0.5, fingerprint=CULPRIT))
        assert isinstance(refused, Err)

    run_with_paused_clock(main())


def test_a_quarantine_expires_or_is_released_by_an_operator() -> None:
    async def main() -> None:
        router = _router()
        await warm_up(router)
        for release in (False, True):
            await _crash(router)
            (await _take(router, CULPRIT)).finish(DIED)
            assert [each.fingerprint for each in router.quarantined()] == [CULPRIT]
            if release:
                assert router.release("orders", CULPRIT)
                assert not router.release("orders", CULPRIT)
            else:
                await asyncio.sleep(QUARANTINE_MS / 1000 + 0.001)
            assert router.quarantined() == []
            assert isinstance(await router.acquire(create_call(fingerprint=CULPRIT)), Ok)
            await asyncio.sleep(61.0)

    run_with_paused_clock(main())


def test_homes_share_suspects_quarantines_and_releases() -> None:
    async def main() -> None:
        instances = [create_instance("a"), create_instance("b")]
        instances += [create_instance("far", region="away")]
        service = create_service(upstreams=4, slots=4)
        routers = create_router_fleet(service, instances, homes_minimum=2)
        await warm_up(routers["a"])
        await _crash(routers["a"])
        await asyncio.sleep(0.01)
        (await _take(routers["b"], CULPRIT)).finish(DIED)
        await asyncio.sleep(0.01)
        for router in routers.values():
            assert [each.fingerprint for each in router.quarantined()] == [CULPRIT]
        assert routers["far"].release("orders", CULPRIT)
        await asyncio.sleep(0.01)
        assert routers["a"].quarantined() == routers["b"].quarantined() == []

    run_with_paused_clock(main())
