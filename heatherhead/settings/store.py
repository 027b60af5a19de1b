"""Settings of the connection to the platform's store."""

from __future__ import annotations

from pydantic import Field

from heatherhead.settings.section import Section

__all__ = ["StoreSettings"]


class StoreSettings(Section):
    """URLs, timeouts and call rate of the store; without a URL the embedded store is used."""

    urls: tuple[str, ...] = Field(
        default=(),
        max_length=16,
        description="Base URLs of the store's JSON gateway; none for the embedded store.",
    )
    prefix: str = Field(default="/heatherhead/", description="Prefix of all keys in the store.")
    connect_timeout_ms: int = Field(
        default=2_000,
        ge=10,
        le=60_000,
        description="Timeout of a connection attempt, in milliseconds.",
    )
    call_timeout_ms: int = Field(
        default=5_000,
        ge=10,
        le=120_000,
        description="Timeout of a call of the store, in milliseconds.",
    )
    calls_per_s: float = Field(
        default=5,
        gt=0,
        le=1_000,
        description="Calls per second that this instance may send to the store.",
    )
    calls_burst: int = Field(
        default=20, ge=1, le=10_000, description="Calls that may be sent to the store in a burst."
    )
    watchers_per_region: int = Field(
        default=2,
        ge=1,
        le=8,
        description="Instances of each region that watch the store for changes.",
    )
