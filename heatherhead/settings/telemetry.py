"""Settings of logs and metrics."""

from __future__ import annotations

from typing import Literal

from pydantic import Field

from heatherhead.settings.section import Section

__all__ = ["TelemetrySettings"]


class TelemetrySettings(Section):
    """Where logs and metrics go."""

    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = Field(
        default="INFO", description="Lowest level that is logged."
    )
    statsd_host: str | None = Field(
        default=None, description="IP number of the statsd daemon; none sends no metrics."
    )
    statsd_port: int = Field(default=8125, ge=1, le=65535, description="UDP port of statsd.")
    statsd_prefix: str = Field(default="heatherhead", description="First part of metric names.")
