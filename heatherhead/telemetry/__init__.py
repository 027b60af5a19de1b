"""Logs, metrics and histograms; the recorder is imported from its module, as it loads much."""

from heatherhead.telemetry.interface import (
    CallOutcome,
    Distribution,
    HistogramKind,
    HistogramReading,
    OutcomeReading,
    Telemetry,
    TelemetryReader,
)
from heatherhead.telemetry.logs import configure_logs, log_event

__all__ = [
    "CallOutcome",
    "Distribution",
    "HistogramKind",
    "HistogramReading",
    "OutcomeReading",
    "Telemetry",
    "TelemetryReader",
    "configure_logs",
    "log_event",
]
