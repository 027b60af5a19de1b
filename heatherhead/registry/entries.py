"""Attributes that an upstream announces."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

__all__ = ["UpstreamAddress", "UpstreamEntry"]


class UpstreamAddress(NamedTuple):
    """An address with the start of an upstream that is expected there."""

    host: str
    port: int
    upstream_id: str
    started_ms: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """An announced upstream; a restart under the same id has another `started_ms`."""

    id: str
    service: str
    host: str
    port: int
    availability_zone: str
    slots: int
    draining: bool = False
    warmup_left_s: float = 0.0
    started_ms: int = 0  # Unix milliseconds
    revision: int = 0  # of the store's key
    sequence: int = 0  # rises with each entry that one start of an upstream writes

    @property
    def address(self) -> UpstreamAddress:
        """Return where this start of the upstream is expected."""
        return UpstreamAddress(self.host, self.port, self.id, self.started_ms)

    def same_start(self, other: UpstreamEntry) -> bool:
        """Return whether both entries describe the same process at the same address."""
        return (self.started_ms, self.host, self.port, self.service) == (
            other.started_ms,
            other.host,
            other.port,
            other.service,
        )
