"""Settings of the choice of upstreams and of the homes of services."""

from __future__ import annotations

from typing import Literal

from pydantic import Field

from heatherhead.settings.section import Section

__all__ = ["RoutingSettings"]

PolicyName = Literal["late_binding", "least_in_flight", "random", "round_robin", "two_choices"]


class RoutingSettings(Section):
    """Policy of choice, homes, exclusion of upstreams and quarantine."""

    policy: PolicyName = Field(
        default="late_binding", description="How an upstream is chosen; the others compare."
    )
    homes_minimum: int = Field(
        default=2, ge=1, le=1024, description="Fewest homes of a service in a region."
    )
    homes_maximum: int = Field(
        default=64, ge=1, le=1024, description="Most homes of a service in a region."
    )
    calls_per_home: float = Field(
        default=800.0, gt=0, description="Calls a second that one home is meant to carry."
    )
    share_upstreams: bool = Field(
        default=True, description="Share all upstreams among homes instead of dividing them."
    )
    vector_interval_ms: int = Field(
        default=20, ge=1, le=10_000, description="Time between in-flight vectors to co-homes."
    )
    vector_bytes_per_second: float = Field(
        default=6_000, gt=0, description="Bytes of vectors that one instance sends a second."
    )
    slow_factor: float = Field(
        default=2.0, gt=1, le=100, description="Age over the usual time that marks as slow."
    )
    hedge_factor: float = Field(
        default=1.1, gt=0, le=100, description="Hedge delay over the usual service time."
    )
    hedge_high_factor: float = Field(
        default=0.9, gt=0, le=100, description="Least hedge delay over the slower usual calls."
    )
    trial_delay_ms: int = Field(
        default=20, ge=1, le=60_000, description="Pause of a slow upstream before a trial."
    )
    slow_pause_ms: int = Field(
        default=200, ge=1, le=60_000, description="Pause before it competes with the others again."
    )
    eject_failures: int = Field(
        default=3, ge=1, le=1000, description="Failures in a row that eject an upstream."
    )
    ejection_ms: int = Field(
        default=1_000, ge=1, le=600_000, description="First ejection; each further one doubles it."
    )
    ejected_share: float = Field(
        default=0.34, ge=0, le=1, description="Largest share of upstreams out by their failures."
    )
    draining_ms: int = Field(
        default=30_000, ge=1, le=3_600_000, description="How long a sighting of draining holds."
    )
    health_interval_ms: int = Field(
        default=1_500,
        ge=100,
        le=600_000,
        description="Time without calls after which an upstream's health is checked, and between "
        "two checks; each is up to a fifth shorter or longer.",
    )
    health_timeout_ms: int = Field(
        default=500, ge=1, le=60_000, description="How long a health check waits for its answer."
    )
    health_bytes_per_second: float = Field(
        default=4_000,
        gt=0,
        description="Bytes of health checks, requests and answers, of one instance a second.",
    )
    quarantine_ms: int = Field(
        default=300_000, ge=1, le=86_400_000, description="How long a fingerprint is held back."
    )
