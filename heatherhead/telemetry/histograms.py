"""The histograms of this instance, for a bounded number of services and classes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.telemetry.histogram import Histogram
from heatherhead.telemetry.interface import HistogramKey, HistogramKind, HistogramReading
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["OTHER", "HistogramTable"]

OTHER = "other"


class HistogramTable:
    """Finds the histogram of a service, class and kind, and creates it at its first use.

    Services and classes beyond `max_pairs` share the histograms of service and class `other`.
    `on_created` is called with each new histogram.
    """

    def __init__(
        self, max_pairs: int, on_created: Callable[[HistogramKey, Histogram], None]
    ) -> None:
        self._max_pairs = max_pairs
        self._on_created = on_created
        self._pairs: set[tuple[str, str]] = set()
        self._by_key: dict[HistogramKey, Histogram] = {}
        self.over_bound = 0

    def find(self, service: str, call_class: str, kind: HistogramKind) -> Histogram:
        """Return the histogram that observations of this service, class and kind go into."""
        histogram = self._by_key.get((service, call_class, kind))
        if histogram is not None:
            return histogram
        pair = self.admit(service, call_class)
        key = (*pair, kind)
        if key not in self._by_key:
            self._by_key[key] = Histogram(kind)
            self._on_created(key, self._by_key[key])
        return self._by_key[key]

    def settle(self) -> None:
        """Move the fresh observations of all histograms into their windows."""
        for histogram in self._by_key.values():
            histogram.settle()

    def rotate(self) -> None:
        """End the current window of all histograms."""
        for histogram in self._by_key.values():
            histogram.rotate()

    def keys(self, service: str | None) -> list[HistogramKey]:
        """List the keys of one service's histograms, or of all for `None`, in order."""
        return sorted(key for key in self._by_key if service is None or key[0] == service)

    def reading(self, key: HistogramKey, *, encoded: bool) -> HistogramReading:
        """Read one histogram."""
        histogram = self._by_key[key]
        histogram.settle()
        text = histogram.encoded() if encoded else ""
        return HistogramReading(*key, histogram.recent(), histogram.total(), text)

    def admit(self, service: str, call_class: str) -> tuple[str, str]:
        """Return the pair under which a service and class are recorded."""
        pair = (service, call_class)
        if pair in self._pairs:
            return pair
        if len(self._pairs) < self._max_pairs:
            self._pairs.add(pair)
            return pair
        if not self.over_bound:
            log_event(
                "histogram_bound_reached",
                level="WARNING",
                pairs=self._max_pairs,
                remedy="raise telemetry.max_histogram_pairs",
            )
        self.over_bound += 1
        return (OTHER, OTHER)
