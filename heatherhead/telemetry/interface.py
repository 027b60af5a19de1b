"""Interfaces to record telemetry on the call path and to read it back for operators."""

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
    """What a histogram measures; durations are in seconds.

    `UPSTREAM` is the duration of an attempt and `QUEUE_WAIT` a wait in the admission queue.
    `ADDED` is the time of a call apart from its queue waits and its last attempt. `ATTEMPTS` is
    the number of attempts of a call.
    """

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
    """A summary of observations, in the unit of their kind; all 0 without observations."""

    count: int = 0
    mean: float = 0.0
    p50: float = 0.0
    p90: float = 0.0
    p99: float = 0.0
    p999: float = 0.0
    maximum: float = 0.0


@dataclass(frozen=True, slots=True)
class HistogramReading:
    """One histogram: `recent` covers the last one to two minutes, `total` the time since creation.

    `encoded` holds all observations as an HDR histogram (V2, compressed, base64), in microseconds
    or counts. Percentiles can't be averaged: for a percentile of the fleet, merge the encoded
    histograms of its instances first.
    """

    service: str
    call_class: str
    kind: HistogramKind
    recent: Distribution
    total: Distribution
    encoded: str = ""


@dataclass(frozen=True, slots=True)
class OutcomeReading:
    """The number of calls of a service and class with one outcome."""

    service: str
    call_class: str
    outcome: CallOutcome
    recent: int
    total: int


class Telemetry(Protocol):
    """Records counts and observations; never blocks and never raises."""

    def observe(self, service: str, call_class: str, kind: HistogramKind, value: float) -> None:
        """Record one observation in the histogram of a service and class."""
        ...

    def count_outcome(self, service: str, call_class: str, outcome: CallOutcome) -> None:
        """Count one finished call of a service and class."""
        ...

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        ...

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        ...


HistogramKey = tuple[str, str, HistogramKind]


class TelemetryReader(Protocol):
    """Reads the telemetry recorded on this instance.

    Reading a histogram takes some tenths of a millisecond. Code that reads many should yield to
    the event loop in between, so that calls are not delayed.
    """

    def histogram_keys(self, service: str | None = None) -> list[HistogramKey]:
        """List the service, class and kind of each histogram of one service or of all."""
        ...

    def histogram(self, key: HistogramKey, *, encoded: bool = False) -> HistogramReading:
        """Return the reading of one histogram."""
        ...

    def outcomes(self, service: str | None = None) -> list[OutcomeReading]:
        """List the outcomes of one service or of all, by service, class and outcome."""
        ...
