"""A sparse histogram with HDR buckets.

The buckets are those of an HDR histogram with two significant figures. In pure Python the HDR
library takes about 1.1 us to record a value and 27 kB for the bucket array of each histogram.
This histogram keeps a dictionary of the buckets in use instead, and converts it to the library's
form when it is read.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from heatherhead.telemetry.interface import Distribution, HistogramKind

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = [
    "MICROSECONDS_PER_S",
    "Histogram",
    "decode_buckets",
    "distribution_of",
    "encode_buckets",
]

SIGNIFICANT_FIGURES = 2
MAX_VALUE = 3_600_000_000  # one hour in microseconds
MICROSECONDS_PER_S = 1_000_000

_PRECISION_BITS = 8  # HDR sub-buckets of two significant figures
_PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Histogram:
    """Observations of one kind, counted by bucket.

    `record` only counts an observation as fresh, which is cheap; `merge_fresh` moves the fresh
    ones into the current window and the total. `rotate` starts a new window. If `keeps_unsent` is
    set, observations are also kept until `mark_sent`.
    """

    __slots__ = ("_current", "_fresh", "_previous", "_total", "_unsent", "keeps_unsent", "scale")

    def __init__(self, kind: HistogramKind) -> None:
        self.scale = 1 if kind is HistogramKind.ATTEMPTS else MICROSECONDS_PER_S
        self.keeps_unsent = False
        self._fresh: dict[int, int] = {}
        self._unsent: Counter[int] = Counter()
        self._current: Counter[int] = Counter()
        self._previous: Counter[int] = Counter()
        self._total: Counter[int] = Counter()

    def record(self, value: float) -> None:
        """Record one observation; values out of range are clamped to 0 or `MAX_VALUE`.

        Raises `ValueError` or `OverflowError` for a value that is not finite.
        """
        units = int(value * self.scale)
        if units < 0:
            units = 0
        elif units > MAX_VALUE:
            units = MAX_VALUE
        shift = units.bit_length() - _PRECISION_BITS
        bucket = units if shift <= 0 else units >> shift << shift
        fresh = self._fresh
        fresh[bucket] = fresh.get(bucket, 0) + 1

    def merge_fresh(self) -> None:
        """Move fresh observations into the current window and the total."""
        if not self._fresh:
            return
        self._current.update(self._fresh)
        self._total.update(self._fresh)
        if self.keeps_unsent:
            self._unsent.update(self._fresh)
        self._fresh = {}

    def rotate(self) -> None:
        """Start a new window; the current one becomes the previous one."""
        self._previous = self._current
        self._current = Counter()

    def unsent(self) -> Distribution:
        """Summarise the observations since `mark_sent` was last called."""
        return distribution_of(self._unsent, self.scale)

    def mark_sent(self) -> None:
        """Discard the unsent observations, after they were sent."""
        self._unsent = Counter()

    def recent(self) -> Distribution:
        """Summarise the current and the previous window."""
        return distribution_of(self._current + self._previous, self.scale)

    def total(self) -> Distribution:
        """Summarise all observations."""
        return distribution_of(self._total, self.scale)

    def encoded(self) -> str:
        """Return all observations encoded as `encode_buckets` does."""
        return encode_buckets(self._total)


def distribution_of(buckets: Mapping[int, int], scale: int) -> Distribution:
    """Summarise counts by bucket; each percentile is the upper end of its bucket."""
    count = sum(buckets.values())
    if not count:
        return Distribution()
    ordered = sorted(buckets)
    mean = sum(bucket * buckets[bucket] for bucket in ordered) / count
    percentiles = _percentiles(ordered, buckets, count)
    p50, p90, p99, p999 = (value / scale for value in percentiles)
    maximum = _bucket_end(ordered[-1]) / scale
    return Distribution(count, mean / scale, p50, p90, p99, p999, maximum)


def _percentiles(ordered: list[int], buckets: Mapping[int, int], count: int) -> list[int]:
    values = []
    cumulative_count = 0
    remaining = iter(ordered)
    bucket = ordered[0]
    for percentile in _PERCENTILES:
        target_count = max(1, int(percentile * count / 100 + 0.5))
        while cumulative_count < target_count:
            bucket = next(remaining)
            cumulative_count += buckets[bucket]
        values.append(_bucket_end(bucket))
    return values


def _bucket_end(bucket: int) -> int:
    return bucket + _bucket_width(bucket) - 1


def encode_buckets(buckets: Mapping[int, int]) -> str:
    """Encode counts by bucket as an HDR histogram (V2, compressed, base64)."""
    histogram = HdrHistogram(1, MAX_VALUE, SIGNIFICANT_FIGURES)
    for bucket, count in buckets.items():
        histogram.record_value(bucket, count)
    return histogram.encode().decode("ascii")


def decode_buckets(text: str) -> dict[int, int]:
    """Decode a result of `encode_buckets`.

    Raises `HdrLengthException` or a related exception of the library for other text.
    """
    histogram = HdrHistogram.decode(text)
    return {
        item.value_iterated_to
        & -_bucket_width(item.value_iterated_to): item.count_at_value_iterated_to
        for item in histogram.get_recorded_iterator()
    }


def _bucket_width(value: int) -> int:
    return 1 << max(0, value.bit_length() - _PRECISION_BITS)
