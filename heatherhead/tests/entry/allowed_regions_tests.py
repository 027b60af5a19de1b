"""Tests of calls with allowed regions over real instances; each names what it guards against."""

from __future__ import annotations

import asyncio
from copy import deepcopy
from typing import TYPE_CHECKING, Any

from heatherhead.store.memory import create_memory_store
from heatherhead.tests.entry.cut_links import Cut, CutLinks
from heatherhead.tests.entry.instances import (
    CONFIGURATION,
    REGION_BY_ZONE,
    Instances,
    loopback_prefix,
    write,
)
from heatherhead.tests.proxy.fakes import recorded_events

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterable

    from heatherhead.entry.service import EntryService

STEADY_S = 1.5  # by then all instances have heard of each other
SEEN_S = 4.5  # by then each kept connection has been used since, or closed; so a cut knows it
CALL_INTERVAL_S = 0.02
CALLS = 60
PLAIN, ONLY_R2 = ({"Authorization": f"Token {key}"} for key in ("k1", "k2"))


def _configuration() -> dict[str, Any]:
    document: dict[str, Any] = deepcopy(CONFIGURATION)
    document["ConfigVersion"] = 2
    document["Routes"]["confined"] = {
        **document["Routes"]["read"],
        "Prefix": "/confined/",
        "AllowedRegions": ["r1"],
    }
    document["Tenants"] = {
        "plain": {"ApiKeys": ["k1"]},
        "only_r2": {"ApiKeys": ["k2"], "AllowedRegions": ["r2"]},
    }
    return document


def _run(scenario: Callable[[Instances], Coroutine[Any, Any, None]], ip_prefix: str) -> None:
    async def main() -> None:
        fleet = Instances(create_memory_store(), ip_prefix)
        await fleet.add_upstreams(6)
        await fleet.start(6)
        await write(fleet.store, "op/config", _configuration())
        await asyncio.sleep(STEADY_S)
        await scenario(fleet)
        await fleet.stop()

    asyncio.run(main())


def _region(number: int) -> str:
    return REGION_BY_ZONE[f"z{number % len(REGION_BY_ZONE)}"]


async def _send(
    fleet: Instances, services: Iterable[EntryService], path: str, **headers: str
) -> set[str]:
    """Send calls to some instances in turn; return the regions that they came to."""
    services = list(services)
    fleet.statuses.clear()
    fleet.rejected_after_s.clear()
    before = [len(each.arrivals) for each in fleet.upstreams]
    async with asyncio.TaskGroup() as tasks:
        for number in range(CALLS):
            service = services[number % len(services)]
            tasks.create_task(fleet.call(service, path=path, **headers))
            await asyncio.sleep(CALL_INTERVAL_S)
    return {
        _region(number)
        for number, each in enumerate(fleet.upstreams)
        if len(each.arrivals) > before[number]
    }


def test_calls_reach_upstreams_of_allowed_regions_only() -> None:
    """Guards against a restriction of the route or of the customer that is left out somewhere."""

    async def scenario(fleet: Instances) -> None:
        assert await _send(fleet, fleet.services, "/confined/1", **PLAIN) == {"r1"}
        assert set(fleet.statuses) == {200}
        assert await _send(fleet, fleet.services, "/read/1", **ONLY_R2) == {"r2"}
        assert set(fleet.statuses) == {200}
        assert await _send(fleet, fleet.services, "/read/1", **PLAIN) == {"r0", "r1", "r2"}
        assert set(fleet.statuses) == {200}
        # Route and customer have no region in common.
        assert await _send(fleet, fleet.services, "/confined/1", **ONLY_R2) == set()
        assert set(fleet.statuses) == {503}
        assert max(fleet.rejected_after_s) < 0.3

    _run(scenario, loopback_prefix(77))


def test_detour_takes_peers_of_allowed_regions_only() -> None:
    """Guards against a body that is sent to an instance of a region that is not allowed."""

    async def scenario(fleet: Instances) -> None:
        cut, links = fleet.services[0], CutLinks(fleet.services[0])
        allowed = {
            each.settings.host
            for number, each in enumerate(fleet.services)
            if _region(number) == "r1"
        }
        await asyncio.sleep(SEEN_S)
        links.cut(Cut.RESET)
        await _send(fleet, [cut], "/confined/1", **PLAIN)
        with recorded_events("detour") as detours:
            assert await _send(fleet, [cut], "/confined/1", **PLAIN) == {"r1"}
        assert fleet.statuses[200] >= CALLS - 2
        assert {each["peer"].host for each in detours} <= allowed  # type: ignore[attr-defined]
        assert len(detours) >= CALLS / 2
        links.heal()

    _run(scenario, loopback_prefix(78))


def test_loss_of_a_region_ends_the_calls_that_may_run_there_only() -> None:
    """Guards against calls of other regions that are refused, or wait, for a region that is lost."""

    async def scenario(fleet: Instances) -> None:
        lost = frozenset(
            each.id for number, each in enumerate(fleet.upstreams) if _region(number) == "r1"
        )
        links = [CutLinks(each) for each in fleet.services]
        await asyncio.sleep(SEEN_S)
        for each in links:
            each.cut(Cut.RESET, lost)
        await _send(fleet, fleet.services, "/confined/1", **PLAIN)
        assert await _send(fleet, fleet.services, "/confined/1", **PLAIN) == set()
        assert set(fleet.statuses) == {503}
        assert await _send(fleet, fleet.services, "/read/1", **PLAIN) == {"r0", "r2"}
        assert set(fleet.statuses) == {200}
        for each in links:
            each.heal()
        await asyncio.sleep(5.0)  # the longest ejection is over
        assert await _send(fleet, fleet.services, "/confined/1", **PLAIN) == {"r1"}
        assert set(fleet.statuses) == {200}

    _run(scenario, loopback_prefix(79))
