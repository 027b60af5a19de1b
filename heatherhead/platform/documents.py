"""Decodes the configuration and the upstreams' entries, which are stored as JSON."""

from __future__ import annotations

import ipaddress
from typing import TYPE_CHECKING, Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator
from result import Err, Ok

from heatherhead.exceptions import ConfigurationError
from heatherhead.platform.json_values import problem_of, read_json
from heatherhead.registry.entries import UpstreamEntry
from heatherhead.routes.model import (
    CallerLimits,
    Customer,
    RepeatRule,
    Route,
    RouteConfiguration,
    ServiceRules,
    TrafficPart,
    UsageCap,
)

if TYPE_CHECKING:
    from result import Result

__all__ = [
    "CONFIGURATION_KEY",
    "EVACUATION_PREFIX",
    "UPSTREAM_PREFIX",
    "decode_configuration",
    "decode_upstream",
]

CONFIGURATION_KEY = "op/config"
UPSTREAM_PREFIX = "servers/"
EVACUATION_PREFIX = "op/evacuate/"  # and the name of the zone; the value tells nothing

MAX_NUMBER = 2**62  # of counts and times, which messages between instances must hold
MAX_WARMUP_S = 86_400.0
MAX_PORT = 65_535

_REPEAT_RULE_BY_ROUTE_TYPE = {
    "idempotent": RepeatRule.IDEMPOTENT,
    "non_idempotent": RepeatRule.NON_IDEMPOTENT,
    "upload": RepeatRule.UPLOAD,
}


class _Document(BaseModel):
    """Ignores unknown fields, since later versions of the platform add fields."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class _TrafficPart(_Document):
    service: str = Field(alias="Service")
    weight: float = Field(alias="Weight", ge=0)


class _Route(_Document):
    host: str = Field(alias="Hostname")
    prefix: str = Field(alias="Prefix")
    repeat: str = Field(alias="RouteType")
    service: str | None = Field(default=None, alias="Service")
    split: tuple[_TrafficPart, ...] = Field(default=(), alias="TrafficSplit")
    max_attempts: int = Field(default=1, alias="MaxAttempts")
    timeout_s: float | None = Field(default=None, alias="TimeoutS")
    target_latency_s: float | None = Field(default=None, alias="TargetLatencyS")
    priority: int = Field(default=0, alias="Priority")
    public: bool = Field(default=False, alias="Public")
    allowed_regions: frozenset[str] = Field(default=frozenset(), alias="AllowedRegions")


class _Customer(_Document):
    keys: tuple[str, ...] = Field(default=(), alias="ApiKeys")
    priority: int = Field(default=0, alias="Priority")
    calls_per_s: float = Field(default=0.0, alias="RatePerS", ge=0, le=MAX_NUMBER)
    burst: float = Field(default=0.0, alias="Burst", ge=0, le=MAX_NUMBER)
    allowed_regions: frozenset[str] = Field(default=frozenset(), alias="AllowedRegions")


class _Service(_Document):
    health_path: str | None = Field(default=None, alias="HealthCheck")
    max_connections: int = Field(default=0, alias="MaxConnections")
    warmup_calls_per_s: float = Field(default=0.0, alias="WarmupPerS", ge=0, le=MAX_NUMBER)


class _Limits(_Document):
    max_header_bytes: int = Field(default=16384, alias="MaxHeaderBytes")
    max_body_bytes: int = Field(default=64 * 1024 * 1024, alias="MaxBodyBytes")
    header_timeout_s: float = Field(default=5.0, alias="HeaderTimeoutS")
    idle_timeout_s: float = Field(default=15.0, alias="IdleTimeoutS")


class _Configuration(_Document):
    version: int = Field(alias="ConfigVersion")
    routes: dict[str, _Route] = Field(default_factory=dict, alias="Routes")
    services: dict[str, _Service] = Field(default_factory=dict, alias="Services")
    limits: _Limits = Field(default_factory=_Limits, alias="Limits")
    customers: dict[str, _Customer] | None = Field(default=None, alias="Tenants")


class _Upstream(_Document):
    service: Annotated[str, Field(alias="Service", min_length=1, strict=True)]
    address: str = Field(alias="Address", strict=True)
    zone: str = Field(alias="Zone", strict=True)
    slots: int = Field(alias="Slots", ge=1, le=100_000, strict=True)
    state: str = Field(alias="State", strict=True)
    warmup_left_s: float = Field(default=0.0, alias="WarmupLeftS", ge=0, le=MAX_WARMUP_S)
    started_ms: int = Field(default=0, alias="born", ge=0, le=MAX_NUMBER)  # of the process
    sequence: int = Field(default=0, alias="Sequence", ge=-MAX_NUMBER, le=MAX_NUMBER)

    @field_validator("state")
    @classmethod
    def _known_state(cls, state: str) -> str:
        if state not in ("ready", "draining"):
            raise ValueError("must be 'ready' or 'draining'")
        return state


def decode_configuration(value: bytes) -> Result[RouteConfiguration, ConfigurationError]:
    """Decode the operator's configuration."""
    try:
        document = _Configuration.model_validate(read_json(value))
        routes = {name: _route(name, route) for name, route in document.routes.items()}
    except (ValidationError, ValueError, KeyError) as error:
        return Err(
            ConfigurationError(
                CONFIGURATION_KEY,
                f"can't be read: {problem_of(error)}",
                remedy="write a valid configuration",
            )
        )
    services = {
        name: ServiceRules(
            name, service.health_path, service.max_connections, service.warmup_calls_per_s
        )
        for name, service in document.services.items()
    }
    limits = document.limits
    return Ok(
        RouteConfiguration(
            document.version,
            routes,
            services,
            CallerLimits(
                limits.max_header_bytes,
                limits.max_body_bytes,
                limits.header_timeout_s,
                limits.idle_timeout_s,
            ),
            _customers(document.customers),
        )
    )


