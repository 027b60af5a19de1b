"""Counters and latency histograms of an entry instance, by service and outcome.

Counting uses plain integers, to keep it cheap on the call path. The Prometheus library is only
imported when the metrics page is first read.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

__all__ = ["CONTENT_TYPE", "EntryMetrics", "create_entry_metrics"]

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
# Upper bounds in seconds; they roughly double, around the latency targets of the routes.
BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
MAX_SERIES = 4096  # series beyond this limit are recorded under the service "other"


@dataclass(slots=True)
class _Histogram:
    """Counts by bucket; the last bucket holds durations above all bounds."""

    counts: list[int] = field(default_factory=lambda: [0] * (len(BUCKETS_S) + 1))
    total_s: float = 0.0

    def observe(self, seconds: float) -> None:
        """Record one duration."""
        self.counts[bisect_left(BUCKETS_S, seconds)] += 1
        self.total_s += seconds

    def cumulative_counts(self) -> list[tuple[str, int]]:
        """List pairs of an upper bound and the count of durations up to it."""
        rows = []
        running_total = 0
        for bound, count in zip((*map(str, BUCKETS_S), "+Inf"), self.counts, strict=True):
            running_total += count
            rows.append((bound, running_total))
        return rows


class EntryMetrics:
    """All metrics of one instance."""

    def __init__(self) -> None:
        self.calls: Counter[tuple[str, str]] = Counter()
        self.events: Counter[str] = Counter()
        self.histogram_by_key: dict[tuple[str, str], _Histogram] = {}
        self.gauge_reader_by_name: dict[str, Callable[[], float]] = {}

    def record_call(self, service: str, outcome: str, total_s: float) -> None:
        """Count a finished call by outcome, and record its total duration."""
        self.calls[self._bounded_key(service, outcome)] += 1
        self.observe("total", service, total_s)

    def observe(self, kind: str, service: str, seconds: float) -> None:
        """Record a duration; `kind` is `total`, `waited` or `upstream`."""
        key = (kind, service)
        histogram = self.histogram_by_key.get(key)
        if histogram is None:
            if len(self.histogram_by_key) >= MAX_SERIES:
                key = (kind, "other")
            histogram = self.histogram_by_key.setdefault(key, _Histogram())
        histogram.observe(seconds)

    def _bounded_key(self, service: str, outcome: str) -> tuple[str, str]:
        key = (service, outcome)
        return key if key in self.calls or len(self.calls) < MAX_SERIES else ("other", outcome)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from prometheus_client import CollectorRegistry, generate_latest  # see the module docstring

        registry = CollectorRegistry()
        registry.register(_Collector(self))  # type: ignore[arg-type]
        return generate_latest(registry)


class _Collector:
    """Converts the metrics into Prometheus metric families."""

    def __init__(self, metrics: EntryMetrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Any]:
        """Yield the metric families."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        calls = CounterMetricFamily(
            "heatherhead_calls", "Calls by outcome.", labels=["service", "outcome"]
        )
        for (service, outcome), count in self._metrics.calls.items():
            calls.add_metric([service, outcome], count)
        yield calls
        events = CounterMetricFamily("heatherhead_events", "Events by kind.", labels=["kind"])
        for kind, count in self._metrics.events.items():
            events.add_metric([kind], count)
        yield events
        seconds = HistogramMetricFamily(
            "heatherhead_call_seconds", "Durations of calls.", labels=["part", "service"]
        )
        for (kind, service), histogram in self._metrics.histogram_by_key.items():
            seconds.add_metric([kind, service], histogram.cumulative_counts(), histogram.total_s)
        yield seconds
        for name, read in self._metrics.gauge_reader_by_name.items():
            yield GaugeMetricFamily(f"heatherhead_{name}", "Now.", value=read())


def create_entry_metrics() -> EntryMetrics:
    """Create metrics that are all zero."""
    return EntryMetrics()
