"""Retry budget: bounds the extra attempts (retries and hedges) of a service over all instances.

When most upstreams of a service shed load or fail at once, retrying each failed call would multiply
the load. An instance may send extra attempts up to a ratio of the calls it saw itself plus its part
of the slack, which is the number of extra attempts allowed beyond the ratio. So the sum over all
instances stays below the bound without coordination.

Where upstreams refuse half of their calls for seconds, the budget is a fraction of what all retries
would need. What calls of a higher priority will need at their present rate is then left to them.
"""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from heatherhead.dispatch.demand import Demand

__all__ = ["Priority", "RetryBudget", "create_retry_budget", "slack_of"]

Priority = tuple[int, int]  # of the customer, then of the route; the lowest is the most urgent

# Applied to the configured ratio, as an instance counts calls a little later than upstreams do.
RATIO_SAFETY_FACTOR = 0.75
# Parts of the configured slack. They sum to less than 1, because a home that restarts or is
# replaced loses the count of what it has spent. Instances that are not homes see few calls.
HOMES_SLACK_SHARE = 0.5
OTHERS_SLACK_SHARE = 0.25
MOST_URGENT: Priority = (0, 0)
RETRY_RATE_WINDOW_S = 1.0  # over which the retries that a priority needs are counted


class RetryBudget:
    """Counts the calls and extra attempts of one service in a sliding window."""

    def __init__(self, ratio: float, window_s: float, slack: float) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self.slack = slack
        self._call_times: deque[float] = deque()
        self._extra_attempts: deque[tuple[float, Priority]] = deque()
        self._spent_by_priority: Counter[Priority] = Counter()
        self._retry_times_by_priority: dict[Priority, deque[float]] = {}  # wanted, also refused

    def record_call(self, now: float) -> None:
        """Record the first attempt of a call."""
        self._call_times.append(now)
        self._expire(now)

    def remaining(self, now: float) -> float:
        """Return how many extra attempts may be sent now."""
        self._expire(now)
        return self._ratio * len(self._call_times) + self.slack - len(self._extra_attempts)

    def allows(self, now: float, demand: Demand | None = None) -> bool:
        """Return whether a call may get an extra attempt now, one of any priority without it."""
        priority = _priority_of(demand)
        return self.remaining(now) - self._reserved(priority, now) >= 1.0

    def try_retry(self, now: float, demand: Demand) -> bool:
        """Spend one extra attempt on a call that failed, if allowed; return whether it was."""
        times = self._retry_times_by_priority.setdefault(_priority_of(demand), deque())
        times.append(now)
        while times[0] < now - RETRY_RATE_WINDOW_S:
            times.popleft()
        return self.try_spend(now, demand)

    def try_spend(self, now: float, demand: Demand | None = None) -> bool:
        """Spend one extra attempt if allowed; return whether it was."""
        if not self.allows(now, demand):
            return False
        priority = _priority_of(demand)
        self._extra_attempts.append((now, priority))
        self._spent_by_priority[priority] += 1
        return True

    def _reserved(self, priority: Priority, now: float) -> float:
        """Return what more urgent calls will need in a window at their present rate of retries."""
        since = now - RETRY_RATE_WINDOW_S
        reserved = 0.0
        for other, times in self._retry_times_by_priority.items():
            if other >= priority or not times or times[-1] < since:
                continue
            wanted = sum(at >= since for at in times) * self._window_s / RETRY_RATE_WINDOW_S
            reserved += max(0.0, wanted - self._spent_by_priority[other])
        return reserved

    def _expire(self, now: float) -> None:
        oldest = now - self._window_s
        while self._call_times and self._call_times[0] < oldest:
            self._call_times.popleft()
        while self._extra_attempts and self._extra_attempts[0][0] < oldest:
            _, priority = self._extra_attempts.popleft()
            self._spent_by_priority[priority] -= 1


def _priority_of(demand: Demand | None) -> Priority:
    if demand is None:
        return MOST_URGENT
    return demand.customer_priority, demand.priority


def slack_of(slack: float, homes: int, instances: int, *, is_home: bool) -> float:
    """Return an instance's part of the slack: homes share one half, all others a quarter."""
    if is_home:
        return slack * HOMES_SLACK_SHARE / max(1, homes)
    return slack * OTHERS_SLACK_SHARE / max(1, instances - homes)


def create_retry_budget(ratio: float, window_s: float, own_slack: float) -> RetryBudget:
    """Create this instance's part of a budget that all instances share."""
    return RetryBudget(ratio * RATIO_SAFETY_FACTOR, window_s, own_slack)
