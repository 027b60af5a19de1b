"""A token bucket on the clock of the running event loop."""

from __future__ import annotations

import asyncio

__all__ = ["TokenBucket", "create_token_bucket"]


class TokenBucket:
    """Lets `rate` tokens a second through, and `burst` at once."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._filled_at: float | None = None

    def take(self, amount: float = 1) -> bool:
        """Take tokens if all of them are there; tell whether they were."""
        self._fill()
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True

    def owe(self, amount: float = 1) -> None:
        """Take tokens even if they are not there yet; later takers wait for them."""
        self._fill()
        self._tokens -= amount

    def wait_s(self, amount: float = 1) -> float:
        """Say how many seconds pass until `amount` tokens can be taken."""
        self._fill()
        return max(0.0, (amount - self._tokens) / self.rate)

    def _fill(self) -> None:
        now = asyncio.get_running_loop().time()
        if self._filled_at is not None:
            self._tokens = min(self.burst, self._tokens + (now - self._filled_at) * self.rate)
        self._filled_at = now


def create_token_bucket(rate: float, burst: float) -> TokenBucket:
    """Create a full bucket; `rate` in tokens a second, `burst` in tokens."""
    return TokenBucket(rate, burst)
