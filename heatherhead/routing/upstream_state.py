"""The state of one upstream as seen by this instance."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from heatherhead.admission.limits import create_limit

if TYPE_CHECKING:
    from heatherhead.admission.limits import AdaptiveLimit
    from heatherhead.calls import LoadReport
    from heatherhead.configuration.model import Service, Upstream
    from heatherhead.membership.interface import Instance
    from heatherhead.routing.slot import RoutedSlot

__all__ = ["NEVER", "UpstreamState", "create_upstream_state", "sync_upstreams"]

NEVER = float("-inf")


@dataclass(slots=True, eq=False)
class UpstreamState:
    """Calls in flight, health, exclusions and candidate bucket of one upstream.

    Times are in seconds on the loop's clock; zero means that the condition does not hold.
    `owned` is set if this home's share of the upstreams contains this one (see `shares`).
    `last_observed_at` is the end of the last own attempt that was not cancelled, `last_success_at`
    that of the last successful one. `reported_in_flight` and `reported_reservations` are sums over
    the vectors of the other homes. `unanswered_checks` counts consecutive health checks without an
    answer.
    """

    upstream: Upstream
    limit: AdaptiveLimit
    local_region: bool
    local_zone: bool
    preferred: bool = True
    owned: bool = True
    slot_by_serial: dict[int, RoutedSlot] = field(default_factory=dict)
    reported_in_flight: int = 0
    reported_reservations: int = 0
    overdue_calls: int = 0
    slow: bool = False
    slow_since: float = 0.0
    trial_at: float = 0.0
    trial_ends_at: float = 0.0
    slow_backoff_exponent: int = 0
    on_trial: bool = False
    failures: int = 0
    ejections: int = 0
    ejected_at: float = 0.0
    ejected_until: float = 0.0
    draining_until: float = 0.0
    reserved: bool = False
    removed: bool = False
    report: LoadReport | None = None
    reason: str = ""
    last_observed_at: float = NEVER
    last_success_at: float = NEVER
    unanswered_checks: int = 0
    trusts_health_checks: bool = True
    readmitted_by_health: bool = False
    health: str = ""
    health_at: float = NEVER
    next_report_at: float = NEVER
    bucket: int = -1
    position: int = -1

    @property
    def in_flight(self) -> int:
        """Number of calls of this instance in flight."""
        return len(self.slot_by_serial)

    @property
    def usable(self) -> bool:
        """Whether the upstream is eligible for new calls: neither excluded nor reserved."""
        return not (
            self.draining_until or self.ejected_until or self.reserved or self.upstream.draining
        )

    @property
    def has_free_slot(self) -> bool:
        """Whether limit, slots and the pause after slowness allow one more call now."""
        if not self.usable or self.reported_reservations or (self.slow and self.trial_at):
            return False
        own = len(self.slot_by_serial)
        others = self.reported_in_flight
        return (
            own - self.overdue_calls + others < self.limit.allowed
            and own + others < self.upstream.slots
        )

    def oldest_age_s(self, now: float) -> float:
        """Age in seconds of the oldest call of this instance in flight; zero if there is none."""
        for slot in self.slot_by_serial.values():
            return now - slot.started_at
        return 0.0

    def reason_with_health(self, now: float) -> str:
        """Return the reason for the state and the last health check's finding, for operators."""
        if not self.health:
            return self.reason
        health = f"health check {now - self.health_at:.1f} s ago: {self.health}"
        return f"{self.reason}; {health}" if self.reason else health

    def state_name(self) -> str:
        """Return the name of the state that operators see."""
        if self.draining_until or self.upstream.draining:
            return "draining"
        if self.ejected_until:
            return "ejected"
        if self.reserved:
            return "reserved"
        if self.slow:
            return "slow"
        return "ramping" if self.limit.allowed < self.upstream.slots else "ready"


def create_upstream_state(upstream: Upstream, own: Instance, *, cold: bool) -> UpstreamState:
    """Create the state of an upstream as seen by instance `own`."""
    local_region = upstream.region == own.region
    return UpstreamState(
        upstream,
        create_limit(upstream.slots, cold=cold),
        local_region,
        local_region and upstream.availability_zone == own.availability_zone,
    )


def sync_upstreams(
    state_by_id: dict[str, UpstreamState], service: Service, own: Instance, *, cold: bool
) -> list[UpstreamState]:
    """Update states to a service's list of upstreams; return those that were removed.

    One whose address changed is removed and added anew. Added ones go through slow start if `cold`.
    """
    by_id = {each.id: each for each in service.upstreams}
    removed_states = [
        state
        for state in state_by_id.values()
        if state.upstream.id not in by_id
        or _address_changed(state.upstream, by_id[state.upstream.id])
    ]
    for state in removed_states:
        state.removed = True
        del state_by_id[state.upstream.id]
    for upstream in service.upstreams:
        state = state_by_id.get(upstream.id)
        if state is None:
            state_by_id[upstream.id] = create_upstream_state(upstream, own, cold=cold)
        elif state.upstream != upstream:
            state.upstream = upstream
            state.limit.resize(upstream.slots)
    return removed_states


def _address_changed(one: Upstream, other: Upstream) -> bool:
    return (one.host, one.port) != (other.host, other.port)
