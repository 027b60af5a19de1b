"""The validated form of a service, as operators and the store hold it."""

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
NAME_PATTERN = r"^[a-z0-9][a-z0-9._-]{0,62}$"

Name = Annotated[str, Field(pattern=NAME_PATTERN)]


class _Schema(BaseModel):
    """A part of a service that refuses unknown fields."""

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

    path_prefix: str = Field(pattern=r"^/", max_length=1024, description="Start of the path.")
    idempotent: bool = Field(description="Whether such calls may run more than once.")
    methods: tuple[str, ...] = Field(default=(), description="Methods concerned; none for all.")


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
    hosts: tuple[str, ...] = Field(default=(), description="Host names that choose the service.")
    path_prefixes: tuple[str, ...] = Field(
        default=(), description="Path prefixes that choose the service."
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
        default=(CallClassSchema(name="default"),), max_length=64, description="Classes of calls."
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

    @model_validator(mode="after")
    def _upstream_ids_are_unique(self) -> ServiceSchema:
        ids = [each.id for each in self.upstreams]
        if len(set(ids)) != len(ids):
            raise ValueError("two upstreams have the same id")
        return self


def service_from_schema(schema: ServiceSchema) -> Service:
    """Convert a validated service into the form that the daemon holds."""
    plain = schema.model_dump(exclude={"upstreams", "classes", "path_rules"})
    return Service(
        **plain,
        upstreams=tuple(_upstream_from_schema(each) for each in schema.upstreams),
        classes=tuple(CallClass(**each.model_dump()) for each in schema.classes),
        path_rules=tuple(PathRule(**each.model_dump()) for each in schema.path_rules),
    )


def _upstream_from_schema(schema: UpstreamSchema) -> Upstream:
    return Upstream(**schema.model_dump(exclude={"host"}), host=str(schema.host))


def service_to_schema(service: Service) -> ServiceSchema:
    """Convert a service back into its validated form."""
    return ServiceSchema.model_validate(service, from_attributes=True)
