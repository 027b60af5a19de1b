"""Limits the hedges of a service to a ratio of its calls in a sliding window.

`hedge_share` of a service fills a bucket that a burst may empty; this limit holds in each window.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.dispatch.budget import create_retry_budget

if TYPE_CHECKING:
    from heatherhead.dispatch.budget import RetryBudget

__all__ = ["HedgeLimit", "create_hedge_limit"]

WINDOW_S = 10.0


class HedgeLimit:
    """Counts the calls and hedges of each service; a ratio of 0 sets no limit."""

    def __init__(self, ratio: float) -> None:
        self._ratio = ratio
        self._budget_by_service: dict[str, RetryBudget] = {}

    def record_call(self, service: str, now: float) -> None:
        """Record the first attempt of a call."""
        if self._ratio > 0:
            self._budget(service).record_call(now)

    def allows(self, service: str, now: float) -> bool:
        """Return whether a hedge may be sent now."""
        return self._ratio <= 0 or self._budget(service).remaining(now) >= 1.0

    def record_hedge(self, service: str, now: float) -> None:
        """Record a hedge that was allowed."""
        if self._ratio > 0:
            self._budget(service).try_spend(now)

    def discard(self, service: str) -> None:
        """Discard the counts of a service that was removed."""
        self._budget_by_service.pop(service, None)

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = create_retry_budget(self._ratio, WINDOW_S, 0.0)
            self._budget_by_service[service] = budget
        return budget


def create_hedge_limit(ratio: float) -> HedgeLimit:
    """Create the limit of all services; each instance counts the calls that it sees itself."""
    return HedgeLimit(ratio)
