"""Sends metrics to a statsd daemon over UDP, without blocking."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from statsd import StatsClient

if TYPE_CHECKING:
    from collections.abc import Sequence

    from heatherhead.settings.telemetry import TelemetrySettings

__all__ = ["Metric", "MetricsSink", "create_statsd_sink", "sanitize_name_part"]

MAX_DATAGRAM_BYTES = 1400

_LINE_OVERHEAD_BYTES = 4  # colon, bar, type and newline
_UNSAFE = re.compile(r"[^A-Za-z0-9_-]")


@dataclass(frozen=True, slots=True)
class Metric:
    """The increase of a counter or the value of a gauge."""

    name: str
    value: float
    is_counter: bool = False

    @property
    def size_bytes(self) -> int:
        """Return the length of the metric's line in bytes, without the prefix."""
        return len(self.name) + len(str(_rounded(self.value))) + _LINE_OVERHEAD_BYTES


class MetricsSink(Protocol):
    """Sends metrics; never blocks and never raises."""

    failed_sends: int
    prefix_bytes: int

    def send(self, metrics: Sequence[Metric]) -> None:
        """Send a batch of metrics."""
        ...

    def close(self) -> None:
        """Close the socket."""
        ...


def sanitize_name_part(text: str) -> str:
    """Replace the characters that may not stand in one part of a dotted metric name."""
    return _UNSAFE.sub("_", text) or "_"


class _NonBlockingClient(StatsClient):
    """A statsd client with a non-blocking socket that counts the datagrams it refused."""

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
    """Sends each batch of metrics in as few datagrams as possible."""

    def __init__(self, client: _NonBlockingClient, prefix: str) -> None:
        self._client = client
        self.prefix_bytes = len(prefix) + 1 if prefix else 0

    @property
    def failed_sends(self) -> int:
        """Count the datagrams that the socket refused."""
        return self._client.failed_sends

    def send(self, metrics: Sequence[Metric]) -> None:
        """Send a batch of metrics."""
        with self._client.pipeline() as pipeline:
            for metric in metrics:
                write = pipeline.incr if metric.is_counter else pipeline.gauge
                write(metric.name, _rounded(metric.value))

    def close(self) -> None:
        """Close the socket."""
        self._client.close()


def _rounded(value: float) -> float:
    return int(value) if value == int(value) else round(value, 6)


def create_statsd_sink(settings: TelemetrySettings) -> StatsdSink | None:
    """Create the sink that the settings configure; `None` if they name no statsd host."""
    if settings.statsd_host is None:
        return None
    prefix = settings.statsd_prefix
    client = _NonBlockingClient(str(settings.statsd_host), settings.statsd_port, prefix)
    return StatsdSink(client, prefix)
