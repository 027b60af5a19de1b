"""Chooses the upstream of a call, or leaves the call in the queue for a better one.

At any time some upstreams are slowed down for about half a second, others fail or have just
started, and slots are scarce. The cost of each upstream is the expected time to its answer plus
penalties for traffic between zones and regions and for its failure rate, all in seconds. A call
takes the cheapest upstream with a free slot, unless waiting for a slot of a faster one costs less.

Penalties for bytes outweigh time as long as the answer meets its latency target. So uploads stay in
their zone, where a slow upstream delays them by a second at most, unless they would miss their
target there. They never leave the region to meet it.

A call whose caller is likely to give up before the answer takes no slot, since other calls could
use it. Only recent answers of its route and a recent reading of that upstream count as evidence of
that: a call that is held back for an estimate would bring the answer that could correct it.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import sample
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from heatherhead.dispatch.demand import Demand
    from heatherhead.dispatch.upstream_state import UpstreamState

__all__ = [
    "Placement",
    "Prospect",
    "best_cold",
    "choose",
    "cold_choices",
    "expected_s",
    "place",
    "prospect_of",
    "prospects_of",
    "worth_permits",
]

# Latency worth accepting to keep a kilobyte in the zone or in the region. Bytes between regions
# cost at least four times as much as bytes between zones.
CROSS_ZONE_S_PER_KB = 0.015
CROSS_REGION_S_PER_KB = 0.1
SERVICE_TIME_P75_FACTOR = 1.25  # times the expected service time; three in four calls end within
MISSED_TARGET_PENALTY_S = 1.5  # equals 100 KB between zones or 15 KB between regions
FAILURE_PENALTY_S = 0.8  # a failed attempt costs about a whole timeout
FULL_SLOWDOWN_FRACTION = 0.15  # slowdown by contention that is expected of a full upstream
RECENT_LIMIT_S = 2.0  # since an upstream's last answer; its rate limit may have ended since
IN_FLIGHT_PENALTY_S = 0.002  # per call in flight; spreads calls among equal upstreams


@dataclass(frozen=True, slots=True)
class Placement:
    """The chosen upstream and the expected time to its answer; without one, the call waits."""

    upstream: UpstreamState | None
    expected_s: float
    reason: str
    cost_s: float  # of the upstream, or of the wait


@dataclass(slots=True, eq=False)
class Prospect:
    """Costs of one upstream that don't depend on the call; computed once for all waiting calls."""

    state: UpstreamState
    transit_s: float
    overdue_s: float  # by which the most overdue call in flight there is late
    slowdown: float  # of a call that begins now
    proven_slowdown: float  # the part of it for which there is recent evidence
    failure_penalty_s: float
    s_per_kb: float  # penalty for bytes between zones and regions
    occupancy: int
    free: int  # slots, with permits if needed; zero or less if the upstream is full

    def service_time_s(self, work_s: float) -> float:
        """Return the expected service time of a call that takes `work_s` at normal speed."""
        return work_s * self.slowdown + self.overdue_s

    def proven_answer_s(self, work_s: float) -> float:
        """Return the time to the answer of a call that takes `work_s` at normal speed.

        Recent evidence has three in four calls end within it. Without any, normal speed is assumed.
        """
        proven_s = work_s * self.proven_slowdown + self.overdue_s
        return self.transit_s + SERVICE_TIME_P75_FACTOR * proven_s


def _load_factor(state: UpstreamState, occupancy: int, now: float) -> float:
    share = min(1.0, occupancy / state.entry.slots)
    return state.cold_factor(now) * (1.0 + FULL_SLOWDOWN_FRACTION * share * share)


def prospect_of(state: UpstreamState, now: float, baseline: float) -> Prospect:
    """Return the current costs of one upstream."""
    occupancy = state.occupancy(now)
    load_factor = _load_factor(state, occupancy, now)
    s_per_kb = 0.0
    if not state.local_region:
        s_per_kb = CROSS_REGION_S_PER_KB
    elif not state.local_zone:
        s_per_kb = CROSS_ZONE_S_PER_KB
    return Prospect(
        state,
        state.transit_s,
        state.max_overdue_s(now),
        state.slowdown_now(now, baseline) * load_factor,
        state.proven_slowdown(now) * load_factor,
        state.failure_rate(now) * FAILURE_PENALTY_S,
        s_per_kb,
        occupancy,
        state.free_slots(now) if state.lacks_permit(now) else state.usable_now(now),
    )


def prospects_of(states: Iterable[UpstreamState], now: float, baseline: float) -> list[Prospect]:
    """Return the current costs of all upstreams that may get calls."""
    return [
        prospect_of(state, now, baseline)
        for state in states
        if not (state.excluded(now) or state.lacks_permit(now))
    ]


def worth_permits(
    states: Collection[UpstreamState],
    requestable: Iterable[UpstreamState],
    demand: Demand,
    avoid: Collection[str],
    now: float,
    baseline: float,
) -> list[UpstreamState]:
    """List the `requestable` upstreams that the call would take if this instance had a permit.

    Permits that are requested but not used are lost to the other instances. Among equal upstreams
    those without a limit go first, unless nothing has been heard of the limit lately.
    """
    prospects = prospects_of(states, now, baseline)
    to_target_s, to_give_up_s = demand.time_to_target(now), demand.give_up_at - now
    wanted = []
    for state in requestable:
        position = len(prospects)
        if now - state.rate_limit.evidence_at > RECENT_LIMIT_S:
            position = 0
        compared = list(prospects)
        compared.insert(position, prospect_of(state, now, baseline))
        chosen = choose(compared, demand, avoid, 0, to_target_s, to_give_up_s).upstream
        if chosen is state:
            wanted.append(state)
    return wanted


