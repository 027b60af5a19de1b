"""Exponential backoff with jitter."""

from __future__ import annotations

from random import Random

__all__ = ["Backoff", "create_backoff"]


class Backoff:
    """Gives growing waits, each drawn between half and the whole of a doubling bound."""

    def __init__(self, first_s: float, longest_s: float, random: Random) -> None:
        self._first_s = first_s
        self._longest_s = longest_s
        self._random = random
        self._failures = 0

    def next_s(self) -> float:
        """Return the seconds to wait after one more failure."""
        bound = min(self._longest_s, self._first_s * 2 ** min(self._failures, 32))
        self._failures += 1
        return bound * (0.5 + 0.5 * self._random.random())

    def reset(self) -> None:
        """Start again from the shortest wait, after a success."""
        self._failures = 0


def create_backoff(first_s: float, longest_s: float, random: Random | None = None) -> Backoff:
    """Create a backoff between two waits in seconds."""
    return Backoff(first_s, longest_s, random or Random())
