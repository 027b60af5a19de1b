"""Estimates contention: how much an upstream slows down when all its slots are in use.

Some servers slow down when they are nearly full, so that three concurrent calls take longer than
two calls followed by one. Each answer shows for which share of its duration its upstream was full
and by how much it exceeded its expected service time. The slope of a linear regression of the
latter on the former is the loss of speed when full; it decides whether the last slot is filled.
"""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["Contention", "CrowdingEvidence"]

EVIDENCE_DECAY = 0.998  # weight of the past at each answer; about five hundred answers count
MIN_ANSWERS = 5.0  # sum of weights; a line through fewer answers fits by chance
MIN_FULL_SHARE_VARIANCE = 0.02  # with less variance, the slope can't be estimated
MIN_REDUCIBLE_SLOTS = 2  # the only slot of an upstream is always used
MIN_LAST_SLOT_GAIN = 0.1  # in slots of normal speed; a last slot that adds less stays free


@dataclass(slots=True)
class CrowdingEvidence:
    """Decayed sums of a linear regression of service time on the share of time spent full.

    The service time is relative to the expected one. The intercept is the service time without
    contention, so that an error in the expected service time is not mistaken for contention.
    """

    answers: float = 0.0
    full_share_sum: float = 0.0
    full_share_squared_sum: float = 0.0
    service_time_sum: float = 0.0
    product_sum: float = 0.0

    def record(self, full_share: float, service_time: float) -> None:
        """Record an answer."""
        self.answers = EVIDENCE_DECAY * self.answers + 1.0
        self.full_share_sum = EVIDENCE_DECAY * self.full_share_sum + full_share
        self.full_share_squared_sum = (
            EVIDENCE_DECAY * self.full_share_squared_sum + full_share * full_share
        )
        self.service_time_sum = EVIDENCE_DECAY * self.service_time_sum + service_time
        self.product_sum = EVIDENCE_DECAY * self.product_sum + full_share * service_time

    def merge(self, other: CrowdingEvidence) -> None:
        """Add the observations of another home."""
        self.answers += other.answers
        self.full_share_sum += other.full_share_sum
        self.full_share_squared_sum += other.full_share_squared_sum
        self.service_time_sum += other.service_time_sum
        self.product_sum += other.product_sum

    def speed_when_full(self) -> float:
        """Estimate the speed of a full upstream relative to its normal speed."""
        if self.answers < MIN_ANSWERS:
            return 1.0
        full_share, service_time = (
            self.full_share_sum / self.answers,
            self.service_time_sum / self.answers,
        )
        variance = self.full_share_squared_sum / self.answers - full_share * full_share
        if variance < MIN_FULL_SHARE_VARIANCE:
            return 1.0
        slope = (self.product_sum / self.answers - full_share * service_time) / variance
        intercept = max(0.1, service_time - slope * full_share)
        return 1.0 / max(1.0, 1.0 + slope / intercept)


@dataclass(slots=True)
class Contention:
    """Contention on the upstreams of a service, as observed by all homes that share them.

    Homes need the same estimate: one that leaves the last slots free would be starved by one that
    fills them.
    """

    own: CrowdingEvidence = field(default_factory=CrowdingEvidence)
    reported_by_peer: dict[str, CrowdingEvidence] = field(default_factory=dict)

    def record(self, full_share: float, work_s: float, duration_s: float) -> None:
        """Record an answer that took `duration_s` with an expected service time of `work_s`.

        `full_share` is the share of that time in which all slots of the upstream were in use.
        """
        self.own.record(full_share, duration_s / max(work_s, 0.001))

    @property
    def speed_when_full(self) -> float:
        """Estimate the speed of a full upstream relative to its normal speed."""
        shared = CrowdingEvidence()
        for evidence in (self.own, *self.reported_by_peer.values()):
            shared.merge(evidence)
        return shared.speed_when_full()

    def usable_slots(self, slots: int) -> int:
        """Return how many of an upstream's slots to fill; the last one only if it adds capacity."""
        if (
            slots < MIN_REDUCIBLE_SLOTS
            or slots * self.speed_when_full >= slots - 1 + MIN_LAST_SLOT_GAIN
        ):
            return slots
        return slots - 1
