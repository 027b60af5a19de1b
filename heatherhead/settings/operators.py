"""Settings of the operators' listener."""

from __future__ import annotations

from pydantic import Field

from heatherhead.settings.instance import ListenSettings
from heatherhead.settings.section import Section

__all__ = ["OperatorsSettings"]


class OperatorsSettings(Section):
    """Address of the operators' gRPC port."""

    listen: ListenSettings = Field(
        default=ListenSettings(port=8081), description="Where operators connect."
    )
