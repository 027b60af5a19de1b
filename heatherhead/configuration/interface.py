"""The interfaces through which other packages change and monitor the configuration."""

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
    """The revision that an instance has applied, and the age of that report in seconds.

    The revision is -1 if the instance has not reported yet.
    """

    instance_id: str
    revision: int
    age_s: float


class ConfigurationEditor(Protocol):
    """Changes services in the store by compare-and-swap on each service's revision.

    `change_id` makes a change idempotent: the same request repeated after a lost reply returns
    the record of the first one. Errors: `ConflictError`, `StoreUnavailableError` (no effect),
    `StoreAmbiguousError` (repeat with the same change id), `ConfigurationError`.
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
    """The applied revisions of all instances, collected over the overlay without store calls."""

    def applied(self) -> list[AppliedRevision]:
        """List the applied revision of each known instance."""
        ...

    def missing(self, revision: int) -> list[str]:
        """List the live instances that have not applied `revision` yet."""
        ...
