"""Assigns slots of upstreams to calls, and keeps the state of each upstream."""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass, field, replace
from itertools import count
from random import sample
from typing import TYPE_CHECKING

from heatherhead.dispatch import placement
from heatherhead.dispatch.admission_queue import (
    AdmissionQueue,
    ArrivalRate,
    CapacityEstimate,
    WaitingCall,
    is_feasible,
    wait_s,
)
from heatherhead.dispatch.budget import RetryBudget, create_retry_budget
from heatherhead.dispatch.contention import Contention
from heatherhead.dispatch.estimates import BaselineSlowdown
from heatherhead.dispatch.explanation import (
    Forecast,
    Outcome,
    PlacementExplanation,
    explain_candidates,
)
from heatherhead.dispatch.pauses import create_pause_table
from heatherhead.dispatch.rate_limits import WARMUP_PERMIT_TTL_S
from heatherhead.dispatch.regions import (
    Offers,
    PrecedingCalls,
    RegionGroups,
    all_unreachable,
    capacity_of,
    hopeless_reason,
    infeasible,
)
from heatherhead.dispatch.rejection import RejectedError, Rejection, create_rejection_evidence
from heatherhead.dispatch.retry_after import RetryAfterSchedule
from heatherhead.dispatch.upstream_state import SLOWDOWN_FRESH_S, UpstreamState
from heatherhead.dispatch.warmup import create_warmups
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from heatherhead.dispatch.contention import ContentionEvidence
    from heatherhead.dispatch.demand import Demand
    from heatherhead.dispatch.placement import Placement, Prospect
    from heatherhead.dispatch.rate_limits import RateLimitEvidence
    from heatherhead.dispatch.regions import RegionGroup, Regions
    from heatherhead.dispatch.rejection import RejectionEvidence
    from heatherhead.dispatch.upstream_state import LoadReading
    from heatherhead.registry.entries import UpstreamEntry

__all__ = ["Dispatcher", "Slot", "create_dispatcher"]

SLOWDOWN_RISE_FACTOR = 1.5  # a slowdown that rose by this factor makes calls in flight late
SLOWDOWN_TOLERANCE_FRACTION = 0.1  # a slowdown that changed by less counts as unchanged
MIN_SPEED_CHANGE = 0.02  # of full upstreams; a smaller one does not affect the usable slots
SERVICE_TIME_P90_FACTOR = 1.5  # times the expected time; nine in ten calls end within that
PLACEMENT_INTERVAL_S = 0.02  # placement is retried this often, as estimates decay without an event
SAME_ZONE_TRANSIT_S = 0.001
SAME_REGION_TRANSIT_S = 0.003
OTHER_REGION_TRANSIT_S = 0.045
RECENT_READING_S = 1.0  # homes read each upstream ten times a second
COUNTS_TTL_S = 1.0  # homes of a cell report complete counts four times as often
SMALL_SERVICE_UPSTREAMS = 64  # up to this number, each call also considers other regions
# Two random choices balance well; a few more are likely to include one in the own region.
OVERFLOW_SAMPLE_SIZE = 8
MAX_WARMUP_PERMITS = 8  # requested at once; a slot that gets free meanwhile wastes one
MIN_CAPACITY_SLOTS = 0.5  # of normal speed; used if less is estimated of unlimited upstreams


@dataclass(slots=True, eq=False)
class Slot:
    """A slot of an upstream, held by one attempt."""

    number: int
    state: UpstreamState
    expected_s: float
    slowdown: float
    acquired_at: float
    confined: bool  # its call may not run in the local region
    read_at: float  # of the upstream, the last load reading when the slot was acquired
    time_full_s: float  # of the upstream, when the slot was acquired


