"""The histograms of this instance, for a limited number of pairs of service and class."""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.telemetry.histogram import Histogram
from heatherhead.telemetry.interface import HistogramKey, HistogramKind, HistogramReading
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["OVERFLOW_NAME", "HistogramTable"]

OVERFLOW_NAME = "other"


class HistogramTable:
    """Holds the histogram of each service, class and kind; creates it on first use.

    Pairs of service and class beyond `max_pairs` share the histograms of service and class
    `other`, and `over_bound_count` counts how often that happened.
    `on_created` is called with each new histogram.
    """

    def __init__(
        self, max_pairs: int, on_created: Callable[[HistogramKey, Histogram], None]
    ) -> None:
        self._max_pairs = max_pairs
        self._on_created = on_created
        self._pairs: set[tuple[str, str]] = set()
        self._by_key: dict[HistogramKey, Histogram] = {}
        self.over_bound_count = 0

    def get_or_create(self, service: str, call_class: str, kind: HistogramKind) -> Histogram:
        """Return the histogram that records this service, class and kind."""
        histogram = self._by_key.get((service, call_class, kind))
        if histogram is not None:
            return histogram
        pair = self.bounded_pair(service, call_class)
        key = (*pair, kind)
        if key not in self._by_key:
            self._by_key[key] = Histogram(kind)
            self._on_created(key, self._by_key[key])
        return self._by_key[key]

    def merge_fresh(self) -> None:
        """Move the fresh observations of all histograms into their windows."""
        for histogram in self._by_key.values():
            histogram.merge_fresh()

    def rotate(self) -> None:
        """Start a new window in all histograms."""
        for histogram in self._by_key.values():
            histogram.rotate()

    def keys(self, service: str | None) -> list[HistogramKey]:
        """List the keys of one service's histograms, or of all for `None`, sorted."""
        return sorted(key for key in self._by_key if service is None or key[0] == service)

    def reading(self, key: HistogramKey, *, encoded: bool) -> HistogramReading:
        """Return the reading of one histogram."""
        histogram = self._by_key[key]
        histogram.merge_fresh()
        text = histogram.encoded() if encoded else ""
        return HistogramReading(*key, histogram.recent(), histogram.total(), text)

    def bounded_pair(self, service: str, call_class: str) -> tuple[str, str]:
        """Return the pair under which a service and class are recorded: itself or `other`."""
        pair = (service, call_class)
        if pair in self._pairs:
            return pair
        if len(self._pairs) < self._max_pairs:
            self._pairs.add(pair)
            return pair
        if not self.over_bound_count:
            log_event(
                "histogram_bound_reached",
                level="WARNING",
                pairs=self._max_pairs,
                remedy="raise telemetry.max_histogram_pairs",
            )
        self.over_bound_count += 1
        return (OVERFLOW_NAME, OVERFLOW_NAME)
