"""An instance's view of one upstream, with the age of each observation.

Other load on an upstream's machine slows it down up to sevenfold for about half a second. A reading
of the slowdown that is older is outdated, so it decays to the average of the service.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from heatherhead.dispatch.rate_limits import RateLimit
from heatherhead.dispatch.warmup import Warmup

if TYPE_CHECKING:
    from heatherhead.registry.entries import UpstreamEntry

__all__ = ["SLOWDOWN_FRESH_S", "LoadReading", "UpstreamState"]

SLOWDOWN_FRESH_S = 0.12  # the interval between two readings by a home
UNATTRIBUTED_TTL_S = 0.3  # calls of unknown origin are assumed to have ended after that
SLOWDOWN_HALF_LIFE_S = 0.4  # slow periods last about half a second
# Bound of `attributed_until`; fewer calls end at an upstream while a reading is in transit.
MAX_RECENT_ENDS = 16
READING_TTL_S = 3.0  # without a reading for that long, the upstream counts as read by no home
FAILURE_HALF_LIFE_S = 2.5  # failing upstreams are tried again every few seconds
FAILURE_EWMA_WEIGHT = 0.3  # of the latest outcome
COLD_SLOWDOWN_FACTOR = 2.0  # on the service time of an upstream in slow start
INITIAL_EJECTION_S = 0.3
MAX_EJECTION_S = 4.0


@dataclass(frozen=True, slots=True)
class LoadReading:
    """Load reported by an upstream; `slowdown` is 1.0 for normal speed, None if not reported."""

    running: int
    waiting: int
    slots: int
    slowdown: float | None
    read_at: float


@dataclass(slots=True, eq=False)
class UpstreamState:
    """One upstream of a service."""

    entry: UpstreamEntry
    transit_s: float  # round trip
    local_zone: bool
    local_region: bool
    region: str | None = None  # None for a zone that the settings don't know
    preferred: bool = True  # one of those that this instance fills first
    cold_until: float = 0.0
    own_in_flight: int = 0
    own_confined: int = 0  # of these, calls that may not run in the local region
    reported_by_peer: dict[str, int] = field(default_factory=dict)  # calls in flight of other homes
    unattributed: int = 0  # calls that neither this instance nor its peers sent
    attributed_until: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=MAX_RECENT_ENDS)
    )  # earlier values of `attributed`, each with the time at which it fell
    read_at: float = -1.0
    slowdown: float | None = None
    slowdown_at: float = -1.0
    failure_share: float = 0.0
    failure_at: float = 0.0
    ejected_until: float = 0.0
    ejections: int = 0
    evacuated: bool = False  # its zone is, for all instances
    misdirected: bool = False  # another upstream answers at its address
    paused_until: float = 0.0  # it wants no calls from here; infinite if it leaves
    rate_limit: RateLimit = field(default_factory=RateLimit)
    warmup: Warmup = field(default_factory=Warmup)
    usable_slots: int = 1
    time_full_s: float = 0.0  # total time with all slots in use, up to `time_full_at`
    time_full_at: float = 0.0
    # By slot number: the time of dispatch, and the duration after which the call counts as overdue.
    dispatched_at_by_call: dict[int, tuple[float, float]] = field(default_factory=dict)

    def apply_reading(self, reading: LoadReading) -> None:
        """Apply a load reading unless a newer one is known."""
        if reading.slowdown is not None and reading.read_at > self.slowdown_at:
            self.slowdown = reading.slowdown
            self.slowdown_at = reading.read_at
        if reading.read_at > self.read_at:
            self.update_time_full(reading.read_at)
            attributed = max(
                self.attributed,
                *(count for until, count in self.attributed_until if until >= reading.read_at),
                0,
            )
            self.unattributed = max(0, reading.running + reading.waiting - attributed)
            self.read_at = reading.read_at

    @property
    def attributed(self) -> int:
        """Count the calls in flight of this instance and of the homes that report theirs."""
        return self.own_in_flight + sum(self.reported_by_peer.values())

    def record_end(self, now: float) -> None:
        """Record `attributed` before it falls: a reading in transit may include the ended calls."""
        self.attributed_until.append((now, self.attributed))

    def occupancy(self, now: float) -> int:
        """Estimate the number of calls at the upstream."""
        reported = sum(self.reported_by_peer.values()) if self.reported_by_peer else 0
        unattributed = self.unattributed if now - self.read_at < UNATTRIBUTED_TTL_S else 0
        return self.own_in_flight + reported + unattributed

    def update_time_full(self, now: float) -> float:
        """Update and return `time_full_s`; must be called before the occupancy changes."""
        if now > self.time_full_at:
            if self.occupancy(self.time_full_at) >= self.entry.slots:
                self.time_full_s += now - self.time_full_at
            self.time_full_at = now
        return self.time_full_s

    def free_slots(self, now: float) -> int:
        """Count the free slots; zero or less means that the upstream is full.

        Without a recent load reading, calls of others are assumed to use half of the slots.
        """
        if self.read_at < now - READING_TTL_S:
            return self.usable_slots - self.own_in_flight - self.usable_slots // 2
        return self.usable_slots - self.occupancy(now)

    def usable_now(self, now: float) -> int:
        """Count the free slots for which there is a permit, if calls need one."""
        free = self.free_slots(now)
        return min(free, self.rate_limit.permits(now)) if self.limited else free

    @property
    def limited(self) -> bool:
        """Return whether the upstream names a rate limit or warms up: each call needs a permit."""
        return self.rate_limit.calls_per_s is not None

    def lacks_permit(self, now: float) -> bool:
        """Return whether calls to the upstream need a permit and this instance has none."""
        return self.limited and not self.rate_limit.permits(now)

    def unreachable(self, now: float) -> bool:
        """Return whether the upstream is ejected, or another one answers at its address."""
        return self.misdirected or now < self.ejected_until

    def excluded(self, now: float) -> bool:
        """Return whether the upstream is unreachable or evacuated, or wants no calls from here."""
        return self.unreachable(now) or now < self.paused_until or self.evacuated

    def slowdown_now(self, now: float, baseline: float) -> float:
        """Estimate the current slowdown; `baseline` is the average of the service."""
        if self.slowdown is None:
            return baseline
        age_s = now - self.slowdown_at - SLOWDOWN_FRESH_S
        if age_s <= 0:
            return self.slowdown
        return baseline + (self.slowdown - baseline) * 0.5 ** (age_s / SLOWDOWN_HALF_LIFE_S)

    def proven_slowdown(self, now: float) -> float:
        """Return the slowdown of which the last reading is still evidence.

        It decays to normal speed, as the average of the service tells nothing of one upstream.
        """
        return 1.0 if self.slowdown is None else self.slowdown_now(now, 1.0)

    def cold_factor(self, now: float) -> float:
        """Return the factor on the service time during slow start, 1.0 afterwards."""
        return COLD_SLOWDOWN_FACTOR if now < self.cold_until else 1.0

    def failure_rate(self, now: float) -> float:
        """Estimate the share of calls that fail now."""
        if self.failure_share < 0.01:
            return 0.0
        return self.failure_share * 0.5 ** ((now - self.failure_at) / FAILURE_HALF_LIFE_S)

    def record_outcome(self, failed: bool, now: float) -> None:
        """Record whether a call failed."""
        share = self.failure_rate(now)
        self.failure_share = share + FAILURE_EWMA_WEIGHT * ((1.0 if failed else 0.0) - share)
        self.failure_at = now
        if not failed:
            self.ejections = 0

    def eject(self, now: float) -> None:
        """Exclude the upstream from new calls, twice as long for each ejection in a row."""
        duration_s = min(MAX_EJECTION_S, INITIAL_EJECTION_S * 2**self.ejections)
        self.ejections += 1
        self.ejected_until = now + duration_s

    def forgive_failures(self, since: float) -> None:
        """Forget the failures since a time, which were not the upstream's."""
        if self.failure_at >= since:
            self.failure_share = 0.0
        self.ejected_until = 0.0
        self.ejections = 0

    def max_overdue_s(self, now: float) -> float:
        """Return by how much the most overdue call in flight exceeds its allowed duration."""
        if not self.dispatched_at_by_call:
            return 0.0
        return max(
            0.0, *(now - at - expected for at, expected in self.dispatched_at_by_call.values())
        )
