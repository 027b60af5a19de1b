"""Builds the document that tells what would become of a call; it holds no key of a customer."""

from __future__ import annotations

import math
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

from result import Err, Ok

from heatherhead.customers.identification import identify_by_name
from heatherhead.dispatch.explanation import Outcome, Standing

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from result import Result

    from heatherhead.customers.identification import Identity
    from heatherhead.dispatch.demand import Demand
    from heatherhead.dispatch.explanation import Candidate, Forecast, PlacementExplanation
    from heatherhead.entry.service import EntryService
    from heatherhead.routes.model import Customer, Route, UsageCap

__all__ = ["MAX_CANDIDATES", "ExplainedCall", "explain_route", "parse_explained_call"]

MAX_CANDIDATES = 20  # in one answer
MAX_PARTS = 20  # of a split, in one answer
MAX_REGIONS = 64  # in one list of an answer
MAX_TEXT = 1024  # characters of one parameter
MAX_SECONDS = 86_400.0
DECIMALS = 4  # of durations in seconds


@dataclass(frozen=True, slots=True)
class ExplainedCall:
    """The call that is asked about; with a `region`, only upstreams of that one are listed."""

    host: str
    path: str
    method: str = "GET"
    customer: str | None = None
    region: str | None = None
    client_timeout_s: float | None = None
    body_bytes: int = 0


def parse_explained_call(
    parameters: Mapping[str, str], regions: Collection[str], max_body_bytes: int
) -> Result[ExplainedCall, str]:
    """Read the parameters of the page; the error names the first wrong one."""
    if any(len(value) > MAX_TEXT for value in parameters.values()):
        return Err(f"a parameter has more than {MAX_TEXT} characters")
    host, path = parameters.get("host", ""), parameters.get("path", "")
    if not host:
        return Err("host: name the host of the call")
    if not path.startswith("/"):
        return Err("path: must begin with /")
    method = parameters.get("method") or "GET"
    if not (method.isascii() and method.isalpha()):
        return Err("method: must be a word")
    region = parameters.get("region") or None
    if region is not None and region not in regions:
        return Err(f"region: no zone of the settings is in {region}")
    try:
        client_timeout_s = _seconds(parameters.get("client_timeout_s"))
    except ValueError:
        return Err("client_timeout_s: must be a number of seconds greater than 0")
    body_bytes = parameters.get("body_bytes") or "0"
    if not (body_bytes.isascii() and body_bytes.isdigit() and int(body_bytes) <= max_body_bytes):
        return Err(f"body_bytes: must be a number from 0 to {max_body_bytes}")
    customer = parameters.get("customer") or None
    path = path.partition("?")[0]
    return Ok(
        ExplainedCall(
            host, path, method.upper(), customer, region, client_timeout_s, int(body_bytes)
        )
    )


def _seconds(text: str | None) -> float | None:
    if not text:
        return None
    seconds = float(text)
    if not 0 < seconds <= MAX_SECONDS:
        raise ValueError
    return seconds


def explain_route(service: EntryService, call: ExplainedCall, now: float) -> dict[str, Any]:
    """Tell what would become of a call that came to an instance now; changes nothing."""
    settings, table = service.settings, service.table
    document: dict[str, Any] = {
        "instance": settings.instance,
        "region": settings.region,
        "availability_zone": settings.availability_zone,
        "configuration_version": table.configuration.version,
        "call": asdict(call),
        "route": None,
        "customer": None,
        "note": None,
        "allowed_regions": None,
        "retry_budget": None,
        "baseline_slowdown": None,
        "outcome": None,
        "candidates": [],
        "candidates_total": 0,
    }
    if service.forwarder.rejects_calls:
        return document | {"outcome": _refusal(503, "this instance ends")}
    if not table.loaded:
        return document | {"outcome": _refusal(503, "no configuration yet")}
    route = table.match(call.host, call.path)
    if route is None:
        return document | {"outcome": _refusal(404, "no route has this host and path")}
    document["route"] = _route_document(route, table.next_service_of(route))
    document["note"] = _customer_note(service, call.customer)
    identity = identify_by_name(table, route, call.customer)
    if identity is None:
        return document | {"outcome": _refusal(401, "the route needs the key of a customer")}
    if identity.customer is not None:
        document["customer"] = _customer_document(identity.customer)
    regions = identity.allowed_regions(route)
    document["allowed_regions"] = None if regions is None else _regions(regions)
    return document | _placement_document(service, call, route, identity, now)


def _placement_document(
    service: EntryService, call: ExplainedCall, route: Route, identity: Identity, now: float
) -> dict[str, Any]:
    demand = service.forwarder.explained_demand(
        route, identity, call.client_timeout_s, call.body_bytes
    )
    explained = service.dispatcher.explain(demand)
    shown = [
        (position, each)
        for position, each in enumerate(explained.candidates, 1)
        if call.region is None or each.state.region == call.region
    ]
    return {
        "retry_budget": {
            "left": round(explained.budget_left, 2),
            "allows_this_call": explained.budget_allows,
        },
        "baseline_slowdown": round(explained.baseline, 3),
        "outcome": _outcome(service, demand, explained, now),
        "candidates": [
            _candidate_document(position, each, now) for position, each in shown[:MAX_CANDIDATES]
        ],
        "candidates_total": len(shown),
    }


