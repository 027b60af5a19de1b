"""Settings of the peer streams and the instance list."""

from __future__ import annotations

from pydantic import Field

from heatherhead.settings.instance import ListenSettings
from heatherhead.settings.section import Section

__all__ = ["MembershipSettings"]


class MembershipSettings(Section):
    """Address of the peers' port and source of the instance list."""

    listen: ListenSettings = Field(
        default=ListenSettings(port=8082), description="Where other instances connect."
    )
    instance_list_url: str | None = Field(
        default=None, description="URL of the platform's instance list; none for a lone daemon."
    )
