"""Settings of the callers' listener."""

from __future__ import annotations

from pydantic import Field

from heatherhead.settings.instance import ListenSettings
from heatherhead.settings.section import Section

__all__ = ["CallersSettings"]


class CallersSettings(Section):
    """Address and bounds of the callers' HTTP port."""

    listen: ListenSettings = Field(
        default=ListenSettings(port=8080), description="Where callers connect."
    )
    advertised_host: str | None = Field(
        default=None, description="IP number told to callers; the listening one by default."
    )
    advertised_port: int | None = Field(
        default=None, description="Port told to callers; the listening one by default."
    )
    max_connections: int = Field(
        default=4096, ge=1, le=1_000_000, description="Connections held at once; more are closed."
    )
    max_target_bytes: int = Field(
        default=8190, ge=256, le=1_048_576, description="Longest request line."
    )
    max_header_bytes: int = Field(
        default=8190, ge=256, le=1_048_576, description="Longest single header."
    )
    max_headers: int = Field(default=128, ge=8, le=10_000, description="Headers of one call.")
    head_timeout_s: float = Field(
        default=10.0, gt=0, description="Seconds from the first byte of a head to its last."
    )
    idle_timeout_s: float = Field(
        default=75.0, gt=0, description="Seconds a connection without a call is kept."
    )
    body_idle_timeout_s: float = Field(
        default=30.0, gt=0, description="Seconds without a byte of an unfinished request body."
    )
    answer_idle_timeout_s: float = Field(
        default=60.0, gt=0, description="Seconds an upstream may send no byte of an answer."
    )
    answer_stall_timeout_s: float = Field(
        default=30.0, gt=0, description="Seconds a caller may take no byte of its answer."
    )
    max_body_bytes: int = Field(
        default=8 * 1024**3, ge=0, description="Largest request body; a larger one gets 413."
    )
    buffered_body_bytes: int = Field(
        default=64 * 1024,
        ge=0,
        le=16 * 1024**2,
        description="Request bodies up to this size are read before an upstream is chosen.",
    )
    max_deadline_ms: int = Field(
        default=3_600_000, ge=1, description="Longest deadline a caller may ask for."
    )
    addresses_keep_s: float = Field(
        default=30.0, gt=0, le=3600, description="Seconds callers keep an address answer."
    )
    addresses_count: int = Field(
        default=3, ge=1, le=64, description="Addresses in one answer at most."
    )
    leaving_timeout_s: float = Field(
        default=3600.0, gt=0, description="Seconds that calls in progress have to finish."
    )
