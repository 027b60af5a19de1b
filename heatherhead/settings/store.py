"""Settings of the platform's store."""

from __future__ import annotations

from pydantic import Field

from heatherhead.settings.section import Section

__all__ = ["StoreSettings"]


class StoreSettings(Section):
    """Addresses and bounds of the store; without an address the embedded one is used."""

    urls: tuple[str, ...] = Field(
        default=(),
        max_length=16,
        description="Base URLs of the store's JSON gateway; none for the embedded one.",
    )
    prefix: str = Field(default="/heatherhead/", description="Prefix of all keys.")
    connect_timeout_ms: int = Field(
        default=2_000, ge=10, le=60_000, description="Milliseconds to connect."
    )
    call_timeout_ms: int = Field(
        default=5_000, ge=10, le=120_000, description="Milliseconds that one call may take."
    )
    calls_per_s: float = Field(
        default=5, gt=0, le=1_000, description="Calls a second that this instance may make."
    )
    calls_burst: int = Field(
        default=20, ge=1, le=10_000, description="Calls that may be made at once."
    )
    watchers_per_region: int = Field(
        default=2, ge=1, le=8, description="Instances of a region that hold the store's watch."
    )
