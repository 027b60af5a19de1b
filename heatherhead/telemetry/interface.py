"""What the path tells telemetry, and what operators read back from it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

__all__ = [
    "CallOutcome",
    "Distribution",
    "HistogramKey",
    "HistogramKind",
    "HistogramReading",
    "OutcomeReading",
    "Telemetry",
    "TelemetryReader",
]


class HistogramKind(StrEnum):
    """What a histogram measures; times are in seconds, attempts in counts."""

    ADDED = "added"
    UPSTREAM = "upstream"
    QUEUE_WAIT = "queue_wait"
    ATTEMPTS = "attempts"


class CallOutcome(StrEnum):
    """How a call ended for its caller."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"
    CUT = "cut"


@dataclass(frozen=True, slots=True)
class Distribution:
    """A summary of observations, in the unit of their kind; all 0 for none."""

    count: int = 0
    mean: float = 0.0
    p50: float = 0.0
    p90: float = 0.0
    p99: float = 0.0
    p999: float = 0.0
    maximum: float = 0.0


@dataclass(frozen=True, slots=True)
class HistogramReading:
    """One histogram: the last one to two minutes, and all since it was created.

    `encoded` holds all observations in the HDR histogram interchange form (V2, compressed,
    base64), in microseconds or counts; merge such texts of several instances before taking a
    percentile of the fleet.
    """

    service: str
    call_class: str
    kind: HistogramKind
    recent: Distribution
    total: Distribution
    encoded: str = ""


@dataclass(frozen=True, slots=True)
class OutcomeReading:
    """How many calls of a service and class ended in one way."""

    service: str
    call_class: str
    outcome: CallOutcome
    recent: int
    total: int


class Telemetry(Protocol):
    """Takes counts and observations; never waits and never fails."""

    def observe(self, service: str, call_class: str, kind: HistogramKind, value: float) -> None:
        """Record one observation in the histogram of a service and class."""
        ...

    def count_outcome(self, service: str, call_class: str, outcome: CallOutcome) -> None:
        """Count the end of one call of a service and class."""
        ...

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        ...

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        ...


HistogramKey = tuple[str, str, HistogramKind]


class TelemetryReader(Protocol):
    """Reads back what was recorded on this instance.

    Reading a histogram takes some tenths of a millisecond, so that a reader of many gives way to
    calls in between.
    """

    def histogram_keys(self, service: str | None = None) -> list[HistogramKey]:
        """List the service, class and kind of each histogram of one service or of all."""
        ...

    def histogram(self, key: HistogramKey, *, encoded: bool = False) -> HistogramReading:
        """Read one histogram."""
        ...

    def outcomes(self, service: str | None = None) -> list[OutcomeReading]:
        """List the outcomes of one service or of all, by service, class and outcome."""
        ...
