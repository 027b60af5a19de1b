"""Determines the homes of the own region from the messages that they send.

Homes publish a status to their region every `STATUS_S`. A home that falls silent or announces that
it leaves is excluded, so that the next one of the ranking replaces it. A standby instance receives
no statuses; the home that it follows reports the homes to it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from heatherhead.fleet.cells import cell_count, cell_of_home, homes_of_cell
from heatherhead.fleet.homes import (
    HOMES_PER_REGION,
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

__all__ = ["STATUS_S", "HomeView", "create_home_view"]

STATUS_S = 0.25
SILENCE_S = 1.0  # four status intervals, as single datagrams may be lost
FIRST_WAIT_S = 1.5  # for the first status of an instance that has become a home
RETRY_SILENT_S = 6.0  # a silent member may be chosen again after that
FAR_HOMES = 2  # of another region, chosen by rank


@dataclass(slots=True)
class _Heard:
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
        self._heard_by_id: dict[str, _Heard] = {}
        self._left_by_id: dict[str, str] = {}  # the incarnation that left
        self._expected_since_by_id: dict[str, float] = {}
        self._silent_until_by_id: dict[str, float] = {}
        self._count = HOMES_PER_REGION
        self.own_calls_per_s = 0.0
        self.own_ready = False
        self.own_leaving = False
        self._home_ids: tuple[str, ...] = ()
        self.current: list[Member] = []  # as of the last call of `homes`
        self._told_ids: tuple[str, ...] = ()  # received from the followed home
        self.hinted: list[Member] = []  # possible homes, until the member table is known

    def take_status(self, status: HomeStatus, host: str) -> None:
        """Apply a status received from a home."""
        member = self._members.by_id.get(status.sender)
        region = member.region if member is not None else ""
        self._heard_by_id[status.sender] = _Heard(
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

    def take_leave(self, notice: LeaveNotice) -> None:
        """Apply the notice that an instance leaves."""
        self._left_by_id[notice.sender] = notice.incarnation

    def take_word(self, region: str, home_ids: tuple[str, ...]) -> None:
        """Apply the homes reported by the home that is followed."""
        if region == self._members.own.region and home_ids:
            self._told_ids = home_ids

    def candidates(self) -> list[Member]:
        """List the possible homes of the own region."""
        known = self._members.by_id.values() or self.hinted
        return [each for each in known if each.region == self._members.own.region]

    def homes(self) -> list[Member]:
        """Determine and list the homes of the own region."""
        own = self._members.own
        now = self._now()
        members = self.candidates()
        zones = len({each.availability_zone for each in members})
        self._count = home_count(self._count, zones, self._region_calls_per_s(now))
        if self._members.own_listed:
            homes = choose_homes(members, own.region, self._unusable(members, now), self._count)
            self._watch_silence(homes, now)
        else:
            by_id = self._members.by_id
            homes = [by_id[each] for each in self._told_ids if each in by_id]
            homes = homes or choose_homes(members, own.region, (), self._count)
        self.current = homes
        ids = tuple(each.id for each in homes)
        if ids != self._home_ids:
            self._home_ids = ids
            log_event("homes", region=own.region, homes=",".join(ids), members=len(members))
        return homes

    def _region_calls_per_s(self, now: float) -> float:
        region = self._members.own.region
        return self.own_calls_per_s + sum(
            heard.calls_per_s
            for heard in self._heard_by_id.values()
            if heard.region == region and now - heard.received_at < SILENCE_S
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

    def far_homes(self, region: str) -> list[Member]:
        """List the probable homes of another region."""
        ranked = rank_members(self._members.by_id.values() or self.hinted, region)
        return ranked[:FAR_HOMES]

    def heard_lately(self) -> list[str]:
        """List the homes of all regions that sent a status recently."""
        since = self._now() - SILENCE_S
        return [each for each, heard in self._heard_by_id.items() if heard.received_at >= since]

    def sources(self) -> list[str]:
        """List the hosts of homes that sent a status recently, the preferred one first."""
        own = self._members.own
        heard = [(each, self._heard_by_id[each]) for each in self.heard_lately()]
        heard.sort(key=lambda pair: _source_rank(pair[0], pair[1], own))
        return [each.host for _, each in heard]

    def hosts_to_follow(self) -> list[str]:
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
        heard = self._heard_by_id.get(member.id)
        if self._left_by_id.get(member.id) == (heard.incarnation if heard else member.incarnation):
            return False
        if now < self._silent_until_by_id.get(member.id, 0.0):
            return False
        return heard is None or heard.ready or now - heard.received_at > SILENCE_S

    def _watch_silence(self, homes: list[Member], now: float) -> None:
        """Exclude homes that should send a status and do not."""
        expected = {}
        for home in homes:
            if home.id == self._members.own.id:
                continue
            since = self._expected_since_by_id.get(home.id, now)
            expected[home.id] = since
            heard = self._heard_by_id.get(home.id)
            heard_at = heard.received_at if heard else -1e9
            if now - heard_at > SILENCE_S and now - since > FIRST_WAIT_S:
                self._silent_until_by_id[home.id] = now + RETRY_SILENT_S
                log_event("home_silent", home=home.id, heard_s=f"{min(99, now - heard_at):.2f}")
        self._expected_since_by_id = expected


def _source_rank(member_id: str, heard: _Heard, own: Member) -> tuple[bool, int, bool, int]:
    """Order homes: with store access, newest revision, own region, then by hash to spread load."""
    spread = hash_of(own.id + member_id)
    return not heard.store_ok, -heard.revision, heard.region != own.region, spread


def create_home_view(members: MemberTable, now: Callable[[], float]) -> HomeView:
    """Create a view; `now` returns the time of the loop's clock."""
    return HomeView(members, now)
