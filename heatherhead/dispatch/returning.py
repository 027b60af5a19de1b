"""Tells callers whose call was turned away when to come back.

Load pattern answered: many callers are turned away in one burst. Told the same time, they would
return in one burst again. Each is told when the slots will have worked off what waits and those
turned away before it, so that they return in order and at the rate of the slots.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ReturnSchedule"]

SHORTEST_S = 0.02  # a round trip of the caller passes anyway
LONGEST_S = 2.0  # load shifts well within that


@dataclass(slots=True)
class ReturnSchedule:
    """The return times of one service that have been promised."""

    next_at: float = 0.0

    def next_return_s(self, now: float, wait_s: float, interval_s: float) -> float:
        """Give the next caller's time; `interval_s` is the time between two free slots."""
        earliest = now + max(SHORTEST_S, wait_s)
        self.next_at = min(max(earliest, self.next_at + interval_s), now + LONGEST_S)
        return self.next_at - now
