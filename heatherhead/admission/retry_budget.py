"""Limits the extra attempts of a service to a share of its first attempts."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["RetryBudget", "create_retry_budget"]


@dataclass(slots=True)
class RetryBudget:
    """A token bucket to which each first attempt adds `share` tokens, up to `burst`.

    An extra attempt costs one token. The bucket starts full, so that a service with few calls can
    retry some of them. For a failing service, extra attempts soon settle at `share` of the first
    attempts.
    """

    share: float
    burst: float
    tokens: float

    def earn(self) -> None:
        """Add the share of a first attempt to the budget."""
        self.tokens = min(self.burst, self.tokens + self.share)

    def spend(self) -> bool:
        """Take the token of one extra attempt; return `False` if there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def create_retry_budget(share: float, burst: float) -> RetryBudget:
    """Create a full budget; with a `share` of zero it never allows an extra attempt."""
    return RetryBudget(share, burst, burst if share > 0 else 0.0)
