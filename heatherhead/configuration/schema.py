"""Validation of services that operators, settings files and the store supply."""

from __future__ import annotations

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, IPvAnyAddress, model_validator

from heatherhead.configuration.model import (
    DEFAULT_DEADLINE_MS,
    DEFAULT_QUEUE_LIMIT,
    DEFAULT_SLOTS,
    CallClass,
    PathRule,
    Service,
    Upstream,
)

__all__ = ["ServiceSchema", "UpstreamSchema", "service_from_schema", "service_to_schema"]

MAX_UPSTREAMS = 2_000
MAX_DEADLINE_MS = 3_600_000
MAX_HOSTS = 256
MAX_PATH_PREFIXES = 256
MAX_METHODS = 32
MAX_HEALTH_PATH_CHARS = 256
NAME_PATTERN = r"^[a-z0-9][a-z0-9._-]{0,62}$"
HOST_PATTERN = r"^[A-Za-z0-9._-]{1,253}$|^\[[0-9A-Fa-f:.]{2,45}\]$"
PATH_PATTERN = r"^/[!$-;=@-~]*$"
METHOD_PATTERN = r"^[A-Z][A-Z0-9_-]{0,31}$"

Name = Annotated[str, Field(pattern=NAME_PATTERN)]
HostName = Annotated[str, Field(pattern=HOST_PATTERN)]
PathPrefix = Annotated[str, Field(pattern=PATH_PATTERN, max_length=1024)]
HealthPath = Annotated[str, Field(pattern=PATH_PATTERN, max_length=MAX_HEALTH_PATH_CHARS)]
Method = Annotated[str, Field(pattern=METHOD_PATTERN)]


class _Schema(BaseModel):
    """Base of the schemas: immutable, with unknown fields rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class UpstreamSchema(_Schema):
    """One server of a service."""

    id: Name = Field(description="Unique within the service.")
    host: IPvAnyAddress = Field(description="IP number.")
    port: int = Field(ge=1, le=65535, description="TCP port.")
    region: Name = Field(default="local", description="Region of the upstream.")
    availability_zone: Name = Field(default="local", description="Availability zone.")
    slots: int = Field(
        default=DEFAULT_SLOTS, ge=1, le=1024, description="Calls it runs side by side."
    )
    draining: bool = Field(default=False, description="Whether it gets no new work.")


class PathRuleSchema(_Schema):
    """Widens or narrows which calls are idempotent."""

    path_prefix: PathPrefix = Field(description="Start of the path.")
    idempotent: bool = Field(description="Whether such calls may run more than once.")
    methods: tuple[Method, ...] = Field(
        default=(), max_length=MAX_METHODS, description="Methods concerned; none for all."
    )


class CallClassSchema(_Schema):
    """A class of calls or a tenant with its weight."""

    name: Name = Field(description="Value of the class header.")
    weight: int = Field(default=1, ge=1, le=1000, description="Share among waiting classes.")


class ServiceSchema(_Schema):
    """A service with its upstreams and rules."""

    name: Name = Field(description="Unique name.")
    upstreams: tuple[UpstreamSchema, ...] = Field(
        default=(), max_length=MAX_UPSTREAMS, description="Servers."
    )
    hosts: tuple[HostName, ...] = Field(
        default=(), max_length=MAX_HOSTS, description="Host names that choose the service."
    )
    path_prefixes: tuple[PathPrefix, ...] = Field(
        default=(),
        max_length=MAX_PATH_PREFIXES,
        description="Path prefixes that choose the service.",
    )
    default_deadline_ms: int = Field(
        default=DEFAULT_DEADLINE_MS,
        ge=1,
        le=MAX_DEADLINE_MS,
        description="Milliseconds a call has.",
    )
    queue_limit: int = Field(
        default=DEFAULT_QUEUE_LIMIT, ge=1, le=100_000, description="Calls that may wait."
    )
    classes: tuple[CallClassSchema, ...] = Field(
        default=(CallClassSchema(name="default"),),
        min_length=1,
        max_length=64,
        description="Classes of calls.",
    )
    path_rules: tuple[PathRuleSchema, ...] = Field(
        default=(), max_length=256, description="Rules of idempotence, first match wins."
    )
    retry_share: float = Field(
        default=0.1, ge=0, le=1, description="Retries as a share of first attempts."
    )
    hedge_share: float = Field(
        default=0.05, ge=0, le=0.5, description="Hedges as a share of first attempts."
    )
    key_required: bool = Field(
        default=True, description="Whether a non-idempotent call needs an Idempotency-Key."
    )
    health_path: HealthPath | None = Field(
        default=None, description="Path asked of idle upstreams; none for no health checks."
    )

    @model_validator(mode="after")
    def _names_are_unique(self) -> ServiceSchema:
        _refuse_duplicates("upstreams", [each.id for each in self.upstreams])
        _refuse_duplicates("classes", [each.name for each in self.classes])
        _refuse_duplicates("hosts", [each.lower() for each in self.hosts])
        _refuse_duplicates("path prefixes", list(self.path_prefixes))
        return self


def _refuse_duplicates(kind: str, names: list[str]) -> None:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            raise ValueError(f"two {kind} are named {name}")
        seen.add(name)


def service_from_schema(schema: ServiceSchema) -> Service:
    """Convert a validated service into the model."""
    return Service(
        name=schema.name,
        upstreams=tuple(_upstream_from_schema(each) for each in schema.upstreams),
        hosts=schema.hosts,
        path_prefixes=schema.path_prefixes,
        default_deadline_ms=schema.default_deadline_ms,
        queue_limit=schema.queue_limit,
        classes=tuple(CallClass(each.name, each.weight) for each in schema.classes),
        path_rules=tuple(
            PathRule(each.path_prefix, each.idempotent, each.methods) for each in schema.path_rules
        ),
        retry_share=schema.retry_share,
        hedge_share=schema.hedge_share,
        key_required=schema.key_required,
        health_path=schema.health_path,
    )


def _upstream_from_schema(schema: UpstreamSchema) -> Upstream:
    return Upstream(
        id=schema.id,
        host=str(schema.host),
        port=schema.port,
        region=schema.region,
        availability_zone=schema.availability_zone,
        slots=schema.slots,
        draining=schema.draining,
    )


def service_to_schema(service: Service) -> ServiceSchema:
    """Convert a service of the model into its schema."""
    return ServiceSchema.model_validate(service, from_attributes=True)
