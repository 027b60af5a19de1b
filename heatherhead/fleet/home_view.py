"""Determines the homes of the own region from the messages that they send.

Homes publish a status to their region every `STATUS_INTERVAL_S`. Only an instance that was heard
within `SILENT_AFTER_S` is a home to others: an announcement in the store outlives its instance by a
lease. A silent instance is passed over in the ranking, so that the next ones begin to publish, until
it sends a status again. It does that on its own: each instance decides by what it hears itself
whether it publishes. A standby instance receives no statuses; the home that it follows reports the
homes to it. While an instance runs that reaches upstreams, none that is cut from them is a home.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from random import shuffle
from typing import TYPE_CHECKING

from heatherhead.fleet.cells import cell_count, cell_of_home, homes_of_cell
from heatherhead.fleet.homes import (
    MIN_HOMES_PER_REGION,
    choose_homes,
    hash_of,
    home_count,
    rank_members,
)
from heatherhead.fleet.peer_reach import create_peer_reach
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from heatherhead.dispatch.regions import Regions
    from heatherhead.fleet.members import Member, MemberTable
    from heatherhead.fleet.peer_messages import HomeStatus, LeaveNotice

__all__ = ["STATUS_INTERVAL_S", "HomeView", "create_home_view"]

STATUS_INTERVAL_S = 0.25
SILENT_AFTER_S = 1.0  # four status intervals, as single datagrams may be lost
FIRST_STATUS_TIMEOUT_S = 1.5  # for the first status of an instance that has become a home
REPORT_TTL_S = 2.0  # of the reported homes, after the last message of a followed home
MAX_REMOTE_HOMES = 2  # named of another region; as many unheard ones also get statuses


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
        self._silent_ids: set[str] = set()  # expected to send a status, and not heard since
        self._home_count = MIN_HOMES_PER_REGION
        self.own_calls_per_s = 0.0
        self.own_ready = False
        self.own_leaving = False
        self.own_cut = False  # from all upstreams
        self.peer_reach = create_peer_reach(now)
        self._home_ids: tuple[str, ...] = ()
        self.current: list[Member] = []  # as of the last call of `homes`
        self._reported_home_ids: tuple[str, ...] = ()  # received from the followed home
        # Returns the time since the last message of a followed home.
        self.report_age_s: Callable[[], float] = lambda: 0.0
        # Possible homes, until the member table is known.
        self.provisional_members: list[Member] = []
        self._remote_probes = 0  # of unheard members of other regions

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
        if status.sender in self._silent_ids:
            self._silent_ids.discard(status.sender)
            log_event("home_heard", home=status.sender, incarnation=status.incarnation)

    def apply_leave(self, notice: LeaveNotice) -> None:
        """Apply the notice that an instance leaves."""
        self._left_incarnation_by_id[notice.sender] = notice.incarnation

    def _is_cut(self, member: Member) -> bool:
        if member.id == self._members.own.id:
            return self.own_cut
        return self.peer_reach.is_cut(member.id)

    def peers_reaching(self, service: str, allowed: Regions = None) -> list[Member]:
        """List peers in allowed regions that may reach a service's upstreams.

        Homes of the own region come first, then others. The latter may be unheard, since only homes
        hear of other regions.
        """
        near, far = self._peers_reaching(service, allowed)
        shuffle(near)
        shuffle(far)
        now = self._now()
        far.sort(key=lambda each: not self._is_heard(each, now))
        return near + far

    def has_peer_reaching(self, service: str, allowed: Regions = None) -> bool:
        """Return whether `peers_reaching` lists any peer; draws no random order."""
        return any(self._peers_reaching(service, allowed))

    def _peers_reaching(self, service: str, allowed: Regions) -> tuple[list[Member], list[Member]]:
        """List the peers of the own region, and those of others."""
        own = self._members.own
        regions = {each.region for each in self._known_by_id().values()} - {own.region}
        if allowed is not None:
            regions &= allowed
        near = list(self.current) if allowed is None or own.region in allowed else []
        far = [
            each for region in regions for each in self.probable_homes_of(region)[:MAX_REMOTE_HOMES]
        ]

        def reaching(members: list[Member]) -> list[Member]:
            return [
                each
                for each in members
                if each.id != own.id and self.peer_reach.reaches(each.id, service)
            ]

        return reaching(near), reaching(far)

    def apply_reported_homes(self, region: str, home_ids: tuple[str, ...]) -> None:
        """Apply the homes reported by the home that is followed."""
        if region == self._members.own.region:
            self._reported_home_ids = home_ids

    def apply_lost_source(self, host: str) -> None:
        """Remove a home that is no longer followed from the reported ones."""
        by_id = self._known_by_id()
        self._reported_home_ids = tuple(
            each
            for each in self._reported_home_ids
            if each not in by_id or by_id[each].callers.host != host
        )

    def _known_by_id(self) -> dict[str, Member]:
        return self._members.by_id or {each.id: each for each in self.provisional_members}

    def candidates(self) -> list[Member]:
        """List the possible homes of the own region."""
        own_region = self._members.own.region
        return [each for each in self._known_by_id().values() if each.region == own_region]

    def homes(self) -> list[Member]:
        """Determine and list the homes of the own region; none if no home is known to run."""
        own = self._members.own
        now = self._now()
        members = self.candidates()
        zones = len({each.availability_zone for each in members})
        self._home_count = home_count(self._home_count, zones, self._region_calls_per_s(now))
        if self._members.own_listed:
            homes = self._heard_homes(rank_members(members, own.region), now)
        else:
            homes = self._reported_homes()
        self.current = homes
        ids = tuple(each.id for each in homes)
        if ids != self._home_ids:
            self._home_ids = ids
            self._forget_removed(now)
            log_event(
                "homes",
                region=own.region,
                homes=",".join(ids),
                members=len(members),
                silent=len(self._silent_ids),
            )
        return homes

    def _forget_removed(self, now: float) -> None:
        """Forget what was heard of instances that are no longer members."""
        by_id = self._members.by_id
        self._status_by_id = {
            id_: status
            for id_, status in self._status_by_id.items()
            if id_ in by_id or now - status.received_at <= SILENT_AFTER_S
        }
        self.peer_reach.retain(by_id)
        self._left_incarnation_by_id = {
            id_: left for id_, left in self._left_incarnation_by_id.items() if id_ in by_id
        }

    def _reported_homes(self) -> list[Member]:
        if self.report_age_s() > REPORT_TTL_S:
            return []
        by_id = self._known_by_id()
        return [by_id[each] for each in self._reported_home_ids if each in by_id]

    def _heard_homes(self, ranked: list[Member], now: float) -> list[Member]:
        """List the homes: those that reach upstreams, if there is one, else those that run."""
        ranked = [each for each in ranked if self._may_be_home(each)]
        uncut = [each for each in ranked if not self._is_cut(each)]
        expected = self._expected_homes(uncut, now)
        homes = self._choose_heard(uncut, expected, now)
        if not homes:
            expected_too = self._expected_homes(ranked, now)
            homes = self._choose_heard(ranked, expected_too, now)
            expected = list({each.id: each for each in (*expected, *expected_too)}.values())
        self._exclude_silent(expected, now)
        return homes

    def _choose_heard(
        self, ranked: list[Member], expected: list[Member], now: float
    ) -> list[Member]:
        """List the best-ranked members that run, with this instance if it is due to be a home."""
        own_id = self._members.own.id
        homes: list[Member] = []
        for member in ranked:
            if len(homes) == self._home_count:
                break
            if member.id == own_id:
                # A home hands over to others only once they are heard.
                if own_id in self._home_ids or member in expected:
                    homes.append(member)
            elif self._is_heard(member, now):
                homes.append(member)
        return homes

    def _expected_homes(self, ranked: list[Member], now: float) -> list[Member]:
        """List the members that should publish.

        For each of the first that is unheard, that is one more, and one for each silent member: if
        many have gone at once, their successors are found in a few rounds.
        """
        own_id = self._members.own.id
        ranked = [each for each in ranked if each.id not in self._silent_ids]
        first = ranked[: self._home_count]
        unheard = sum(each.id != own_id and not self._is_heard(each, now) for each in first)
        return ranked[: len(first) + unheard * (1 + len(self._silent_ids))]

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

    def heard_homes_of(self, region: str) -> list[Member]:
        """List the homes of another region that run, best first; only homes hear of them."""
        now = self._now()
        ranked = rank_members(self._known_by_id().values(), region)
        return [each for each in ranked if self._is_heard(each, now)][:MAX_REMOTE_HOMES]

    def probable_homes_of(self, region: str) -> list[Member]:
        """List members of another region to send messages to: those heard, then all by rank."""
        now = self._now()
        ranked = rank_members(self._known_by_id().values(), region)
        return sorted(ranked, key=lambda each: not self._is_heard(each, now))

    def homes_of_other_regions(self) -> list[Member]:
        """List those heard, the best-ranked members, and one more member of each region in turn.

        Where the best-ranked ones are gone, homes of two regions find each other by the latter.
        """
        now = self._now()
        own_region = self._members.own.region
        self._remote_probes += 1
        homes = []
        for region in {each.region for each in self._members.by_id.values()} - {own_region}:
            ranked = rank_members(self._members.by_id.values(), region)
            unheard = [each for each in ranked if not self._is_heard(each, now)]
            homes += [each for each in ranked if self._is_heard(each, now)]
            homes += unheard[:MAX_REMOTE_HOMES]
            others = unheard[MAX_REMOTE_HOMES:]
            if others:
                homes.append(others[self._remote_probes % len(others)])
        return homes

    def homes_of_all_regions(self) -> list[Member]:
        """List the homes of the own region and the probable ones of the others."""
        return [*self.current, *self.homes_of_other_regions()]

    def live_home_ids(self) -> list[str]:
        """List the homes of all regions that sent a status recently."""
        since = self._now() - SILENT_AFTER_S
        return [each for each, status in self._status_by_id.items() if status.received_at >= since]

    def heard_age_s(self, member: Member) -> float:
        """Return the age of the evidence that a member runs."""
        if member.id == self._members.own.id:
            return 0.0
        if not self._members.own_listed:
            return self.report_age_s()
        status = self._status_by_id.get(member.id)
        return math.inf if status is None else self._now() - status.received_at

    def source_hosts(self) -> list[str]:
        """List the hosts of homes that sent a status recently, the preferred one first."""
        own = self._members.own
        statuses = [(each, self._status_by_id[each]) for each in self.live_home_ids()]
        statuses.sort(key=lambda pair: _source_rank(pair[0], pair[1], own))
        return [each.host for _, each in statuses]

    def candidate_hosts(self) -> list[str]:
        """List the hosts of homes and other candidates, homes of the own zone first."""
        own = self._members.own
        candidates = self.candidates()
        homes = self.homes() or choose_homes(candidates, own.region, (), self._home_count)
        home_ids = {home.id for home in homes}
        others = [each for each in candidates if each.id not in home_ids]
        others.sort(key=lambda each: each.id in self._silent_ids)
        homes.sort(
            key=lambda home: (
                home.availability_zone != own.availability_zone,
                hash_of(own.id + home.id),
            )
        )
        return [each.callers.host for each in [*homes, *others] if each.id != own.id]

    def _may_be_home(self, member: Member) -> bool:
        """Return whether a member is not known to leave or to be unready."""
        if member.id == self._members.own.id:
            return self.own_ready and not self.own_leaving
        status = self._status_by_id.get(member.id)
        incarnation = status.incarnation if status else member.incarnation
        return self._left_incarnation_by_id.get(member.id) != incarnation

    def _is_heard(self, member: Member, now: float) -> bool:
        """Return whether a member has sent a status recently from its announced address."""
        status = self._status_by_id.get(member.id)
        return (
            status is not None
            and status.ready
            and status.host == member.callers.host
            and now - status.received_at <= SILENT_AFTER_S
        )

    def _exclude_silent(self, expected_homes: list[Member], now: float) -> None:
        """Exclude members that should send a status and do not, until they send one.

        `expected_homes` are all of them: the time for which others were expected is forgotten.
        """
        expected = {}
        for home in expected_homes:
            if home.id == self._members.own.id:
                continue
            since = self._expected_since_by_id.get(home.id, now)
            expected[home.id] = since
            if now - since > FIRST_STATUS_TIMEOUT_S and not self._is_heard(home, now):
                status = self._status_by_id.get(home.id)
                heard_s = now - (status.received_at if status else -math.inf)
                self._silent_ids.add(home.id)
                log_event("home_silent", home=home.id, heard_s=f"{min(99, heard_s):.2f}")
        self._expected_since_by_id = expected
        self._silent_ids &= self._members.by_id.keys()


def _source_rank(member_id: str, status: _PeerStatus, own: Member) -> tuple[bool, int, bool, int]:
    """Order homes: with store access, newest revision, own region, then by hash to spread load."""
    spread = hash_of(own.id + member_id)
    return not status.store_ok, -status.revision, status.region != own.region, spread


def create_home_view(members: MemberTable, now: Callable[[], float]) -> HomeView:
    """Create a view; `now` returns the time of the loop's clock."""
    return HomeView(members, now)
