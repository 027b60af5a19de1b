"""What an instance knows of the rate limits that upstreams name in their answers.

A limit is the number of calls a second that an upstream takes from all instances together, for as
long as its answers name it.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["RateLimit", "RateLimitEvidence"]


@dataclass(frozen=True, slots=True)
class RateLimitEvidence:
    """What one answer of an upstream told of its limit; `None` if it named none.

    `at` is when a limit was named, or when the request was sent whose answer named none: an answer
    that was under way when the upstream first named its limit does not end it.
    """

    calls_per_s: float | None
    at: float


@dataclass(slots=True)
class RateLimit:
    """The newest evidence of an upstream's limit."""

    calls_per_s: float | None = None
    evidence_at: float = -1.0
    health_answers_name_it: bool = False

    def apply(self, evidence: RateLimitEvidence) -> bool:
        """Apply evidence unless newer one is known; return whether the limit changed."""
        if evidence.at <= self.evidence_at:
            return False
        changed = evidence.calls_per_s != self.calls_per_s
        self.calls_per_s, self.evidence_at = evidence.calls_per_s, evidence.at
        return changed

    def apply_health_answer(self, evidence: RateLimitEvidence) -> bool:
        """Apply the evidence of a health check's answer; return whether the limit changed.

        Such answers may never name limits, so one without a limit counts only after one with it.
        """
        if evidence.calls_per_s is None:
            if not self.health_answers_name_it:
                return False
            # Answers to calls may name it again; the next health check then ends nothing.
            self.health_answers_name_it = False
        else:
            self.health_answers_name_it = True
        return self.apply(evidence)
