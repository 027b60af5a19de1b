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
