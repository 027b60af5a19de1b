"""Settings of the peer streams and the instance list."""

from __future__ import annotations

from pydantic import Field

from heatherhead.settings.instance import ListenSettings
from heatherhead.settings.section import Section

__all__ = ["MembershipSettings", "TrafficBudget"]


class TrafficBudget(Section):
    """Bytes a second that this instance may send to peers, by how far they go."""

    zone: float = Field(gt=0, description="Within the availability zone.")
    between_zones: float = Field(gt=0, description="To other zones of the region.")
    between_regions: float = Field(gt=0, description="To other regions.")


class MembershipSettings(Section):
    """Address of the peers' port, source of the instance list, times and byte budgets."""

    listen: ListenSettings = Field(
        default=ListenSettings(port=8082), description="Where other instances connect."
    )
    advertised_host: str | None = Field(
        default=None, description="IP number told to peers; the listening one by default."
    )
    instance_list_url: str | None = Field(
        default=None, description="URL of the platform's instance list; none for a lone daemon."
    )
    list_poll_s: float = Field(
        default=5, gt=0, le=3_600, description="Seconds between polls of the few that poll often."
    )
    list_seldom_poll_s: float = Field(
        default=120, gt=0, le=86_400, description="Seconds between polls of all others."
    )
    heartbeat_ms: int = Field(
        default=1_000, ge=50, le=60_000, description="Milliseconds between heartbeats."
    )
    suspect_after_ms: int = Field(
        default=3_500, ge=100, le=600_000, description="Silence after which a peer is suspected."
    )
    dead_after_ms: int = Field(
        default=4_000, ge=100, le=600_000, description="Milliseconds from suspected to dead."
    )
    forget_after_s: float = Field(
        default=600, gt=0, description="Seconds that a dead, unlisted instance is remembered."
    )
    max_connections: int = Field(
        default=96, ge=16, le=4_096, description="Peer streams at once, both directions."
    )
    idle_close_s: float = Field(
        default=60, gt=0, description="Seconds after which an unused stream is closed."
    )
    buffer_kb: int = Field(
        default=1_024, ge=64, le=65_536, description="Kilobytes that may wait on one stream."
    )
    control_budget: TrafficBudget = Field(
        default=TrafficBudget(zone=8_000, between_zones=8_000, between_regions=3_000),
        description="Bytes a second of configuration and membership.",
    )
    measuring_budget: TrafficBudget = Field(
        default=TrafficBudget(zone=200_000, between_zones=100_000, between_regions=2_000),
        description="Bytes a second of load and upstream states.",
    )
    budget_burst_s: float = Field(
        default=240, gt=0, le=3_600, description="Seconds of budget that may be used at once."
    )
