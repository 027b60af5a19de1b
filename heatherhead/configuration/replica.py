"""This instance's copy of the configuration; the revision of a service never decreases."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from heatherhead.configuration.model import Service, ServiceRecord

__all__ = ["Replica", "create_replica"]


class Replica:
    """Holds the newest known record of each service and notifies listeners of changes."""

    def __init__(self) -> None:
        self.by_name: dict[str, ServiceRecord] = {}
        self.revision = 0
        self._listeners: list[Callable[[ServiceRecord], None]] = []

    def apply(self, record: ServiceRecord) -> bool:
        """Apply a record if it is newer than the one held; return whether it was."""
        held = self.by_name.get(record.name)
        if held is not None and held.revision >= record.revision:
            return False
        self.by_name[record.name] = record
        self.revision = max(self.revision, record.revision)
        for listener in self._listeners:
            listener(record)
        return True

    def service(self, name: str) -> Service | None:
        """Return a service by name, or `None` if it is deleted or unknown."""
        record = self.by_name.get(name)
        return record.service if record else None

    def services(self) -> list[Service]:
        """List all services, without deleted ones."""
        return [record.service for record in self.by_name.values() if record.service]

    def subscribe(self, listener: Callable[[ServiceRecord], None]) -> None:
        """Call `listener` with each record that is applied from now on."""
        self._listeners.append(listener)


def create_replica() -> Replica:
    """Create an empty replica."""
    return Replica()
