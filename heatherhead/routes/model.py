"""Immutable configuration of routes; a new version replaces the whole configuration."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

__all__ = [
    "CallerLimits",
    "RepeatRule",
    "Route",
    "RouteConfiguration",
    "ServiceRules",
    "TrafficPart",
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

    Without `timeout_s` or `target_latency_s` (None), the client timeout takes its place.
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


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on requests of callers."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RouteConfiguration:
    """One version of all routes, services and limits."""

    version: int
    route_by_name: dict[str, Route] = field(default_factory=dict)
    service_by_name: dict[str, ServiceRules] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
