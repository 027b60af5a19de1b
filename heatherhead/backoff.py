"""Exponential backoff with jitter."""

from __future__ import annotations

from random import Random

__all__ = ["Backoff", "create_backoff"]


class Backoff:
    """Computes delays, each drawn from the upper half of a bound that doubles with each failure."""

    def __init__(self, initial_s: float, max_s: float, rng: Random) -> None:
        self._initial_s = initial_s
        self._max_s = max_s
        self._rng = rng
        self._failures = 0

    def next_delay_s(self) -> float:
        """Record a failure and return the delay before the next attempt, in seconds."""
        bound = min(self._max_s, self._initial_s * 2 ** min(self._failures, 32))
        self._failures += 1
        return bound * (0.5 + 0.5 * self._rng.random())

    def reset(self) -> None:
        """Return to the initial delay, after a success."""
        self._failures = 0


def create_backoff(initial_s: float, max_s: float, rng: Random | None = None) -> Backoff:
    """Create a backoff whose bound grows from `initial_s` to `max_s`."""
    return Backoff(initial_s, max_s, rng or Random())
