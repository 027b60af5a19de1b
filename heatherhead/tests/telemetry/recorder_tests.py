"""Tests of `heatherhead.telemetry.recorder` with the reporter, some with a real UDP socket."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

import pytest

from heatherhead.settings.telemetry import TelemetrySettings
from heatherhead.telemetry import CallOutcome, HistogramKind
from heatherhead.telemetry.recorder import (
    FLUSHES_PER_WINDOW,
    MAX_NAMES,
    TelemetryRecorder,
    create_telemetry,
)
from heatherhead.telemetry.reporter import MetricsReporter
from heatherhead.tests.base import run_with_paused_clock

if TYPE_CHECKING:
    from heatherhead.telemetry.statsd import Metric


class RecordingSink:
    """Keeps the batches of metrics sent to it."""

    def __init__(self) -> None:
        self.failed_sends = 0
        self.prefix_bytes = 0
        self.batches: list[list[Metric]] = []

    def send(self, metrics: list[Metric]) -> None:
        self.batches.append(list(metrics))

    def close(self) -> None:
        pass

    def total(self, name: str) -> float:
        return sum(each.value for batch in self.batches for each in batch if each.name == name)


def create_recorder(
    sink: RecordingSink, max_bytes: int = 4096, max_pairs: int = 8
) -> TelemetryRecorder:
    return TelemetryRecorder(MetricsReporter(sink, max_bytes), max_pairs)


def test_metrics_are_flushed_each_second() -> None:
    async def scenario() -> None:
        sink = RecordingSink()
        telemetry = create_recorder(sink)
        telemetry.start()
        telemetry.count("calls.answered", 2)
        telemetry.count("calls.answered", 3)
        telemetry.observe("orders", "default", HistogramKind.ADDED, 0.002)
        await asyncio.sleep(1.5)
        assert sink.total("calls.answered") == 5
        assert sink.total("calls.orders.default.added_ms.p99") == pytest.approx(2, rel=0.01)
        telemetry.count("calls.answered")
        await telemetry.close()
        assert sink.total("calls.answered") == 6

    run_with_paused_clock(scenario())


def test_small_byte_budget_delays_metrics_and_loses_none() -> None:
    sink = RecordingSink()
    telemetry = create_recorder(sink, max_bytes=100)
    names = [f"counter_{number}" for number in range(20)]
    for _ in range(40):
        for name in names:
            telemetry.count(name)
        telemetry.flush()
    assert all(sum(each.size_bytes for each in batch) <= 100 for batch in sink.batches)
    for _ in range(20):
        telemetry.flush()
    assert [sink.total(name) for name in names] == [40] * 20


def test_pairs_over_the_limit_share_one_histogram() -> None:
    sink = RecordingSink()
    telemetry = create_recorder(sink, max_pairs=2)
    for number in range(5):
        telemetry.observe(f"service-{number}", "default", HistogramKind.UPSTREAM, 0.1)
    readings = telemetry.histograms()
    assert [(each.service, each.total.count) for each in readings] == [
        ("other", 3),
        ("service-0", 1),
        ("service-1", 1),
    ]
    telemetry.flush()
    assert sink.total("telemetry.pairs_over_bound") == 3


def test_outcomes_are_counted_by_service_and_class() -> None:
    sink = RecordingSink()
    telemetry = create_recorder(sink, max_pairs=1)
    telemetry.count_outcome("orders", "default", CallOutcome.NOT_RUN)
    telemetry.flush()
    telemetry.count_outcome("orders", "default", CallOutcome.NOT_RUN)
    telemetry.count_outcome("stock", "default", CallOutcome.ANSWERED)
    telemetry.flush()
    assert sink.total("calls.orders.default.outcome.not-run") == 2
    assert sink.total("calls.other.other.outcome.answered") == 1
    assert [each.total for each in telemetry.outcomes("orders")] == [2]
    for _ in range(2 * FLUSHES_PER_WINDOW):
        telemetry.flush()
    assert [(each.recent, each.total) for each in telemetry.outcomes("orders")] == [(0, 2)]


def test_names_over_the_limit_are_counted_as_other() -> None:
    sink = RecordingSink()
    telemetry = create_recorder(sink, max_bytes=1_000_000)
    for number in range(MAX_NAMES + 7):
        telemetry.count(f"name_{number}")
    telemetry.flush()
    assert sink.total("other") == 7


@pytest.mark.parametrize("value", [float("nan"), float("inf")])
def test_value_that_is_not_finite_is_counted_and_not_recorded(value: float) -> None:
    sink = RecordingSink()
    telemetry = create_recorder(sink)
    telemetry.observe("orders", "default", HistogramKind.ADDED, value)
    telemetry.gauge("queue", value)
    telemetry.flush()
    assert sink.total("telemetry.bad_values") == 2


def test_metrics_are_sent_to_a_statsd_socket() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(("127.0.0.1", 0))
        settings = TelemetrySettings(statsd_host="127.0.0.1", statsd_port=receiver.getsockname()[1])
        telemetry = create_telemetry(settings)
        telemetry.count("calls.refused", 4)
        telemetry.observe("a.b", "päckchen", HistogramKind.ATTEMPTS, 2)
        telemetry.flush()
        lines = receiver.recv(2048).decode().split("\n")
    assert "heatherhead.calls.refused:4|c" in lines
    assert "heatherhead.calls.a_b.p_ckchen.attempts.p99:2|g" in lines
    assert all(len(line) < 100 for line in lines)


def test_full_socket_is_counted_and_raises_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    settings = TelemetrySettings(statsd_host="127.0.0.1", statsd_port=9)
    telemetry = create_telemetry(settings)

    def refuse(*_: object) -> None:
        raise BlockingIOError

    client = telemetry._reporter._sink._client  # type: ignore[union-attr]
    client._sock.close()
    client._sock = type("FullSocket", (), {"sendto": staticmethod(refuse)})()
    telemetry.count("calls.refused")
    telemetry.flush()
    telemetry.flush()
    assert telemetry._reporter.failed_sends == 2  # type: ignore[union-attr]
