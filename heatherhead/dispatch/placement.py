"""Chooses the upstream of a call, or lets it wait for a better one.

Load pattern answered: a part of the upstreams is slow for half a second at a time, others fail or
have just started, and slots are few. Each upstream is priced by when its answer is expected, what
its bytes between zones cost, and how often it fails. A call takes the cheapest one with a free
slot, unless a slot that is about to become free on a faster one would still answer sooner.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from heatherhead.dispatch.demand import Demand
    from heatherhead.dispatch.upstream_state import UpstreamState

__all__ = ["Placement", "expected_s", "place"]

ZONE_S_PER_KB = 0.003  # latency worth accepting to keep a kilobyte in the zone
REGION_S_PER_KB = 0.012  # likewise in the region; such links are slow and paid by volume
FAILURE_S = 0.8  # a failed attempt costs about a whole time-out
CROWDING = 0.15  # upstreams that are nearly full answer that much later


@dataclass(frozen=True, slots=True)
class Placement:
    """The chosen upstream and when its answer is expected; none: the call waits."""

    upstream: UpstreamState | None
    expected_s: float
    reason: str


def expected_s(state: UpstreamState, demand: Demand, now: float, usual: float) -> float:
    """Estimate the time from dispatch to answer."""
    occupancy = min(1.0, state.occupancy(now) / state.entry.slots)
    crowding = 1.0 + CROWDING * occupancy * occupancy
    slowdown = state.slowdown_now(now, usual) * state.cold_factor(now)
    overdue_s = state.oldest_overdue_s(now)
    return state.transit_s + demand.work_s * slowdown * crowding + overdue_s


def _cost_s(state: UpstreamState, demand: Demand, now: float, answer_s: float) -> float:
    kilobytes = demand.size_bytes / 1000
    cost_s = answer_s + state.failing(now) * FAILURE_S
    if not state.local_region:
        cost_s += kilobytes * REGION_S_PER_KB
    elif not state.local_zone:
        cost_s += kilobytes * ZONE_S_PER_KB
    return cost_s


def place(
    states: Iterable[UpstreamState],
    demand: Demand,
    avoid: Collection[str],
    now: float,
    usual: float,
    ahead: int = 0,
) -> Placement:
    """Choose an upstream for a call that has `ahead` waiting calls before it; see the module."""
    best: UpstreamState | None = None
    best_cost_s = float("inf")
    best_answer_s = 0.0
    soonest_cost_s = float("inf")
    soonest_turnover_s = float("inf")
    full = 0
    for state in states:
        if state.entry.id in avoid or state.misdirected or now < state.ejected_until:
            continue
        answer_s = expected_s(state, demand, now, usual)
        cost_s = _cost_s(state, demand, now, answer_s)
        free = state.free_slots(now)
        if free > 0:
            cost_s += 0.002 * state.occupancy(now)  # spreads calls among equals
            if cost_s < best_cost_s:
                best, best_cost_s, best_answer_s = state, cost_s, answer_s
        else:
            turnover_s = (answer_s - state.transit_s) / max(1, state.usable_slots)
            full += 1
            soonest_turnover_s = min(soonest_turnover_s, turnover_s)
            soonest_cost_s = min(soonest_cost_s, cost_s + turnover_s * (1 - free))
    if full:
        soonest_cost_s += ahead * soonest_turnover_s / full
    if best is None:
        reason = "all upstreams are full" if soonest_cost_s < float("inf") else "no upstream"
        return Placement(None, soonest_cost_s, reason)
    if soonest_cost_s < best_cost_s:
        return Placement(None, soonest_cost_s, "a slot of a faster upstream is soon free")
    return Placement(best, best_answer_s, "cheapest")
