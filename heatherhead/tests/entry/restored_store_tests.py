"""Tests of a store that comes back from a copy some seconds old, and gives revisions out again."""

from __future__ import annotations

import asyncio
import json
from copy import deepcopy
from typing import TYPE_CHECKING, Any

import pytest

from heatherhead.platform.store import create_platform_store
from heatherhead.tests.entry.instances import CONFIGURATION, Instances
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


@pytest.mark.xfail(reason="KNOWN-RED.txt, issue 29", strict=True)
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

    _run(scenario, "127.84.1")
