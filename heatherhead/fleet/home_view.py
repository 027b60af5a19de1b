"""Determines the homes of the own region from the messages that they send.

Homes publish a status to their region every `STATUS_INTERVAL_S`. A home that falls silent or
announces that it leaves is excluded, so that the next one of the ranking replaces it. A standby
instance receives no statuses; the home that it follows reports the homes to it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from heatherhead.fleet.cells import cell_count, cell_of_home, homes_of_cell
from heatherhead.fleet.homes import (
    MIN_HOMES_PER_REGION,
    choose_homes,
    hash_of,
    home_count,
    rank_members,
)
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from heatherhead.fleet.members import Member, MemberTable
    from heatherhead.fleet.peer_messages import HomeStatus, LeaveNotice

__all__ = ["STATUS_INTERVAL_S", "HomeView", "create_home_view"]

STATUS_INTERVAL_S = 0.25
SILENT_AFTER_S = 1.0  # four status intervals, as single datagrams may be lost
FIRST_STATUS_TIMEOUT_S = 1.5  # for the first status of an instance that has become a home
SILENT_EXCLUSION_S = 6.0  # a silent member may be chosen again after that
MAX_REMOTE_HOMES = 2  # per other region, chosen by rank, as their statuses may not be received


@dataclass(slots=True)
class _PeerStatus:
    """The last status received from a member."""

    received_at: float
    incarnation: str
    ready: bool
    host: str
    region: str
    store_ok: bool
    revision: int
    calls_per_s: int


class HomeView:
    """The homes of the own region, as this instance sees them."""

    def __init__(self, members: MemberTable, now: Callable[[], float]) -> None:
        self._members = members
        self._now = now
        self._status_by_id: dict[str, _PeerStatus] = {}
        self._left_incarnation_by_id: dict[str, str] = {}  # the incarnation that left
        self._expected_since_by_id: dict[str, float] = {}
        self._silent_until_by_id: dict[str, float] = {}
        self._home_count = MIN_HOMES_PER_REGION
        self.own_calls_per_s = 0.0
        self.own_ready = False
        self.own_leaving = False
        self._home_ids: tuple[str, ...] = ()
        self.current: list[Member] = []  # as of the last call of `homes`
        self._reported_home_ids: tuple[str, ...] = ()  # received from the followed home
        # Possible homes, until the member table is known.
        self.provisional_members: list[Member] = []

    def apply_status(self, status: HomeStatus, host: str) -> None:
        """Apply a status received from a home."""
        member = self._members.by_id.get(status.sender)
        region = member.region if member is not None else ""
        self._status_by_id[status.sender] = _PeerStatus(
            self._now(),
            status.incarnation,
            status.ready,
            host,
            region,
            status.store_ok,
            status.revision,
            status.calls_per_s,
        )
        self._silent_until_by_id.pop(status.sender, None)

    def apply_leave(self, notice: LeaveNotice) -> None:
        """Apply the notice that an instance leaves."""
        self._left_incarnation_by_id[notice.sender] = notice.incarnation

    def apply_reported_homes(self, region: str, home_ids: tuple[str, ...]) -> None:
        """Apply the homes reported by the home that is followed."""
        if region == self._members.own.region and home_ids:
            self._reported_home_ids = home_ids

    def candidates(self) -> list[Member]:
        """List the possible homes of the own region."""
        known = self._members.by_id.values() or self.provisional_members
        return [each for each in known if each.region == self._members.own.region]

    def homes(self) -> list[Member]:
        """Determine and list the homes of the own region."""
        own = self._members.own
        now = self._now()
        members = self.candidates()
        zones = len({each.availability_zone for each in members})
        self._home_count = home_count(self._home_count, zones, self._region_calls_per_s(now))
        if self._members.own_listed:
            homes = choose_homes(
                members, own.region, self._unusable(members, now), self._home_count
            )
            self._exclude_silent(homes, now)
        else:
            by_id = self._members.by_id
            homes = [by_id[each] for each in self._reported_home_ids if each in by_id]
            homes = homes or choose_homes(members, own.region, (), self._home_count)
        self.current = homes
        ids = tuple(each.id for each in homes)
        if ids != self._home_ids:
            self._home_ids = ids
            log_event("homes", region=own.region, homes=",".join(ids), members=len(members))
        return homes

    def _region_calls_per_s(self, now: float) -> float:
        region = self._members.own.region
        return self.own_calls_per_s + sum(
            status.calls_per_s
            for status in self._status_by_id.values()
            if status.region == region and now - status.received_at < SILENT_AFTER_S
        )

    def is_home(self) -> bool:
        """Return whether this instance is a home."""
        return self._members.own.id in self._home_ids

    @property
    def cells(self) -> int:
        """Return the number of cells that the homes form."""
        return cell_count(len(self.current))

    @property
    def own_cell(self) -> int:
        """Return this instance's cell."""
        return cell_of_home(self.current, self._members.own.id)

    def cell_homes(self) -> list[Member]:
        """List the homes of this instance's cell, as of the last call of `homes`."""
        return homes_of_cell(self.current, self.own_cell)

    def remote_homes(self, region: str) -> list[Member]:
        """List the probable homes of another region, by rank."""
        ranked = rank_members(self._members.by_id.values() or self.provisional_members, region)
        return ranked[:MAX_REMOTE_HOMES]

    def homes_of_other_regions(self) -> list[Member]:
        """List them: by rank, and those that sent a status recently."""
        own_region = self._members.own.region
        regions = {each.region for each in self._members.by_id.values()} - {own_region}
        by_id = {home.id: home for region in regions for home in self.remote_homes(region)}
        for member_id in self.live_home_ids():
            member = self._members.by_id.get(member_id)
            if member is not None and member.region != own_region:
                by_id[member_id] = member
        return list(by_id.values())

    def homes_of_all_regions(self) -> list[Member]:
        """List the homes of the own region and the probable ones of the others."""
        return [*self.current, *self.homes_of_other_regions()]

    def live_home_ids(self) -> list[str]:
        """List the homes of all regions that sent a status recently."""
        since = self._now() - SILENT_AFTER_S
        return [each for each, status in self._status_by_id.items() if status.received_at >= since]

    def source_hosts(self) -> list[str]:
        """List the hosts of homes that sent a status recently, the preferred one first."""
        own = self._members.own
        statuses = [(each, self._status_by_id[each]) for each in self.live_home_ids()]
        statuses.sort(key=lambda pair: _source_rank(pair[0], pair[1], own))
        return [each.host for _, each in statuses]

    def candidate_hosts(self) -> list[str]:
        """List the hosts of homes and other candidates, homes of the own zone first."""
        own = self._members.own
        homes = self.homes()
        home_ids = {home.id for home in homes}
        others = [each for each in self.candidates() if each.id not in home_ids]
        homes.sort(
            key=lambda home: (
                home.availability_zone != own.availability_zone,
                hash_of(own.id + home.id),
            )
        )
        return [each.callers.host for each in [*homes, *others] if each.id != own.id]

    def _unusable(self, members: list[Member], now: float) -> set[str]:
        own_id = self._members.own.id
        unusable = set()
        for member in members:
            if member.id == own_id:
                if self.own_leaving or not self.own_ready:
                    unusable.add(own_id)
            elif not self._usable(member, now):
                unusable.add(member.id)
        return unusable

    def _usable(self, member: Member, now: float) -> bool:
        status = self._status_by_id.get(member.id)
        if self._left_incarnation_by_id.get(member.id) == (
            status.incarnation if status else member.incarnation
        ):
            return False
        if now < self._silent_until_by_id.get(member.id, 0.0):
            return False
        return status is None or status.ready or now - status.received_at > SILENT_AFTER_S

    def _exclude_silent(self, homes: list[Member], now: float) -> None:
        """Exclude homes that should send a status and do not."""
        expected = {}
        for home in homes:
            if home.id == self._members.own.id:
                continue
            since = self._expected_since_by_id.get(home.id, now)
            expected[home.id] = since
            status = self._status_by_id.get(home.id)
            received_at = status.received_at if status else -1e9
            if now - received_at > SILENT_AFTER_S and now - since > FIRST_STATUS_TIMEOUT_S:
                self._silent_until_by_id[home.id] = now + SILENT_EXCLUSION_S
                log_event("home_silent", home=home.id, heard_s=f"{min(99, now - received_at):.2f}")
        self._expected_since_by_id = expected


def _source_rank(member_id: str, status: _PeerStatus, own: Member) -> tuple[bool, int, bool, int]:
    """Order homes: with store access, newest revision, own region, then by hash to spread load."""
    spread = hash_of(own.id + member_id)
    return not status.store_ok, -status.revision, status.region != own.region, spread


def create_home_view(members: MemberTable, now: Callable[[], float]) -> HomeView:
    """Create a view; `now` returns the time of the loop's clock."""
    return HomeView(members, now)
