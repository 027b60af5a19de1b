"""Decides when a call in flight is hedged, that is, sent to a second upstream as well.

An upstream may slow down while it runs a call. A hedge is worth its cost only if it is expected to
be answered well before the first attempt, and before the caller gives up.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from heatherhead.dispatch.demand import Demand

__all__ = ["CHECK_INTERVAL_S", "first_check_s", "worth_hedging"]

CHECK_INTERVAL_S = 0.04
SERVICE_TIME_P80_FACTOR = 1.25  # times the expected duration; about its 80th percentile
MIN_FIRST_CHECK_S = 0.03


def first_check_s(expected_s: float) -> float:
    """Return the time after dispatch at which a call counts as overdue."""
    return max(MIN_FIRST_CHECK_S, expected_s * SERVICE_TIME_P80_FACTOR)


def worth_hedging(
    demand: Demand, now: float, elapsed_s: float, slowdown: float, second_s: float
) -> bool:
    """Return whether a hedge that is expected to take `second_s` is likely to help.

    `elapsed_s` is the time since the first attempt was dispatched, `slowdown` the current estimate
    for its upstream.
    """
    remaining_s = max(demand.work_s * slowdown - elapsed_s, 0.3 * demand.work_s * slowdown)
    if now + second_s > demand.give_up_at:
        return False
    if now + remaining_s <= demand.target_at and elapsed_s < 2 * demand.work_s * slowdown:
        return False
    return second_s < 0.8 * remaining_s or elapsed_s > 2.5 * demand.work_s * slowdown
