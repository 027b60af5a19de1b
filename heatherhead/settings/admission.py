"""Settings of attempts, retries and idempotency keys."""

from __future__ import annotations

from pydantic import Field

from heatherhead.settings.section import Section

__all__ = ["AdmissionSettings"]


class AdmissionSettings(Section):
    """Limits on attempts, retries, idempotency keys and connections to upstreams."""

    max_attempts: int = Field(
        default=3, ge=1, le=10, description="Attempts per call, without hedges."
    )
    retry_burst: float = Field(
        default=10.0,
        ge=0,
        description="Retries that a service may send in a burst from a full retry budget.",
    )
    connect_timeout_s: float = Field(
        default=1.0, gt=0, description="Timeout of a connection attempt to an upstream, in seconds."
    )
    upstream_idle_s: float = Field(
        default=15.0,
        gt=0,
        description="Seconds after which an idle connection to an upstream is closed.",
    )
    max_keys: int = Field(
        default=200_000, ge=1, description="Idempotency keys kept at the same time."
    )
    keys_kept_s: float = Field(
        default=60.0, gt=0, description="Seconds that a key is kept after its grant has expired."
    )
    max_recorded_bytes: int = Field(
        default=16 * 1024**2,
        ge=0,
        description="Bytes of memory for recorded answers of keyed calls.",
    )
    max_recorded_answer_bytes: int = Field(
        default=64 * 1024, ge=0, description="Largest answer that is recorded, in bytes."
    )
    max_answer_header_bytes: int = Field(
        default=32_768, ge=1024, description="Longest single header of an answer, in bytes."
    )
    upstream_connections: int = Field(
        default=20_000, ge=1, description="Maximum number of connections to all upstreams together."
    )
