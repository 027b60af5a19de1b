"""Settings of the platform's store."""

from __future__ import annotations

from pydantic import Field

from heatherhead.settings.section import Section

__all__ = ["StoreSettings"]


class StoreSettings(Section):
    """Addresses and bounds of the store; without an address the embedded one is used."""

    urls: tuple[str, ...] = Field(
        default=(), description="Base URLs of the store's JSON gateway; none for the embedded one."
    )
    prefix: str = Field(default="/heatherhead/", description="Prefix of all keys.")
