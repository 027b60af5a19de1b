"""Settings of `admission`."""

from __future__ import annotations

from pydantic import Field

from heatherhead.settings.section import Section

__all__ = ["AdmissionSettings"]


class AdmissionSettings(Section):
    """Bounds of attempts, repeats and keys."""

    max_attempts: int = Field(
        default=3, ge=1, le=10, description="Attempts of one call, hedges not counted."
    )
    retry_burst: float = Field(
        default=10.0, ge=0, description="Repeats a service may make at once from a full budget."
    )
    connect_timeout_s: float = Field(
        default=1.0, gt=0, description="Seconds to connect to an upstream."
    )
    upstream_idle_s: float = Field(
        default=15.0, gt=0, description="Seconds an idle connection to an upstream is kept."
    )
    max_keys: int = Field(
        default=200_000, ge=1, description="Keys of non-idempotent calls remembered at once."
    )
    keys_kept_s: float = Field(
        default=60.0, gt=0, description="Seconds a key is remembered after its grant expired."
    )
    max_recorded_bytes: int = Field(
        default=16 * 1024**2, ge=0, description="Memory for recorded answers of keyed calls."
    )
    max_recorded_answer_bytes: int = Field(
        default=64 * 1024, ge=0, description="Largest answer that is recorded."
    )
    max_answer_header_bytes: int = Field(
        default=32_768, ge=1024, description="Longest single header of an answer."
    )
    upstream_connections: int = Field(
        default=20_000, ge=1, description="Connections to all upstreams together."
    )
