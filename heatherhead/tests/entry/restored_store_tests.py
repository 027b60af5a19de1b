"""Tests of a store that comes back from a copy some seconds old, and gives revisions out again."""

from __future__ import annotations

import asyncio
import json
from copy import deepcopy
from typing import TYPE_CHECKING, Any

import pytest

from heatherhead.platform.store import create_platform_store
from heatherhead.tests.entry.instances import CONFIGURATION, Instances, loopback_prefix
from heatherhead.tests.platform.fake_platform_store import FakePlatformStore

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from heatherhead.entry.service import EntryService

CONFIG_APPLY_S = 2.5  # the platform's `ConfigApplyS`
STEADY_S = 1.5  # by then all instances have heard of each other
HTTP_NO_MATCH = 404


def _configuration(version: int, *prefixes: str) -> bytes:
    document: dict[str, Any] = deepcopy(CONFIGURATION)
    document["ConfigVersion"] = version
    for prefix in prefixes:
        document["Routes"][prefix] = {**document["Routes"]["read"], "Prefix": f"/{prefix}/"}
    return json.dumps(document).encode()


def _entry(fleet: Instances, number: int, **changes: object) -> bytes:
    return json.dumps({**fleet.upstreams[number].entry(number), **changes}).encode()


async def _until(condition: Callable[[], bool], within_s: float) -> bool:
    """Wait until a condition holds; return whether it did in time."""
    loop = asyncio.get_running_loop()
    end = loop.time() + within_s
    while not condition():
        if loop.time() >= end:
            return False
        await asyncio.sleep(0.02)
    return True


def _all_apply(services: list[EntryService], version: int) -> Callable[[], bool]:
    return lambda: all(each.table.configuration.version == version for each in services)


def _run(
    scenario: Callable[[Instances, FakePlatformStore], Coroutine[Any, Any, None]],
    ip_prefix: str,
    instances: int = 6,
) -> None:
    async def main() -> None:
        store = FakePlatformStore(page=500)
        address = await store.start()
        fleet = Instances(
            create_platform_store(address), ip_prefix, lambda: create_platform_store(address)
        )
        await fleet.add_upstreams(4)
        await fleet.start(instances)
        await asyncio.sleep(STEADY_S)
        await scenario(fleet, store)
        await fleet.stop()
        await fleet.store.close()
        await store.stop()

    asyncio.run(main())


@pytest.mark.parametrize("lost_changes", [3, 5])
def test_configuration_is_applied_whose_revision_was_given_out_before(lost_changes: int) -> None:
    """It reached the revision that all instances held, was taken for known, and was never applied."""

    async def scenario(fleet: Instances, store: FakePlatformStore) -> None:
        copied = store.copy()
        for number in range(lost_changes):
            store.put("op/config", _configuration(2 + number, "added"))
        lost_version = 1 + lost_changes
        assert await _until(_all_apply(fleet.services, lost_version), CONFIG_APPLY_S)
        store.away = True
        await asyncio.sleep(0.5)
        store.restore(copied)
        store.away = False
        store.put("op/config", _configuration(lost_version, "added"))
        await asyncio.sleep(0.5)
        for version in range(lost_version + 1, lost_version + 4):
            store.put("op/config", _configuration(version, "added", f"later{version}"))
            assert await _until(_all_apply(fleet.services, version), CONFIG_APPLY_S)

    _run(scenario, loopback_prefix(84))


def _states(fleet: Instances, upstream_id: str) -> set[bool]:
    """Return whether instances may send calls to an upstream."""
    return {service.dispatcher.state(upstream_id) is not None for service in fleet.services}


def test_upstreams_that_left_stay_away_although_the_copy_still_has_them() -> None:
    async def scenario(fleet: Instances, store: FakePlatformStore) -> None:
        copied = store.copy()
        store.put("servers/i-0", _entry(fleet, 0, State="draining", Sequence=2))
        store.remove("servers/i-1")
        assert await _until(
            lambda: _states(fleet, "i-0") == _states(fleet, "i-1") == {False}, CONFIG_APPLY_S
        )
        store.restore(copied)
        seen = []
        end = asyncio.get_running_loop().time() + 4.0
        while asyncio.get_running_loop().time() < end:
            seen.append(_states(fleet, "i-0") | _states(fleet, "i-1"))
            await asyncio.sleep(0.02)
        assert all(each == {False} for each in seen)
        # A later entry of the same start shows that it is alive.
        store.put("servers/i-1", _entry(fleet, 1, Sequence=9))
        assert await _until(lambda: _states(fleet, "i-1") == {True}, CONFIG_APPLY_S)

    _run(scenario, loopback_prefix(85), instances=4)


def test_upstream_that_the_copy_lacks_is_kept_for_the_grace_and_then_removed() -> None:
    async def scenario(fleet: Instances, store: FakePlatformStore) -> None:
        entries = {f"servers/i-{number}": _entry(fleet, number, Sequence=2) for number in (2, 3)}
        for key in entries:
            store.remove(key)
        assert await _until(lambda: _states(fleet, "i-2") == {False}, CONFIG_APPLY_S)
        copied = store.copy()
        for key, value in entries.items():
            store.put(key, value)
        assert await _until(
            lambda: _states(fleet, "i-2") == _states(fleet, "i-3") == {True}, CONFIG_APPLY_S
        )
        store.restore(copied)
        await asyncio.sleep(0.8)
        assert _states(fleet, "i-2") == _states(fleet, "i-3") == {True}
        store.put("servers/i-2", entries["servers/i-2"])
        assert await _until(lambda: _states(fleet, "i-3") == {False}, 3.0)
        assert _states(fleet, "i-2") == {True}

    _run(scenario, loopback_prefix(86), instances=4)


def test_second_copy_and_instances_that_start_between_or_were_cut_off() -> None:
    """Peers hand each other what they hold; that of an older history must replace nothing."""

    async def scenario(fleet: Instances, store: FakePlatformStore) -> None:
        copied = store.copy()
        for version in (2, 3):
            store.put("op/config", _configuration(version, "added"))
        assert await _until(_all_apply(fleet.services, 3), CONFIG_APPLY_S)
        cut_off = fleet.services[0]
        cut_off.follower._store._base = "http://127.0.0.1:1"  # it reaches its peers only
        store.restore(copied)
        store.put("op/config", _configuration(3, "added"))
        started = await fleet.add_instance(9)
        store.put("op/config", _configuration(4, "added", "later4"))
        assert await _until(_all_apply(fleet.services, 4), CONFIG_APPLY_S)
        assert started in fleet.services
        copied = store.copy()
        store.put("op/config", _configuration(5, "added"))
        assert await _until(_all_apply(fleet.services, 5), CONFIG_APPLY_S)
        store.restore(copied)
        store.put("op/config", _configuration(6, "added", "later6"))
        assert await _until(_all_apply(fleet.services, 6), CONFIG_APPLY_S)
        keys = [key for key in store.items if key.startswith("heatherhead/instances/")]
        assert len(keys) >= 2, keys

    _run(scenario, loopback_prefix(87))


def test_announcement_that_the_copy_lacks_is_written_again() -> None:
    async def scenario(fleet: Instances, store: FakePlatformStore) -> None:
        announced = {key for key in store.items if key.startswith("heatherhead/instances/")}
        assert announced
        copied = store.copy()
        for key in announced:
            del copied["items"][key]
        copied["leases"].clear()
        store.restore(copied)
        assert await _until(lambda: announced <= set(store.items), CONFIG_APPLY_S), store.items

    _run(scenario, loopback_prefix(88), instances=4)
