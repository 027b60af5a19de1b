"""Learns how long the work of a route takes on an upstream of usual speed."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["RouteEstimate", "UsualSlowdown"]

FIRST_WORK_SHARE = 0.3  # of the route's target latency, before anything was measured
DEFAULT_WORK_S = 0.1
WEIGHT = 0.05  # of the latest answer
FIRST_ANSWERS = 20  # for these, the plain average counts
FIRST_BYTES = 1500


@dataclass(slots=True)
class RouteEstimate:
    """Averages over the answers of a route."""

    work_s: float = DEFAULT_WORK_S
    answer_bytes: float = FIRST_BYTES
    answers: int = 0

    def note(self, work_s: float | None, answer_bytes: int) -> None:
        """Take in an answer; `work_s` is what it took at usual speed, None if that is unknown."""
        self.answer_bytes += WEIGHT * (answer_bytes - self.answer_bytes)
        if work_s is None:
            return
        self.answers += 1
        weight = max(WEIGHT, 1.0 / self.answers) if self.answers <= FIRST_ANSWERS else WEIGHT
        self.work_s += weight * (work_s - self.work_s)


@dataclass(slots=True)
class UsualSlowdown:
    """The average slowdown over all readings of a service."""

    value: float = 1.3
    readings: int = 0

    def note(self, slowdown: float) -> None:
        """Take in a reading."""
        self.readings += 1
        weight = 0.01 if self.readings > 100 else 1.0 / (self.readings + 1)
        self.value += weight * (slowdown - self.value)
