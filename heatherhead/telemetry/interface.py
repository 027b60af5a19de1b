"""What the path tells telemetry."""

from __future__ import annotations

from enum import StrEnum
from typing import Protocol

__all__ = ["HistogramKind", "Telemetry"]


class HistogramKind(StrEnum):
    """What a histogram measures; times are in seconds, attempts in counts."""

    ADDED = "added"
    UPSTREAM = "upstream"
    QUEUE_WAIT = "queue_wait"
    ATTEMPTS = "attempts"


class Telemetry(Protocol):
    """Takes counts and observations; never waits and never fails."""

    def observe(self, service: str, call_class: str, kind: HistogramKind, value: float) -> None:
        """Record one observation in the histogram of a service and class."""
        ...

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        ...

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        ...