def _outcome(
    service: EntryService, demand: Demand, explained: PlacementExplanation, now: float
) -> dict[str, Any]:
    """Return the outcome in the order in which the forwarder takes its decisions."""
    if now > demand.start_by:
        return _refusal(503, "this instance ends")
    lost = demand.service in service.reach.lost_services
    if (lost or explained.unreachable) and service.has_detour(demand.service, demand.regions):
        return _outcome_document(Outcome.DETOUR, "the service is out of reach here")
    return _forecast_document(explained.forecast)


def _forecast_document(forecast: Forecast) -> dict[str, Any]:
    rejected = forecast.outcome is Outcome.REJECTED
    return _outcome_document(
        forecast.outcome,
        forecast.reason,
        status=503 if rejected else None,
        retry_after_s=_rounded(forecast.retry_after_s),
        upstream=None if forecast.chosen is None else forecast.chosen.entry.id,
        expected_s=_rounded(forecast.expected_s),
        sampled_of=forecast.sampled_of,
        ahead=forecast.ahead,
        wait_s=_rounded(forecast.wait_s),
        permits_of=list(forecast.permits_of[:MAX_CANDIDATES]),
    )


def _refusal(status: int, reason: str) -> dict[str, Any]:
    return _outcome_document(Outcome.REJECTED, reason, status=status)


def _outcome_document(outcome: Outcome, reason: str, **known: Any) -> dict[str, Any]:
    document: dict[str, Any] = {
        "kind": outcome.value,
        "reason": reason,
        "status": None,
        "retry_after_s": None,
        "upstream": None,
        "expected_s": None,
        "sampled_of": 0,
        "ahead": 0,
        "wait_s": None,
        "permits_of": [],
    }
    return document | known


def _customer_note(service: EntryService, name: str | None) -> str | None:
    if name is None:
        return None
    customers = service.table.configuration.customer_by_name
    if customers is None:
        return "the configuration has no customers"
    return None if name in customers else "no customer has this name"


def _route_document(route: Route, next_service: str) -> dict[str, Any]:
    return {
        "name": route.name,
        "host": route.host,
        "prefix": route.prefix,
        "repeat": route.repeat.value,
        "priority": route.priority,
        "public": route.public,
        "max_attempts": route.max_attempts,
        "timeout_s": route.timeout_s,
        "target_latency_s": route.target_latency_s,
        "allowed_regions": _regions(route.allowed_regions),
        "parts": [
            {"service": part.service, "weight": part.weight} for part in route.parts[:MAX_PARTS]
        ],
        "parts_total": len(route.parts),
        "next_service": next_service,
    }


def _customer_document(customer: Customer) -> dict[str, Any]:
    return {
        "name": customer.name,
        "priority": customer.priority,
        "cap": None if customer.cap is None else _cap_document(customer.cap),
        "allowed_regions": _regions(customer.allowed_regions),
    }


def _cap_document(cap: UsageCap) -> dict[str, Any]:
    """Return the cap as the configuration has it; `state` is for what the instance knows of it."""
    return {"calls_per_s": cap.calls_per_s, "burst": cap.burst, "state": None}


def _candidate_document(position: int, candidate: Candidate, now: float) -> dict[str, Any]:
    state, prospect = candidate.state, candidate.prospect
    compared = candidate.standing is not Standing.EXCLUDED
    return {
        "position": position,
        "upstream": state.entry.id,
        "availability_zone": state.entry.availability_zone,
        "region": state.region,
        "standing": candidate.standing.value,
        "reason": candidate.reason,
        "excluded_by": [each.code.value for each in candidate.exclusions],
        "cost_s": _rounded(candidate.cost_s),
        "cost_by_part": {
            part.value: _rounded(cost_s) for part, cost_s in candidate.cost_by_part.items()
        },
        "expected_s": _rounded(candidate.expected_s),
        "slowdown": round(prospect.slowdown, 3),
        "reading": None if state.slowdown is None else round(state.slowdown, 3),
        "reading_age_s": _rounded(candidate.reading_age_s),
        "occupancy": prospect.occupancy,
        "slots": state.entry.slots,
        "usable_slots": state.usable_slots,
        "free": max(0, prospect.free) if compared else 0,
        "transit_s": _rounded(state.transit_s),
        "cold_left_s": _rounded(candidate.cold_left_s),
        "permits": state.rate_limit.permits(now) if state.limited else None,
    }


def _regions(regions: Collection[str]) -> list[str]:
    return sorted(regions)[:MAX_REGIONS]


def _rounded(seconds: float | None) -> float | None:
    if seconds is None or not math.isfinite(seconds):
        return None
    return round(seconds, DECIMALS) + 0.0  # no negative zero
