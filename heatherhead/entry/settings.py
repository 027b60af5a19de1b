"""The settings of an entry instance, independent of the format of their file."""

from __future__ import annotations

from typing import NamedTuple

from pydantic import BaseModel, ConfigDict, Field

__all__ = ["EntrySettings", "HostPort"]


class HostPort(NamedTuple):
    """A network address."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class EntrySettings(BaseModel):
    """Validated settings; times are in seconds."""

    model_config = ConfigDict(frozen=True)

    instance: str = Field(min_length=1, description="Name of this instance.")
    host: str = Field(description="IP number of this instance.")
    availability_zone: str = Field(description="Availability zone of this instance.")
    region: str = Field(description="Region of the zone.")
    region_by_zone: dict[str, str] = Field(description="All zones with their regions.")
    callers: HostPort = Field(description="Where callers connect.")
    readiness: HostPort = Field(description="Where the platform checks readiness.")
    addresses: HostPort = Field(description="Where callers request addresses.")
    control: HostPort | None = Field(description="Where starting instances request state.")
    peer_port: int = Field(ge=1, le=65535, description="Port for peers, the same everywhere.")
    detour_port: int | None = Field(
        ge=1, le=65535, description="Port for calls of peers that reach no upstream."
    )
    metrics_port: int = Field(ge=1, le=65535, description="Port of the metrics page.")
    seeds: tuple[HostPort, ...] = Field(
        default=(), description="Instances to contact at the start."
    )
    store: HostPort = Field(description="Address of the platform's store.")
    min_lease_s: float = Field(gt=0, description="Shortest lease of the store, seconds.")
    cpu_cores: float = Field(gt=0, description="Share of a core.")
    link_mbps: float = Field(gt=0, description="Bandwidth of this instance.")
    memory_mb: float = Field(gt=0, description="Memory of the process.")
    max_descriptors: int = Field(gt=0, description="Descriptors of the process.")
    drain_s: float = Field(gt=0, description="A leaving upstream gets no call after this time.")
    grace_s: float = Field(gt=0, description="From SIGTERM to SIGKILL.")
    address_ttl_max_s: float = Field(gt=0, description="Longest life of an address answer.")
    retry_ratio: float = Field(ge=0, description="Retries per call, over all instances.")
    retry_window_s: float = Field(gt=0, description="Window in which retries are counted.")
    retry_slack: float = Field(ge=0, description="Retries per window beyond the ratio.")
    hedge_ratio: float = Field(
        default=0.0,
        ge=0,
        le=1,
        description="Most hedges per call of a service over all instances within "
        "`retry_window_s`; with 0 they are bounded as retries only.",
    )
    probes_per_s: float = Field(gt=0, description="Health checks per upstream, all instances.")
    cap_window_s: float = Field(
        default=5.0, gt=0, description="Window in which calls of a customer are counted."
    )
    cap_overage: float = Field(
        default=0.1, ge=0, description="Calls beyond a customer's cap, as a part of it."
    )
    cap_slack: float = Field(
        default=20.0, ge=0, description="Calls per window beyond a customer's cap and its overage."
    )
