"""Reports metrics in turn, within a number of bytes each time."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from heatherhead.telemetry.interface import HistogramKind
from heatherhead.telemetry.statsd import Metric, metric_part

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

MILLISECONDS = 1000


class MetricSource(Protocol):
    """Something with metrics to report."""

    def metrics(self) -> list[Metric]:
        """List what there is to report now; nothing gives an empty list."""
        ...

    def mark_sent(self) -> None:
        """Take note that the metrics just listed were sent."""
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
        """Keep the value, which is sent again in the next turn."""


@dataclass(slots=True)
class HistogramSource:
    """A histogram, reported as count and percentiles since it was last sent."""

    key: HistogramKey
    histogram: Histogram
    _prefix: str = field(init=False)
    _factor: int = field(init=False)

    def __post_init__(self) -> None:
        service, call_class, kind = self.key
        unit = "" if kind is HistogramKind.ATTEMPTS else "_ms"
        self._prefix = f"calls.{metric_part(service)}.{metric_part(call_class)}.{kind}{unit}"
        self._factor = 1 if kind is HistogramKind.ATTEMPTS else MILLISECONDS

    def metrics(self) -> list[Metric]:
        """List the count and percentiles."""
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
        """Forget what was sent."""
        self.histogram.mark_sent()


@dataclass(slots=True)
class OutcomeSource:
    """The counter of one outcome."""

    key: OutcomeKey
    counter: OutcomeCounter
    _name: str = field(init=False)

    def __post_init__(self) -> None:
        service, call_class, outcome = self.key
        pair = f"{metric_part(service)}.{metric_part(call_class)}"
        self._name = f"calls.{pair}.outcome.{metric_part(outcome)}"

    def metrics(self) -> list[Metric]:
        """List the increase."""
        unsent = self.counter.unsent
        return [Metric(self._name, unsent, is_counter=True)] if unsent else []

    def mark_sent(self) -> None:
        """Start again from 0."""
        self.counter.unsent = 0


class MetricsReporter:
    """Sends each source's metrics in turn.

    A source that does not fit into this flush's bytes goes first in the next flush, with what
    it has gathered by then, so a small budget makes metrics coarser in time and loses none.
    """

    def __init__(self, sink: MetricsSink, max_bytes_per_flush: int) -> None:
        self._sink = sink
        self._max_bytes = max_bytes_per_flush
        self._sources: deque[MetricSource] = deque()

    @property
    def failed_sends(self) -> int:
        """Count the datagrams that the socket did not take."""
        return self._sink.failed_sends

    def add(self, source: MetricSource) -> None:
        """Give a source its turns from now on."""
        self._sources.append(source)

    def flush(self) -> bool:
        """Send what fits; tell whether every source had its turn."""
        batch: list[Metric] = []
        left = self._max_bytes
        for _ in range(len(self._sources)):
            metrics = self._sources[0].metrics()
            left -= sum(each.size_bytes + self._sink.prefix_bytes for each in metrics)
            if left < 0 and batch:
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
        """Release the socket."""
        self._sink.close()
