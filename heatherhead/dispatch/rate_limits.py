"""Rate limits that upstreams name in their answers, and the permits to send calls under one.

A limit is the number of calls a second that an upstream takes from all instances together, for as
long as its answers name it. So an instance sends a call there only with a permit. One instance of
the upstream's region issues them (`fleet/permits.py`); a permit that is not used soon expires.

An upstream that is cold is limited in the same way while it warms up (`dispatch/warmup.py`). That
bound holds in each second instead of four, so permits expire sooner and fewer are saved.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

__all__ = [
    "MAX_PERMIT_WAIT_S",
    "WARMUP_PERMIT_TTL_S",
    "PermitBucket",
    "RateLimit",
    "RateLimitEvidence",
]

PERMIT_TTL_S = 0.5  # so four seconds have the permits of four and a half at the most
MAX_SAVED_S = 0.25  # of the limit; an issuer saves at most that many permits, but at least one
# Without answers, nobody would notice the end of a low limit.
TRIAL_CALLS_PER_S = 0.2
NO_PERMITS_WAIT_S = 1.0  # until the next request while no permits are issued at all
MAX_PERMIT_WAIT_S = 5.0  # until the next request, however low the limit
RECEIVED_WINDOW_S = 10.0  # over which an instance counts the permits that it gets
MIN_RECEIVED_S = 2.0  # of counting, before the estimate rests on it
# All issuers together issue up to 1.25 times a warm-up's rate, so that the permits used in a second
# are at most 1.25 x 1.2 = 1.5 times the rate and those saved: four of the first home, and one of
# each of the four that may stand in for it. The platform allows 1.5 times and 8.
WARMUP_PERMIT_TTL_S = 0.2  # since the request for it, as replies may be late
WARMUP_SAVED_S = 0.1  # of the limit, by the first home
MIN_WARMUP_SAVED, MAX_WARMUP_SAVED = 2.0, 4.0  # one more than needed: instances ask late


@dataclass(frozen=True, slots=True)
class RateLimitEvidence:
    """What one answer of an upstream told of its limit; `None` if it named none.

    `at` is when a limit was named, or when the request was sent whose answer named none: an answer
    that was under way when the upstream first named its limit does not end it.
    """

    calls_per_s: float | None
    at: float
    in_health_answer: bool = False


@dataclass(slots=True)
class RateLimit:
    """The newest evidence of an upstream's limit, and this instance's permits."""

    named_per_s: float | None = None  # by the upstream's answers
    warmup_per_s: float | None = None  # while the upstream is cold
    evidence_at: float = -1.0
    health_answers_name_it: bool = False
    awaited: int = 0  # permits that were requested, until `awaited_until`
    awaited_until: float = -1.0
    _expires_at_by_permit: deque[float] = field(default_factory=deque)
    _received: deque[tuple[float, int]] = field(default_factory=deque)  # times with permits
    _received_since: float = -1.0  # without a longer gap than the window

    @property
    def calls_per_s(self) -> float | None:
        """Return the lowest limit in force, `None` if there is none."""
        if self.named_per_s is None or self.warmup_per_s is None:
            return self.warmup_per_s if self.named_per_s is None else self.named_per_s
        return min(self.named_per_s, self.warmup_per_s)

    def set_warmup(self, calls_per_s: float | None) -> None:
        """Set the limit of the warm-up, `None` for none; permits of another limit are dropped."""
        if calls_per_s != self.warmup_per_s:
            self.warmup_per_s = calls_per_s
            self._received.clear()
            self.drop_permits()

    def apply(self, evidence: RateLimitEvidence) -> bool:
        """Apply evidence unless newer one is known; return whether the named limit changed.

        Health checks may never name limits, so that an answer to one without a limit counts only
        after one with it.
        """
        if evidence.at <= self.evidence_at:
            return False
        if evidence.in_health_answer:
            if evidence.calls_per_s is None and not self.health_answers_name_it:
                return False
            # If answers to calls still name it, the next health check ends nothing.
            self.health_answers_name_it = evidence.calls_per_s is not None
        named_before, before = self.named_per_s, self.calls_per_s
        self.named_per_s = evidence.calls_per_s
        self.evidence_at = evidence.at
        if before != self.calls_per_s:
            self._received.clear()
        if self.calls_per_s is None or (before is not None and self.calls_per_s < before):
            self.drop_permits()
        return named_before != self.named_per_s

    def permits(self, now: float) -> int:
        """Count the permits that have not expired."""
        expires_at = self._expires_at_by_permit
        while expires_at and expires_at[0] <= now:
            expires_at.popleft()
        return len(expires_at)

    def add_permits(self, permits: int, now: float, requested_at: float | None = None) -> None:
        """Add permits that were issued since `requested_at`, or none; those awaited have come."""
        self.awaited = 0
        if not self._recent_replies(now):
            self._received_since = now
        self._received.append((now, permits))
        expires_at = now + PERMIT_TTL_S
        if self.warmup_per_s is not None:
            expires_at = (now if requested_at is None else requested_at) + WARMUP_PERMIT_TTL_S
        self._expires_at_by_permit.extend([expires_at] * permits)
        if requested_at is not None:
            self._expires_at_by_permit = deque(sorted(self._expires_at_by_permit))

    def _recent_replies(self, now: float) -> deque[tuple[float, int]]:
        received = self._received
        while received and received[0][0] < now - RECEIVED_WINDOW_S:
            received.popleft()
        return received

    def expected_per_s(self, now: float, share: float) -> float:
        """Estimate the permits a second that this instance gets.

        Until it has asked for some time, that is its `share` of the limit.
        """
        received = self._recent_replies(now)
        counted_s = min(RECEIVED_WINDOW_S, now - self._received_since)
        if received and counted_s >= MIN_RECEIVED_S:
            return sum(permits for _, permits in received) / counted_s
        return (self.calls_per_s or 0.0) * share

    def drop_permits(self) -> None:
        """Drop all permits."""
        self._expires_at_by_permit.clear()

    def use_permit(self, now: float) -> None:
        """Use the permit that expires first."""
        if self.permits(now):
            self._expires_at_by_permit.popleft()

    def await_permits(self, permits: int, until: float) -> None:
        """Record that permits were requested; the answer is due at `until`."""
        self.awaited, self.awaited_until = permits, until

    def permits_in_sight(self, now: float) -> int:
        """Count the permits, and those that may still come in answer to a request."""
        return self.permits(now) + (self.awaited if now < self.awaited_until else 0)

    def issued_per_s(self, share: float) -> float:
        """Return the permits to issue a second for a `share` of the limit.

        Some are issued under the lowest named limit too, unless health checks will tell of its end.
        A warm-up needs none: it ends by time.
        """
        assert self.calls_per_s is not None
        rate = self.calls_per_s * share
        if self.health_answers_name_it or self.named_per_s is None:
            return rate
        if self.warmup_per_s is not None:
            return max(rate, min(TRIAL_CALLS_PER_S, self.warmup_per_s * share))
        return max(rate, TRIAL_CALLS_PER_S)

    def most_saved(self, share: float) -> float:
        """Return the most permits that an issuer of a `share` of the limit saves."""
        if self.warmup_per_s is not None:
            saved = max(MIN_WARMUP_SAVED, self.warmup_per_s * WARMUP_SAVED_S)
            return min(MAX_WARMUP_SAVED, saved) if share >= 1 else 1.0
        return max(1.0, self.issued_per_s(share) * MAX_SAVED_S)


@dataclass(slots=True)
class PermitBucket:
    """The permits that an issuer may issue for one upstream.

    It starts empty, since an issuer before this one may just have issued some.
    """

    created_at: float
    filled_at: float = field(init=False)
    tokens: float = 0.0

    def __post_init__(self) -> None:
        self.filled_at = self.created_at

    def take(self, wanted: int, per_s: float, now: float, most: float | None = None) -> int:
        """Take up to `wanted` permits at the rate `per_s`; return how many were taken.

        At most `most` are saved, by default those of a rate limit.
        """
        if most is None:
            most = max(1.0, per_s * MAX_SAVED_S)
        self.tokens = min(most, self.tokens + (now - self.filled_at) * per_s)
        self.filled_at = now
        taken = min(wanted, int(self.tokens))
        self.tokens -= taken
        return taken

    def wait_s(self, per_s: float) -> float:
        """Return the time until there is a permit."""
        if per_s <= 0:
            return NO_PERMITS_WAIT_S
        return min(MAX_PERMIT_WAIT_S, max(0.0, 1.0 - self.tokens) / per_s)