def best_cold(
    states: Collection[UpstreamState],
    cold: list[UpstreamState],
    demand: Demand,
    avoid: Collection[str],
    now: float,
    baseline: float,
    ahead: int,
) -> UpstreamState | None:
    """Return the cold upstream that a call would take with a permit, `None` if it takes none."""
    prospects = prospects_of(states, now, baseline)
    prospects += [prospect_of(each, now, baseline) for each in cold]
    to_target_s, to_give_up_s = demand.time_to_target(now), demand.give_up_at - now
    best = choose(prospects, demand, avoid, ahead, to_target_s, to_give_up_s).upstream
    return best if best in cold else None


def cold_choices(
    states: Collection[UpstreamState],
    cold: list[UpstreamState],
    demand: Demand,
    avoid: Collection[str],
    now: float,
    baseline: float,
    ahead: int,
) -> list[UpstreamState]:
    """List the cold upstreams that a call would take with a permit, the best one first.

    Those as near as the best one follow in random order; any of them will do. With `ahead` calls
    before it, a call takes a cold upstream rather than wait for a slot of a warm one.
    """
    shuffled = [each for each in sample(cold, len(cold)) if each.entry.id not in avoid]
    best = best_cold(states, shuffled, demand, avoid, now, baseline, ahead)
    if best is None:
        return []
    return [best] + [
        each
        for each in shuffled
        if each is not best
        and (each.local_zone, each.local_region) == (best.local_zone, best.local_region)
        and each.free_slots(now) > 0
    ]


def expected_s(state: UpstreamState, demand: Demand, now: float, baseline: float) -> float:
    """Estimate the time from dispatch to answer."""
    slowdown = state.slowdown_now(now, baseline) * _load_factor(state, state.occupancy(now), now)
    return state.transit_s + demand.work_s * slowdown + state.max_overdue_s(now)


def choose(
    prospects: Iterable[Prospect],
    demand: Demand,
    avoid: Collection[str],
    ahead: int = 0,
    to_target_s: float = float("inf"),
    to_give_up_s: float = float("inf"),
) -> Placement:
    """Choose an upstream for a call that has `ahead` waiting calls before it.

    `to_target_s` is the time until its latency target, `to_give_up_s` until its client timeout.
    """
    best: Prospect | None = None
    best_cost_s = best_answer_s = float("inf")
    soonest_cost_s = soonest_turnover_s = soonest_answer_s = float("inf")
    full = 0
    work_s = demand.work_s
    kilobytes = demand.size_bytes / 1000
    for each in prospects:
        if each.state.entry.id in avoid:
            continue
        service_time_s = each.service_time_s(work_s)
        answer_s = each.transit_s + service_time_s
        if each.proven_answer_s(demand.proven_work_s) > to_give_up_s:
            continue
        cost_s = answer_s + each.failure_penalty_s + kilobytes * each.s_per_kb
        if each.free > 0:
            cost_s += IN_FLIGHT_PENALTY_S * each.occupancy + (
                MISSED_TARGET_PENALTY_S if answer_s > to_target_s else 0.0
            )
            if cost_s < best_cost_s:
                best, best_cost_s, best_answer_s = each, cost_s, answer_s
        else:
            turnover_s = service_time_s / max(1, each.state.usable_slots)
            full += 1
            soonest_turnover_s = min(soonest_turnover_s, turnover_s)
            wait_s = turnover_s * (1 - each.free)
            if cost_s + wait_s < soonest_cost_s:
                soonest_cost_s, soonest_answer_s = cost_s + wait_s, answer_s + wait_s
    if full:
        queue_wait_s = ahead * soonest_turnover_s / full
        soonest_cost_s += queue_wait_s + (
            MISSED_TARGET_PENALTY_S if soonest_answer_s + queue_wait_s > to_target_s else 0.0
        )
    if best is None:
        reason = (
            "all upstreams are full"
            if soonest_cost_s < float("inf")
            else "no upstream can take it now"
        )
        return Placement(None, soonest_cost_s, reason, soonest_cost_s)
    if soonest_cost_s < best_cost_s:
        reason = "a slot of a faster upstream is soon free"
        return Placement(None, soonest_cost_s, reason, soonest_cost_s)
    return Placement(best.state, best_answer_s, "cheapest", best_cost_s)


def place(
    states: Iterable[UpstreamState],
    demand: Demand,
    avoid: Collection[str],
    now: float,
    baseline: float,
    ahead: int = 0,
) -> Placement:
    """Choose an upstream for a single call from the current costs of all."""
    prospects = prospects_of(states, now, baseline)
    to_target_s, to_give_up_s = demand.time_to_target(now), demand.give_up_at - now
    return choose(prospects, demand, avoid, ahead, to_target_s, to_give_up_s)
