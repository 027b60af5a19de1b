"""A token bucket on the clock of the running event loop."""

from __future__ import annotations

import asyncio

__all__ = ["TokenBucket", "create_token_bucket"]


class TokenBucket:
    """A bucket that refills at `rate` tokens per second and holds at most `burst`."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._refilled_at: float | None = None

    def try_take(self, amount: float = 1) -> bool:
        """Take tokens if enough are available; return whether they were taken."""
        self._refill()
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True

    def force_take(self, amount: float = 1) -> None:
        """Take tokens even if too few are available; the bucket goes into debt until it refills."""
        self._refill()
        self._tokens -= amount

    def wait_s(self, amount: float = 1) -> float:
        """Return the time until `amount` tokens are available, in seconds."""
        self._refill()
        return max(0.0, (amount - self._tokens) / self.rate)

    def _refill(self) -> None:
        now = asyncio.get_running_loop().time()
        if self._refilled_at is not None:
            self._tokens = min(self.burst, self._tokens + (now - self._refilled_at) * self.rate)
        self._refilled_at = now


def create_token_bucket(rate: float, burst: float) -> TokenBucket:
    """Create a full bucket; `rate` is in tokens per second, `burst` in tokens."""
    return TokenBucket(rate, burst)
