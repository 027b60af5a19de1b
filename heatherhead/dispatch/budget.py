"""Bounds how many attempts beyond the first go to a service, over all instances together.

Load pattern answered: most upstreams shed or fail at once, and each failed call would be sent again.
An instance may repeat a share of the calls it saw itself, plus its part of the slack, so that the sum
over instances stays below the bound without their talking to each other.
"""

from __future__ import annotations

from collections import deque

__all__ = ["RepeatBudget", "create_repeat_budget", "slack_of"]

RATIO_PART = 0.75  # of the allowed ratio; calls are counted a little later than by the upstreams
HOMES_PART = (
    0.5  # of the allowed slack; homes that restart, or have just changed, forget what was spent
)
OTHERS_PART = 0.25  # likewise; other instances see few calls


class RepeatBudget:
    """Counts calls and repeats of one service in a sliding window."""

    def __init__(self, ratio: float, window_s: float, slack: float) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self.slack = slack
        self._calls: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def note_call(self, now: float) -> None:
        """Count a call's first attempt."""
        self._calls.append(now)
        self._forget(now)

    def left(self, now: float) -> float:
        """Tell how many repeats may be sent now."""
        self._forget(now)
        return self._ratio * len(self._calls) + self.slack - len(self._repeats)

    def take(self, now: float) -> bool:
        """Spend one repeat, if there is one."""
        if self.left(now) < 1.0:
            return False
        self._repeats.append(now)
        return True

    def _forget(self, now: float) -> None:
        oldest = now - self._window_s
        for times in (self._calls, self._repeats):
            while times and times[0] < oldest:
                times.popleft()


def slack_of(slack: float, homes: int, instances: int, *, is_home: bool) -> float:
    """Give an instance's part of the slack: homes share one half, all others a quarter."""
    if is_home:
        return slack * HOMES_PART / max(1, homes)
    return slack * OTHERS_PART / max(1, instances - homes)


def create_repeat_budget(ratio: float, window_s: float, own_slack: float) -> RepeatBudget:
    """Create an instance's part of a budget that all instances share."""
    return RepeatBudget(ratio * RATIO_PART, window_s, own_slack)
