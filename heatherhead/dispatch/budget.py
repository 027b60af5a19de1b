"""Retry budget: bounds the extra attempts (retries and hedges) of a service over all instances.

When most upstreams of a service shed load or fail at once, retrying each failed call would multiply
the load. An instance may send extra attempts up to a ratio of the calls it saw itself plus its part
of the slack, which is the number of extra attempts allowed beyond the ratio. So the sum over all
instances stays below the bound without coordination.
"""

from __future__ import annotations

from collections import deque

__all__ = ["RetryBudget", "create_retry_budget", "slack_of"]

# Applied to the configured ratio, as an instance counts calls a little later than upstreams do.
RATIO_SAFETY_FACTOR = 0.75
# Parts of the configured slack. They sum to less than 1, because a home that restarts or is
# replaced loses the count of what it has spent. Instances that are not homes see few calls.
HOMES_SLACK_SHARE = 0.5
OTHERS_SLACK_SHARE = 0.25


class RetryBudget:
    """Counts the calls and extra attempts of one service in a sliding window."""

    def __init__(self, ratio: float, window_s: float, slack: float) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self.slack = slack
        self._call_times: deque[float] = deque()
        self._extra_attempt_times: deque[float] = deque()

    def record_call(self, now: float) -> None:
        """Record the first attempt of a call."""
        self._call_times.append(now)
        self._expire(now)

    def remaining(self, now: float) -> float:
        """Return how many extra attempts may be sent now."""
        self._expire(now)
        return self._ratio * len(self._call_times) + self.slack - len(self._extra_attempt_times)

    def try_spend(self, now: float) -> bool:
        """Spend one extra attempt if the budget allows it; return whether it did."""
        if self.remaining(now) < 1.0:
            return False
        self._extra_attempt_times.append(now)
        return True

    def _expire(self, now: float) -> None:
        oldest = now - self._window_s
        for times in (self._call_times, self._extra_attempt_times):
            while times and times[0] < oldest:
                times.popleft()


def slack_of(slack: float, homes: int, instances: int, *, is_home: bool) -> float:
    """Return an instance's part of the slack: homes share one half, all others a quarter."""
    if is_home:
        return slack * HOMES_SLACK_SHARE / max(1, homes)
    return slack * OTHERS_SLACK_SHARE / max(1, instances - homes)


def create_retry_budget(ratio: float, window_s: float, own_slack: float) -> RetryBudget:
    """Create this instance's part of a budget that all instances share."""
    return RetryBudget(ratio * RATIO_SAFETY_FACTOR, window_s, own_slack)
