"""Tests of `heatherhead.membership.service` and its components over fake streams."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

import pytest

from heatherhead.membership.interface import InstanceState
from heatherhead.membership.member_messages import Heartbeat, Ping, Pong
from heatherhead.tests.base import run_with_paused_clock
from heatherhead.tests.membership.fleet import MemberFleet, create_member_fleet, wait_until

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


def _run(scenario: Callable[[MemberFleet], Awaitable[None]], **settings: object) -> None:
    async def main() -> None:
        fleet = create_member_fleet(**settings)
        try:
            await scenario(fleet)
        finally:
            await fleet.stop()

    run_with_paused_clock(main())


def test_instances_discover_each_other_through_the_list() -> None:
    async def scenario(fleet: MemberFleet) -> None:
        ids = await fleet.start_all(3, 2, 3)
        assert fleet.all_see(ids)
        assert max(len(each.network.connected_ids()) for each in fleet.by_id.values()) <= 8

    _run(scenario)


def test_crash_is_detected_everywhere_within_two_seconds() -> None:
    async def scenario(fleet: MemberFleet) -> None:
        ids = set(await fleet.start_all(3, 2, 3))
        await fleet.crash("i1-0-1")
        assert await wait_until(lambda: fleet.all_see(ids - {"i1-0-1"})) < 2
        await wait_until(lambda: fleet.states("i1-0-1") == {InstanceState.DEAD})

    _run(scenario)


def test_new_process_of_an_instance_replaces_the_old_one_at_once() -> None:
    async def scenario(fleet: MemberFleet) -> None:
        ids = await fleet.start_all(2, 2, 3)
        old = fleet.by_id["i0-0-0"]
        new = await fleet.start("i0-0-0", "r0", "r0z0")
        await old.stop()
        incarnation = new.view.own.incarnation

        def is_known() -> bool:
            views = [each.view.by_id["i0-0-0"] for each in fleet.by_id.values()]
            return all(each.incarnation == incarnation for each in views)

        await wait_until(lambda: is_known() and fleet.all_see(ids))

    _run(scenario)


def test_paused_instance_suspects_no_peer_and_rejoins() -> None:
    async def scenario(fleet: MemberFleet) -> None:
        ids = set(await fleet.start_all(3, 2, 3))
        reports: list[tuple[str, str]] = []
        for each in fleet.by_id.values():
            each.table.subscribe(
                lambda member: (
                    reports.append((member.id, member.state))
                    if member.state is not InstanceState.LIVE
                    else None
                )
            )
        paused = fleet.by_id["i0-0-0"]
        fleet.hub.pause("i0-0-0")
        paused._tasks[-1].cancel()
        await wait_until(lambda: fleet.states("i0-0-0") == {InstanceState.DEAD})
        fleet.hub.resume("i0-0-0")
        paused._tasks.append(asyncio.create_task(paused._detector.run()))
        await wait_until(lambda: fleet.all_see(ids))
        assert {instance_id for instance_id, _ in reports} == {"i0-0-0"}

    _run(scenario)


def test_clock_jump_starts_no_indirect_probes() -> None:
    async def scenario(fleet: MemberFleet) -> None:
        await fleet.start_all(2, 2, 3)
        own = fleet.by_id["i0-0-0"]
        probed: list[str] = []
        own._detector._begin_indirect_probe = probed.append  # type: ignore[method-assign]
        fleet.hub.pause("i0-0-0")
        asyncio.get_running_loop().advance(20)  # type: ignore[attr-defined]
        await asyncio.sleep(1.5)
        fleet.hub.resume("i0-0-0")
        await asyncio.sleep(3)
        assert probed == []

    _run(scenario)


def test_one_broken_path_causes_no_suspicion() -> None:
    async def scenario(fleet: MemberFleet) -> None:
        ids = await fleet.start_all(2, 2, 3)
        neighbour = fleet.by_id["i0-0-0"].network.neighbours()[0]
        fleet.hub.cut(["i0-0-0"], [neighbour])
        for _ in range(100):
            await asyncio.sleep(0.3)
            assert fleet.all_see(ids)

    _run(scenario)


@pytest.mark.parametrize("seed", [1, 2])
def test_lost_heartbeats_cause_no_suspicion(seed: int) -> None:
    async def scenario(fleet: MemberFleet) -> None:
        ids = await fleet.start_all(3, 2, 3)
        random = Random(seed)
        fleet.hub.is_lost = lambda _, __, message: (
            isinstance(message, Heartbeat | Ping | Pong) and random.random() < 0.05
        )
        for _ in range(240):
            await asyncio.sleep(0.5)
            assert fleet.all_see(ids)

    _run(scenario)


def test_partitioned_regions_rejoin() -> None:
    async def scenario(fleet: MemberFleet) -> None:
        ids = await fleet.start_all(3, 2, 2)
        here = [each for each in ids if each.startswith("i0")]
        there = [each for each in ids if not each.startswith("i0")]
        fleet.hub.cut(here, there)
        await wait_until(lambda: all(fleet.sees(each, here) for each in here), 200)
        await wait_until(lambda: all(fleet.sees(each, there) for each in there), 200)
        fleet.hub.heal()
        assert await wait_until(lambda: fleet.all_see(ids)) < 10

    _run(scenario)


def test_announced_leaving_is_not_reverted_by_the_list() -> None:
    async def scenario(fleet: MemberFleet) -> None:
        ids = set(await fleet.start_all(2, 2, 2))
        await fleet.by_id["i0-0-0"].announce_leaving()
        await wait_until(lambda: fleet.states("i0-0-0") == {InstanceState.LEAVING}, 1)
        await asyncio.sleep(20)
        assert fleet.all_see(ids - {"i0-0-0"})

    _run(scenario)


def test_leaving_state_of_the_list_is_applied_and_reverted() -> None:
    async def scenario(fleet: MemberFleet) -> None:
        from dataclasses import replace

        ids = set(await fleet.start_all(2, 2, 2))
        listed = fleet.list.by_id["i0-0-0"]
        fleet.list.by_id["i0-0-0"] = replace(listed, state=InstanceState.LEAVING)
        await wait_until(lambda: fleet.all_see(ids - {"i0-0-0"}))
        fleet.list.by_id["i0-0-0"] = listed
        await wait_until(lambda: fleet.all_see(ids), 200)

    _run(scenario)


def test_gone_instance_is_named_again_while_the_list_still_has_it() -> None:
    """Neither time nor the list, nor an instance that starts later, makes it live again."""

    async def scenario(fleet: MemberFleet) -> None:
        ids = set(await fleet.start_all(2, 2, 3))
        await fleet.crash("i0-0-0")
        await wait_until(lambda: fleet.all_see(ids - {"i0-0-0"}))
        await fleet.start("late", "r0", "r0z0")
        survivors = ids - {"i0-0-0"}
        for _ in range(600):
            await asyncio.sleep(0.5)
            live_ids = {member.id for each in fleet.by_id.values() for member in each.view.live()}
            assert live_ids <= survivors | {"late"}
        assert fleet.all_see(survivors | {"late"})

    _run(scenario, forget_after_s=30)


def test_dead_instance_is_removed_once_unlisted() -> None:
    async def scenario(fleet: MemberFleet) -> None:
        await fleet.start_all(2, 1, 2)
        await fleet.crash("i0-0-0")
        await asyncio.sleep(100)
        assert "i0-0-0" in fleet.by_id["i1-0-0"].view.by_id
        del fleet.list.by_id["i0-0-0"]
        await wait_until(lambda: fleet.states("i0-0-0") == {None}, 200)

    _run(scenario, forget_after_s=30)
