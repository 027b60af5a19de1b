"""Tests of instances that lose their links to all upstreams."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from heatherhead.store.memory import create_memory_store
from heatherhead.tests.entry.cut_links import Cut, CutLinks
from heatherhead.tests.entry.instances import Instances, loopback_prefix

if TYPE_CHECKING:
    from heatherhead.entry.service import EntryService

SETTLE_S = 3.0  # the platform's ContactS
MEASURED_S = 2.0
CALLS_PER_S = 60.0
MAX_FAILED, MAX_FAILED_SHARE = 10, 1 / 50  # of all calls, at the cut instances


async def unserved(fleet: Instances, services: list[EntryService]) -> int:
    """Send calls to some instances in turn; return how many are not served."""
    fleet.statuses.clear()
    await fleet.send_calls(CALLS_PER_S, MEASURED_S, lambda number: services[number % len(services)])
    return fleet.statuses.total() - fleet.statuses[200]


@pytest.mark.parametrize(
    ("how", "cut_number", "instances"),
    [
        (Cut.HANG, 2, 6),
        (Cut.RESET, 2, 6),
        (Cut.REFUSE_NEW, 2, 6),
        (Cut.HANG, 5, 6),  # all but one: most regions have no instance with a path
    ],
)
def test_callers_of_instances_cut_from_upstreams_are_not_served(
    how: Cut, cut_number: int, instances: int
) -> None:
    """Such an instance stayed a home, and each call there ended at its own dead links."""

    async def main() -> None:
        fleet = Instances(create_memory_store(), loopback_prefix(90 + cut_number))
        await fleet.add_upstreams(6)
        await fleet.start(instances)
        links = [CutLinks(each) for each in fleet.services]
        await fleet.send_calls(CALLS_PER_S, 0.5)
        cut, others = fleet.services[:cut_number], fleet.services[cut_number:]
        for each in links[:cut_number]:
            each.cut(how)
        await fleet.send_calls(CALLS_PER_S, SETTLE_S)
        unserved_by_others = await unserved(fleet, others)
        unserved_by_cut = await unserved(fleet, cut)
        for each in links:
            each.heal()
        await fleet.send_calls(CALLS_PER_S, SETTLE_S)
        unserved_after = await unserved(fleet, cut)
        await fleet.stop()
        calls = CALLS_PER_S * MEASURED_S
        assert unserved_by_others <= MAX_FAILED_SHARE * calls
        assert unserved_by_cut <= MAX_FAILED + MAX_FAILED_SHARE * 2 * calls
        assert unserved_after <= MAX_FAILED_SHARE * calls

    asyncio.run(main())
