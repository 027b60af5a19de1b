"""Tests of `heatherhead.routing.dispatcher`."""

from __future__ import annotations

import asyncio

import pytest
from result import Ok

from heatherhead.configuration.model import Service, Upstream
from heatherhead.exceptions import DeadlineUnreachableError, NoUpstreamError, QueueFullError
from heatherhead.tests.base import run_with_paused_clock
from heatherhead.tests.routing.fakes import (
    answered,
    create_call,
    create_service,
    create_single_router,
    warm_up,
)


def test_binds_a_waiting_call_to_the_slot_that_becomes_free_first() -> None:
    async def main() -> None:
        router = create_single_router(create_service(upstreams=2, slots=1))
        first = (await router.acquire(create_call())).unwrap()
        second = (await router.acquire(create_call())).unwrap()
        assert first.upstream.id != second.upstream.id
        waiting = asyncio.create_task(router.acquire(create_call()))
        await asyncio.sleep(0.005)
        assert not waiting.done()
        second.finish(answered(0.005))
        assert (await waiting).unwrap().upstream.id == second.upstream.id

    run_with_paused_clock(main())


def test_serves_waiting_calls_by_deadline() -> None:
    async def main() -> None:
        router = create_single_router(create_service(upstreams=1, slots=1))
        held = (await router.acquire(create_call())).unwrap()
        late = asyncio.create_task(router.acquire(create_call(9.0)))
        soon = asyncio.create_task(router.acquire(create_call(3.0)))
        await asyncio.sleep(0)
        held.finish(answered())
        await asyncio.sleep(0)
        assert soon.done()
        assert not late.done()
        soon.result().unwrap().finish(answered())
        assert isinstance(await late, Ok)

    run_with_paused_clock(main())


def test_refuses_a_call_whose_deadline_is_nearer_than_the_service_time() -> None:
    async def main() -> None:
        router = create_single_router(create_service())
        await warm_up(router)
        answer = await router.acquire(create_call(0.009))
        assert isinstance(answer.unwrap_err(), DeadlineUnreachableError)
        assert isinstance(await router.acquire(create_call(0.020)), Ok)

    run_with_paused_clock(main())


def test_service_is_used_again_after_all_its_answers_were_slow() -> None:
    """The service time had passed the callers' deadlines, and no call was sent to correct it."""

    async def main() -> None:
        router = create_single_router(create_service())
        for _ in range(300):
            (await router.acquire(create_call(9.0))).unwrap().finish(answered(2.0))
        assert isinstance(
            (await router.acquire(create_call(1.0))).unwrap_err(), DeadlineUnreachableError
        )
        await asyncio.sleep(1.5)
        test = (await router.acquire(create_call(1.0))).unwrap()
        assert isinstance(
            (await router.acquire(create_call(1.0))).unwrap_err(), DeadlineUnreachableError
        )
        test.finish(answered(0.01))
        for _ in range(20):
            (await router.acquire(create_call(1.0))).unwrap().finish(answered(0.01))

    run_with_paused_clock(main())


def test_refuses_waiting_calls_at_their_deadline_while_no_slot_comes_free() -> None:
    async def main() -> None:
        router = create_single_router(create_service(upstreams=1, slots=1))
        await router.acquire(create_call())
        started = asyncio.get_running_loop().time()
        answer = await router.acquire(create_call(0.5))
        assert isinstance(answer.unwrap_err(), DeadlineUnreachableError)
        assert asyncio.get_running_loop().time() - started == 0.5

    run_with_paused_clock(main())


def test_gives_no_slot_after_the_deadline_when_the_process_was_paused() -> None:
    async def main() -> None:
        router = create_single_router(create_service(upstreams=1, slots=1))
        held = (await router.acquire(create_call())).unwrap()
        waiting = asyncio.create_task(router.acquire(create_call(0.5)))
        await asyncio.sleep(0)
        held.finish(answered())
        asyncio.get_running_loop().advance(2.0)  # type: ignore[attr-defined]
        assert isinstance((await waiting).unwrap_err(), DeadlineUnreachableError)
        assert router.evidence("orders")[0].in_flight == 0

    run_with_paused_clock(main())


