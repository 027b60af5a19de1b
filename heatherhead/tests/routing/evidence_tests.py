"""Tests of `heatherhead.routing.evidence`."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from heatherhead.calls import AttemptResult, AttemptState, LoadReport, UpstreamSignal
from heatherhead.tests.base import run_with_paused_clock
from heatherhead.tests.routing.fakes import (
    answered,
    create_call,
    create_service,
    create_single_router,
    result_with_signal,
    warm_up,
)

if TYPE_CHECKING:
    from heatherhead.calls import Call
    from heatherhead.routing.interface import Slot
    from heatherhead.routing.router import RoutingRouter

SLOW_AFTER_S = 0.022
TRIAL_AFTER_S = 0.021
TRIAL_ENDS_AFTER_S = 0.201
EJECTION_S = 1.001


def _state(router: RoutingRouter, upstream_id: str) -> str:
    return next(each.state for each in router.evidence("orders") if each.upstream.id == upstream_id)


async def _take(router: RoutingRouter, count: int, call: Call | None = None) -> list[Slot]:
    return [(await router.acquire(call or create_call())).unwrap() for _ in range(count)]


async def _choices(router: RoutingRouter, count: int = 30) -> Counter[str]:
    """Run calls one after the other and count them by upstream."""
    seen: Counter[str] = Counter()
    for _ in range(count):
        (slot,) = await _take(router, 1)
        seen[slot.upstream.id] += 1
        await asyncio.sleep(0.010)
        slot.finish(answered())
    return seen


async def _fail(router: RoutingRouter, upstream_id: str, result: AttemptResult) -> None:
    """Finish one call on an upstream with a result."""
    others = frozenset(
        each.upstream.id for each in router.evidence("orders") if each.upstream.id != upstream_id
    )
    (await router.acquire(create_call(), others)).unwrap().finish(result)


def test_sends_no_more_calls_to_an_upstream_with_an_overdue_call() -> None:
    async def main() -> None:
        router = create_single_router(create_service(upstreams=2, slots=4))
        await warm_up(router)
        (slow_slot,) = await _take(router, 1)
        await asyncio.sleep(SLOW_AFTER_S + 0.001)
        (other,) = await _take(router, 1)
        assert _state(router, slow_slot.upstream.id) == "slow"
        other.finish(answered())
        chosen = await _take(router, 4)
        assert {each.upstream.id for each in chosen} == {other.upstream.id}
        waiting = asyncio.create_task(router.acquire(create_call()))
        await asyncio.sleep(0.001)
        assert not waiting.done()
        waiting.cancel()

    run_with_paused_clock(main())


def test_a_slow_upstream_gets_one_trial_call_when_others_are_full() -> None:
    async def main() -> None:
        router = create_single_router(create_service(upstreams=2, slots=2))
        await warm_up(router)
        (slow_slot,) = await _take(router, 1)
        await asyncio.sleep(SLOW_AFTER_S + 0.001)
        await _take(router, 2)
        trial = (await router.acquire(create_call())).unwrap()
        assert trial.upstream.id == slow_slot.upstream.id
        waiting = asyncio.create_task(router.acquire(create_call()))
        await asyncio.sleep(0.005)
        assert not waiting.done()
        slow_slot.finish(answered(0.1))
        trial.finish(answered())
        assert (await waiting).unwrap().upstream.id == slow_slot.upstream.id
        assert _state(router, slow_slot.upstream.id) != "slow"

    run_with_paused_clock(main())


def test_a_slow_upstream_is_preferred_again_when_its_trial_ends() -> None:
    async def main() -> None:
        router = create_single_router(create_service(upstreams=2, slots=4))
        await warm_up(router)
        (slow_slot,) = await _take(router, 1)
        await asyncio.sleep(SLOW_AFTER_S + 0.001)
        slow_slot.finish(answered(SLOW_AFTER_S + 0.001))
        assert slow_slot.upstream.id not in await _choices(router, 5)
        await asyncio.sleep(TRIAL_ENDS_AFTER_S)
        assert slow_slot.upstream.id in await _choices(router)

    run_with_paused_clock(main())


def test_a_pause_of_this_process_marks_no_upstream_as_slow() -> None:
    async def main() -> None:
        router = create_single_router(create_service(upstreams=3, slots=4))
        await warm_up(router)
        slots = await _take(router, 6)
        asyncio.get_running_loop().advance(0.3)  # type: ignore[attr-defined]
        await asyncio.sleep(0)
        await _take(router, 1)
        for slot in slots:
            slot.finish(answered(0.31))
        assert {each.state for each in router.evidence("orders")} == {"ready"}

    run_with_paused_clock(main())


def test_an_upstream_that_stays_slow_is_tried_with_exponential_backoff() -> None:
    async def main() -> None:
        router = create_single_router(create_service(upstreams=2, slots=4))
        await warm_up(router)
        tries: list[float] = []
        loop = asyncio.get_running_loop()
        end = loop.time() + 3.0
        while loop.time() < end:
            (slot,) = await _take(router, 1)
            if slot.upstream.id == "u0":
                tries.append(loop.time())
                await asyncio.sleep(0.1)
                slot.finish(AttemptResult(AttemptState.UNKNOWN, cancelled=True))
            else:
                await asyncio.sleep(0.010)
                slot.finish(answered())
        pauses = [later - sooner for sooner, later in zip(tries, tries[1:], strict=False)]
        assert 3 <= len(pauses) <= 4
        assert all(later > 1.5 * sooner for sooner, later in zip(pauses, pauses[1:], strict=False))

    run_with_paused_clock(main())


def test_further_overdue_calls_do_not_extend_the_pause_of_a_slow_upstream() -> None:
    async def main() -> None:
        router = create_single_router(create_service(upstreams=1, slots=4))
        await warm_up(router)
        await _take(router, 1)
        await asyncio.sleep(SLOW_AFTER_S - 0.005)
        await _take(router, 1)
        began = asyncio.get_running_loop().time()
        await _take(router, 1, create_call(5.0))
        waited_s = asyncio.get_running_loop().time() - began
        assert round(waited_s, 3) == 0
        await asyncio.sleep(0.006)
        waiting = asyncio.create_task(router.acquire(create_call(5.0)))
        await asyncio.sleep(TRIAL_AFTER_S)
        assert waiting.done()

    run_with_paused_clock(main())


def test_an_upstream_that_fails_fast_gets_no_more_calls_and_is_ejected() -> None:
    async def main() -> None:
        router = create_single_router(create_service(upstreams=4, slots=4))
        await warm_up(router)
        for _ in range(3):
            await _fail(router, "u1", answered(0.0005, 500))
        assert _state(router, "u1") == "ejected"
        assert "u1" not in await _choices(router)
        await asyncio.sleep(EJECTION_S)
        await _fail(router, "u1", answered(0.0005, 500))
        assert _state(router, "u1") == "ejected"
        await asyncio.sleep(EJECTION_S)
        assert _state(router, "u1") == "ejected"
        await asyncio.sleep(EJECTION_S)
        await _fail(router, "u1", answered())
        assert _state(router, "u1") == "ramping"

    run_with_paused_clock(main())


def test_one_failure_puts_an_upstream_behind_the_others() -> None:
    async def main() -> None:
        router = create_single_router(create_service(upstreams=3, slots=4))
        await warm_up(router)
        await _fail(router, "u1", answered(0.0005, 500))
        assert "u1" not in await _choices(router)

    run_with_paused_clock(main())


def test_ejects_no_more_than_the_maximum_fraction() -> None:
    async def main() -> None:
        router = create_single_router(create_service(upstreams=6, slots=2), ejected_share=0.34)
        await warm_up(router)
        for upstream_id in ("u0", "u1", "u2"):
            for _ in range(3):
                await _fail(
                    router,
                    upstream_id,
                    result_with_signal(UpstreamSignal.NONE, AttemptState.UNKNOWN),
                )
        states = [each.state for each in router.evidence("orders")]
        assert states.count("ejected") == 2

    run_with_paused_clock(main())


def test_cancelled_attempts_are_not_failures() -> None:
    async def main() -> None:
        router = create_single_router(create_service(upstreams=4, slots=2))
        for _ in range(5):
            await _fail(router, "u1", AttemptResult(AttemptState.UNKNOWN, cancelled=True))
        assert _state(router, "u1") == "ready"

    run_with_paused_clock(main())


def test_a_draining_upstream_gets_no_new_calls_while_its_calls_run_on() -> None:
    async def main() -> None:
        router = create_single_router(create_service(upstreams=2, slots=4), draining_ms=5_000)
        running = await _take(router, 4)
        await _fail(router, "u1", result_with_signal(UpstreamSignal.DRAINING))
        assert _state(router, "u1") == "draining"
        assert "u1" not in await _choices(router)
        for slot in running:
            slot.finish(answered())
        await asyncio.sleep(5.001)
        assert "u1" in await _choices(router)

    run_with_paused_clock(main())


def test_an_upstream_that_cannot_be_connected_to_is_tried_again_soon() -> None:
    async def main() -> None:
        router = create_single_router(create_service(upstreams=2, slots=4))
        await _fail(
            router, "u1", result_with_signal(UpstreamSignal.DRAINING, AttemptState.NOT_SENT)
        )
        assert "u1" not in await _choices(router)
        await asyncio.sleep(2.001)
        assert "u1" in await _choices(router)

    run_with_paused_clock(main())


def test_an_upstream_that_sheds_load_gets_a_lower_limit() -> None:
    async def main() -> None:
        router = create_single_router(create_service(upstreams=1, slots=4))
        slots = await _take(router, 3)
        slots[0].finish(result_with_signal(UpstreamSignal.SHEDDING))
        assert router.evidence("orders")[0].limit == 2

    run_with_paused_clock(main())


def test_an_upstream_added_later_starts_with_a_limit_of_one() -> None:
    async def main() -> None:
        router = create_single_router(create_service(upstreams=1, slots=4))
        router.update_service("orders", create_service(upstreams=2, slots=4))
        assert [each.limit for each in router.evidence("orders")] == [4, 1]
        slots = await _take(router, 5)
        assert Counter(each.upstream.id for each in slots) == {"u0": 4, "u1": 1}

    run_with_paused_clock(main())


def test_a_load_report_of_zero_does_not_override_own_calls_in_flight() -> None:
    async def main() -> None:
        router = create_single_router(create_service(upstreams=2, slots=4))
        await warm_up(router)
        (slow_slot,) = await _take(router, 1)
        false_report = LoadReport(in_flight=0, received_at=asyncio.get_running_loop().time())
        await _fail(router, slow_slot.upstream.id, answered(report=false_report))
        await asyncio.sleep(SLOW_AFTER_S + 0.001)
        assert slow_slot.upstream.id not in {each.upstream.id for each in await _take(router, 4)}

    run_with_paused_clock(main())


def test_waiting_calls_are_served_when_every_upstream_is_slow() -> None:
    async def main() -> None:
        router = create_single_router(create_service(upstreams=2, slots=1))
        await warm_up(router)
        slots = await _take(router, 2)
        await asyncio.sleep(SLOW_AFTER_S + 0.001)
        waiting = asyncio.create_task(router.acquire(create_call(5.0)))
        await asyncio.sleep(0.5)
        for slot in slots:
            slot.finish(answered(0.5))
        assert (await waiting).unwrap()

    run_with_paused_clock(main())
