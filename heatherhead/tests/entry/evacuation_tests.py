"""Tests of evacuated zones over real instances, with a store that is cut off or restored."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

from heatherhead.platform.store import create_platform_store
from heatherhead.store.memory import create_memory_store
from heatherhead.tests.entry.instances import REGION_BY_ZONE, Instances, loopback_prefix, write
from heatherhead.tests.faulty_store import FaultyStore, create_faulty_store
from heatherhead.tests.platform.fake_platform_store import FakePlatformStore

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

EVACUATE_S = 2.5  # half of the platform's `EvacuateS`
MEASURED_S = 1.0
CALLS_PER_S = 60.0
KEY = "op/evacuate/z0"
ZONE = frozenset({"z0"})


async def until(condition: Callable[[], bool], within_s: float) -> bool:
    """Wait until a condition holds; return whether it did in time."""
    loop = asyncio.get_running_loop()
    end = loop.time() + within_s
    while not condition():
        if loop.time() >= end:
            return False
        await asyncio.sleep(0.02)
    return True


def _all_evacuate(fleet: Instances, zones: frozenset[str]) -> Callable[[], bool]:
    return lambda: all(each.evacuations.zones == zones for each in fleet.services)


async def _arrivals(fleet: Instances, zone: str) -> int:
    """Send calls to all instances, each of which is served; return how many came to a zone."""
    number = list(REGION_BY_ZONE).index(zone)
    upstreams = fleet.upstreams[number :: len(REGION_BY_ZONE)]
    fleet.statuses.clear()
    before = sum(len(each.arrivals) for each in upstreams)
    await fleet.send_calls(CALLS_PER_S, MEASURED_S)
    assert set(fleet.statuses) == {200}
    return sum(len(each.arrivals) for each in upstreams) - before


async def _remove(fleet: Instances, key: str) -> None:
    revision = (await fleet.store.read_prefix(key)).unwrap().by_key[key].mod_revision
    assert (await fleet.store.compare_and_swap(key, revision, None, 0)).unwrap().succeeded


def test_evacuated_zone_gets_no_calls_from_any_instance_until_its_key_is_removed() -> None:
    """Guards against instances that don't take the key up, and against checks that end with it."""

    async def main() -> None:
        fleet = Instances(create_memory_store(), loopback_prefix(71))
        await fleet.add_upstreams(6)
        await fleet.start(7)
        assert await _arrivals(fleet, "z0") > 0
        for _ in range(2):
            await write(fleet.store, KEY, {})
            await write(fleet.store, KEY, {})  # again while set
            await write(fleet.store, "op/evacuate/nowhere", {})
            assert await until(_all_evacuate(fleet, ZONE | {"nowhere"}), EVACUATE_S)
            assert await _arrivals(fleet, "z0") == 0
            checks = fleet.upstreams[0].health_checks
            await asyncio.sleep(1.0)
            assert fleet.upstreams[0].health_checks >= checks + 5
            gauges = fleet.services[0].metrics.gauge_reader_by_name
            assert gauges["evacuated_zones"]() == 1
            await _remove(fleet, KEY)
            await _remove(fleet, "op/evacuate/nowhere")
            assert await until(_all_evacuate(fleet, frozenset()), EVACUATE_S)
            assert await _arrivals(fleet, "z0") > 0
        await fleet.stop()

    asyncio.run(main())


def test_calls_are_refused_as_not_run_when_all_zones_are_evacuated() -> None:
    """Guards against calls that wait for upstreams that nobody may use."""

    async def main() -> None:
        fleet = Instances(create_memory_store(), loopback_prefix(72))
        await fleet.add_upstreams(2)
        await fleet.start(2)
        for zone in ("z0", "z1"):
            await write(fleet.store, f"op/evacuate/{zone}", {})
        assert await until(_all_evacuate(fleet, frozenset({"z0", "z1"})), EVACUATE_S)
        fleet.statuses.clear()
        await fleet.send_calls(20.0, 0.5)
        assert set(fleet.statuses) == {503}
        assert max(fleet.rejected_after_s) < 0.3
        await fleet.stop()

    asyncio.run(main())


