"""Polls the instance list: often on a few instances of each region, seldom on the others."""

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

__all__ = ["ListPoller", "create_list_poller", "holds_role"]

POLLERS_PER_REGION = 2
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 30.0
MIN_CONNECT_INTERVAL_S = 2.0
FLEET_CONNECTS_PER_S = 10.0  # attempts of the whole fleet to connect to unreachable instances


def holds_role(table: MemberTable, role: str, count: int) -> bool:
    """Return whether this instance is one of the `count` holders of a role in its region.

    Each instance ranks the live instances of its own view by rendezvous hashing; there is no
    election. While views differ, a few more or fewer instances hold the role.
    """
    own = table.own
    candidates = [
        each.id
        for each in table.by_id.values()
        if each.sequence
        and each.state is InstanceState.LIVE
        and each.instance.region == own.instance.region
    ]
    ranked = sorted(candidates, key=lambda each: score(role, each), reverse=True)
    return own.id in ranked[:count]


class ListPoller:
    """Applies the list to the member table and tries to reconnect to unreachable instances."""

    def __init__(
        self,
        settings: MembershipSettings,
        instance_list: InstanceList,
        table: MemberTable,
        links: PeerLinks,
        rng: Random,
    ) -> None:
        self._settings = settings
        self._list = instance_list
        self._table = table
        self._links = links
        self._rng = rng
        self._listed_by_id: dict[str, Instance] = {}
        self._unreachable_since_by_id: dict[str, float] = {}
        self.has_announced_leaving = False

    async def run(self) -> None:
        """Poll until cancelled."""
        backoff = create_backoff(INITIAL_BACKOFF_S, MAX_BACKOFF_S, self._rng)
        while True:
            answer = await self._list.read()
            if isinstance(answer, Err):
                log_event("instance_list_failed", level="WARNING", reason=answer.err_value.reason)
                await asyncio.sleep(backoff.next_delay_s())
                continue
            backoff.reset()
            self._apply_list(answer.ok_value)
            await asyncio.sleep(self._wait_s())

    async def run_reconnecting(self) -> None:
        """Try to connect to unreachable instances, one at a time, until cancelled."""
        while True:
            fleet_size = len(self._table.by_id)
            wait_s = max(MIN_CONNECT_INTERVAL_S, fleet_size / FLEET_CONNECTS_PER_S)
            await asyncio.sleep(wait_s * (0.5 + self._rng.random()))
            self._remove_expired()
            self._try_one_unreachable()

    def _wait_s(self) -> float:
        is_leaving = self._table.own.state is not InstanceState.LIVE
        is_poller = holds_role(self._table, "instance-list", POLLERS_PER_REGION)
        seldom, often = self._settings.list_seldom_poll_s, self._settings.list_poll_s
        wait_s = often if is_poller or is_leaving else seldom
        return wait_s * (0.8 + 0.4 * self._rng.random())

    def _apply_list(self, listed: list[Instance]) -> None:
        self._listed_by_id = {each.id: each for each in listed}
        for each in listed:
            if each.id == self._table.own_id:
                self._apply_own_entry(each)
                continue
            self._table.merge(Member(replace(each, state=InstanceState.LIVE), 0))
            held = self._table.by_id.get(each.id)
            is_same = held is not None and held.instance.peers == each.peers
            if each.state is InstanceState.LEAVING and is_same:
                self._table.report_state(each.id, InstanceState.LEAVING)

    def _apply_own_entry(self, listed: Instance) -> None:
        """Apply the listed state of this instance, unless it has announced its own leaving."""
        own = self._table.own.instance
        is_same = listed.peers == own.peers
        if is_same and not self.has_announced_leaving and listed.state is not own.state:
            self._table.set_own(replace(own, state=listed.state))

    def _try_one_unreachable(self) -> None:
        unreachable = [
            each.instance
            for each in self._table.by_id.values()
            if each.id != self._table.own_id
            and (each.state is InstanceState.DEAD or each.sequence == 0)
        ]
        if unreachable:
            self._links.try_connect(self._rng.choice(unreachable))

    def _remove_expired(self) -> None:
        now = asyncio.get_running_loop().time()
        expiring = [
            each.id
            for each in self._table.by_id.values()
            if (each.state is InstanceState.DEAD or each.sequence == 0)
            and each.id not in self._listed_by_id
        ]
        since = self._unreachable_since_by_id
        self._unreachable_since_by_id = {each: since.get(each, now) for each in expiring}
        for instance_id, unreachable_since in list(self._unreachable_since_by_id.items()):
            if now - unreachable_since >= self._settings.forget_after_s:
                self._table.remove(instance_id)


def create_list_poller(
    settings: MembershipSettings,
    instance_list: InstanceList,
    table: MemberTable,
    links: PeerLinks,
    rng: Random,
) -> ListPoller:
    """Create the poller of an instance list; it polls once `run` is started."""
    return ListPoller(settings, instance_list, table, links, rng)
