"""Settings of the HTTP port for callers."""

from __future__ import annotations

from pydantic import Field

from heatherhead.settings.instance import ListenSettings
from heatherhead.settings.section import Section

__all__ = ["CallersSettings"]


class CallersSettings(Section):
    """Address, limits and timeouts of the HTTP port for callers."""

    listen: ListenSettings = Field(
        default=ListenSettings(port=8080), description="Address and port that callers connect to."
    )
    advertised_host: str | None = Field(
        default=None, description="IP number announced to callers; by default that of `listen`."
    )
    advertised_port: int | None = Field(
        default=None, description="Port announced to callers; by default that of `listen`."
    )
    max_connections: int = Field(
        default=4096,
        ge=1,
        le=1_000_000,
        description="Concurrent connections; further ones are closed.",
    )
    max_target_bytes: int = Field(
        default=8190, ge=256, le=1_048_576, description="Longest request line, in bytes."
    )
    max_header_bytes: int = Field(
        default=8190, ge=256, le=1_048_576, description="Longest single header, in bytes."
    )
    max_headers: int = Field(
        default=128, ge=8, le=10_000, description="Maximum number of headers of a call."
    )
    head_timeout_s: float = Field(
        default=10.0,
        gt=0,
        description="Timeout for receiving a request head, in seconds from its first byte.",
    )
    idle_timeout_s: float = Field(
        default=75.0, gt=0, description="Seconds after which a connection without a call is closed."
    )
    body_idle_timeout_s: float = Field(
        default=30.0, gt=0, description="Timeout for the next byte of a request body, in seconds."
    )
    answer_idle_timeout_s: float = Field(
        default=60.0,
        gt=0,
        description="Timeout for the next byte of an upstream's answer, in seconds.",
    )
    answer_stall_timeout_s: float = Field(
        default=30.0,
        gt=0,
        description="Timeout for a caller to read more of its answer, in seconds.",
    )
    max_body_bytes: int = Field(
        default=8 * 1024**3,
        ge=0,
        description="Largest request body, in bytes; a larger one is answered with 413.",
    )
    buffered_body_bytes: int = Field(
        default=64 * 1024,
        ge=0,
        le=16 * 1024**2,
        description="Bodies up to this size, in bytes, are read before an upstream is selected.",
    )
    max_deadline_ms: int = Field(
        default=3_600_000,
        ge=1,
        description="Longest deadline that a caller may request, in milliseconds.",
    )
    addresses_keep_s: float = Field(
        default=30.0,
        gt=0,
        le=3600,
        description="Seconds for which callers may use the addresses that they are given.",
    )
    addresses_count: int = Field(
        default=3, ge=1, le=64, description="Maximum number of addresses given to a caller."
    )
    leaving_timeout_s: float = Field(
        default=3600.0,
        gt=0,
        description="Seconds that a stopping instance waits for its calls in progress.",
    )
