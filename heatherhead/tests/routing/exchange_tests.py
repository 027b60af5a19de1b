"""Tests of `heatherhead.routing.exchange` and of reports that homes send at once."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from heatherhead.calls import UpstreamSignal
from heatherhead.membership.interface import Traffic
from heatherhead.routing.messages import DrainReport, InFlightVectors
from heatherhead.tests.base import run_with_paused_clock
from heatherhead.tests.routing.fakes import (
    FakeNetwork,
    answered,
    create_call,
    create_instance,
    create_router_fleet,
    create_service,
    result_with_signal,
)

if TYPE_CHECKING:
    from heatherhead.routing.router import RoutingRouter

LONG_S = 0.5
SHORT_S = 0.01
ROUND_S = 0.06
VECTOR_INTERVAL_S = 0.02


async def _warm_up_routers(routers: dict[str, RoutingRouter], duration_s: float) -> None:
    """Finish enough calls on every router for the median service time to be known."""
    for router in routers.values():
        for _ in range(32):
            (await router.acquire(create_call())).unwrap().finish(answered(duration_s))


def _fleet(**settings: Any) -> dict[str, RoutingRouter]:
    instances = [create_instance("a"), create_instance("b")]
    service = create_service(upstreams=2, slots=2)
    return create_router_fleet(service, instances, homes_minimum=2, **settings)


def _network(router: RoutingRouter) -> FakeNetwork:
    return router._network  # type: ignore[return-value]


def _vectors(router: RoutingRouter) -> int:
    return sum(isinstance(message, InFlightVectors) for _, message, _ in _network(router).sent)


def test_counts_calls_reported_by_another_home_against_the_slots() -> None:
    async def main() -> None:
        routers = _fleet()
        await _warm_up_routers(routers, LONG_S)
        held = [(await routers["a"].acquire(create_call())).unwrap() for _ in range(3)]
        await asyncio.sleep(ROUND_S)
        await routers["b"].acquire(create_call())
        waiting = asyncio.create_task(routers["b"].acquire(create_call()))
        await asyncio.sleep(ROUND_S)
        assert not waiting.done()
        held[0].finish(answered(LONG_S))
        await asyncio.sleep(ROUND_S)
        assert waiting.done()

    run_with_paused_clock(main())


def test_an_idle_service_is_reported_once_and_then_not_again() -> None:
    async def main() -> None:
        routers = _fleet()
        await _warm_up_routers(routers, LONG_S)
        held = [(await routers["a"].acquire(create_call())).unwrap() for _ in range(3)]
        await asyncio.sleep(ROUND_S)
        for slot in held:
            slot.finish(answered(LONG_S))
        await asyncio.sleep(LONG_S)
        sent_before = _vectors(routers["a"])
        others = [
            state.reported_in_flight
            for state in routers["b"].dispatcher_by_service["orders"].state_by_id.values()
        ]
        assert others == [0, 0]
        await asyncio.sleep(LONG_S)
        assert _vectors(routers["a"]) == sent_before
        assert not routers["a"]._exchange._shared_by_service["orders"].sent_by_peer

    run_with_paused_clock(main())


def test_sends_no_counts_for_a_service_with_short_calls() -> None:
    async def main() -> None:
        routers = _fleet()
        await _warm_up_routers(routers, SHORT_S)
        await routers["a"].acquire(create_call())
        await asyncio.sleep(1.0)
        assert _vectors(routers["a"]) == 0

    run_with_paused_clock(main())


def test_an_exhausted_byte_budget_slows_the_rounds_and_reported_counts_expire() -> None:
    async def main() -> None:
        routers = _fleet()
        await _warm_up_routers(routers, LONG_S)
        for _ in range(4):
            await routers["a"].acquire(create_call())
        await asyncio.sleep(ROUND_S)
        assert routers["b"].try_acquire(create_call()) is None
        _network(routers["a"]).refuse = True
        await asyncio.sleep(4.0)
        assert routers["a"]._exchange.run_round() >= 8 * VECTOR_INTERVAL_S
        assert routers["b"].try_acquire(create_call()) is not None

    run_with_paused_clock(main())


def test_rounds_stay_within_vector_bytes_per_second() -> None:
    async def main() -> None:
        routers = _fleet(vector_bytes_per_second=100.0)
        await _warm_up_routers(routers, LONG_S)
        network = _network(routers["a"])
        network.sent.clear()
        switch = network._switch
        switch.bytes_by_traffic.clear()
        for _ in range(100):
            slot = (await routers["a"].acquire(create_call())).unwrap()
            await asyncio.sleep(0.05)
            slot.finish(answered(LONG_S))
        assert _vectors(routers["a"]) > 10
        assert switch.bytes_by_traffic[Traffic.MEASURING] / 5.0 < 120

    run_with_paused_clock(main())


def test_measuring_traffic_stays_within_the_region() -> None:
    async def main() -> None:
        instances = [create_instance("a"), create_instance("b")]
        instances += [create_instance("far", region="away")]
        routers = create_router_fleet(create_service(), instances, homes_minimum=3)
        await _warm_up_routers(routers, LONG_S)
        for router in routers.values():
            for _ in range(2):
                await router.acquire(create_call())
        await asyncio.sleep(40.0)
        for own_id, router in routers.items():
            for peer_id, message, traffic in _network(router).sent:
                assert traffic is Traffic.CONTROL or "far" not in (own_id, peer_id), message

    run_with_paused_clock(main())


def test_a_draining_upstream_is_reported_to_the_other_homes_at_once() -> None:
    async def main() -> None:
        routers = _fleet()
        slots = [(await routers["a"].acquire(create_call())).unwrap() for _ in range(4)]
        slot = slots[0]
        for each in slots:
            same = each.upstream.id == slot.upstream.id
            each.finish(result_with_signal(UpstreamSignal.DRAINING) if same else answered())
        await asyncio.sleep(0.002)
        states = {each.upstream.id: each.state for each in routers["b"].evidence("orders")}
        assert states[slot.upstream.id] == "draining"
        second = (await routers["a"].acquire(create_call())).unwrap()
        assert second.upstream.id != slot.upstream.id
        sent = [each for each in _network(routers["a"]).sent if isinstance(each[1], DrainReport)]
        assert len(sent) == 1

    run_with_paused_clock(main())


def test_ignores_vectors_for_a_different_list_of_upstreams() -> None:
    async def main() -> None:
        routers = _fleet()
        await _warm_up_routers(routers, LONG_S)
        service = create_service(upstreams=3, slots=2)
        routers["b"].update_service("orders", replace(service, upstreams=service.upstreams[1:]))
        for _ in range(4):
            await routers["a"].acquire(create_call())
        await asyncio.sleep(ROUND_S)
        free = [routers["b"].try_acquire(create_call()) for _ in range(3)]
        assert None not in free

    run_with_paused_clock(main())
