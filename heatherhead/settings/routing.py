"""Settings of upstream selection, homes, ejection, health checks and quarantine."""

from __future__ import annotations

from typing import Literal

from pydantic import Field

from heatherhead.settings.section import Section

__all__ = ["RoutingSettings"]

PolicyName = Literal["late_binding", "least_in_flight", "random", "round_robin", "two_choices"]


class RoutingSettings(Section):
    """Selection of upstreams, homes, hedging, ejection, health checks and quarantine."""

    policy: PolicyName = Field(
        default="late_binding",
        description="Policy by which upstreams are selected; all but the default are for "
        "comparison.",
    )
    homes_minimum: int = Field(
        default=2, ge=1, le=1024, description="Minimum number of homes of a service in a region."
    )
    homes_maximum: int = Field(
        default=64, ge=1, le=1024, description="Maximum number of homes of a service in a region."
    )
    calls_per_home: float = Field(
        default=800.0, gt=0, description="Calls per second that one home is sized for."
    )
    share_upstreams: bool = Field(
        default=True,
        description="Whether each home uses all upstreams; if not, they are divided among the "
        "homes.",
    )
    vector_interval_ms: int = Field(
        default=20,
        ge=1,
        le=10_000,
        description="Milliseconds between reports of the calls in flight to the other homes of "
        "a service.",
    )
    vector_bytes_per_second: float = Field(
        default=6_000,
        gt=0,
        description="Bytes per second that an instance may send in these reports.",
    )
    slow_factor: float = Field(
        default=2.0,
        gt=1,
        le=100,
        description="Age of a call in flight at which its upstream is marked slow, as a "
        "multiple of the median service time.",
    )
    hedge_factor: float = Field(
        default=1.1,
        gt=0,
        le=100,
        description="Hedge delay, as a multiple of the median service time.",
    )
    hedge_high_factor: float = Field(
        default=0.9,
        gt=0,
        le=100,
        description="Lower bound of the hedge delay, as a multiple of the 90th percentile of the "
        "service time.",
    )
    hedge_ratio: float = Field(
        default=0.0,
        ge=0,
        le=1,
        description="Most hedges per call of a service in any 10 seconds, over all instances; 0 for "
        "no limit beyond the service's `hedge_share`.",
    )
    trial_delay_ms: int = Field(
        default=20,
        ge=1,
        le=60_000,
        description="Minimum time in milliseconds before a slow upstream is sent a trial call.",
    )
    slow_pause_ms: int = Field(
        default=200,
        ge=1,
        le=60_000,
        description="Minimum time in milliseconds before a slow upstream is selected like the "
        "others again.",
    )
    eject_failures: int = Field(
        default=3, ge=1, le=1000, description="Consecutive failures that eject an upstream."
    )
    ejection_ms: int = Field(
        default=1_000,
        ge=1,
        le=600_000,
        description="Milliseconds of the first ejection; each further one lasts twice as long.",
    )
    ejected_share: float = Field(
        default=0.34,
        ge=0,
        le=1,
        description="Largest fraction of a service's upstreams that may be ejected at the same "
        "time.",
    )
    draining_ms: int = Field(
        default=30_000,
        ge=1,
        le=3_600_000,
        description="Milliseconds that a report of draining stays valid.",
    )
    health_interval_ms: int = Field(
        default=1_500,
        ge=100,
        le=600_000,
        description="Milliseconds without calls after which an upstream's health is checked, and "
        "between two checks; each interval varies randomly by up to a fifth.",
    )
    health_timeout_ms: int = Field(
        default=500, ge=1, le=60_000, description="Timeout of a health check, in milliseconds."
    )
    health_bytes_per_second: float = Field(
        default=4_000,
        gt=0,
        description="Bytes per second that an instance may spend on health checks, requests and "
        "answers together.",
    )
    quarantine_ms: int = Field(
        default=300_000,
        ge=1,
        le=86_400_000,
        description="Milliseconds that a fingerprint stays quarantined.",
    )
