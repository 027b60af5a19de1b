"""Polls the instance list, often on a few instances and seldom on the others."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from result import Err

from heatherhead.backoff import create_backoff
from heatherhead.membership.interface import InstanceState
from heatherhead.membership.member_table import Member
from heatherhead.routing.rendezvous import score
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from random import Random

    from heatherhead.membership.instance_list import InstanceList
    from heatherhead.membership.interface import Instance
    from heatherhead.membership.links import PeerLinks
    from heatherhead.membership.member_table import MemberTable
    from heatherhead.settings.membership import MembershipSettings

__all__ = ["ListPoller", "create_list_poller", "is_among_best"]

POLLERS_PER_REGION = 2
FIRST_RETRY_S = 0.5
LONGEST_RETRY_S = 30.0
FIRST_REACH_S = 2.0
REACHES_PER_S = 10.0  # of the whole fleet, at instances that are listed but not reached


def is_among_best(table: MemberTable, job: str, count: int) -> bool:
    """Tell whether this instance is among the best `count` of its region for a job.

    By rendezvous over the live instances of its own view; where views differ, a few more or
    fewer do the job, and none is appointed.
    """
    own = table.own
    candidates = [
        each.id
        for each in table.by_id.values()
        if each.sequence
        and each.state is InstanceState.LIVE
        and each.instance.region == own.instance.region
    ]
    ranked = sorted(candidates, key=lambda each: score(job, each), reverse=True)
    return own.id in ranked[:count]


class ListPoller:
    """Feeds the member table from the list, and tries listed instances that seem gone."""

    def __init__(
        self,
        settings: MembershipSettings,
        instance_list: InstanceList,
        table: MemberTable,
        links: PeerLinks,
        random: Random,
    ) -> None:
        self._settings = settings
        self._list = instance_list
        self._table = table
        self._links = links
        self._random = random
        self._listed_by_id: dict[str, Instance] = {}
        self._dead_since_by_id: dict[str, float] = {}
        self.leaves_by_itself = False

    async def run(self) -> None:
        """Poll until cancelled."""
        backoff = create_backoff(FIRST_RETRY_S, LONGEST_RETRY_S, self._random)
        while True:
            answer = await self._list.read()
            if isinstance(answer, Err):
                log_event("instance_list_failed", level="WARNING", reason=answer.err_value.reason)
                await asyncio.sleep(backoff.next_s())
                continue
            backoff.reset()
            self._take_in(answer.ok_value)
            await asyncio.sleep(self._wait_s())

    async def run_reaching(self) -> None:
        """Try instances that seem gone, one at a time, until cancelled."""
        while True:
            fleet_size = len(self._table.by_id)
            wait_s = max(FIRST_REACH_S, fleet_size / REACHES_PER_S)
            await asyncio.sleep(wait_s * (0.5 + self._random.random()))
            self._forget_old()
            self._reach_one()

    def _wait_s(self) -> float:
        is_leaving = self._table.own.state is not InstanceState.LIVE
        is_poller = is_among_best(self._table, "instance-list", POLLERS_PER_REGION)
        seldom, often = self._settings.list_seldom_poll_s, self._settings.list_poll_s
        wait_s = often if is_poller or is_leaving else seldom
        return wait_s * (0.8 + 0.4 * self._random.random())

    def _take_in(self, listed: list[Instance]) -> None:
        self._listed_by_id = {each.id: each for each in listed}
        for each in listed:
            if each.id == self._table.own_id:
                self._take_in_own(each)
                continue
            self._table.merge(Member(replace(each, state=InstanceState.LIVE), 0))
            held = self._table.by_id.get(each.id)
            is_same = held is not None and held.instance.peers == each.peers
            if each.state is InstanceState.LEAVING and is_same:
                self._table.judge(each.id, InstanceState.LEAVING)

    def _take_in_own(self, listed: Instance) -> None:
        """Follow the platform's word on this instance, but never come back from own leaving."""
        own = self._table.own.instance
        is_same = listed.peers == own.peers
        if is_same and not self.leaves_by_itself and listed.state is not own.state:
            self._table.set_own(replace(own, state=listed.state))

    def _reach_one(self) -> None:
        gone = [
            each.instance
            for each in self._table.by_id.values()
            if each.id != self._table.own_id
            and (each.state is InstanceState.DEAD or each.sequence == 0)
        ]
        if gone:
            self._links.try_reach(self._random.choice(gone))

    def _forget_old(self) -> None:
        now = asyncio.get_running_loop().time()
        dead = [
            each.id
            for each in self._table.by_id.values()
            if (each.state is InstanceState.DEAD or each.sequence == 0)
            and each.id not in self._listed_by_id
        ]
        since = self._dead_since_by_id
        self._dead_since_by_id = {each: since.get(each, now) for each in dead}
        for instance_id, dead_since in list(self._dead_since_by_id.items()):
            if now - dead_since >= self._settings.forget_after_s:
                self._table.forget(instance_id)


def create_list_poller(
    settings: MembershipSettings,
    instance_list: InstanceList,
    table: MemberTable,
    links: PeerLinks,
    random: Random,
) -> ListPoller:
    """Create the poller of an instance list."""
    return ListPoller(settings, instance_list, table, links, random)
