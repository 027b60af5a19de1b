"""Sends status, loads, call counts, contention, crashes and departures to peers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from heatherhead.fleet.home_view import STATUS_INTERVAL_S
from heatherhead.fleet.peer_messages import (
    CallCounts,
    ContentionReport,
    CrashNotice,
    HomeStatus,
    LeaveNotice,
    LoadReport,
    ReachReport,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from heatherhead.dispatch.contention import ContentionEvidence
    from heatherhead.dispatch.crashes import CrashReport
    from heatherhead.dispatch.upstream_state import LoadReading
    from heatherhead.entry.settings import HostPort
    from heatherhead.fleet.home_view import HomeView
    from heatherhead.fleet.members import Member, MemberTable
    from heatherhead.fleet.peer_channel import PeerChannel
    from heatherhead.fleet.peer_messages import PeerMessage
    from heatherhead.fleet.replica import StoreReplica
    from heatherhead.fleet.store_follower import StoreFollower

__all__ = ["FleetExchange", "create_fleet_exchange"]

COUNTS_BATCH_DELAY_S = 0.002  # batches changes into one datagram; about a zone's round trip
REPORT_BATCH_DELAY_S = 0.04  # batches readings into one datagram
MAX_REPORTED_AGE_S = 60.0  # greater ages are reported as this value
MAX_REPORT_ROWS = 40  # per datagram, which then fits one packet


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
        self._counts_timer: asyncio.TimerHandle | None = None
        self._report_timer: asyncio.TimerHandle | None = None
        self._status_timer: asyncio.TimerHandle | None = None
        self.reach_report: Callable[[], ReachReport | None] = lambda: None
        self.on_tick: Callable[[], None] = lambda: None
        self.contention_evidence: Callable[[], dict[str, ContentionEvidence]] = dict

    def start(self) -> None:
        """Send the first status and schedule the next ones."""
        self.publish_status()

    def stop(self) -> None:
        """Cancel pending messages and close the channel."""
        for timer in (self._report_timer, self._status_timer, self._counts_timer):
            if timer is not None:
                timer.cancel()
        self._channel.close()

    def add_reading(self, upstream_id: str, reading: LoadReading) -> None:
        """Report a load reading to the other homes of the cell."""
        self._reading_by_id[upstream_id] = reading
        if self._report_timer is None:
            self._report_timer = self._loop.call_later(REPORT_BATCH_DELAY_S, self._send_loads)

    def set_count(self, upstream_id: str, count: int) -> None:
        """Report to the other homes of the cell how many own calls an upstream has in flight."""
        if count:
            self._count_by_id[upstream_id] = count
        else:
            self._count_by_id.pop(upstream_id, None)
        self._changed_ids.add(upstream_id)
        if self._counts_timer is None and self._homes.is_home():
            self._counts_timer = self._loop.call_later(COUNTS_BATCH_DELAY_S, self._send_counts)

    def _send_counts(self) -> None:
        self._counts_timer = None
        counts = {each: self._count_by_id.get(each, 0) for each in self._changed_ids}
        self._changed_ids.clear()
        own = self._members.own
        self._channel.send(self._cell_peers(), CallCounts(own.id, False, counts))

    def _cell_peers(self) -> list[Member]:
        """List the other homes of the own cell: few, whatever the size of the region."""
        own_id = self._members.own.id
        return [home for home in self._homes.cell_homes() if home.id != own_id]

    def send_to(self, addresses: Iterable[HostPort], message: PeerMessage) -> None:
        """Send a message to the instances at some addresses."""
        self._channel.send_to(addresses, message)

    def announce_crashes(self, report: CrashReport) -> None:
        """Announce to all instances a request that crashes upstreams."""
        notice = CrashNotice(self._members.own.id, report)
        self._channel.send(self._other_members(None), notice)

    def announce_leave(self) -> None:
        """Announce to the region that this instance leaves."""
        own = self._members.own
        self._channel.send(self._other_members(own.region), LeaveNotice(own.id, own.incarnation))

    def publish_reach(self, report: ReachReport) -> None:
        """Report to the region, and to the homes of others, what is out of this instance's reach."""
        self._channel.send(self._other_members(self._members.own.region), report)
        self._channel.send(self._homes.homes_of_other_regions(), report)

    def _other_members(self, region: str | None) -> list[Member]:
        own_id = self._members.own.id
        return [
            each
            for each in self._members.by_id.values()
            if each.id != own_id and (region is None or each.region == region)
        ]

    def publish_status(self) -> None:
        """Update the homes, publish the status if this is a home, and schedule the next run."""
        if self._status_timer is not None:
            self._status_timer.cancel()
        self._status_timer = self._loop.call_later(STATUS_INTERVAL_S, self.publish_status)
        self._homes.homes()
        self.on_tick()
        report = self.reach_report()
        if report is not None:
            self.publish_reach(report)
        if not self._homes.is_home():
            return
        own = self._members.own
        status = HomeStatus(
            own.id,
            own.incarnation,
            self._homes.own_ready,
            self._replica.revision,
            min(MAX_REPORTED_AGE_S, self._follower.verified_age_s),
            self._follower.store_ok and self._follower.is_watcher,
            round(self._homes.own_calls_per_s),
        )
        self._channel.send(self._other_members(own.region), status)
        self._channel.send(self._homes.homes_of_other_regions(), status)
        # Complete lists make up for lost datagrams.
        self._channel.send(self._cell_peers(), CallCounts(own.id, True, self._count_by_id))
        evidence = self.contention_evidence()
        if evidence:
            self._channel.send(self._cell_peers(), ContentionReport(own.id, evidence))

    def _send_loads(self) -> None:
        self._report_timer = None
        own_id = self._members.own.id
        peers = self._cell_peers()
        now = self._loop.time()
        rows = [
            (upstream_id, each.running, each.waiting, each.slots, each.slowdown, now - each.read_at)
            for upstream_id, each in self._reading_by_id.items()
        ]
        self._reading_by_id.clear()
        for first in range(0, len(rows), MAX_REPORT_ROWS):
            report = LoadReport(own_id, tuple(rows[first : first + MAX_REPORT_ROWS]))
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
