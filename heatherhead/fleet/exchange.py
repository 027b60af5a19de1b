"""Sends status, loads, call counts, contention, crashes and departures to peers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from heatherhead.fleet.home_view import STATUS_S
from heatherhead.fleet.peer_messages import (
    CallCounts,
    CrashNotice,
    CrowdingReport,
    HomeStatus,
    LeaveNotice,
    LoadReport,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from heatherhead.dispatch.crowding import CrowdingEvidence
    from heatherhead.dispatch.upstream_state import LoadReading
    from heatherhead.fleet.home_view import HomeView
    from heatherhead.fleet.members import Member, MemberTable
    from heatherhead.fleet.peer_channel import PeerChannel
    from heatherhead.fleet.replica import StoreReplica
    from heatherhead.fleet.store_follower import StoreFollower

__all__ = ["FleetExchange", "create_fleet_exchange"]

COUNTS_S = 0.002  # batches changes into one datagram; about a zone's round trip
REPORT_S = 0.04  # batches readings into one datagram
LONGEST_AGE_S = 60.0  # greater ages are reported as this value
MAX_ROWS = 40  # a datagram; fits one packet


class FleetExchange:
    """Sends this instance's messages to its peers, periodically and on changes."""

    def __init__(
        self,
        members: MemberTable,
        homes: HomeView,
        replica: StoreReplica,
        channel: PeerChannel,
        follower: StoreFollower,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._members = members
        self._homes = homes
        self._replica = replica
        self._channel = channel
        self._follower = follower
        self._reading_by_id: dict[str, LoadReading] = {}
        self._count_by_id: dict[str, int] = {}  # non-zero
        self._changed_ids: set[str] = set()
        self._counts: asyncio.TimerHandle | None = None
        self._report: asyncio.TimerHandle | None = None
        self._status: asyncio.TimerHandle | None = None
        self.on_tick: Callable[[], None] = lambda: None
        self.crowding: Callable[[], dict[str, CrowdingEvidence]] = dict

    def start(self) -> None:
        """Send the first status and schedule the next ones."""
        self.tell_status()

    def stop(self) -> None:
        """Cancel pending messages and close the channel."""
        for timer in (self._report, self._status, self._counts):
            if timer is not None:
                timer.cancel()
        self._channel.close()

    def add_reading(self, upstream_id: str, reading: LoadReading) -> None:
        """Report a load reading to the other homes of the cell."""
        self._reading_by_id[upstream_id] = reading
        if self._report is None:
            self._report = self._loop.call_later(REPORT_S, self._tell_loads)

    def set_count(self, upstream_id: str, count: int) -> None:
        """Report to the other homes of the cell how many own calls an upstream has in flight."""
        if count:
            self._count_by_id[upstream_id] = count
        else:
            self._count_by_id.pop(upstream_id, None)
        self._changed_ids.add(upstream_id)
        if self._counts is None and self._homes.is_home():
            self._counts = self._loop.call_later(COUNTS_S, self._tell_counts)

    def _tell_counts(self) -> None:
        self._counts = None
        counts = {each: self._count_by_id.get(each, 0) for each in self._changed_ids}
        self._changed_ids.clear()
        own = self._members.own
        self._channel.send(self._co_homes(), CallCounts(own.id, False, counts))

    def _co_homes(self) -> list[Member]:
        """List the other homes of the own cell: few, whatever the size of the region."""
        own_id = self._members.own.id
        return [home for home in self._homes.cell_homes() if home.id != own_id]

    def tell_crash(self, fingerprint: int, crashes: int) -> None:
        """Announce to all instances a request that crashes upstreams."""
        notice = CrashNotice(self._members.own.id, fingerprint, crashes)
        self._channel.send(self._others(None), notice)

    def tell_leaving(self) -> None:
        """Announce to the region that this instance leaves."""
        own = self._members.own
        self._channel.send(self._others(own.region), LeaveNotice(own.id, own.incarnation))

    def _others(self, region: str | None) -> list[Member]:
        own_id = self._members.own.id
        return [
            each
            for each in self._members.by_id.values()
            if each.id != own_id and (region is None or each.region == region)
        ]

    def tell_status(self) -> None:
        """Update the homes, publish the status if this instance is one, and schedule the next run."""
        if self._status is not None:
            self._status.cancel()
        self._status = self._loop.call_later(STATUS_S, self.tell_status)
        self._homes.homes()
        self.on_tick()
        if not self._homes.is_home():
            return
        own = self._members.own
        status = HomeStatus(
            own.id,
            own.incarnation,
            self._homes.own_ready,
            self._replica.revision,
            min(LONGEST_AGE_S, self._follower.verified_age_s),
            self._follower.store_ok and self._follower.watches,
            round(self._homes.own_calls_per_s),
        )
        self._channel.send(self._others(own.region), status)
        self._channel.send(self._far_homes(), status)
        # Complete lists make up for lost datagrams.
        self._channel.send(self._co_homes(), CallCounts(own.id, True, self._count_by_id))
        evidence = self.crowding()
        if evidence:
            self._channel.send(self._co_homes(), CrowdingReport(own.id, evidence))

    def _far_homes(self) -> list[Member]:
        """List the homes of other regions: by rank, and those that sent a status recently."""
        own_region = self._members.own.region
        regions = {each.region for each in self._members.by_id.values()} - {own_region}
        far_by_id = {home.id: home for region in regions for home in self._homes.far_homes(region)}
        for member_id in self._homes.heard_lately():
            member = self._members.by_id.get(member_id)
            if member is not None and member.region != own_region:
                far_by_id[member_id] = member
        return list(far_by_id.values())

    def _tell_loads(self) -> None:
        self._report = None
        own_id = self._members.own.id
        peers = self._co_homes()
        now = self._loop.time()
        rows = [
            (upstream_id, each.running, each.waiting, each.slots, each.slowdown, now - each.read_at)
            for upstream_id, each in self._reading_by_id.items()
        ]
        self._reading_by_id.clear()
        for first in range(0, len(rows), MAX_ROWS):
            report = LoadReport(own_id, tuple(rows[first : first + MAX_ROWS]))
            self._channel.send(peers, report)


def create_fleet_exchange(
    members: MemberTable,
    homes: HomeView,
    replica: StoreReplica,
    channel: PeerChannel,
    follower: StoreFollower,
) -> FleetExchange:
    """Create an exchange; must be called inside the running loop."""
    return FleetExchange(members, homes, replica, channel, follower)
