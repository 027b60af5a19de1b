"""Quantiles of a service's recent service times."""

from __future__ import annotations

__all__ = ["ServiceTime", "create_service_time"]

SAMPLES = 256
SAMPLES_BETWEEN_SORTS = 32
MIN_SAMPLES = 16


class ServiceTime:
    """P10, median and P90, in seconds, of the last `SAMPLES` durations.

    All are zero until there are `MIN_SAMPLES`.
    """

    __slots__ = ("_samples", "_since_sort", "_sample_count", "p10_s", "p90_s", "median_s")

    def __init__(self) -> None:
        self._samples: list[float] = []
        self._sample_count = 0
        self._since_sort = 0
        self.p10_s = 0.0
        self.median_s = 0.0
        self.p90_s = 0.0

    def add(self, duration_s: float) -> None:
        """Record the duration of an answered call."""
        if len(self._samples) < SAMPLES:
            self._samples.append(duration_s)
        else:
            self._samples[self._sample_count % SAMPLES] = duration_s
        self._sample_count += 1
        self._since_sort += 1
        if self._since_sort >= SAMPLES_BETWEEN_SORTS or self._sample_count == MIN_SAMPLES:
            self._update_quantiles()

    def restart(self) -> None:
        """Forget all durations, after an answer that they had ruled out."""
        self._samples.clear()
        self._sample_count = self._since_sort = 0
        self.p10_s = self.median_s = self.p90_s = 0.0

    def _update_quantiles(self) -> None:
        self._since_sort = 0
        if len(self._samples) < MIN_SAMPLES:
            return
        ordered = sorted(self._samples)
        last = len(ordered) - 1
        self.p10_s = ordered[last // 10]
        self.median_s = ordered[last // 2]
        self.p90_s = ordered[last * 9 // 10]


def create_service_time() -> ServiceTime:
    """Create an estimate without samples."""
    return ServiceTime()
