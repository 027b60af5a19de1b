"""Sends metrics to a statsd daemon over UDP without ever waiting."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from statsd import StatsClient

if TYPE_CHECKING:
    from collections.abc import Sequence

    from heatherhead.settings.telemetry import TelemetrySettings

__all__ = ["Metric", "MetricsSink", "create_statsd_sink", "metric_part"]

MAX_DATAGRAM_BYTES = 1400

_LINE_OVERHEAD_BYTES = 4  # colon, bar, type and newline
_UNSAFE = re.compile(r"[^A-Za-z0-9_-]")


@dataclass(frozen=True, slots=True)
class Metric:
    """One counter's increase or one gauge's value."""

    name: str
    value: float
    is_counter: bool = False

    @property
    def size_bytes(self) -> int:
        """Bytes of the metric's line, without the prefix."""
        return len(self.name) + len(str(_rounded(self.value))) + _LINE_OVERHEAD_BYTES


class MetricsSink(Protocol):
    """Takes finished metrics; never waits and never fails."""

    failed_sends: int
    prefix_bytes: int

    def send(self, metrics: Sequence[Metric]) -> None:
        """Send metrics together."""
        ...

    def close(self) -> None:
        """Release the socket."""
        ...


def metric_part(text: str) -> str:
    """Make text fit as one part of a dotted metric name."""
    return _UNSAFE.sub("_", text) or "_"


class _NonBlockingClient(StatsClient):
    """A statsd client that counts datagrams which the socket did not take."""

    def __init__(self, host: str, port: int, prefix: str) -> None:
        super().__init__(host, port, prefix, MAX_DATAGRAM_BYTES, ipv6=":" in host)
        self._sock.setblocking(False)
        self.failed_sends = 0

    def _send(self, data: str) -> None:
        try:
            self._sock.sendto(data.encode("ascii"), self._addr)
        except OSError:
            self.failed_sends += 1


class StatsdSink:
    """Sends each batch of metrics in as few datagrams as fit."""

    def __init__(self, client: _NonBlockingClient, prefix: str) -> None:
        self._client = client
        self.prefix_bytes = len(prefix) + 1 if prefix else 0

    @property
    def failed_sends(self) -> int:
        """Count the datagrams that the socket did not take."""
        return self._client.failed_sends

    def send(self, metrics: Sequence[Metric]) -> None:
        """Send metrics together."""
        with self._client.pipeline() as pipeline:
            for metric in metrics:
                write = pipeline.incr if metric.is_counter else pipeline.gauge
                write(metric.name, _rounded(metric.value))

    def close(self) -> None:
        """Release the socket."""
        self._client.close()


def _rounded(value: float) -> float:
    return int(value) if value == int(value) else round(value, 6)


def create_statsd_sink(settings: TelemetrySettings) -> StatsdSink | None:
    """Create the sink that the settings name; `None` when metrics are not sent."""
    if settings.statsd_host is None:
        return None
    prefix = settings.statsd_prefix
    client = _NonBlockingClient(str(settings.statsd_host), settings.statsd_port, prefix)
    return StatsdSink(client, prefix)
