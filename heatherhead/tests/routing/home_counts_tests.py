"""Tests of `heatherhead.routing.home_counts`."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from heatherhead.tests.base import run_with_paused_clock
from heatherhead.tests.routing.fakes import (
    FakeNetwork,
    answered,
    create_call,
    create_instance,
    create_router_fleet,
    create_service,
)

if TYPE_CHECKING:
    from heatherhead.routing.router import RoutingRouter

SETTINGS = {"homes_minimum": 1, "calls_per_home": 100.0}


async def _serve(router: RoutingRouter, calls_per_s: int, seconds: float) -> None:
    for _ in range(int(calls_per_s * seconds)):
        (await router.acquire(create_call())).unwrap().finish(answered())
        await asyncio.sleep(1 / calls_per_s)


def _counts(routers: dict[str, RoutingRouter]) -> set[int]:
    return {len(each.homes.home_ids("orders", "local")) for each in routers.values()}


def test_demand_at_a_non_home_grows_the_home_set_on_all_instances() -> None:
    async def main() -> None:
        instances = [create_instance(f"i{index}") for index in range(8)]
        routers = create_router_fleet(create_service(), instances, **SETTINGS)
        assert _counts(routers) == {1}
        home_ids = routers["i0"].homes.home_ids("orders", "local")
        non_home = next(each for each in routers if each not in home_ids)
        await _serve(routers[non_home], 250, 3.0)
        assert _counts(routers) == {4}

    run_with_paused_clock(main())


def test_homes_shrink_only_after_demand_stayed_low() -> None:
    async def main() -> None:
        instances = [create_instance(f"i{index}") for index in range(8)]
        routers = create_router_fleet(create_service(), instances, **SETTINGS)
        await _serve(routers["i0"], 250, 3.0)
        await _serve(routers["i0"], 20, 50.0)
        assert _counts(routers) == {4}
        await _serve(routers["i0"], 20, 30.0)
        assert _counts(routers) == {2}

    run_with_paused_clock(main())


def test_demand_around_a_threshold_does_not_change_the_count() -> None:
    async def main() -> None:
        instances = [create_instance(f"i{index}") for index in range(4)]
        routers = create_router_fleet(create_service(), instances, **SETTINGS)
        await _serve(routers["i0"], 110, 3.0)
        version = routers["i0"].homes.counts.version
        for _ in range(2):
            await _serve(routers["i0"], 95, 70.0)
            await _serve(routers["i0"], 110, 5.0)
        assert _counts(routers) == {3}
        assert routers["i0"].homes.counts.version == version

    run_with_paused_clock(main())


def test_a_missed_change_is_repaired_by_the_table_of_a_neighbour() -> None:
    async def main() -> None:
        instances = [create_instance(f"i{index}") for index in range(4)]
        routers = create_router_fleet(create_service(), instances, **SETTINGS)
        networks: list[FakeNetwork] = [each._network for each in routers.values()]  # type: ignore[misc]
        leader = routers["i0"].homes.leader("orders")
        assert leader is not None
        for network in networks:
            network.refuse = True
        await _serve(routers[leader], 250, 3.0)
        assert len(_counts(routers)) == 2
        for network in networks:
            network.refuse = False
        await asyncio.sleep(40.0)
        assert _counts(routers) == {4}

    run_with_paused_clock(main())


def test_another_region_keeps_its_own_home_counts() -> None:
    async def main() -> None:
        instances = [create_instance(f"i{index}") for index in range(3)]
        instances += [create_instance(f"far{index}", region="away") for index in range(3)]
        routers = create_router_fleet(create_service(), instances, **SETTINGS)
        await _serve(routers["i0"], 150, 3.0)
        assert len(routers["i1"].homes.home_ids("orders", "local")) == 3
        assert len(routers["far0"].homes.home_ids("orders", "away")) == 1
        network: FakeNetwork = routers["i2"]._network  # type: ignore[assignment]
        assert all(peer_id != "far0" for peer_id, _, _ in network.sent)

    run_with_paused_clock(main())