@dataclass(slots=True, eq=False)
class _Service:
    """The state of one service."""

    name: str
    budget: RetryBudget
    state_by_id: dict[str, UpstreamState] = field(default_factory=dict)
    preferred: list[UpstreamState] = field(default_factory=list)  # filled first by this instance
    overflow: list[UpstreamState] = field(default_factory=list)  # used where those are full
    queue: AdmissionQueue = field(default_factory=AdmissionQueue)
    arrival_rate: ArrivalRate = field(default_factory=ArrivalRate)
    retry_after: RetryAfterSchedule = field(default_factory=RetryAfterSchedule)
    baseline: BaselineSlowdown = field(default_factory=BaselineSlowdown)
    contention: Contention = field(default_factory=Contention)
    # Those with a rate limit, or cold ones whose calls are limited.
    limited_by_id: dict[str, UpstreamState] = field(default_factory=dict)
    reading_at: float = -math.inf  # the last load reading of any upstream
    paused_until: float = 0.0  # of its upstreams, the last one that wants no calls from here
    applied_speed_when_full: float = 1.0  # for which `usable_slots` of the upstreams were set
    groups: RegionGroups = field(default_factory=RegionGroups)  # of calls with allowed regions
    displaced: bool = False  # evacuations leave no upstream in the local region

    def group_of(self, regions: Regions) -> RegionGroup | None:
        """Return the group of calls with allowed regions; `None` for calls that may run in all."""
        if regions is None and not self.displaced:
            return None
        return self.groups.of(regions, self.preferred, self.overflow)

    def group(self, regions: Regions) -> RegionGroup:
        """Return the group of calls, also of those that may run in all regions."""
        return self.groups.of(regions, self.preferred, self.overflow)

    def copy(self) -> _Service:
        """Return a copy on which a decision can be tried; it shares upstreams and waiting calls."""
        return replace(
            self,
            arrival_rate=self.arrival_rate.copy(),
            retry_after=replace(self.retry_after),
            groups=self.groups.copy(),
        )

    def record_arrival(self, demand: Demand, now: float) -> None:
        """Record the arrival of a call, unless its caller has waited in an earlier request."""
        if not demand.waited_before_s:
            group = self.group_of(demand.regions)
            (self if group is None else group).arrival_rate.record(now)

    def place(
        self,
        states: Collection[UpstreamState],
        demand: Demand,
        avoid: Collection[str],
        now: float,
    ) -> Placement:
        """Choose one of some upstreams for a single call."""
        place = placement.place if self.group_of(demand.regions) is None else self.groups.place
        return place(states, demand, avoid, now, self.baseline.value)

    def all_unreachable(self, regions: Regions, now: float) -> bool:
        """Return whether no upstream in some regions is reachable from here."""
        if regions is None:
            return all_unreachable(self.state_by_id.values(), now)
        group = self.group(regions)
        allowed = (*group.preferred, *group.overflow)
        return bool(allowed) and all_unreachable(allowed, now)

    @property
    def has_groups_waiting(self) -> bool:
        """Return whether waiting calls differ in the upstreams that may serve them."""
        return self.displaced or self.queue.restricted > 0

    def ahead_of(self, demand: Demand, now: float) -> int:
        """Count the waiting calls that precede a call and compete with it for slots."""
        if demand.regions is None and not self.has_groups_waiting:
            return self.queue.ahead_of(demand, now)
        preceding = PrecedingCalls(self.group)
        for each in self.queue.preceding(demand, now):
            preceding.add(each.demand.regions)
        return preceding.ahead_of(demand.regions)

    def is_preceded(self, demand: Demand, now: float) -> bool:
        """Return whether a waiting call has to be placed before a new one.

        Calls with other regions have left the slots that are free now to others.
        """
        if demand.regions is None and not self.has_groups_waiting:
            return bool(self.queue.ahead_of(demand, now))
        preceding = self.queue.preceding(demand, now)
        return any(each.demand.regions == demand.regions for each in preceding)

    def competes(self, regions: Regions) -> bool:
        """Return whether calls wait for slots that calls with some regions would use."""
        if regions is None and not self.has_groups_waiting:
            return bool(self.queue.calls)
        group = self.group(regions)
        waiting = {each.demand.regions for each in self.queue.calls}
        return any(group.weight_of(self.group(each)) > 0 for each in waiting)

    def waiting_with(self, regions: Regions) -> int:
        """Count the waiting calls with the same allowed regions."""
        if regions is None and not self.queue.restricted:
            return len(self.queue)
        return sum(each.demand.regions == regions for each in self.queue.calls)

    def arrivals_per_s(self, regions: Regions, now: float) -> float:
        """Return the rate of first requests with the same allowed regions."""
        group = self.group_of(regions)
        return (self if group is None else group).arrival_rate.per_s(now)

    def prospects_for(
        self, regions: Regions, now: float, states: Iterable[UpstreamState] | None = None
    ) -> list[Prospect]:
        """Return the costs of upstreams for calls with some regions; those filled first if None."""
        group = self.group_of(regions)
        if states is None:
            states = self.preferred if group is None else group.preferred
        if group is None:
            return placement.prospects_of(states, now, self.baseline.value)
        return self.groups.prospects_of(states, now, self.baseline.value)

    def update_displaced(self) -> None:
        """Update `displaced` and the groups after a change of the upstreams or of evacuations."""
        self.groups.invalidate()
        states = self.state_by_id.values()
        self.displaced = any(each.evacuated for each in states) and not any(
            each.local_region and not each.evacuated for each in states
        )

    def capacity(self, now: float, homes: int) -> CapacityEstimate:
        """Estimate what this instance can serve.

        It is the total speed of the slots that its own calls occupy, and at least an equal part of
        the region's slots, which `homes` instances share, and the permits that it gets.
        """
        own = shared = limited = 0.0
        unlimited = not self.preferred
        for state in self.preferred:
            unlimited = unlimited or not state.limited
            if state.excluded(now):
                continue
            if state.limited:
                limited += state.rate_limit.expected_per_s(now, 1.0 / homes)
                continue
            speed = 1.0 / max(1.0, state.slowdown_now(now, self.baseline.value))
            own += min(state.own_in_flight - state.own_confined, state.usable_slots) * speed
            if state.local_region:
                shared += state.usable_slots * speed
        slots = max(own, shared / homes, MIN_CAPACITY_SLOTS if unlimited else 0.0)
        permits = sum(each.rate_limit.permits_in_sight(now) for each in self.limited_by_id.values())
        return CapacityEstimate(slots, limited, permits, self.pause_s(now))

    def pause_s(self, now: float) -> float:
        """Return how long all upstreams still want no calls from here, 0 if one takes them."""
        if now >= self.paused_until:
            return 0.0
        ends_at = min((each.paused_until for each in self.state_by_id.values()), default=0.0)
        return max(0.0, ends_at - now)

    def add(self, state: UpstreamState, is_preferred: Callable[[UpstreamState], bool]) -> None:
        """Add an upstream."""
        self.state_by_id[state.entry.id] = state
        if len(self.state_by_id) == SMALL_SERVICE_UPSTREAMS + 1:
            self.partition(is_preferred)
        else:
            self._put(state, is_preferred)
        self.groups.invalidate()

    def remove(self, state: UpstreamState, is_preferred: Callable[[UpstreamState], bool]) -> None:
        """Remove an upstream."""
        if self.state_by_id.pop(state.entry.id, None) is None:
            return
        self.limited_by_id.pop(state.entry.id, None)
        (self.preferred if state.preferred else self.overflow).remove(state)
        if len(self.state_by_id) == SMALL_SERVICE_UPSTREAMS:
            self.partition(is_preferred)
        self.groups.invalidate()

    def partition(self, is_preferred: Callable[[UpstreamState], bool]) -> None:
        """Divide the upstreams into those filled first and those used when these are full."""
        self.preferred, self.overflow = [], []
        for state in self.state_by_id.values():
            self._put(state, is_preferred)
        self.groups.invalidate()

    def _put(self, state: UpstreamState, is_preferred: Callable[[UpstreamState], bool]) -> None:
        few = len(self.state_by_id) <= SMALL_SERVICE_UPSTREAMS
        state.preferred = is_preferred(state) and (few or state.local_region)
        (self.preferred if state.preferred else self.overflow).append(state)

    def rejection_evidence(self, demand: Demand, ahead: int, now: float) -> RejectionEvidence:
        """Return what is known of a call behind `ahead` others that is rejected."""
        group = self.group_of(demand.regions)
        states = self.preferred if group is None else group.preferred
        return create_rejection_evidence(
            demand,
            self.prospects_for(demand.regions, now),
            upstreams=len(states),
            limited=sum(each.limited for each in states),
            ahead=ahead,
            baseline=self.baseline.value,
            reading_at=self.reading_at,
            now=now,
        )

    def sample_overflow(self, group: RegionGroup | None) -> list[UpstreamState]:
        """Return a random sample of the upstreams that other instances fill first."""
        overflow = self.overflow if group is None else group.overflow
        return sample(overflow, min(OVERFLOW_SAMPLE_SIZE, len(overflow)))


