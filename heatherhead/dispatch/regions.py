"""Decides which upstreams serve calls that may run in some regions only, and how many of them.

The load it is designed for: services of 12 to 61 upstreams with 2 slots each in three regions, where
all calls of one route that arrive in one region (28% of its calls) have to run in the two others.
Homes read the load of their own region only. Of other regions an instance knows what the answers to
its own calls tell, some of them per second and upstream.

Calls of a service with the same allowed regions form a group. The evidence of other regions is kept
as the share of the slots that others use there, by region (`RegionLoad`). Where the last reading of
an upstream is old, that share takes its place, so that a group prefers a region with room.
"""

from __future__ import annotations

import math
from collections import Counter
from copy import copy
from dataclasses import dataclass, field, replace
from random import getrandbits
from typing import TYPE_CHECKING
from zlib import crc32

from heatherhead.dispatch.admission_queue import ArrivalRate, CapacityEstimate, is_feasible
from heatherhead.dispatch.placement import choose, prospects_of
from heatherhead.dispatch.retry_after import RetryAfterSchedule

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from heatherhead.dispatch.admission_queue import WaitingCall
    from heatherhead.dispatch.demand import Demand
    from heatherhead.dispatch.placement import Placement, Prospect
    from heatherhead.dispatch.upstream_state import UpstreamState

__all__ = [
    "Offers",
    "PrecedingCalls",
    "RegionGroup",
    "RegionGroups",
    "RegionLoad",
    "Regions",
    "all_unreachable",
    "capacity_of",
    "hopeless_reason",
    "infeasible",
    "region_fields",
]

Regions = frozenset[str] | None  # that may serve a call; None for all

UNKNOWN_SHARE = 0.5  # of the slots in use by others, before and long after the last answer
SHARE_WEIGHT = 0.1  # of the latest answer
SHARE_HALF_LIFE_S = 2.0  # of the evidence after the last answer
READING_HALF_LIFE_S = 0.15  # of what a reading tells of an upstream's slots; calls last about 0.1 s
MAX_PREFERRED = 64  # of a group without upstreams in the local region; costs are computed for each
MAX_GROUPS = 64  # of one service


@dataclass(slots=True, eq=False)
class RegionLoad:
    """The share of the slots of a region's upstreams that other regions' instances and its own use."""

    share: float = UNKNOWN_SHARE
    recorded_at: float = -math.inf

    def record(self, state: UpstreamState, now: float) -> None:
        """Record the reading that an upstream of the region has just given."""
        share = min(1.0, state.unattributed / state.entry.slots)
        known = self.share_now(now)
        self.share = known + SHARE_WEIGHT * (share - known)
        self.recorded_at = now

    def share_now(self, now: float) -> float:
        """Return the share, which decays to `UNKNOWN_SHARE` without answers."""
        weight = 0.5 ** ((now - self.recorded_at) / SHARE_HALF_LIFE_S)
        return UNKNOWN_SHARE + weight * (self.share - UNKNOWN_SHARE)


@dataclass(slots=True, eq=False)
class RegionGroup:
    """The calls of a service with the same allowed regions, and the upstreams that may serve them.

    Calls prefer the local region. So a group that may use it is counted as competing for slots
    there only, one that may not for those of all its regions (`main_slots_by_region`).
    """

    regions: Regions
    preferred: list[UpstreamState] = field(default_factory=list)
    overflow: list[UpstreamState] = field(default_factory=list)
    main_slots_by_region: dict[str | None, int] = field(default_factory=dict)
    uses_local_region: bool = False
    outdated: bool = True  # the upstreams have changed since they were divided
    arrival_rate: ArrivalRate = field(default_factory=ArrivalRate)
    retry_after: RetryAfterSchedule = field(default_factory=RetryAfterSchedule)

    def copy(self) -> RegionGroup:
        """Return a copy whose changes leave this group as it is."""
        return replace(
            self, arrival_rate=self.arrival_rate.copy(), retry_after=replace(self.retry_after)
        )

    def allows(self, state: UpstreamState) -> bool:
        """Return whether an upstream may serve the group's calls."""
        return not state.evacuated and (self.regions is None or state.region in self.regions)

    def divide(
        self,
        preferred: Iterable[UpstreamState],
        overflow: Iterable[UpstreamState],
        rank: Callable[[UpstreamState], int],
    ) -> None:
        """Divide the allowed upstreams into those filled first and those used when these are full.

        Without any allowed one among the service's `preferred`, some of the others take their place,
        the same ones for as long as they are there: evidence of few upstreams is fresher.
        """
        self.preferred = sorted(filter(self.allows, preferred), key=rank)
        self.overflow = sorted(filter(self.allows, overflow), key=rank)
        if not self.preferred:
            self.preferred = self.overflow[:MAX_PREFERRED]
            self.overflow = self.overflow[MAX_PREFERRED:]
        self.uses_local_region = any(each.local_region for each in self.preferred)
        self.main_slots_by_region = {}
        for state in self.preferred:
            if state.local_region or not self.uses_local_region:
                slots = self.main_slots_by_region.get(state.region, 0)
                self.main_slots_by_region[state.region] = slots + state.entry.slots
        self.outdated = False

    def weight_of(self, other: RegionGroup) -> float:
        """Return which part of another group's waiting calls goes before calls of this one."""
        if other is self:
            return 1.0
        total = sum(other.main_slots_by_region.values())
        shared = sum(
            slots
            for region, slots in other.main_slots_by_region.items()
            if region in self.main_slots_by_region
        )
        return shared / total if total else 0.0


