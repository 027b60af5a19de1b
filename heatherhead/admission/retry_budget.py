"""Bounds the repeated attempts of a service to a share of its first attempts."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["RetryBudget", "create_retry_budget"]


@dataclass(slots=True)
class RetryBudget:
    """A token bucket that each first attempt fills by `share`, up to `burst` tokens.

    A token pays for one repeated attempt. The bucket starts full, so that a service with few
    calls can repeat some; a failing service soon has no more than `share` in repeats.
    """

    share: float
    burst: float
    tokens: float

    def earn(self) -> None:
        """Count a first attempt."""
        self.tokens = min(self.burst, self.tokens + self.share)

    def spend(self) -> bool:
        """Take the token of one repeated attempt; `False` if there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def create_retry_budget(share: float, burst: float) -> RetryBudget:
    """Create a full budget; a `share` of zero never allows a repeat."""
    return RetryBudget(share, burst, burst if share > 0 else 0.0)