class Dispatcher:
    """Places the calls of all services."""

    def __init__(
        self,
        zone: str,
        region_by_zone: dict[str, str],
        create_budget: Callable[[float], RetryBudget],
        own_slack: float,
    ) -> None:
        self._own_slack = own_slack
        self._loop = asyncio.get_running_loop()
        self._zone = zone
        self._region = region_by_zone.get(zone, "")
        self._region_by_zone = region_by_zone
        self._regions = max(1, len(set(region_by_zone.values())))
        self._evacuated_zones: frozenset[str] = frozenset()
        self._create_budget = create_budget
        self._service_by_name: dict[str, _Service] = {}
        self._pauses = create_pause_table()
        self._state_by_id: dict[str, UpstreamState] = {}
        self._transit_by_zone: dict[str, float] = {}
        self._counts_at_by_peer: dict[str, float] = {}  # the last report of calls in flight
        self._numbers = count(1)
        self._homes = 1
        self._share = (0, 1)
        self._is_preferred: Callable[[UpstreamState], bool] = lambda _: True
        self._tick: asyncio.TimerHandle | None = None
        self.on_slowdown: Callable[[UpstreamState], None] = lambda _: None
        self.on_count: Callable[[UpstreamState], None] = lambda _: None
        self.on_rate_limit: Callable[[UpstreamState], None] = lambda _: None
        self.may_request: Callable[[UpstreamState], bool] = lambda _: False
        self.request_permits: Callable[[UpstreamState], None] = lambda _: None
        self.may_request_warmup: Callable[[UpstreamState], bool] = lambda _: False
        # Requests so many permits for any of some cold upstreams, the best one first.
        self.request_warmup_permits: Callable[[list[UpstreamState], int], None] = lambda *_: None
        self.warmups = create_warmups(self._state_by_id.get, self._update_limited)

    @property
    def states(self) -> Collection[UpstreamState]:
        """List all upstreams that may get calls."""
        return self._state_by_id.values()

    def state(self, upstream_id: str) -> UpstreamState | None:
        """Return the state of an upstream that may get calls."""
        return self._state_by_id.get(upstream_id)

    def states_of(self, service: str) -> list[UpstreamState]:
        """List the upstreams of a service that may get calls."""
        return list(self._service(service).state_by_id.values())

    def all_unreachable(self, service: str, regions: Regions = None) -> bool:
        """Return whether no upstream of a service in some regions is reachable from here."""
        return self._service(service).all_unreachable(regions, self._loop.time())

    def set_evacuated_zones(self, zones: frozenset[str]) -> None:
        """Send no further calls to upstreams of some zones, and place waiting calls anew."""
        self._evacuated_zones = zones
        for state in self._state_by_id.values():
            state.evacuated = state.entry.availability_zone in zones
        for service in self._service_by_name.values():
            service.update_displaced()
            self._place_waiting(service)

    def reject_waiting(
        self, service: str, reason: str, is_affected: Callable[[Regions], bool]
    ) -> None:
        """Reject waiting calls of a service with affected regions; nothing has been sent for them."""
        state = self._service(service)
        now = self._loop.time()
        regions = {call.demand.regions for call in state.queue.calls}
        affected = {each for each in regions if is_affected(each)}
        for call in [each for each in state.queue.calls if each.demand.regions in affected]:
            state.queue.discard(call)
            if not call.future.done():
                evidence = state.rejection_evidence(call.demand, 0, now)
                call.future.set_result(Rejection(reason, 0.0, evidence))

    def forgive_failures(self, service: str, since: float) -> None:
        """Forget the failures of a service's upstreams while it was out of reach."""
        state = self._service(service)
        for each in state.state_by_id.values():
            each.forgive_failures(since)
        self._place_waiting(state)

    def region_of(self, zone: str) -> str | None:
        """Return the region of a zone."""
        return self._region_by_zone.get(zone)

    def set_own_slack(self, own_slack: float) -> None:
        """Set this instance's part of the slack of all retry budgets."""
        self._own_slack = own_slack
        for service in self._service_by_name.values():
            service.budget.slack = own_slack

    def set_share(
        self, share: tuple[int, int], is_preferred: Callable[[UpstreamState], bool], homes: int
    ) -> None:
        """Set which upstreams this instance fills first, and the number of homes that share them.

        `share` identifies the part of the upstreams that these homes fill first; the upstreams are
        divided again only when it changes.
        """
        self._homes = max(1, homes)
        if share == self._share:
            return
        self._share, self._is_preferred = share, is_preferred
        for service in self._service_by_name.values():
            service.partition(is_preferred)

    def budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        return self._service(service).budget

    def baseline_slowdown(self, service: str) -> float:
        """Return the average slowdown of the upstreams of a service."""
        return self._service(service).baseline.value

    def on_entry(self, previous: UpstreamEntry | None, current: UpstreamEntry | None) -> None:
        """Apply a change of the registry; calls in flight are not affected."""
        entry = current or previous
        assert entry is not None
        held = self._state_by_id.get(entry.id)
        if held is not None and (
            current is None
            or current.draining
            or not current.same_start(held.entry)
            or current.availability_zone != held.entry.availability_zone
        ):
            self._remove(held)
            held = None
        if current is None or current.draining:
            return
        first = held is None
        repeated = held is not None and 0 < current.sequence == held.entry.sequence
        if held is not None:
            held.entry = current
            self._set_usable_slots(self._service(current.service), held)
        else:
            held = self._add(current)
        if current.warmup_left_s > 0:
            held.cold_until = self._loop.time() + current.warmup_left_s
        self.warmups.apply_entry(held, repeated=repeated, first=first)
        self._place_waiting(self._service(current.service))

    def _add(self, entry: UpstreamEntry) -> UpstreamState:
        zone = entry.availability_zone
        region = self._region_by_zone.get(zone)
        state = UpstreamState(
            entry, self._transit_s(zone), zone == self._zone, region == self._region, region
        )
        state.evacuated = zone in self._evacuated_zones
        state.paused_until = self._pauses.until(entry)
        self._state_by_id[entry.id] = state
        service = self._service(entry.service)
        service.paused_until = max(service.paused_until, state.paused_until)
        service.add(state, self._is_preferred)
        if self._evacuated_zones:
            service.update_displaced()
        self._set_usable_slots(service, state)
        return state

    def _set_usable_slots(self, service: _Service, state: UpstreamState) -> None:
        state.usable_slots = service.contention.usable_slots(state.entry.slots)

    def record_answer(self, slot: Slot, work_s: float, duration_s: float) -> float | None:
        """Record an answer; return its service time at normal speed, None if unknown.

        `work_s` is the expected service time. Upstreams serve a call at the speed they had when it
        began. That speed is unknown if the estimated slowdown has changed since then, because the
        reading used at dispatch may have been outdated. If there was no recent one, the reading that
        came with a short answer tells the speed.
        """
        state = slot.state
        now = self._loop.time()
        service = self._service(state.entry.service)
        slowdown = state.slowdown_now(now, service.baseline.value) * state.cold_factor(now)
        read_before = slot.acquired_at - slot.read_at < RECENT_READING_S
        read_after = state.slowdown_at > slot.acquired_at and duration_s <= SLOWDOWN_FRESH_S
        if read_before or not read_after:
            changed = abs(slowdown - slot.slowdown)
            if changed > SLOWDOWN_TOLERANCE_FRACTION * slot.slowdown:
                return None
        full_share = min(
            1.0, (state.update_time_full(now) - slot.time_full_s) / max(duration_s, 0.001)
        )
        normal_s = max(0.001, duration_s - state.transit_s) / slowdown
        service.contention.record(full_share, work_s, normal_s)
        return normal_s * (1.0 - full_share * (1.0 - self._update_usable_slots(service)))

    def _update_usable_slots(self, service: _Service) -> float:
        """Update the usable slots of all upstreams; return the speed of full upstreams."""
        speed = service.contention.speed_when_full
        if abs(speed - service.applied_speed_when_full) > MIN_SPEED_CHANGE:
            service.applied_speed_when_full = speed
            for state in service.state_by_id.values():
                self._set_usable_slots(service, state)
        return speed

    def contention_evidence(self) -> dict[str, ContentionEvidence]:
        """Return this instance's observations of contention, by service."""
        return {
            name: service.contention.own
            for name, service in self._service_by_name.items()
            if service.contention.own.answers
        }

    def apply_peer_contention(
        self, peer: str, evidence_by_service: dict[str, ContentionEvidence]
    ) -> None:
        """Apply another home's observations of contention."""
        for name, evidence in evidence_by_service.items():
            service = self._service(name)
            service.contention.reported_by_peer[peer] = evidence
            self._update_usable_slots(service)

    def _remove(self, state: UpstreamState) -> None:
        del self._state_by_id[state.entry.id]
        self.warmups.remove(state)
        service = self._service(state.entry.service)
        service.remove(state, self._is_preferred)
        if self._evacuated_zones:
            service.update_displaced()

    def _transit_s(self, zone: str) -> float:
        measured = self._transit_by_zone.get(zone)
        if measured is not None:
            return measured
        if zone == self._zone:
            return SAME_ZONE_TRANSIT_S
        if self._region_by_zone.get(zone) == self._region:
            return SAME_REGION_TRANSIT_S
        return OTHER_REGION_TRANSIT_S

    def record_round_trip(self, zone: str, round_trip_s: float) -> None:
        """Record the time to open a connection to a zone; the shortest one is used."""
        known = self._transit_by_zone.get(zone)
        if known is None or round_trip_s < known:
            self._transit_by_zone[zone] = round_trip_s
            for state in self._state_by_id.values():
                if state.entry.availability_zone == zone:
                    state.transit_s = round_trip_s

    def apply_reading(self, state: UpstreamState, reading: LoadReading) -> None:
        """Apply a load reading of an upstream."""
        self.apply_readings([(state, reading)])

    def apply_readings(self, readings: Iterable[tuple[UpstreamState, LoadReading]]) -> None:
        """Apply load readings of several upstreams, then place waiting calls."""
        services = {self._record_reading(state, reading) for state, reading in readings}
        for name in services:
            self._place_waiting(self._service(name))

    def _record_reading(self, state: UpstreamState, reading: LoadReading) -> str:
        before = state.slowdown
        state.apply_reading(reading)
        service = self._service(state.entry.service)
        if not state.local_region and state.read_at == reading.read_at:
            service.groups.record_reading(state, self._loop.time())
        slower = reading.slowdown is not None and reading.slowdown > SLOWDOWN_RISE_FACTOR * (
            before or 1.0
        )
        if slower and state.own_in_flight:
            self.on_slowdown(state)
        if reading.slowdown is not None:
            service.baseline.record(reading.slowdown)
            service.reading_at = max(service.reading_at, reading.read_at)
        return service.name

    def record_rate_limit(
        self, state: UpstreamState, evidence: RateLimitEvidence, reported_by: str | None = None
    ) -> None:
        """Record whether an answer of an upstream named a rate limit.

        `reported_by` is the instance that got the answer, if it is another one.
        """
        limit = state.rate_limit
        before = limit.named_per_s
        if not limit.apply(evidence):
            return
        log_event(
            "rate_limit",
            upstream=state.entry.id,
            service=state.entry.service,
            calls_per_s="none" if limit.named_per_s is None else limit.named_per_s,
            before="none" if before is None else before,
            source=reported_by or ("health answer" if evidence.in_health_answer else "answer"),
            evidence_age_s=f"{self._loop.time() - evidence.at:.3f}",
        )
        if self._state_by_id.get(state.entry.id) is not state:
            return  # a late answer of an earlier start
        if reported_by is None:
            self.on_rate_limit(state)
        self._update_limited(state)

    def _update_limited(self, state: UpstreamState) -> None:
        """Apply that calls to an upstream need permits from now on, or no longer."""
        service = self._service(state.entry.service)
        if state.limited:
            service.limited_by_id[state.entry.id] = state
        else:
            service.limited_by_id.pop(state.entry.id, None)
        self._place_waiting(service)

    def record_pause(self, entry: UpstreamEntry, pause_s: float) -> None:
        """Send no calls to an upstream for a time, infinite if it leaves."""
        until = self._pauses.record(entry, pause_s, self._loop.time())
        state = self._state_by_id.get(entry.id)
        if state is not None and state.entry.same_start(entry):
            service = self._service(entry.service)
            state.paused_until = until
            service.paused_until = max(service.paused_until, until)
            self._place_waiting(service)

    def pause_s(self, service: str, regions: Regions = None) -> float:
        """Return how long all upstreams of a service in some regions want no calls from here."""
        state = self._service(service)
        now = self._loop.time()
        if state.group_of(regions) is None:
            return state.pause_s(now)
        return self._capacity(state, regions, now).pause_s

    def limited_states(self) -> list[UpstreamState]:
        """List the upstreams that name a rate limit, and the cold ones whose calls are limited."""
        return [
            state
            for service in self._service_by_name.values()
            for state in service.limited_by_id.values()
        ]

    def add_permits(
        self, state: UpstreamState, permits: int, requested_at: float | None = None
    ) -> None:
        """Add permits issued by another instance, then place waiting calls or reject them."""
        state.rate_limit.add_permits(permits, self._loop.time(), requested_at)
        self._place_waiting(self._service(state.entry.service))

    def _request_permits(
        self,
        service: _Service,
        states: Collection[UpstreamState],
        demand: Demand,
        avoid: Collection[str],
    ) -> None:
        """Request permits for those of some upstreams that would serve the call best."""
        now = self._loop.time()
        requestable = self._requestable(states, now)
        baseline = service.baseline.value
        cold = [each for each in requestable if each.rate_limit.warmup_per_s is not None]
        if cold:
            self._request_warmup_permits(service, states, cold, demand, avoid)
            requestable = [each for each in requestable if each.rate_limit.warmup_per_s is None]
        if requestable:
            for state in placement.worth_permits(states, requestable, demand, avoid, now, baseline):
                self.request_permits(state)

    def _requestable(self, states: Iterable[UpstreamState], now: float) -> list[UpstreamState]:
        """List those of some upstreams of which permits may be requested now."""
        return [
            state
            for state in states
            if state.lacks_permit(now) and not state.excluded(now) and self._may_request(state)
        ]

    def _may_request(self, state: UpstreamState) -> bool:
        if state.rate_limit.warmup_per_s is not None:
            return self.may_request_warmup(state)
        return self.may_request(state)

    def _request_warmup_permits(
        self,
        service: _Service,
        states: Collection[UpstreamState],
        cold: list[UpstreamState],
        demand: Demand,
        avoid: Collection[str],
    ) -> None:
        """Request permits for the waiting calls, or this one, if they would take cold upstreams."""
        now = self._loop.time()
        wanted = _missing_warmup_permits(service, demand, now)
        if wanted <= 0:
            return
        baseline, ahead = service.baseline.value, max(1, len(service.queue)) - 1
        best = placement.cold_choices(states, cold, demand, avoid, now, baseline, ahead)
        if best:
            self.request_warmup_permits(best, wanted)

    async def acquire(self, demand: Demand, avoid: Collection[str]) -> Slot:
        """Wait for a slot; raise `RejectedError` as soon as the call is infeasible."""
        service = self._service(demand.service)
        service.record_arrival(demand, self._loop.time())
        slot = self.try_acquire(demand, avoid)
        if slot is not None:
            return slot
        now = self._loop.time()
        self._check_feasible(service, demand, now)
        call = WaitingCall(demand, avoid, self._loop.create_future(), now)
        service.queue.add(call)
        if self._tick is None:
            self._tick = self._loop.call_later(PLACEMENT_INTERVAL_S, self._on_tick)
        try:
            outcome = await call.future
        except asyncio.CancelledError:
            service.queue.discard(call)
            if call.future.done() and not call.future.cancelled():
                unused = call.future.result()
                if isinstance(unused, Slot):
                    self.release(unused)
            raise
        if isinstance(outcome, Rejection):
            raise RejectedError(outcome)
        return outcome

    def try_acquire(self, demand: Demand, avoid: Collection[str]) -> Slot | None:
        """Return a slot if one is free now and no waiting call precedes this one."""
        service = self._service(demand.service)
        if service.queue.calls and service.is_preceded(demand, self._loop.time()):
            return None
        return self._acquire_free(service, demand, avoid)

    def expected_elsewhere_s(self, demand: Demand, avoid: Collection[str]) -> float | None:
        """Estimate the duration of an attempt on the best upstream that is not in `avoid`.

        None if other calls wait for slots, or if none is free that is worth taking now.
        """
        service = self._service(demand.service)
        if service.queue.calls and service.competes(demand.regions):
            return None
        now = self._loop.time()
        group = service.group_of(demand.regions)
        states = service.preferred if group is None else group.preferred
        found = service.place(states, demand, avoid, now)
        return found.expected_s if found.upstream is not None else None

    def _acquire_free(
        self, service: _Service, demand: Demand, avoid: Collection[str]
    ) -> Slot | None:
        now = self._loop.time()
        baseline = service.baseline.value
        group = service.group_of(demand.regions)
        states = service.preferred if group is None else group.preferred
        if service.limited_by_id:
            self._request_permits(service, states, demand, avoid)
        upstream = service.place(states, demand, avoid, now).upstream
        if upstream is None and (sampled := service.sample_overflow(group)):
            self._request_permits(service, sampled, demand, avoid)
            upstream = service.place(sampled, demand, avoid, now).upstream
        return None if upstream is None else self._occupy(upstream, demand, now, baseline)

    def _occupy(self, state: UpstreamState, demand: Demand, now: float, baseline: float) -> Slot:
        time_full_s = state.update_time_full(now)
        state.own_in_flight += 1
        confined = demand.regions is not None and self._region not in demand.regions
        state.own_confined += confined
        if state.limited:
            state.rate_limit.use_permit(now)
        self.on_count(state)
        slot = Slot(
            next(self._numbers),
            state,
            placement.expected_s(state, demand, now, baseline),
            state.slowdown_now(now, baseline) * state.cold_factor(now),
            now,
            confined,
            state.slowdown_at,
            time_full_s,
        )
        state.dispatched_at_by_call[slot.number] = (now, slot.expected_s * SERVICE_TIME_P90_FACTOR)
        return slot

    def may_send(self, slot: Slot) -> bool:
        """Return whether a request may still be sent now that its connection is open.

        Not if its zone was evacuated meanwhile, and not to a cold upstream if that took long: the
        permit was one of the second in which it was issued.
        """
        if self._evacuated_zones and slot.state.entry.availability_zone in self._evacuated_zones:
            return False
        cold = slot.state.rate_limit.warmup_per_s is not None
        return not cold or self._loop.time() - slot.acquired_at <= WARMUP_PERMIT_TTL_S

    def release(self, slot: Slot) -> None:
        """Release a slot; has no effect if it was released before."""
        state = slot.state
        if state.dispatched_at_by_call.pop(slot.number, None) is None:
            return
        now = self._loop.time()
        state.update_time_full(now)
        state.record_end(now)
        state.own_in_flight -= 1
        state.own_confined -= slot.confined
        # Peers count by id, and know of the current start only.
        self.on_count(self._state_by_id.get(state.entry.id, state))
        self._place_waiting(self._service(state.entry.service))

    def apply_peer_counts(self, peer: str, count_by_id: dict[str, int], *, complete: bool) -> None:
        """Apply the calls in flight reported by another home; a `complete` list omits zeros."""
        now = self._loop.time()
        self._counts_at_by_peer[peer] = now
        freed = set()
        for upstream_id in self._state_by_id if complete else count_by_id:
            state = self._state_by_id.get(upstream_id)
            if state is None:
                continue
            count = count_by_id.get(upstream_id, 0)
            held = state.reported_by_peer.get(peer, 0)
            if count == held:
                continue
            state.update_time_full(now)
            if count < held:
                state.record_end(now)
            if count:
                state.reported_by_peer[peer] = count
            else:
                del state.reported_by_peer[peer]
            if count < held:
                freed.add(state.entry.service)
        for name in freed:
            self._place_waiting(self._service(name))

    def retain_peers(self, live_ids: Collection[str]) -> None:
        """Remove the reports of all homes that are not in `live_ids`.

        Counts of a live home expire too: it reports them to this instance only while both are homes
        of the same cell.
        """
        now = self._loop.time()
        counts_since = now - COUNTS_TTL_S
        self._counts_at_by_peer = {
            peer: reported_at
            for peer, reported_at in self._counts_at_by_peer.items()
            if peer in live_ids and reported_at >= counts_since
        }
        for service in self._service_by_name.values():
            reported = service.contention.reported_by_peer
            for peer in [each for each in reported if each not in live_ids]:
                del reported[peer]
        for state in self._state_by_id.values():
            counted = self._counts_at_by_peer
            for peer in [each for each in state.reported_by_peer if each not in counted]:
                state.update_time_full(now)
                del state.reported_by_peer[peer]

    def explain(self, demand: Demand) -> PlacementExplanation:
        """Tell what would become of a call that came now, and why; changes nothing.

        The decisions are taken on a copy of the service. Windows may drop entries that have expired,
        as at each reading. No permit is requested and no sample drawn, so the upstreams that other
        instances fill first are all compared where a call compares a random sample.
        """
        now = self._loop.time()
        held = self._service_by_name.get(demand.service)
        if held is None:
            budget = self._create_budget(self._own_slack)
            service = _Service(demand.service, budget, groups=RegionGroups(salt=0))
        else:
            service = held.copy()
        unreachable = service.all_unreachable(demand.regions, now)
        service.record_arrival(demand, now)
        group = service.group_of(demand.regions)
        first = service.preferred if group is None else group.preferred
        overflow = service.overflow if group is None else group.overflow
        forecast = self._forecast(service, demand, first, overflow, now)
        candidates = explain_candidates(
            service.state_by_id.values(),
            first,
            overflow,
            lambda states: service.prospects_for(demand.regions, now, states),
            demand,
            now,
            service.baseline.value,
            forecast,
        )
        return PlacementExplanation(
            forecast,
            candidates,
            service.baseline.value,
            service.budget.remaining(now),
            service.budget.allows(now, demand),
            unreachable,
        )

    def _forecast(
        self,
        service: _Service,
        demand: Demand,
        first: list[UpstreamState],
        overflow: list[UpstreamState],
        now: float,
    ) -> Forecast:
        """Take the decisions of `acquire` on the copy of a service."""
        if service.queue.calls and service.is_preceded(demand, now):
            return self._forecast_wait(service, demand, "other calls precede it", (), False, now)
        wanted = self._wanted_permits(service, first, demand, now)
        found = service.place(first, demand, (), now)
        compares_overflow = found.upstream is None and bool(overflow)
        if compares_overflow:
            wanted += self._wanted_permits(service, overflow, demand, now)
            beyond = service.place(overflow, demand, (), now)
            found = found if beyond.upstream is None else beyond
        if found.upstream is None:
            names = tuple(each.entry.id for each in wanted)
            reason = "it requests permits" if wanted else found.reason
            return self._forecast_wait(service, demand, reason, names, compares_overflow, now)
        sampled_of = len(overflow) if compares_overflow else 0
        return Forecast(
            Outcome.ADMITTED,
            found.reason,
            chosen=found.upstream,
            expected_s=found.expected_s,
            compares_overflow=compares_overflow,
            sampled_of=sampled_of if sampled_of > OVERFLOW_SAMPLE_SIZE else 0,
        )

    def _forecast_wait(
        self,
        service: _Service,
        demand: Demand,
        reason: str,
        wanted: tuple[str, ...],
        compares_overflow: bool,
        now: float,
    ) -> Forecast:
        ahead = service.ahead_of(demand, now)
        capacity = self._capacity(service, demand.regions, now)
        arrivals_per_s = service.arrivals_per_s(demand.regions, now)
        waiting_s = wait_s(ahead, demand, capacity, arrivals_per_s, now)
        common = {"ahead": ahead, "compares_overflow": compares_overflow}
        try:
            self._check_feasible(service, demand, now, len(wanted))
        except RejectedError as error:
            retry_after_s = error.retry_after_s
            return Forecast(Outcome.REJECTED, error.reason, retry_after_s=retry_after_s, **common)
        return Forecast(Outcome.WAITS, reason, wait_s=waiting_s, permits_of=wanted, **common)

    def _wanted_permits(
        self, service: _Service, states: Collection[UpstreamState], demand: Demand, now: float
    ) -> list[UpstreamState]:
        """List the upstreams of which a call would request permits."""
        if not service.limited_by_id:
            return []
        baseline = service.baseline.value
        requestable = self._requestable(states, now)
        cold = [each for each in requestable if each.rate_limit.warmup_per_s is not None]
        limited = [each for each in requestable if each.rate_limit.warmup_per_s is None]
        wanted = placement.worth_permits(states, limited, demand, (), now, baseline)
        if cold and _missing_warmup_permits(service, demand, now) > 0:
            ahead = max(1, len(service.queue)) - 1
            best = placement.best_cold(states, cold, demand, (), now, baseline, ahead)
            wanted += [] if best is None else [best]
        return wanted

    def _check_feasible(
        self, service: _Service, demand: Demand, now: float, more_permits: int = 0
    ) -> None:
        """Raise `RejectedError` if a call is infeasible with so many permits more than requested."""
        capacity = self._capacity(service, demand.regions, now)
        if more_permits:
            capacity = replace(capacity, permits=capacity.permits + more_permits)
        arrivals_per_s = service.arrivals_per_s(demand.regions, now)
        ahead = service.ahead_of(demand, now)
        reason = None
        if not service.state_by_id:
            reason = "no upstream"
        elif hopeless := self._hopeless_reason(service, demand, now):
            reason = hopeless
        elif service.queue.is_full(demand):
            reason = "too many calls wait"
        elif not is_feasible(ahead, demand, capacity, arrivals_per_s, now):
            reason = "the wait is longer than the time left"
            if capacity.pause_s:
                reason = "no upstream takes calls from here"
        if reason is not None:
            waiting_s = wait_s(ahead, demand, capacity, arrivals_per_s, now)
            raise RejectedError(
                Rejection(
                    reason,
                    self._retry_after_s(service, demand, waiting_s, now),
                    service.rejection_evidence(demand, ahead, now),
                )
            )

    def _capacity(self, service: _Service, regions: Regions, now: float) -> CapacityEstimate:
        group = service.group_of(regions)
        if group is None:
            return service.capacity(now, self._homes)
        return capacity_of(
            group,
            service.groups,
            now,
            baseline=service.baseline.value,
            homes=self._homes,
            regions=self._regions,
            min_slots=MIN_CAPACITY_SLOTS,
        )

    def _hopeless_reason(self, service: _Service, demand: Demand, now: float) -> str | None:
        group = service.group_of(demand.regions)
        return None if group is None else hopeless_reason(group, demand, now)

    def _retry_after_s(
        self, service: _Service, demand: Demand, waiting_s: float, now: float
    ) -> float:
        capacity = self._capacity(service, demand.regions, now)
        interval_s = 1.0 / capacity.calls_per_s(demand.work_s)
        if capacity.slots:
            interval_s = min(interval_s, demand.work_s)
        pause_s = capacity.pause_s if math.isfinite(capacity.pause_s) else 0.0
        group = service.group_of(demand.regions)
        schedule = (service if group is None else group).retry_after
        return pause_s + schedule.next_retry_after_s(now, waiting_s, interval_s)

    def _on_tick(self) -> None:
        self._tick = None
        for service in self._service_by_name.values():
            self._place_waiting(service)
        if any(service.queue.calls for service in self._service_by_name.values()):
            self._tick = self._loop.call_later(PLACEMENT_INTERVAL_S, self._on_tick)

    def _place_waiting(self, service: _Service) -> None:
        """Assign free slots to waiting calls in order; often called while all slots are in use."""
        if not service.queue.calls:
            return
        now = self._loop.time()
        if service.has_groups_waiting:
            self._place_waiting_groups(service, now)
            return
        states = service.preferred
        if service.limited_by_id:
            first = service.queue.in_order(now)[0]
            self._request_permits(service, states, first.demand, first.avoid)
        self._reject_infeasible(service, now)
        if not any(state.usable_now(now) > 0 for state in states):
            return
        baseline = service.baseline.value
        prospects = placement.prospects_of(states, now, baseline)
        free = sum(max(0, each.free) for each in prospects)
        for ahead, call in enumerate(service.queue.in_order(now)):
            if free <= 0:
                return
            to_target_s = call.demand.time_to_target(now)
            to_give_up_s = call.demand.give_up_at - now
            state = placement.choose(
                prospects, call.demand, call.avoid, ahead, to_target_s, to_give_up_s
            ).upstream
            if state is None:
                continue
            service.queue.discard(call)
            if call.future.done():
                continue
            call.future.set_result(self._occupy(state, call.demand, now, baseline))
            prospects = [
                each if each.state is not state else placement.prospect_of(state, now, baseline)
                for each in prospects
                if each.state is not state or not state.lacks_permit(now)
            ]
            free -= 1

    def _place_waiting_groups(self, service: _Service, now: float) -> None:
        """Assign free slots to waiting calls in order, to each one of those that it may use."""
        if service.limited_by_id:
            first_by_regions: dict[Regions, WaitingCall] = {}
            for call in service.queue.in_order(now):
                first_by_regions.setdefault(call.demand.regions, call)
            for regions, call in first_by_regions.items():
                states = service.group(regions).preferred
                self._request_permits(service, states, call.demand, call.avoid)
        self._reject_infeasible(service, now)
        baseline = service.baseline.value
        preceding = PrecedingCalls(service.group)
        offers = Offers(lambda regions, states=None: service.prospects_for(regions, now, states))
        for call in service.queue.in_order(now):
            demand = call.demand
            prospects = offers.to(demand.regions)
            ahead = preceding.ahead_of(demand.regions)
            preceding.add(demand.regions)
            state = placement.choose(
                prospects,
                demand,
                call.avoid,
                ahead,
                demand.time_to_target(now),
                demand.give_up_at - now,
            ).upstream
            if state is None:
                continue
            service.queue.discard(call)
            if call.future.done():
                continue
            call.future.set_result(self._occupy(state, demand, now, baseline))
            offers.update(state)

    def _infeasible(self, service: _Service, now: float) -> list[WaitingCall]:
        if not service.has_groups_waiting:
            capacity = service.capacity(now, self._homes)
            return service.queue.infeasible(now, capacity, service.arrival_rate.per_s(now))
        return infeasible(
            service.queue.in_order(now),
            PrecedingCalls(service.group),
            lambda regions: (
                self._capacity(service, regions, now),
                service.arrivals_per_s(regions, now),
            ),
            lambda demand: self._hopeless_reason(service, demand, now),
            now,
        )

    def _reject_infeasible(self, service: _Service, now: float) -> None:
        for call in self._infeasible(service, now):
            ahead = max(0, service.ahead_of(call.demand, now) - 1)
            service.queue.discard(call)
            if not call.future.done():
                retry_s = self._retry_after_s(service, call.demand, 0.0, now)
                evidence = service.rejection_evidence(call.demand, ahead, now)
                reason = self._hopeless_reason(service, call.demand, now) or "no slot in time"
                call.future.set_result(Rejection(reason, retry_s, evidence))

    def _service(self, name: str) -> _Service:
        service = self._service_by_name.get(name)
        if service is None:
            service = self._service_by_name[name] = _Service(
                name, self._create_budget(self._own_slack)
            )
        return service


def _missing_warmup_permits(service: _Service, demand: Demand, now: float) -> int:
    """Return how many permits to request for calls with the regions of one, waiting or new."""
    group = service.group_of(demand.regions)
    in_sight = sum(
        each.rate_limit.permits_in_sight(now)
        for each in service.limited_by_id.values()
        if each.rate_limit.warmup_per_s is not None and (group is None or group.allows(each))
    )
    return min(MAX_WARMUP_PERMITS, max(1, service.waiting_with(demand.regions)) - in_sight)


def create_dispatcher(
    zone: str,
    region_by_zone: dict[str, str],
    ratio: float,
    window_s: float,
    own_slack: float,
) -> Dispatcher:
    """Create a dispatcher without upstreams; must be called inside the running loop.

    Extra attempts within `window_s` are bounded by `ratio` times the calls plus `own_slack`, this
    instance's part of the slack.
    """
    return Dispatcher(
        zone,
        region_by_zone,
        lambda slack: create_retry_budget(ratio, window_s, slack),
        own_slack,
    )