class RegionGroups:
    """The groups of one service, by their regions, and the load of other regions."""

    def __init__(self, salt: int | None = None) -> None:
        # Random, so that instances begin with different upstreams.
        self._salt = getrandbits(32) if salt is None else salt
        self._group_by_regions: dict[Regions, RegionGroup] = {}
        self._load_by_region: dict[str | None, RegionLoad] = {}

    def __bool__(self) -> bool:
        return bool(self._group_by_regions)

    def copy(self) -> RegionGroups:
        """Return a copy whose changes leave these groups as they are; the loads are shared."""
        copied = copy(self)
        copied._group_by_regions = {
            regions: group.copy() for regions, group in self._group_by_regions.items()
        }
        return copied

    def invalidate(self) -> None:
        """Divide the upstreams of each group again when it is next used."""
        for group in self._group_by_regions.values():
            group.outdated = True

    def of(
        self,
        regions: Regions,
        preferred: Iterable[UpstreamState],
        overflow: Iterable[UpstreamState],
    ) -> RegionGroup:
        """Return the group of some regions, with its part of the service's upstreams."""
        group = self._group_by_regions.get(regions)
        if group is None:
            if len(self._group_by_regions) >= MAX_GROUPS:
                del self._group_by_regions[next(iter(self._group_by_regions))]
            group = self._group_by_regions[regions] = RegionGroup(regions)
        if group.outdated:
            group.divide(preferred, overflow, self._rank)
        return group

    def _rank(self, state: UpstreamState) -> int:
        return crc32(f"{self._salt} {state.entry.id}".encode())

    def record_reading(self, state: UpstreamState, now: float) -> None:
        """Record the load that an upstream of another region has just reported."""
        if self._group_by_regions:
            self._load_by_region.setdefault(state.region, RegionLoad()).record(state, now)

    def others_share(self, region: str | None, now: float) -> float:
        """Return the share of a region's slots that others use."""
        load = self._load_by_region.get(region)
        return UNKNOWN_SHARE if load is None else load.share_now(now)

    def prospects_of(
        self, states: Iterable[UpstreamState], now: float, baseline: float
    ) -> list[Prospect]:
        """Return the current costs of upstreams, of other regions by what is known of these."""
        prospects = prospects_of(states, now, baseline)
        for prospect in prospects:
            self._expect_others(prospect, now)
        return prospects

    def _expect_others(self, prospect: Prospect, now: float) -> None:
        """Raise the cost of an upstream by the wait for the calls that others may have there."""
        state = prospect.state
        if state.local_region:
            return
        slots = max(1, state.usable_slots)
        fresh = 0.5 ** ((now - state.read_at) / READING_HALF_LIFE_S)
        others = fresh * state.unattributed + (1.0 - fresh) * slots * self.others_share(
            state.region, now
        )
        used = min(1.0, (state.attributed + others) / slots)
        prospect.slowdown *= 1.0 + used**slots / slots

    def place(
        self,
        states: Iterable[UpstreamState],
        demand: Demand,
        avoid: Collection[str],
        now: float,
        baseline: float,
    ) -> Placement:
        """Choose an upstream for a single call from the current costs of all."""
        prospects = self.prospects_of(states, now, baseline)
        to_target_s, to_give_up_s = demand.time_to_target(now), demand.give_up_at - now
        return choose(prospects, demand, avoid, 0, to_target_s, to_give_up_s)


class PrecedingCalls:
    """Counts waiting calls by group, as far as they go before a call of a given group."""

    def __init__(self, group_of: Callable[[Regions], RegionGroup]) -> None:
        self._group_of = group_of
        self._count_by_regions: Counter[Regions] = Counter()

    def add(self, regions: Regions) -> None:
        """Count a call."""
        self._count_by_regions[regions] += 1

    def ahead_of(self, regions: Regions) -> int:
        """Return how many calls go before one of a group."""
        group = self._group_of(regions)
        return round(
            sum(
                number * group.weight_of(self._group_of(other))
                for other, number in self._count_by_regions.items()
            )
        )


