"""Describes what would become of a call now, and why each upstream stands where it does.

It reads the costs that the decision itself compares (`placement.choose`), and changes no state. An
operator asks a few times a minute, so that the costs of all upstreams of a service may be computed.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import TYPE_CHECKING

from heatherhead.dispatch import placement

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from heatherhead.dispatch.demand import Demand
    from heatherhead.dispatch.placement import Prospect
    from heatherhead.dispatch.upstream_state import UpstreamState

__all__ = [
    "Candidate",
    "CostPart",
    "Exclusion",
    "ExclusionCode",
    "Forecast",
    "Outcome",
    "PlacementExplanation",
    "Standing",
    "explain_candidates",
]

SAME_COST_S = 1e-9  # sums of the same terms in another order differ by less


class Outcome(StrEnum):
    """What would become of a call."""

    ADMITTED = "admitted"
    WAITS = "waits"
    REJECTED = "rejected"
    DETOUR = "detour"  # sent over a peer


class Standing(StrEnum):
    """How an upstream takes part in a decision."""

    CHOSEN = "chosen"
    FREE = "free"
    FULL = "full"
    NOT_COMPARED = "not compared"  # others fill it first, and the call needs none of these
    EXCLUDED = "excluded"


class ExclusionCode(StrEnum):
    """Why an upstream gets no call."""

    REGION_NOT_ALLOWED = "region_not_allowed"
    EVACUATED_ZONE = "evacuated_zone"
    EJECTED = "ejected"
    MISDIRECTED = "misdirected"
    PAUSED = "paused"
    LEAVES = "leaves"
    NO_PERMIT = "no_permit"
    COLD = "cold"  # without a permit for its warm-up
    TOO_SLOW = "too_slow"


class CostPart(StrEnum):
    """The terms whose sum is the cost of an upstream."""

    TRANSIT = "transit"
    SERVICE_TIME = "service time"
    OVERDUE = "overdue calls"
    SLOT = "wait for a slot"
    FAILURES = "failures"
    BYTES = "bytes between zones or regions"
    IN_FLIGHT = "calls in flight"
    MISSED_TARGET = "missed latency target"


@dataclass(frozen=True, slots=True)
class Exclusion:
    """One reason why an upstream gets no call, with what is known of it."""

    code: ExclusionCode
    detail: str


@dataclass(frozen=True, slots=True)
class Forecast:
    """What would become of a call; `ahead` calls precede it.

    With `sampled_of`, a call takes the best of a random sample of so many upstreams, and may get
    another one than `chosen`. With `permits_of`, it requests permits for these upstreams first, and
    is placed at once if this instance issues them itself.
    """

    outcome: Outcome
    reason: str
    ahead: int = 0
    wait_s: float | None = None
    expected_s: float | None = None  # from dispatch to answer
    retry_after_s: float | None = None
    chosen: UpstreamState | None = None
    compares_overflow: bool = False
    sampled_of: int = 0
    permits_of: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Candidate:
    """One upstream of the service; without a `cost_s`, it is excluded.

    `reason` names the part of the cost by which it falls behind the first candidate the most.
    """

    state: UpstreamState
    prospect: Prospect
    standing: Standing
    reason: str
    expected_s: float
    cost_s: float | None
    cost_by_part: dict[CostPart, float]
    exclusions: tuple[Exclusion, ...]
    reading_age_s: float | None  # of the slowdown, `None` before the first one
    cold_left_s: float


@dataclass(frozen=True, slots=True)
class PlacementExplanation:
    """The forecast of a call, and all upstreams of its service, the best one first."""

    forecast: Forecast
    candidates: list[Candidate]
    baseline: float
    budget_left: float  # extra attempts
    budget_allows: bool  # one for this call, after what more urgent ones need
    unreachable: bool  # no upstream that it may use is reachable from here


def explain_candidates(
    states: Iterable[UpstreamState],
    first: Collection[UpstreamState],
    overflow: Collection[UpstreamState],
    prospects_for: Callable[[list[UpstreamState]], list[Prospect]],
    demand: Demand,
    now: float,
    baseline: float,
    forecast: Forecast,
) -> list[Candidate]:
    """List the upstreams of a service in the order in which a call considers them.

    Those of `first` are compared before those of `overflow`; all others may not serve the call.
    """
    compared = {id(each) for each in first}
    if forecast.compares_overflow:
        compared |= {id(each) for each in overflow}
    allowed = {id(each): each for each in (*first, *overflow)}
    prospect_by_state = {id(each.state): each for each in prospects_for(list(allowed.values()))}
    others = [each for each in states if id(each) not in allowed]
    found = [
        _candidate(
            state,
            prospect_by_state.get(id(state)),
            demand,
            now,
            baseline,
            is_compared=id(state) in compared,
            is_chosen=state is forecast.chosen,
        )
        for state in (*allowed.values(), *others)
    ]
    found.sort(key=_order)
    best = found[0] if found and found[0].cost_s is not None else None
    return [replace(each, reason=_reason(each, best)) for each in found]


def _order(candidate: Candidate) -> tuple[bool, bool, bool, float]:
    return (
        candidate.standing is not Standing.CHOSEN,
        candidate.standing is Standing.EXCLUDED,
        candidate.standing is Standing.NOT_COMPARED,
        math.inf if candidate.cost_s is None else candidate.cost_s,
    )


def _candidate(
    state: UpstreamState,
    prospect: Prospect | None,
    demand: Demand,
    now: float,
    baseline: float,
    *,
    is_compared: bool,
    is_chosen: bool,
) -> Candidate:
    exclusions = _exclusions(state, demand, now)
    if prospect is None:
        prospect = placement.prospect_of(state, now, baseline)
    cost_by_part: dict[CostPart, float] = {}
    if not exclusions:
        cost_by_part = _costs(prospect, demand, now)
        if not cost_by_part:
            exclusions = (_too_slow(prospect, demand, now),)
    if exclusions:
        standing = Standing.EXCLUDED
    elif is_chosen:
        standing = Standing.CHOSEN
    elif not is_compared:
        standing = Standing.NOT_COMPARED
    else:
        standing = Standing.FREE if prospect.free > 0 else Standing.FULL
    return Candidate(
        state,
        prospect,
        standing,
        "",
        prospect.transit_s + prospect.service_time_s(demand.work_s),
        None if exclusions else sum(cost_by_part.values()),
        cost_by_part,
        exclusions,
        None if state.slowdown is None else now - state.slowdown_at,
        max(0.0, state.cold_until - now),
    )


def _costs(prospect: Prospect, demand: Demand, now: float) -> dict[CostPart, float]:
    """Return the parts of the cost, none if the upstream would answer too late.

    The sum is what `choose` takes for the cost. What it adds for the wait of a call with others
    before it is the same for all full upstreams, and left out.
    """
    to_target_s, to_give_up_s = demand.time_to_target(now), demand.give_up_at - now
    total_s = placement.choose([prospect], demand, (), 0, to_target_s, to_give_up_s).cost_s
    if math.isinf(total_s):
        return {}
    in_time_s = placement.choose([prospect], demand, ()).cost_s
    parts = {
        CostPart.TRANSIT: prospect.transit_s,
        CostPart.SERVICE_TIME: prospect.service_time_s(demand.work_s) - prospect.overdue_s,
        CostPart.OVERDUE: prospect.overdue_s,
        CostPart.FAILURES: prospect.failure_penalty_s,
        CostPart.BYTES: demand.size_bytes / 1000 * prospect.s_per_kb,
    }
    # What is left is a charge for its calls in flight while it is free, else the wait for a slot.
    rest = CostPart.IN_FLIGHT if prospect.free > 0 else CostPart.SLOT
    parts[rest] = in_time_s - sum(parts.values())
    parts[CostPart.MISSED_TARGET] = total_s - in_time_s
    return parts


def _reason(candidate: Candidate, best: Candidate | None) -> str:
    if candidate.exclusions:
        return "; ".join(each.detail for each in candidate.exclusions)
    if candidate.standing is Standing.NOT_COMPARED:
        return "used only when those that this instance fills first have no slot for the call"
    if best is None or candidate is best:
        return "least cost"
    behind_s = {
        part: candidate.cost_by_part.get(part, 0.0) - best.cost_by_part.get(part, 0.0)
        for part in CostPart
    }
    largest = max(behind_s, key=lambda part: behind_s[part])
    if behind_s[largest] <= SAME_COST_S:
        return "equal cost"
    return f"{largest.value}: {behind_s[largest]:.3f} s more"


def _too_slow(prospect: Prospect, demand: Demand, now: float) -> Exclusion:
    proven_s = prospect.proven_answer_s(demand.proven_work_s)
    left_s = demand.give_up_at - now
    return Exclusion(
        ExclusionCode.TOO_SLOW, f"answers in {proven_s:.3f} s, the call has {left_s:.3f} s left"
    )


def _exclusions(state: UpstreamState, demand: Demand, now: float) -> tuple[Exclusion, ...]:
    """List all reasons for which an upstream gets no call, the lasting ones first."""
    found = []
    if demand.regions is not None and state.region not in demand.regions:
        found.append((ExclusionCode.REGION_NOT_ALLOWED, f"region {state.region} is not allowed"))
    if state.evacuated:
        zone = state.entry.availability_zone
        found.append((ExclusionCode.EVACUATED_ZONE, f"zone {zone} is evacuated"))
    if state.misdirected:
        found.append((ExclusionCode.MISDIRECTED, "another upstream answers at its address"))
    if now < state.ejected_until:
        left_s = state.ejected_until - now
        found.append((ExclusionCode.EJECTED, f"ejected for {left_s:.3f} s after failures"))
    if math.isinf(state.paused_until):
        found.append((ExclusionCode.LEAVES, "leaves, by its own answer"))
    elif now < state.paused_until:
        left_s = state.paused_until - now
        found.append((ExclusionCode.PAUSED, f"paused for {left_s:.3f} s, by its own answer"))
    if state.lacks_permit(now):
        found.append(_missing_permit(state, now))
    return tuple(Exclusion(code, detail) for code, detail in found)


def _missing_permit(state: UpstreamState, now: float) -> tuple[ExclusionCode, str]:
    limit = f"no permit under {state.rate_limit.calls_per_s:g} calls a second"
    if state.rate_limit.warmup_per_s is None:
        return ExclusionCode.NO_PERMIT, limit
    return ExclusionCode.COLD, f"cold for {max(0.0, state.cold_until - now):.3f} s, {limit}"
