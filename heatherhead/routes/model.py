"""Immutable configuration of routes; a new version replaces the whole configuration."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

__all__ = [
    "CallerLimits",
    "Customer",
    "RepeatRule",
    "Route",
    "RouteConfiguration",
    "ServiceRules",
    "TrafficPart",
    "UsageCap",
]


class RepeatRule(StrEnum):
    """Whether calls of a route may be sent to an upstream more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    UPLOAD = "upload"  # a large body; retried under the same rules as a non-idempotent call


@dataclass(frozen=True, slots=True)
class TrafficPart:
    """A service's share of the traffic of a route; weights are relative."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Rules for calls to one host below one path prefix.

    Without `timeout_s` or `target_latency_s` (None), the client timeout takes its place. A `public`
    route needs no key of a customer. Without `allowed_regions`, all regions may serve its calls.
    """

    name: str
    host: str
    prefix: str
    repeat: RepeatRule
    parts: tuple[TrafficPart, ...]
    max_attempts: int = 1
    timeout_s: float | None = None
    target_latency_s: float | None = None
    priority: int = 0  # 0 is the highest
    public: bool = False
    allowed_regions: frozenset[str] = frozenset()

    @property
    def idempotent(self) -> bool:
        """Return whether calls may run more than once."""
        return self.repeat is RepeatRule.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class ServiceRules:
    """Rules for all upstreams of a service; without `health_path`, they are not polled for load."""

    name: str
    health_path: str | None = None
    max_connections: int = 0  # to one upstream, from all instances together; 0 means unlimited
    warmup_calls_per_s: float = 0.0  # to one cold upstream, from all instances; 0 means unlimited


@dataclass(frozen=True, slots=True)
class UsageCap:
    """The calls that a customer may make, over all instances: a rate, and a burst on top of it."""

    calls_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class Customer:
    """An account with its keys; without a `cap`, its calls are not counted."""

    name: str
    keys: tuple[str, ...]
    priority: int = 0  # 0 is the highest; goes before the priority of a route
    cap: UsageCap | None = None
    allowed_regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on requests of callers."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RouteConfiguration:
    """One version of all routes, services, limits and customers.

    With `customer_by_name`, also an empty one, calls need a customer's key; without it (None) they
    need none.
    """

    version: int
    route_by_name: dict[str, Route] = field(default_factory=dict)
    service_by_name: dict[str, ServiceRules] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
    customer_by_name: dict[str, Customer] | None = None
