"""Counts of call outcomes by service and class."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from heatherhead.telemetry.interface import CallOutcome, OutcomeReading

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["OutcomeCounter", "OutcomeKey", "OutcomeTable"]

OutcomeKey = tuple[str, str, CallOutcome]


@dataclass(slots=True)
class OutcomeCounter:
    """Calls with one outcome: in the current and previous window, in total, and not yet sent."""

    current: int = 0
    previous: int = 0
    total: int = 0
    unsent: int = 0

    def add(self) -> None:
        """Count one call."""
        self.current += 1
        self.total += 1
        self.unsent += 1

    def rotate(self) -> None:
        """Start a new window."""
        self.previous, self.current = self.current, 0


class OutcomeTable:
    """Holds the counter of each service, class and outcome; creates it on first use.

    `bounded_pair` limits the pairs of service and class. `on_created` is called with each new
    counter.
    """

    def __init__(
        self,
        bounded_pair: Callable[[str, str], tuple[str, str]],
        on_created: Callable[[OutcomeKey, OutcomeCounter], None],
    ) -> None:
        self._bounded_pair = bounded_pair
        self._on_created = on_created
        self._by_key: dict[OutcomeKey, OutcomeCounter] = {}

    def get_or_create(self, service: str, call_class: str, outcome: CallOutcome) -> OutcomeCounter:
        """Return the counter of this service, class and outcome."""
        counter = self._by_key.get((service, call_class, outcome))
        if counter is not None:
            return counter
        key = (*self._bounded_pair(service, call_class), outcome)
        if key not in self._by_key:
            self._by_key[key] = OutcomeCounter()
            self._on_created(key, self._by_key[key])
        return self._by_key[key]

    def rotate(self) -> None:
        """Start a new window in all counters."""
        for counter in self._by_key.values():
            counter.rotate()

    def readings(self, service: str | None) -> list[OutcomeReading]:
        """Return the readings of one service, or of all for `None`, sorted by key."""
        return [
            OutcomeReading(*key, recent=counter.current + counter.previous, total=counter.total)
            for key, counter in sorted(self._by_key.items(), key=lambda item: item[0])
            if service is None or key[0] == service
        ]
