"""Logs, metrics and histograms.

The recorder is not re-exported here because importing it loads the HDR and statsd libraries.
"""

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