class Offers:
    """The upstreams that waiting calls may take, by the regions of the calls."""

    def __init__(self, prospects_for: Callable[..., list[Prospect]]) -> None:
        self._prospects_for = prospects_for
        self._prospects_by_regions: dict[Regions, list[Prospect]] = {}

    def to(self, regions: Regions) -> list[Prospect]:
        """List the upstreams for calls of a group; none if all are full."""
        prospects = self._prospects_by_regions.get(regions)
        if prospects is None:
            prospects = self._prospects_by_regions[regions] = self._prospects_for(regions)
        return prospects if any(each.free > 0 for each in prospects) else []

    def update(self, state: UpstreamState) -> None:
        """Apply that a call has taken a slot of an upstream."""
        for regions, prospects in self._prospects_by_regions.items():
            others = [each for each in prospects if each.state is not state]
            if len(others) < len(prospects):
                others += self._prospects_for(regions, [state])
                self._prospects_by_regions[regions] = others


def capacity_of(
    group: RegionGroup,
    groups: RegionGroups,
    now: float,
    *,
    baseline: float,
    homes: int,
    regions: int,
    min_slots: float,
) -> CapacityEstimate:
    """Estimate what this instance can serve of a group's calls.

    Of the local region it is the total speed of the slots that its own calls occupy, and at least an
    equal part for each of the `homes`. Of other regions, where the group has no upstream in the
    local one, the part is what others leave there, divided by the homes of this region, and at
    least an equal part for each home of all `regions`.
    """
    own = shared = limited = 0.0
    unlimited = not group.preferred
    permits = 0
    pause_ends_at = math.inf
    for state in (*group.preferred, *group.overflow):
        pause_ends_at = min(pause_ends_at, state.paused_until)
        if state.limited:
            permits += state.rate_limit.permits_in_sight(now)
    for state in group.preferred:
        unlimited = unlimited or not state.limited
        if state.excluded(now):
            continue
        if state.local_region:
            part = 1.0 / homes
        elif group.uses_local_region:
            part = 0.0
        else:
            room = 1.0 - groups.others_share(state.region, now)
            part = max(room, 1.0 / regions) / homes
        if state.limited:
            limited += state.rate_limit.expected_per_s(now, 1.0 / homes)
            continue
        speed = 1.0 / max(1.0, state.slowdown_now(now, baseline))
        in_flight = state.own_in_flight - (state.own_confined if group.uses_local_region else 0)
        own += min(in_flight, state.usable_slots) * speed
        shared += state.usable_slots * speed * part
    slots = max(own, shared, min_slots if unlimited else 0.0)
    pause_s = max(0.0, pause_ends_at - now) if group.preferred else 0.0
    return CapacityEstimate(slots, limited, permits, pause_s)


def infeasible(
    calls: Iterable[WaitingCall],
    preceding: PrecedingCalls,
    forecast_of: Callable[[Regions], tuple[CapacityEstimate, float]],
    reason_of: Callable[[Demand], str | None],
    now: float,
) -> list[WaitingCall]:
    """List those of some calls, in their order, that can't be answered before their callers give up.

    `forecast_of` returns the capacity and the arrivals per second of a group.
    """
    forecast_by_regions: dict[Regions, tuple[CapacityEstimate, float]] = {}
    found = []
    for call in calls:
        demand = call.demand
        forecast = forecast_by_regions.get(demand.regions)
        if forecast is None:
            forecast = forecast_by_regions[demand.regions] = forecast_of(demand.regions)
        ahead = preceding.ahead_of(demand.regions)
        preceding.add(demand.regions)
        if reason_of(demand) or not is_feasible(ahead, demand, *forecast, now):
            found.append(call)
    return found


def hopeless_reason(group: RegionGroup, demand: Demand, now: float) -> str | None:
    """Return why no upstream can serve a call before its caller gives up, `None` if one may.

    Upstreams that are only full don't count: their slots become free.
    """
    if group.regions is not None and not group.regions:
        return "no region is allowed"
    if not (group.preferred or group.overflow):
        return "no upstream is in the allowed regions" if group.regions else "no upstream is in use"
    usable_at = min(
        math.inf if each.misdirected else max(each.ejected_until, each.paused_until)
        for each in (*group.preferred, *group.overflow)
    )
    if usable_at > max(now, demand.give_up_at):
        of_these = "" if group.regions is None else " of the allowed regions"
        return f"no upstream{of_these} takes calls from here"
    return None


def all_unreachable(states: Iterable[UpstreamState], now: float) -> bool:
    """Return whether no upstream is reachable; evacuated ones are out of use for all instances."""
    evacuated = found = False
    for state in states:
        if state.evacuated:
            evacuated = True
        elif not state.unreachable(now):
            return False
        else:
            found = True
    return found or not evacuated


def region_fields(regions: Regions) -> dict[str, str]:
    """Return the fields of a log line that name the regions of a call, none if all may serve it."""
    return {} if regions is None else {"regions": ",".join(sorted(regions))}