def test_bounds_the_queue() -> None:
    async def main() -> None:
        router = create_single_router(create_service(upstreams=1, slots=1, queue_limit=2))
        await router.acquire(create_call())
        tasks = [asyncio.create_task(router.acquire(create_call())) for _ in range(3)]
        await asyncio.sleep(0)
        done = [each for each in tasks if each.done()]
        assert len(done) == 1
        assert isinstance(done[0].result().unwrap_err(), QueueFullError)
        for each in tasks:
            each.cancel()

    run_with_paused_clock(main())


def test_a_cancelled_wait_is_removed_from_the_queue_and_releases_its_slot() -> None:
    async def main() -> None:
        router = create_single_router(create_service(upstreams=1, slots=1))
        held = (await router.acquire(create_call())).unwrap()
        cancelled = asyncio.create_task(router.acquire(create_call()))
        raced = asyncio.create_task(router.acquire(create_call()))
        await asyncio.sleep(0)
        cancelled.cancel()
        await asyncio.sleep(0)
        held.finish(answered())
        raced.cancel()
        await asyncio.sleep(0)
        assert router.evidence("orders")[0].in_flight == 0

    run_with_paused_clock(main())


def test_refuses_a_waiting_call_that_can_no_longer_be_answered_in_time() -> None:
    async def main() -> None:
        router = create_single_router(create_service(upstreams=1, slots=1))
        await warm_up(router)
        held = (await router.acquire(create_call())).unwrap()
        waiting = asyncio.create_task(router.acquire(create_call(0.025)))
        await asyncio.sleep(0.014)
        held.finish(answered(0.014))
        assert isinstance((await waiting).unwrap_err(), DeadlineUnreachableError)

    run_with_paused_clock(main())


def test_uses_another_region_only_when_the_local_one_is_too_late() -> None:
    async def main() -> None:
        upstreams = (
            Upstream("near", "127.0.0.1", 1, slots=1),
            Upstream("far", "127.0.0.1", 2, region="away", slots=1),
        )
        router = create_single_router(Service("orders", upstreams=upstreams))
        await warm_up(router)
        near = (await router.acquire(create_call())).unwrap()
        assert near.upstream.id == "near"
        long_deadline = asyncio.create_task(router.acquire(create_call(1.0)))
        await asyncio.sleep(0)
        assert not long_deadline.done()
        short_deadline = await asyncio.wait_for(router.acquire(create_call(0.015)), 0.1)
        long_deadline.cancel()
        assert short_deadline.unwrap().upstream.id == "far"

    run_with_paused_clock(main())


def test_refuses_calls_of_a_service_without_upstreams_or_dropped() -> None:
    async def main() -> None:
        router = create_single_router(create_service(upstreams=0))
        assert isinstance((await router.acquire(create_call())).unwrap_err(), NoUpstreamError)
        router.update_service("orders", create_service(upstreams=1, slots=1))
        assert isinstance(await router.acquire(create_call()), Ok)
        waiting = asyncio.create_task(router.acquire(create_call()))
        await asyncio.sleep(0)
        router.update_service("orders", None)
        assert isinstance((await waiting).unwrap_err(), NoUpstreamError)

    run_with_paused_clock(main())


def test_a_hedge_avoids_the_first_upstream_and_needs_a_free_slot() -> None:
    async def main() -> None:
        router = create_single_router(create_service(upstreams=2, slots=1))
        first = (await router.acquire(create_call())).unwrap()
        hedge = router.try_acquire(create_call(), frozenset([first.upstream.id]))
        assert hedge is not None
        assert hedge.upstream.id != first.upstream.id
        assert router.try_acquire(create_call()) is None

    run_with_paused_clock(main())


@pytest.mark.parametrize(("slow_tenths", "delay_s"), [(0, 0.012), (4, 0.048)])
def test_the_hedge_delay_follows_the_median_and_the_p90(slow_tenths: int, delay_s: float) -> None:
    async def main() -> None:
        router = create_single_router(
            create_service(upstreams=2, slots=1), hedge_factor=1.0, hedge_high_factor=1.15
        )
        for number in range(100):
            duration_s = 0.040 if number % 10 < slow_tenths else 0.010
            (await router.acquire(create_call())).unwrap().finish(answered(duration_s))
        assert router.hedge_delay_s(create_call()) == pytest.approx(delay_s, abs=0.002)

    run_with_paused_clock(main())
