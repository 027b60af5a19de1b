"""Collects what the path observes, and flushes it each second."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, TypeVar

from aiomisc import PeriodicCallback

from heatherhead.telemetry.histograms import OTHER, HistogramTable
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
WINDOW_FLUSHES = 60
MAX_NAMES = 512

SourceT = TypeVar("SourceT", CounterSource, GaugeSource)


class TelemetryRecorder:
    """Keeps counters, gauges and histograms, all bounded, and reports them by turns.

    Counters and gauges beyond `MAX_NAMES` are recorded as `other`.
    """

    def __init__(self, reporter: MetricsReporter | None, max_pairs: int) -> None:
        self._reporter = reporter
        self._histograms = HistogramTable(max_pairs, self._report_histogram)
        self._outcomes = OutcomeTable(self._histograms.admit, self._report_outcome)
        self._counter_by_name: dict[str, CounterSource] = {}
        self._gauge_by_name: dict[str, GaugeSource] = {}
        self._flushes = 0
        self._timer = PeriodicCallback(self._flush_on_timer)

    def observe(self, service: str, call_class: str, kind: HistogramKind, value: float) -> None:
        """Record one observation in the histogram of a service and class."""
        histogram = self._histograms.find(service, call_class, kind)
        try:
            histogram.record(value)
        except (ValueError, OverflowError):
            self.count("telemetry.bad_values")

    def count_outcome(self, service: str, call_class: str, outcome: CallOutcome) -> None:
        """Count the end of one call of a service and class."""
        self._outcomes.find(service, call_class, outcome).add()

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
        """Read one histogram."""
        return self._histograms.reading(key, encoded=encoded)

    def histograms(self, service: str | None = None) -> list[HistogramReading]:
        """Read the histograms of one service or of all, by service, class and kind."""
        return [self.histogram(key) for key in self.histogram_keys(service)]

    def outcomes(self, service: str | None = None) -> list[OutcomeReading]:
        """List the outcomes of one service or of all, by service, class and outcome."""
        return self._outcomes.readings(service)

    def start(self) -> None:
        """Flush each second on the running loop until `close`."""
        self._timer.start(FLUSH_INTERVAL_S)

    async def close(self) -> None:
        """Stop, flush once more and release the socket."""
        await self._timer.stop(return_exceptions=True)
        self.flush()
        if self._reporter is not None:
            self._reporter.close()

    def flush(self) -> None:
        """Bring the histograms up to date and send what fits into the flush's bytes."""
        self._flushes += 1
        self._histograms.settle()
        if self._flushes % WINDOW_FLUSHES == 0:
            self._histograms.rotate()
            self._outcomes.rotate()
        if self._reporter is not None:
            self._report(self._reporter)

    def _report(self, reporter: MetricsReporter) -> None:
        self.gauge("telemetry.failed_sends", reporter.failed_sends)
        self.gauge("telemetry.pairs_over_bound", self._histograms.over_bound)
        if not reporter.flush():
            self.count("telemetry.shortened_flushes")

    async def _flush_on_timer(self) -> None:
        self.flush()

    def _report_histogram(self, key: HistogramKey, histogram: Histogram) -> None:
        if self._reporter is not None:
            histogram.keeps_unsent = True
            self._reporter.add(HistogramSource(key, histogram))

    def _report_outcome(self, key: OutcomeKey, counter: OutcomeCounter) -> None:
        if self._reporter is not None:
            self._reporter.add(OutcomeSource(key, counter))

    def _create_counter(self, name: str) -> CounterSource:
        if len(self._counter_by_name) >= MAX_NAMES:
            name = OTHER
        return self._added(self._counter_by_name, CounterSource(name))

    def _create_gauge(self, name: str) -> GaugeSource:
        if len(self._gauge_by_name) >= MAX_NAMES:
            name = OTHER
        return self._added(self._gauge_by_name, GaugeSource(name))

    def _added(self, by_name: dict[str, SourceT], source: SourceT) -> SourceT:
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
