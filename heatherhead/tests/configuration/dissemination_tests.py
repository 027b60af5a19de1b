"""Tests of dissemination, applied revisions and the store watch in a whole fleet."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from heatherhead.configuration.record_messages import RecordHeads, Records
from heatherhead.tests.base import run_with_paused_clock
from heatherhead.tests.configuration.fleet import (
    ConfigurationFleet,
    create_configuration_fleet,
    service,
)
from heatherhead.tests.membership.fleet import wait_until

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


def _run(scenario: Callable[[ConfigurationFleet], Awaitable[None]]) -> None:
    async def main() -> None:
        fleet = create_configuration_fleet()
        try:
            await scenario(fleet)
            assert fleet.reverts == []
        finally:
            await fleet.stop()

    run_with_paused_clock(main())


def test_change_is_applied_and_reported_everywhere_without_store_calls() -> None:
    async def scenario(fleet: ConfigurationFleet) -> None:
        ids = await fleet.start_all(3, 2, 3)
        editor = fleet.configuration_by_id["i2-1-2"]
        await asyncio.sleep(10)
        calls = fleet.store_calls()
        put = (await editor.put(service("orders"), 0, "c1")).ok_value
        assert await wait_until(lambda: fleet.all_at("orders", put.revision)) < 1
        for configuration in fleet.configuration_by_id.values():
            await wait_until(lambda each=configuration: each.missing(put.revision) == [])
        assert len(editor.applied()) == len(ids)
        watchers = [each for each in fleet.configuration_by_id.values() if each.is_watching]
        assert len(watchers) == 6
        await asyncio.sleep(120)
        assert fleet.store_calls() == calls + 1

    _run(scenario)


def test_instance_that_lacks_a_change_is_reported_missing() -> None:
    async def scenario(fleet: ConfigurationFleet) -> None:
        ids = await fleet.start_all(2, 2, 2)
        fleet.members.hub.cut(["i0-0-0"], [each for each in ids if each != "i0-0-0"])
        fleet.faulty_store_by_id["i0-0-0"].is_down = True
        editor = fleet.configuration_by_id["i1-0-0"]
        put = (await editor.put(service("orders"), 0, "c1")).ok_value
        await asyncio.sleep(2)
        assert editor.missing(put.revision) == ["i0-0-0"]

    _run(scenario)


def test_new_instance_starts_from_its_peers_while_the_store_is_down() -> None:
    async def scenario(fleet: ConfigurationFleet) -> None:
        await fleet.start_all(2, 2, 2)
        editor = fleet.configuration_by_id["i0-0-0"]
        await editor.put(service("orders", 1), 0, "c1")
        first = (await editor.put(service("photos", 1), 0, "c2")).ok_value
        await wait_until(lambda: fleet.all_at("photos", first.revision))
        fleet.set_store_down(True)
        calls = fleet.store_calls()
        fresh = await fleet.start("fresh", "r1", "r1z0")
        assert not fresh.ready.is_set()
        await wait_until(fresh.ready.is_set)
        assert len(fleet.replica_by_id["fresh"].services()) == 2
        assert fresh.table.applied == first.revision
        assert fleet.store_calls() <= calls + 60

    _run(scenario)


def test_later_change_does_not_mask_a_missing_one() -> None:
    async def scenario(fleet: ConfigurationFleet) -> None:
        ids = await fleet.start_all(1, 1, 2)
        source, lagging = (fleet.configuration_by_id[each] for each in ids)
        hub = fleet.members.hub
        fleet.faulty_store_by_id[ids[1]].is_down = True
        await asyncio.sleep(20)
        hub.is_lost = lambda _, receiver, message: (
            receiver == ids[1] and isinstance(message, Records | RecordHeads)
        )
        await source.put(service("missed"), 0, "c1")
        before = lagging.table.applied
        await asyncio.sleep(1)
        hub.is_lost = lambda _, receiver, message: isinstance(message, RecordHeads)
        later = (await source.put(service("later"), 0, "c2")).ok_value
        await asyncio.sleep(1)
        assert fleet.replica_by_id[ids[1]].service("later") is not None
        assert lagging.table.applied == before
        assert source.missing(later.revision) == [ids[1]]
        hub.is_lost = lambda *_: False
        await wait_until(lambda: lagging.table.applied == later.revision)
        assert fleet.replica_by_id[ids[1]].service("missed") is not None

    _run(scenario)


def test_new_instance_receives_the_snapshot_from_one_neighbour_only() -> None:
    async def scenario(fleet: ConfigurationFleet) -> None:
        await fleet.start_all(2, 2, 3)
        editor = fleet.configuration_by_id["i0-0-0"]
        for number in range(60):
            last = (await editor.put(service(f"s{number}"), 0, f"n{number}")).ok_value
        await wait_until(lambda: fleet.all_at("s59", last.revision))
        fresh = await fleet.start("fresh", "r1", "r1z0")
        network = fleet.members.by_id["fresh"].network
        names: list[str] = []
        network.subscribe(Records, lambda _, message: names.extend(r[0] for r in message.records))
        await wait_until(fresh.ready.is_set)
        await asyncio.sleep(30)
        assert len(network.neighbours()) > 2
        assert sorted(names) == sorted(f"s{number}" for number in range(60))

    _run(scenario)


def test_new_instance_waits_for_a_newer_revision_reported_by_peers() -> None:
    async def scenario(fleet: ConfigurationFleet) -> None:
        ids = await fleet.start_all(2, 2, 2)
        here = [each for each in ids if each.startswith("i0")]
        there = [each for each in ids if each.startswith("i1")]
        for each in here:
            fleet.faulty_store_by_id[each].is_down = True
        fleet.members.hub.cut(here, there)
        editor = fleet.configuration_by_id["i1-0-0"]
        put = (await editor.put(service("orders"), 0, "c1")).ok_value
        await asyncio.sleep(1)
        # An instance of the stale region learns of the revision, but no peer there has its records.
        fleet.configuration_by_id["i0-0-0"].table.record_reported_revision(put.revision)
        fleet.set_store_down(True)
        fresh = await fleet.start("fresh", "r0", "r0z1")
        fleet.members.hub.cut(["fresh"], there)
        await asyncio.sleep(60)
        assert not fresh.ready.is_set()
        fleet.members.hub.heal()
        await wait_until(fresh.ready.is_set)
        assert fleet.replica_by_id["fresh"].service("orders") is not None

    _run(scenario)


def test_healed_region_catches_up_including_deletions() -> None:
    async def scenario(fleet: ConfigurationFleet) -> None:
        ids = await fleet.start_all(3, 2, 2)
        editor = fleet.configuration_by_id["i1-0-0"]
        old = (await editor.put(service("old"), 0, "c0")).ok_value
        await wait_until(lambda: fleet.all_at("old", old.revision))
        lost = [each for each in ids if each.startswith("i0")]
        for each in lost:
            fleet.faulty_store_by_id[each].is_down = True
        fleet.members.hub.cut(lost, [each for each in ids if each not in lost])
        last = (await editor.delete("old", old.revision, "c1")).ok_value
        for number in range(20):
            last = (await editor.put(service(f"s{number}"), 0, f"n{number}")).ok_value
        await asyncio.sleep(90)
        assert fleet.replica_by_id["i0-0-0"].service("old") is not None
        fleet.members.hub.heal()
        await wait_until(lambda: fleet.all_at("s19", last.revision))
        await wait_until(lambda: editor.missing(last.revision) == [])
        assert all(each.service("old") is None for each in fleet.replica_by_id.values())
        assert all(len(each.services()) == 20 for each in fleet.replica_by_id.values())

    _run(scenario)


def test_full_read_after_compaction_applies_deletions() -> None:
    async def scenario(fleet: ConfigurationFleet) -> None:
        await fleet.start_all(1, 1, 1)
        editor = fleet.configuration_by_id["i0-0-0"]
        kept = (await editor.put(service("kept"), 0, "c0")).ok_value
        gone = (await editor.put(service("gone"), 0, "c1")).ok_value
        fleet.set_store_down(True)
        await asyncio.sleep(1)
        prefix = "/heatherhead/services/"
        await fleet.store.compare_and_swap(f"{prefix}gone", gone.revision, None)
        fleet.store.compact(fleet.store.revision)
        fleet.set_store_down(False)
        replica = fleet.replica_by_id["i0-0-0"]
        await wait_until(lambda: replica.service("gone") is None)
        assert replica.by_name["gone"].revision == fleet.store.revision
        assert replica.by_name["kept"].revision == kept.revision

    _run(scenario)


def test_unreadable_document_in_the_store_leaves_the_rest_applied() -> None:
    async def scenario(fleet: ConfigurationFleet) -> None:
        await fleet.start_all(1, 1, 2)
        editor = fleet.configuration_by_id["i0-0-0"]
        put = (await editor.put(service("orders"), 0, "c0")).ok_value
        await fleet.store.compare_and_swap("/heatherhead/services/orders", put.revision, b"{}")
        other = (await editor.put(service("photos"), 0, "c1")).ok_value
        await wait_until(lambda: fleet.all_at("photos", other.revision))
        assert fleet.all_at("orders", put.revision)

    _run(scenario)
