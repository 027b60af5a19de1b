"""How late this process's own event loop runs, which makes every call in flight look older."""

from __future__ import annotations

__all__ = ["LoopLag", "create_loop_lag"]

TIMER_SLACK_S = 0.002  # timers of a loop that is not busy are this late
DECAY = 0.8


class LoopLag:
    """The greatest recent lateness of timers in seconds, fading with each observation."""

    __slots__ = ("_due", "_recent_s")

    def __init__(self) -> None:
        self._recent_s = 0.0
        self._due = float("inf")

    def expect(self, due: float) -> None:
        """Take in when the next timer should run."""
        self._due = due

    def note(self, now: float) -> None:
        """Take in that the expected timer runs now."""
        self._recent_s = max(now - self._due - TIMER_SLACK_S, self._recent_s * DECAY)

    def at(self, now: float) -> float:
        """Say how late the loop is, or lately was, in seconds."""
        return max(self._recent_s, now - self._due - TIMER_SLACK_S)


def create_loop_lag() -> LoopLag:
    """Create a lag of zero."""
    return LoopLag()
