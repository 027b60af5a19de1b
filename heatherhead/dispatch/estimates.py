"""Estimates of service time, answer size and client timeout per route, and of baseline slowdown."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

__all__ = ["BaselineSlowdown", "ClientTimeoutEstimate", "DurationBound", "RouteEstimate"]

INITIAL_SERVICE_TIME_SHARE = 0.3  # of the route's target latency, until the first answer
DEFAULT_SERVICE_TIME_S = 0.1
ANSWER_EWMA_WEIGHT = 0.05  # of the latest answer
EWMA_WARMUP_ANSWERS = 20  # the plain average is used up to this number
ESTIMATE_HALF_LIFE_S = 2.0  # of the weight of an estimate that an answer disproves
DISPROVING_FRACTION = 0.5  # service times of a route seldom differ by more than that
EVIDENCE_HALF_LIFE_S = 1.0  # of the estimate as a reason to reject calls, since the last attempt
INITIAL_ANSWER_BYTES = 1500
# A high quantile of the client timeouts, because callers that retry name shorter ones.
CLIENT_TIMEOUT_QUANTILE = 0.9
CLIENT_TIMEOUT_STEP_FRACTION = 0.02  # of the estimate, per call
CLIENT_TIMEOUT_WARMUP_CALLS = 30  # the longest timeout is used up to this number
# As for retransmissions in TCP (RFC 6298).
DURATION_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25
DEVIATIONS = 4.0  # that the bound lies above the average
MIN_DURATION_MARGIN_S = 0.1  # of the bound above the average
CLIENT_TIMEOUT_SPREAD_FACTOR = 0.8  # timeouts of first requests differ by up to a fifth


@dataclass(slots=True)
class ClientTimeoutEstimate:
    """Estimate of the client timeout that callers of a route name in their first request.

    A caller that retries names the time it has left, which is less.
    """

    estimate_s: float = 0.0
    calls: int = 0

    def waited_before_s(self, client_timeout_s: float) -> float:
        """Record a call; return a lower bound of how long its caller has already waited."""
        self.calls += 1
        if self.calls <= CLIENT_TIMEOUT_WARMUP_CALLS:
            self.estimate_s = max(self.estimate_s, client_timeout_s)
        elif client_timeout_s > self.estimate_s:
            self.estimate_s *= 1.0 + CLIENT_TIMEOUT_STEP_FRACTION * CLIENT_TIMEOUT_QUANTILE
        else:
            self.estimate_s *= 1.0 - CLIENT_TIMEOUT_STEP_FRACTION * (1.0 - CLIENT_TIMEOUT_QUANTILE)
        return max(0.0, CLIENT_TIMEOUT_SPREAD_FACTOR * self.estimate_s - client_timeout_s)


@dataclass(slots=True)
class DurationBound:
    """A time within which nearly all attempts of a route are answered."""

    average_s: float = 0.0
    deviation_s: float = 0.0
    answers: int = 0

    @property
    def value_s(self) -> float:
        """Return the bound; infinite before the first answer."""
        if not self.answers:
            return math.inf
        return self.average_s + max(DEVIATIONS * self.deviation_s, MIN_DURATION_MARGIN_S)

    def record(self, duration_s: float) -> None:
        """Record how long an upstream took to answer."""
        self.answers += 1
        if self.answers == 1:
            self.average_s, self.deviation_s = duration_s, duration_s / 2
            return
        error_s = duration_s - self.average_s
        self.deviation_s += DEVIATION_WEIGHT * (abs(error_s) - self.deviation_s)
        self.average_s += DURATION_WEIGHT * error_s


@dataclass(slots=True)
class RouteEstimate:
    """Moving averages over the answers of a route."""

    work_s: float = DEFAULT_SERVICE_TIME_S
    answer_bytes: float = INITIAL_ANSWER_BYTES
    answers: int = 0
    answered_at: float = -math.inf  # the last answer whose service time is known
    attempted_at: float = -math.inf
    client_timeout: ClientTimeoutEstimate = field(default_factory=ClientTimeoutEstimate)
    duration: DurationBound = field(default_factory=DurationBound)

    def proven_work_s(self, now: float) -> float:
        """Return the service time that may be a reason to reject a call.

        It decays while no call is sent, so that sooner or later one tests the estimate.
        """
        if not self.answers:
            return 0.0
        return self.work_s * 0.5 ** ((now - self.attempted_at) / EVIDENCE_HALF_LIFE_S)

    def record(self, work_s: float | None, answer_bytes: int, now: float) -> None:
        """Record an answer; `work_s` is its service time at normal speed, None if unknown."""
        self.answer_bytes += ANSWER_EWMA_WEIGHT * (answer_bytes - self.answer_bytes)
        if work_s is None:
            return
        self.answers += 1
        weight = ANSWER_EWMA_WEIGHT
        if self.answers <= EWMA_WARMUP_ANSWERS:
            weight = max(weight, 1.0 / self.answers)
        if work_s < DISPROVING_FRACTION * self.work_s:
            # An estimate that kept calls away is old by then, and must not last for many answers.
            age_s = now - self.answered_at
            weight = max(weight, 1.0 - 0.5 ** (age_s / ESTIMATE_HALF_LIFE_S))
        self.answered_at = now
        self.work_s += weight * (work_s - self.work_s)


@dataclass(slots=True)
class BaselineSlowdown:
    """The average slowdown over all load readings of a service."""

    value: float = 1.3
    readings: int = 0

    def record(self, slowdown: float) -> None:
        """Record a load reading."""
        self.readings += 1
        weight = 0.01 if self.readings > 100 else 1.0 / (self.readings + 1)
        self.value += weight * (slowdown - self.value)
