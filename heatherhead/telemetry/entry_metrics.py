"""Counters and latency histograms of an entry instance, by service and outcome.

Counting is plain arithmetic; the library that writes the page is loaded by its first reader.
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
# Seconds; twofold steps around the targets of the routes.
BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
MAX_SERIES = 4096  # a service more is counted under "other"


@dataclass(slots=True)
class _Histogram:
    """Counts by bucket; the last one holds what is above all bounds."""

    counts: list[int] = field(default_factory=lambda: [0] * (len(BUCKETS_S) + 1))
    total_s: float = 0.0

    def observe(self, seconds: float) -> None:
        """Count a duration."""
        self.counts[bisect_left(BUCKETS_S, seconds)] += 1
        self.total_s += seconds

    def cumulative(self) -> list[tuple[str, int]]:
        """List (upper bound, count up to it)."""
        rows = []
        running = 0
        for bound, count in zip((*map(str, BUCKETS_S), "+Inf"), self.counts, strict=True):
            running += count
            rows.append((bound, running))
        return rows


class EntryMetrics:
    """All figures of one instance."""

    def __init__(self) -> None:
        self.calls: Counter[tuple[str, str]] = Counter()
        self.events: Counter[str] = Counter()
        self.seconds_by_service: dict[tuple[str, str], _Histogram] = {}
        self.gauge_by_name: dict[str, Callable[[], float]] = {}

    def record_call(self, service: str, outcome: str, total_s: float) -> None:
        """Count an answered call and its time from its head to its answer."""
        self.calls[self._key(service, outcome)] += 1
        self.observe("total", service, total_s)

    def observe(self, kind: str, service: str, seconds: float) -> None:
        """Count a duration: `total`, `waited` or `upstream`."""
        key = (kind, service)
        histogram = self.seconds_by_service.get(key)
        if histogram is None:
            if len(self.seconds_by_service) >= MAX_SERIES:
                key = (kind, "other")
            histogram = self.seconds_by_service.setdefault(key, _Histogram())
        histogram.observe(seconds)

    def _key(self, service: str, outcome: str) -> tuple[str, str]:
        key = (service, outcome)
        return key if key in self.calls or len(self.calls) < MAX_SERIES else ("other", outcome)

    def page(self) -> bytes:
        """Write all figures as text."""
        from prometheus_client import CollectorRegistry, generate_latest  # only readers need it

        registry = CollectorRegistry()
        registry.register(_Collector(self))  # type: ignore[arg-type]
        return generate_latest(registry)


class _Collector:
    """Hands the figures to the library."""

    def __init__(self, metrics: EntryMetrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Any]:
        """List the metric families."""
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
        for (kind, service), histogram in self._metrics.seconds_by_service.items():
            seconds.add_metric([kind, service], histogram.cumulative(), histogram.total_s)
        yield seconds
        for name, read in self._metrics.gauge_by_name.items():
            yield GaugeMetricFamily(f"heatherhead_{name}", "Now.", value=read())


def create_entry_metrics() -> EntryMetrics:
    """Create figures that are all zero."""
    return EntryMetrics()
