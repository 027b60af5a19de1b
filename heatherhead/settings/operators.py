"""Settings of the gRPC port for operators."""

from __future__ import annotations

from pydantic import Field

from heatherhead.settings.instance import ListenSettings
from heatherhead.settings.section import Section

__all__ = ["OperatorsSettings"]


class OperatorsSettings(Section):
    """Address of the gRPC port for operators."""

    listen: ListenSettings = Field(
        default=ListenSettings(port=8081), description="Address and port that operators connect to."
    )
