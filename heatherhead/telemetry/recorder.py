"""Collects the telemetry of the call path and flushes it each second."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, TypeVar

from aiomisc import PeriodicCallback

from heatherhead.telemetry.histograms import OVERFLOW_NAME, HistogramTable
from heatherhead.telemetry.outcomes import OutcomeTable
from heatherhead.telemetry.reporter import (
    CounterSource,
    GaugeSource,
    HistogramSource,
    MetricsReporter,
    OutcomeSource,
)
from heatherhead.telemetry.statsd import create_statsd_sink

if TYPE_CHECKING:
    from heatherhead.settings.telemetry import TelemetrySettings
    from heatherhead.telemetry.histogram import Histogram
    from heatherhead.telemetry.interface import (
        CallOutcome,
        HistogramKey,
        HistogramKind,
        HistogramReading,
        OutcomeReading,
    )
    from heatherhead.telemetry.outcomes import OutcomeCounter, OutcomeKey

__all__ = ["TelemetryRecorder", "create_telemetry"]

FLUSH_INTERVAL_S = 1.0
FLUSHES_PER_WINDOW = 60
MAX_NAMES = 512

SourceT = TypeVar("SourceT", CounterSource, GaugeSource)


class TelemetryRecorder:
    """Holds a limited number of counters, gauges and histograms and passes them to the reporter.

    Counters and gauges beyond `MAX_NAMES` are recorded as `other`.
    """

    def __init__(self, reporter: MetricsReporter | None, max_pairs: int) -> None:
        self._reporter = reporter
        self._histograms = HistogramTable(max_pairs, self._add_histogram_source)
        self._outcomes = OutcomeTable(self._histograms.bounded_pair, self._add_outcome_source)
        self._counter_by_name: dict[str, CounterSource] = {}
        self._gauge_by_name: dict[str, GaugeSource] = {}
        self._flush_count = 0
        self._timer = PeriodicCallback(self._flush_on_timer)

    def observe(self, service: str, call_class: str, kind: HistogramKind, value: float) -> None:
        """Record one observation in the histogram of a service and class."""
        histogram = self._histograms.get_or_create(service, call_class, kind)
        try:
            histogram.record(value)
        except (ValueError, OverflowError):
            self.count("telemetry.bad_values")

    def count_outcome(self, service: str, call_class: str, outcome: CallOutcome) -> None:
        """Count one finished call of a service and class."""
        self._outcomes.get_or_create(service, call_class, outcome).add()

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        counter = self._counter_by_name.get(name) or self._create_counter(name)
        counter.unsent += amount

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if not math.isfinite(value):
            self.count("telemetry.bad_values")
            return
        gauge = self._gauge_by_name.get(name) or self._create_gauge(name)
        gauge.value = value

    def histogram_keys(self, service: str | None = None) -> list[HistogramKey]:
        """List the service, class and kind of each histogram of one service or of all."""
        return self._histograms.keys(service)

    def histogram(self, key: HistogramKey, *, encoded: bool = False) -> HistogramReading:
        """Return the reading of one histogram."""
        return self._histograms.reading(key, encoded=encoded)

    def histograms(self, service: str | None = None) -> list[HistogramReading]:
        """List the histograms of one service or of all, by service, class and kind."""
        return [self.histogram(key) for key in self.histogram_keys(service)]

    def outcomes(self, service: str | None = None) -> list[OutcomeReading]:
        """List the outcomes of one service or of all, by service, class and outcome."""
        return self._outcomes.readings(service)

    def start(self) -> None:
        """Flush each second on the running loop, until `close`."""
        self._timer.start(FLUSH_INTERVAL_S)

    async def close(self) -> None:
        """Stop the timer, flush once more and close the socket."""
        await self._timer.stop(return_exceptions=True)
        self.flush()
        if self._reporter is not None:
            self._reporter.close()

    def flush(self) -> None:
        """Update the histograms and send as many metrics as the bytes per flush allow."""
        self._flush_count += 1
        self._histograms.merge_fresh()
        if self._flush_count % FLUSHES_PER_WINDOW == 0:
            self._histograms.rotate()
            self._outcomes.rotate()
        if self._reporter is not None:
            self._report_metrics(self._reporter)

    def _report_metrics(self, reporter: MetricsReporter) -> None:
        self.gauge("telemetry.failed_sends", reporter.failed_sends)
        self.gauge("telemetry.pairs_over_bound", self._histograms.over_bound_count)
        if not reporter.flush():
            self.count("telemetry.shortened_flushes")

    async def _flush_on_timer(self) -> None:
        self.flush()

    def _add_histogram_source(self, key: HistogramKey, histogram: Histogram) -> None:
        if self._reporter is not None:
            histogram.keeps_unsent = True
            self._reporter.add(HistogramSource(key, histogram))

    def _add_outcome_source(self, key: OutcomeKey, counter: OutcomeCounter) -> None:
        if self._reporter is not None:
            self._reporter.add(OutcomeSource(key, counter))

    def _create_counter(self, name: str) -> CounterSource:
        if len(self._counter_by_name) >= MAX_NAMES:
            name = OVERFLOW_NAME
        return self._register_source(self._counter_by_name, CounterSource(name))

    def _create_gauge(self, name: str) -> GaugeSource:
        if len(self._gauge_by_name) >= MAX_NAMES:
            name = OVERFLOW_NAME
        return self._register_source(self._gauge_by_name, GaugeSource(name))

    def _register_source(self, by_name: dict[str, SourceT], source: SourceT) -> SourceT:
        if source.name in by_name:
            return by_name[source.name]
        by_name[source.name] = source
        if self._reporter is not None:
            self._reporter.add(source)
        return source


def create_telemetry(settings: TelemetrySettings) -> TelemetryRecorder:
    """Create the telemetry of one daemon; `start` it on the running loop."""
    sink = create_statsd_sink(settings)
    reporter = None
    if sink is not None:
        reporter = MetricsReporter(sink, settings.statsd_bytes_per_s)
    return TelemetryRecorder(reporter, settings.max_histogram_pairs)
