"""Reports metrics round-robin, with a limited number of bytes per flush."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from heatherhead.telemetry.interface import HistogramKind
from heatherhead.telemetry.statsd import Metric, sanitize_name_part

if TYPE_CHECKING:
    from heatherhead.telemetry.histogram import Histogram
    from heatherhead.telemetry.interface import HistogramKey
    from heatherhead.telemetry.outcomes import OutcomeCounter, OutcomeKey
    from heatherhead.telemetry.statsd import MetricsSink

__all__ = [
    "CounterSource",
    "GaugeSource",
    "HistogramSource",
    "MetricsReporter",
    "OutcomeSource",
]

MILLISECONDS_PER_S = 1000


class MetricSource(Protocol):
    """A source of metrics to report."""

    def metrics(self) -> list[Metric]:
        """List the metrics to report now; may be empty."""
        ...

    def mark_sent(self) -> None:
        """Record that the metrics just listed were sent."""
        ...


@dataclass(slots=True)
class CounterSource:
    """A counter and its increase since it was last sent."""

    name: str
    unsent: int = 0

    def metrics(self) -> list[Metric]:
        """List the increase."""
        return [Metric(self.name, self.unsent, is_counter=True)] if self.unsent else []

    def mark_sent(self) -> None:
        """Start again from 0."""
        self.unsent = 0


@dataclass(slots=True)
class GaugeSource:
    """A gauge and its value."""

    name: str
    value: float = 0.0

    def metrics(self) -> list[Metric]:
        """List the value."""
        return [Metric(self.name, self.value)]

    def mark_sent(self) -> None:
        """Keep the value; a gauge is sent again in each turn."""


@dataclass(slots=True)
class HistogramSource:
    """A histogram, reported as count and percentiles of the observations since it was last sent."""

    key: HistogramKey
    histogram: Histogram
    _prefix: str = field(init=False)
    _factor: int = field(init=False)

    def __post_init__(self) -> None:
        service, call_class, kind = self.key
        unit = "" if kind is HistogramKind.ATTEMPTS else "_ms"
        self._prefix = (
            f"calls.{sanitize_name_part(service)}.{sanitize_name_part(call_class)}.{kind}{unit}"
        )
        self._factor = 1 if kind is HistogramKind.ATTEMPTS else MILLISECONDS_PER_S

    def metrics(self) -> list[Metric]:
        """List the count, the percentiles and the maximum."""
        summary = self.histogram.unsent()
        if not summary.count:
            return []
        value_by_name = {
            "p50": summary.p50,
            "p99": summary.p99,
            "p999": summary.p999,
            "max": summary.maximum,
        }
        gauges = [
            Metric(f"{self._prefix}.{name}", value * self._factor)
            for name, value in value_by_name.items()
        ]
        return [Metric(f"{self._prefix}.count", summary.count, is_counter=True), *gauges]

    def mark_sent(self) -> None:
        """Discard the observations that were sent."""
        self.histogram.mark_sent()


@dataclass(slots=True)
class OutcomeSource:
    """The counter of one outcome."""

    key: OutcomeKey
    counter: OutcomeCounter
    _name: str = field(init=False)

    def __post_init__(self) -> None:
        service, call_class, outcome = self.key
        pair = f"{sanitize_name_part(service)}.{sanitize_name_part(call_class)}"
        self._name = f"calls.{pair}.outcome.{sanitize_name_part(outcome)}"

    def metrics(self) -> list[Metric]:
        """List the increase."""
        unsent = self.counter.unsent
        return [Metric(self._name, unsent, is_counter=True)] if unsent else []

    def mark_sent(self) -> None:
        """Start again from 0."""
        self.counter.unsent = 0


class MetricsReporter:
    """Sends the metrics of all sources round-robin.

    A source that does not fit into the bytes of this flush is first in the next flush, with the
    metrics it has accumulated by then. A small limit therefore lowers the time resolution of
    metrics and loses none.
    """

    def __init__(self, sink: MetricsSink, max_bytes_per_flush: int) -> None:
        self._sink = sink
        self._max_bytes_per_flush = max_bytes_per_flush
        self._sources: deque[MetricSource] = deque()

    @property
    def failed_sends(self) -> int:
        """Count the datagrams that the socket refused."""
        return self._sink.failed_sends

    def add(self, source: MetricSource) -> None:
        """Add a source to the rotation."""
        self._sources.append(source)

    def flush(self) -> bool:
        """Send what fits; return whether every source was included."""
        batch: list[Metric] = []
        remaining_bytes = self._max_bytes_per_flush
        for _ in range(len(self._sources)):
            metrics = self._sources[0].metrics()
            remaining_bytes -= sum(each.size_bytes + self._sink.prefix_bytes for each in metrics)
            if remaining_bytes < 0 and batch:
                break
            batch.extend(metrics)
            self._sources[0].mark_sent()
            self._sources.rotate(-1)
        else:
            self._sink.send(batch)
            return True
        self._sink.send(batch)
        return False

    def close(self) -> None:
        """Close the socket."""
        self._sink.close()
