"""Logs, metrics and histograms."""

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
from heatherhead.telemetry.recorder import TelemetryRecorder, create_telemetry

__all__ = [
    "CallOutcome",
    "Distribution",
    "HistogramKind",
    "HistogramReading",
    "OutcomeReading",
    "Telemetry",
    "TelemetryReader",
    "TelemetryRecorder",
    "configure_logs",
    "create_telemetry",
    "log_event",
]
