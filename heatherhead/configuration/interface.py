"""What operators ask of the configuration, and what the rest of the daemon waits for."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from result import Result

    from heatherhead.configuration.model import ServiceRecord
    from heatherhead.configuration.schema import ServiceSchema
    from heatherhead.exceptions import HeatherheadError

__all__ = ["AppliedRevision", "ConfigurationEditor", "ConfigurationStatus"]


@dataclass(frozen=True, slots=True)
class AppliedRevision:
    """The newest revision an instance has in force, and how old that knowledge is.

    An instance that has not been heard of yet has revision -1.
    """

    instance_id: str
    revision: int
    age_s: float


class ConfigurationEditor(Protocol):
    """Changes services in the store by compare-and-swap on each service's revision.

    A change is known by `change_id`: the same change asked for again, after a lost reply, gives
    the record that it made the first time. Errors: `ConflictError`, `StoreUnavailableError` (no
    effect), `StoreAmbiguousError` (ask again with the same change id), `ConfigurationError`.
    """

    async def put(
        self, service: ServiceSchema, expected_revision: int, change_id: str
    ) -> Result[ServiceRecord, HeatherheadError]:
        """Create (`expected_revision` 0) or replace a service."""
        ...

    async def delete(
        self, name: str, expected_revision: int, change_id: str
    ) -> Result[ServiceRecord, HeatherheadError]:
        """Delete a service; its tombstone keeps the revision."""
        ...


class ConfigurationStatus(Protocol):
    """Where which revision is in force, gathered over the overlay without store calls."""

    def applied(self) -> list[AppliedRevision]:
        """List what each known instance has in force."""
        ...

    def missing(self, revision: int) -> list[str]:
        """List the live instances that do not have `revision` in force yet."""
        ...
