"""Tests of `heatherhead.telemetry.histogram`."""

from __future__ import annotations

import pytest
from hdrh.histogram import HdrHistogram
from hypothesis import given
from hypothesis import strategies as st

from heatherhead.telemetry.histogram import (
    MAX_VALUE,
    SIGNIFICANT_FIGURES,
    Histogram,
    decode_buckets,
    distribution_of,
)
from heatherhead.telemetry.interface import HistogramKind


@given(st.lists(st.integers(0, MAX_VALUE), min_size=1, max_size=50))
def test_percentiles_equal_those_of_the_hdr_library(values: list[int]) -> None:
    reference = HdrHistogram(1, MAX_VALUE, SIGNIFICANT_FIGURES)
    histogram = Histogram(HistogramKind.ATTEMPTS)
    for value in values:
        reference.record_value(value)
        histogram.record(value)
    histogram.merge_fresh()
    total = histogram.total()
    assert total.count == len(values)
    assert total.p50 == reference.get_value_at_percentile(50)
    assert total.p99 == reference.get_value_at_percentile(99)
    decoded = HdrHistogram.decode(histogram.encoded())
    assert decoded.get_value_at_percentile(90) == reference.get_value_at_percentile(90)
    assert distribution_of(decode_buckets(histogram.encoded()), 1) == total


def test_values_out_of_range_are_clamped() -> None:
    histogram = Histogram(HistogramKind.ADDED)
    histogram.record(-1.0)
    histogram.record(1e9)
    histogram.merge_fresh()
    total = histogram.total()
    assert total.p50 == 0
    assert total.maximum == pytest.approx(3600, rel=0.01)


def test_windows_expire_and_total_does_not() -> None:
    histogram = Histogram(HistogramKind.ADDED)
    histogram.record(0.25)
    histogram.merge_fresh()
    histogram.rotate()
    assert histogram.recent().count == 1
    histogram.rotate()
    assert histogram.recent().count == 0
    assert histogram.total().p50 == pytest.approx(0.25, rel=0.01)
