"""Settings of the connections between instances, failure detection and the instance list."""

from __future__ import annotations

from pydantic import Field

from heatherhead.settings.instance import ListenSettings
from heatherhead.settings.section import Section

__all__ = ["MembershipSettings", "TrafficBudget"]


class TrafficBudget(Section):
    """Limits on the bytes that this instance sends to peers in a second, by their distance."""

    zone: float = Field(gt=0, description="Bytes per second within the availability zone.")
    between_zones: float = Field(
        gt=0, description="Bytes per second to other availability zones of the region."
    )
    between_regions: float = Field(gt=0, description="Bytes per second to other regions.")


class MembershipSettings(Section):
    """Address of the port for peers, instance list, failure detection and traffic budgets."""

    listen: ListenSettings = Field(
        default=ListenSettings(port=8082),
        description="Address and port that other instances connect to.",
    )
    advertised_host: str | None = Field(
        default=None, description="IP number announced to peers; by default that of `listen`."
    )
    instance_list_url: str | None = Field(
        default=None, description="URL of the instance list; none for a single instance."
    )
    list_poll_s: float = Field(
        default=5,
        gt=0,
        le=3_600,
        description="Seconds between polls of the instance list by the few instances that poll "
        "often.",
    )
    list_seldom_poll_s: float = Field(
        default=120,
        gt=0,
        le=86_400,
        description="Seconds between polls of the instance list by all other instances.",
    )
    heartbeat_ms: int = Field(
        default=1_000, ge=50, le=60_000, description="Milliseconds between heartbeats."
    )
    suspect_after_ms: int = Field(
        default=3_500,
        ge=100,
        le=600_000,
        description="Milliseconds without a heartbeat after which a peer is suspected.",
    )
    dead_after_ms: int = Field(
        default=4_000,
        ge=100,
        le=600_000,
        description="Milliseconds after which a suspected peer is declared dead.",
    )
    forget_after_s: float = Field(
        default=600,
        gt=0,
        description="Seconds after which a dead instance that is not listed is removed.",
    )
    max_connections: int = Field(
        default=96,
        ge=16,
        le=4_096,
        description="Concurrent connections with peers, incoming and outgoing.",
    )
    idle_close_s: float = Field(
        default=60, gt=0, description="Seconds after which an unused connection is closed."
    )
    buffer_kb: int = Field(
        default=1_024,
        ge=64,
        le=65_536,
        description="Kilobytes that may be queued on one connection.",
    )
    control_budget: TrafficBudget = Field(
        default=TrafficBudget(zone=8_000, between_zones=8_000, between_regions=3_000),
        description="Traffic budget of configuration and membership messages.",
    )
    measuring_budget: TrafficBudget = Field(
        default=TrafficBudget(zone=200_000, between_zones=100_000, between_regions=2_000),
        description="Traffic budget of messages about load and upstream states.",
    )
    budget_burst_s: float = Field(
        default=240,
        gt=0,
        le=3_600,
        description="Size of a burst, as seconds of the traffic budget.",
    )
