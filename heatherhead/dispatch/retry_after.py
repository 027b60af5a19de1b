"""Schedules the Retry-After times of rejected callers.

Under overload many callers are rejected in one burst. With equal Retry-After times they would
return in one burst as well. Each caller gets the time by which the slots will have served the
waiting calls and the callers rejected before it, so that callers return in order and at the rate
at which slots become free.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["RetryAfterSchedule"]

MIN_RETRY_AFTER_S = 0.02  # a round trip to the caller takes this long anyway
MAX_RETRY_AFTER_S = 2.0  # the load changes well within that, so longer waits are unpredictable


@dataclass(slots=True)
class RetryAfterSchedule:
    """The Retry-After schedule of one service."""

    next_at: float = 0.0

    def next_retry_after_s(self, now: float, wait_s: float, interval_s: float) -> float:
        """Return the Retry-After of the next rejected caller, in seconds.

        `wait_s` is the expected wait in the queue, `interval_s` the time between two free slots.
        """
        earliest = now + max(MIN_RETRY_AFTER_S, wait_s)
        self.next_at = min(max(earliest, self.next_at + interval_s), now + MAX_RETRY_AFTER_S)
        return self.next_at - now