def _customers(customers: dict[str, _Customer] | None) -> dict[str, Customer] | None:
    if customers is None:
        return None
    return {name: _customer(name, customer) for name, customer in customers.items()}


def _customer(name: str, customer: _Customer) -> Customer:
    cap = UsageCap(customer.calls_per_s, customer.burst) if customer.calls_per_s else None
    return Customer(name, customer.keys, customer.priority, cap, customer.allowed_regions)


def _route(name: str, route: _Route) -> Route:
    if route.split:
        parts = tuple(TrafficPart(part.service, part.weight) for part in route.split)
    elif route.service is not None:
        parts = (TrafficPart(route.service, 1.0),)
    else:
        raise ValueError(f"route {name} has neither a service nor a traffic split")
    return Route(
        name=name,
        host=route.host,
        prefix=route.prefix,
        repeat=_REPEAT_RULE_BY_ROUTE_TYPE[route.repeat],
        parts=parts,
        max_attempts=max(1, route.max_attempts),
        timeout_s=route.timeout_s,
        target_latency_s=route.target_latency_s,
        priority=route.priority,
        public=route.public,
        allowed_regions=route.allowed_regions,
    )


def decode_upstream(
    key: str, value: bytes, revision: int
) -> Result[UpstreamEntry, ConfigurationError]:
    """Decode the entry that an upstream writes about itself."""
    try:
        document = _Upstream.model_validate(_json_object(value))
        host, port = _address(document.address)
        entry = UpstreamEntry(
            id=_upstream_id(key),
            service=document.service,
            host=host,
            port=port,
            availability_zone=document.zone,
            slots=document.slots,
            draining=document.state == "draining",
            warmup_left_s=document.warmup_left_s,
            started_ms=document.started_ms,
            revision=revision,
            sequence=document.sequence,
        )
    except (ValidationError, ValueError) as error:
        return Err(
            ConfigurationError(
                key,
                f"can't be read: {problem_of(error)}",
                remedy="check which process wrote the entry",
            )
        )
    return Ok(entry)


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdecimal() and 0 < int(port) <= MAX_PORT):
        raise ValueError("Address: has no port from 1 to 65535")
    return str(ipaddress.IPv4Address(host)), int(port)


def _upstream_id(key: str) -> str:
    """Return the id, which becomes part of a header."""
    upstream_id = key.removeprefix(UPSTREAM_PREFIX)
    if not (upstream_id.isascii() and upstream_id.isprintable()):
        raise ValueError("the id has characters that no header may have")
    return upstream_id


def _json_object(value: bytes) -> dict[str, Any]:
    document = read_json(value)
    if not isinstance(document, dict):
        raise ValueError("is not a JSON object")
    return document
