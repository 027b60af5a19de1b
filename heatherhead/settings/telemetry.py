"""Settings of logs and metrics."""

from __future__ import annotations

from typing import Literal

from pydantic import Field, IPvAnyAddress

from heatherhead.settings.section import Section

__all__ = ["TelemetrySettings"]


class TelemetrySettings(Section):
    """Log level, and where and how metrics are sent."""

    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = Field(
        default="INFO", description="Lowest level that is logged."
    )
    statsd_host: IPvAnyAddress | None = Field(
        default=None, description="IP number of the statsd daemon; none to send no metrics."
    )
    statsd_port: int = Field(default=8125, ge=1, le=65535, description="UDP port of statsd.")
    statsd_prefix: str = Field(
        default="heatherhead",
        pattern=r"^[A-Za-z0-9_-]+(\.[A-Za-z0-9_-]+)*$",
        max_length=128,
        description="First part of metric names.",
    )
    statsd_bytes_per_s: int = Field(
        default=4096,
        ge=512,
        le=1_048_576,
        description="Bytes per second of metrics; what exceeds it is sent later.",
    )
    max_histogram_pairs: int = Field(
        default=256,
        ge=1,
        le=4096,
        description="Maximum number of pairs of service and class with their own histograms.",
    )