def test_instances_cut_from_the_store_follow_their_peers_and_then_keep_what_they_know() -> None:
    """Guards against an instance that sends to the zone as it can't read the key itself."""

    async def main() -> None:
        store = create_memory_store()
        stores: list[FaultyStore] = []

        def create() -> FaultyStore:
            stores.append(create_faulty_store(store))
            return stores[-1]

        fleet = Instances(store, loopback_prefix(73), create)
        await fleet.add_upstreams(6)
        await fleet.start(6)
        await asyncio.sleep(1.0)
        for each in stores[:3]:
            each.is_down = True
        await write(store, KEY, {})
        assert await until(_all_evacuate(fleet, ZONE), EVACUATE_S)
        for each in stores:
            each.is_down = True
        await _remove(fleet, KEY)
        assert await _arrivals(fleet, "z0") == 0
        for each in stores:
            each.is_down = False
        # Removed while the store was away: all return, after the grace period of an outage.
        assert await until(_all_evacuate(fleet, frozenset()), 10.0)
        assert await _arrivals(fleet, "z0") > 0
        await fleet.stop()

    asyncio.run(main())


def _run_with_restorable_store(
    scenario: Callable[[Instances, FakePlatformStore], Coroutine[Any, Any, None]], ip_prefix: str
) -> None:
    async def main() -> None:
        store = FakePlatformStore(page=500)
        address = await store.start()
        fleet = Instances(
            create_platform_store(address), ip_prefix, lambda: create_platform_store(address)
        )
        await fleet.add_upstreams(6)
        await fleet.start(6)
        await asyncio.sleep(1.0)
        await scenario(fleet, store)
        await fleet.stop()
        await fleet.store.close()
        await store.stop()

    asyncio.run(main())


def test_zone_stays_evacuated_when_its_key_is_written_again_to_a_restored_store() -> None:
    """Guards against calls to the zone between the store's return and the operator's writing."""

    async def scenario(fleet: Instances, store: FakePlatformStore) -> None:
        copied = store.copy()
        store.put(KEY, b"{}")
        assert await until(_all_evacuate(fleet, ZONE), EVACUATE_S)
        store.restore(copied)
        await asyncio.sleep(1.0)
        assert _all_evacuate(fleet, ZONE)()
        store.put(KEY, b"{}")
        await asyncio.sleep(3.0)
        assert _all_evacuate(fleet, ZONE)()
        store.remove(KEY)
        assert await until(_all_evacuate(fleet, frozenset()), EVACUATE_S)

    _run_with_restorable_store(scenario, loopback_prefix(74))


def test_zone_returns_when_a_restored_store_does_not_have_its_key() -> None:
    """Guards against a zone that stays evacuated for good, with no key left to remove."""

    async def scenario(fleet: Instances, store: FakePlatformStore) -> None:
        copied = store.copy()
        store.put(KEY, b"{}")
        assert await until(_all_evacuate(fleet, ZONE), EVACUATE_S)
        store.restore(copied)
        assert await until(_all_evacuate(fleet, frozenset()), 6.0)

    _run_with_restorable_store(scenario, loopback_prefix(75))


def test_key_in_the_copy_evacuates_its_zone_again() -> None:
    """Guards against a key at an old revision that is taken for known, as it was removed since."""

    async def scenario(fleet: Instances, store: FakePlatformStore) -> None:
        store.put(KEY, json.dumps({}).encode())
        assert await until(_all_evacuate(fleet, ZONE), EVACUATE_S)
        copied = store.copy()
        store.remove(KEY)
        assert await until(_all_evacuate(fleet, frozenset()), EVACUATE_S)
        store.restore(copied)
        assert await until(_all_evacuate(fleet, ZONE), EVACUATE_S)

    _run_with_restorable_store(scenario, loopback_prefix(76))
