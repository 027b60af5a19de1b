"""The availability zones whose upstreams get no requests, as operators ask for in the store.

A zone stays evacuated until its key is removed. A key that is missing after an outage of the store,
or from a copy that the store came back from, may just not be written again yet, so that the zone
stays evacuated for a grace period, as an upstream's entry stays.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

__all__ = ["Evacuations", "create_evacuations"]


class Evacuations:
    """The evacuated zones; listeners are called with all of them on each change."""

    def __init__(self, known_zones: Collection[str]) -> None:
        self._known_zones = known_zones
        self.zones: frozenset[str] = frozenset()
        self._returns_at_by_zone: dict[str, float] = {}
        self._listeners: list[Callable[[frozenset[str]], None]] = []

    def subscribe(self, listener: Callable[[frozenset[str]], None]) -> None:
        """Call `listener(zones)` on each change."""
        self._listeners.append(listener)

    @property
    def known(self) -> frozenset[str]:
        """Return the evacuated zones without names that no zone has."""
        return self.zones.intersection(self._known_zones)

    def put(self, zone: str) -> None:
        """Evacuate a zone; has no effect on one that is evacuated, except that it stays so."""
        self._returns_at_by_zone.pop(zone, None)
        if not zone or zone in self.zones:
            return
        log_event("zone_evacuated", zone=zone, known=zone in self._known_zones)
        self._change(self.zones | {zone})

    def remove(self, zone: str, returns_at: float | None = None) -> None:
        """End the evacuation of a zone at once, or at `returns_at` unless it is put again before."""
        if zone not in self.zones:
            return
        if returns_at is not None:
            self._returns_at_by_zone.setdefault(zone, returns_at)
            return
        self._returns_at_by_zone.pop(zone, None)
        log_event("zone_returned", zone=zone, known=zone in self._known_zones)
        self._change(self.zones - {zone})

    def expire(self, now: float) -> None:
        """End the evacuations whose grace period is over."""
        for zone in [each for each, at in self._returns_at_by_zone.items() if at <= now]:
            self.remove(zone)

    def _change(self, zones: frozenset[str]) -> None:
        self.zones = zones
        for listener in self._listeners:
            listener(zones)


def create_evacuations(known_zones: Collection[str]) -> Evacuations:
    """Create it without an evacuated zone; `known_zones` are those that the settings name."""
    return Evacuations(known_zones)
