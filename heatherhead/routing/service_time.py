"""The usual service time of a service, from its latest answers."""

from __future__ import annotations

__all__ = ["ServiceTime", "create_service_time"]

SAMPLES = 256
SAMPLES_BETWEEN_SORTS = 32
FEWEST_SAMPLES = 16


class ServiceTime:
    """Quantiles, in seconds, of the latest durations; all zero until enough are known."""

    __slots__ = ("_samples", "_since_sort", "_written", "fast_s", "high_s", "usual_s")

    def __init__(self) -> None:
        self._samples: list[float] = []
        self._written = 0
        self._since_sort = 0
        self.fast_s = 0.0
        self.usual_s = 0.0
        self.high_s = 0.0

    def add(self, duration_s: float) -> None:
        """Take in the duration of one answered call."""
        if len(self._samples) < SAMPLES:
            self._samples.append(duration_s)
        else:
            self._samples[self._written % SAMPLES] = duration_s
        self._written += 1
        self._since_sort += 1
        if self._since_sort >= SAMPLES_BETWEEN_SORTS or self._written == FEWEST_SAMPLES:
            self._sort()

    def _sort(self) -> None:
        self._since_sort = 0
        if len(self._samples) < FEWEST_SAMPLES:
            return
        ordered = sorted(self._samples)
        last = len(ordered) - 1
        self.fast_s = ordered[last // 10]
        self.usual_s = ordered[last // 2]
        self.high_s = ordered[last * 9 // 10]


def create_service_time() -> ServiceTime:
    """Create an estimate that knows nothing yet."""
    return ServiceTime()
