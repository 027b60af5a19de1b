"""Lag of this process's event loop, which makes every call in flight look older."""

from __future__ import annotations

__all__ = ["LoopLag", "create_loop_lag"]

TIMER_LATENESS_S = 0.002  # normal lateness of timers on an idle loop
LAG_DECAY = 0.8


class LoopLag:
    """The greatest recent lateness of timers in seconds, decaying with each observation."""

    __slots__ = ("_due_at", "_recent_s")

    def __init__(self) -> None:
        self._recent_s = 0.0
        self._due_at = float("inf")

    def expect_timer(self, due_at: float) -> None:
        """Set when the next timer should run."""
        self._due_at = due_at

    def record_timer(self, now: float) -> None:
        """Record that the expected timer runs now."""
        self._recent_s = max(now - self._due_at - TIMER_LATENESS_S, self._recent_s * LAG_DECAY)

    def at(self, now: float) -> float:
        """Return the current or recent lag in seconds, whichever is greater."""
        return max(self._recent_s, now - self._due_at - TIMER_LATENESS_S)


def create_loop_lag() -> LoopLag:
    """Create a lag of zero."""
    return LoopLag()
