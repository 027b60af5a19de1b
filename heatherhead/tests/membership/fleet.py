"""A fleet of memberships in one process, over fake streams and an in-memory instance list."""

from __future__ import annotations

import asyncio
from itertools import product
from random import Random
from typing import TYPE_CHECKING

from heatherhead.membership.instance_list import create_memory_instance_list
from heatherhead.membership.interface import Address, Instance, InstanceState
from heatherhead.membership.member_table import create_member_table
from heatherhead.membership.service import Membership, assemble_membership
from heatherhead.settings.membership import MembershipSettings
from heatherhead.tests.fake_links import create_fake_hub

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

__all__ = ["MemberFleet", "create_member_fleet", "places", "wait_until"]

WAIT_STEP_S = 0.1


def places(regions: int, zones: int, per_zone: int) -> Iterator[tuple[str, str, str]]:
    """Yield id, region and availability zone of each instance of a fleet."""
    for region, zone, number in product(range(regions), range(zones), range(per_zone)):
        yield f"i{region}-{zone}-{number}", f"r{region}", f"r{region}z{zone}"


class MemberFleet:
    """Starts, crashes and inspects several memberships; `hub` pauses and partitions them."""

    def __init__(self, settings: MembershipSettings) -> None:
        self.hub = create_fake_hub()
        self.list = create_memory_instance_list()
        self.by_id: dict[str, Membership] = {}
        self._settings = settings
        self._starts = 0

    async def start(self, instance_id: str, region: str, zone: str) -> Membership:
        """Add an instance to the list and start it, or start a new process of a known one."""
        self._starts += 1
        address = Address("127.0.0.1", 1_000 + self._starts)
        place = (region, zone)
        own = Instance(instance_id, f"x{self._starts}", *place, address, address, address)
        self.list.by_id[instance_id] = own
        table = create_member_table(own)
        links = self.hub.create_links(table)
        random = Random(self._starts)
        membership = assemble_membership(self._settings, table, links, self.list, random)
        self.by_id[instance_id] = membership
        await membership.start()
        return membership

    async def start_all(self, regions: int, zones: int, per_zone: int) -> list[str]:
        """Start a fleet and wait until each instance sees all others; return the ids."""
        for instance_id, region, zone in places(regions, zones, per_zone):
            await self.start(instance_id, region, zone)
        await wait_until(lambda: all(self.sees(each, self.by_id) for each in self.by_id))
        return list(self.by_id)

    async def crash(self, instance_id: str) -> None:
        """Stop an instance without announcing it."""
        self.hub.crash(instance_id)
        await self.by_id.pop(instance_id).stop()

    def sees(self, instance_id: str, ids: object) -> bool:
        """Return whether exactly the instances `ids` are live in an instance's view."""
        live = {each.id for each in self.by_id[instance_id].view.live()}
        return live == set(ids)  # type: ignore[call-overload]

    def all_see(self, ids: object) -> bool:
        """Return whether exactly the instances `ids` are live in every view."""
        return all(self.sees(each, ids) for each in self.by_id)

    def states(self, instance_id: str) -> set[InstanceState | None]:
        """Return the states of an instance in the views of the others; `None` if it is unknown."""
        others = [each for each in self.by_id.values() if each.view.own.id != instance_id]
        return {
            each.view.by_id[instance_id].state if instance_id in each.view.by_id else None
            for each in others
        }

    async def stop(self) -> None:
        """Stop all instances."""
        for membership in self.by_id.values():
            await membership.stop()


async def wait_until(condition: Callable[[], bool], timeout_s: float = 60.0) -> float:
    """Wait until a condition holds; return the elapsed time in seconds."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(WAIT_STEP_S)
    return loop.time() - began_at


def create_member_fleet(**settings: object) -> MemberFleet:
    """Create a fleet without instances."""
    return MemberFleet(MembershipSettings(**settings))  # type: ignore[arg-type]
