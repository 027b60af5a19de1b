"""Interface to the platform's store that every adapter implements."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from result import Result

    from heatherhead.exceptions import HeatherheadError

__all__ = ["KeyValue", "RangeAnswer", "Store", "StoreLease", "WatchEvent", "WriteAnswer"]


@dataclass(frozen=True, slots=True)
class KeyValue:
    """A key with its value and the revision that last changed it."""

    key: str
    value: bytes
    mod_revision: int


@dataclass(frozen=True, slots=True)
class RangeAnswer:
    """All keys below a prefix at one `revision` of the store."""

    revision: int
    by_key: dict[str, KeyValue]


@dataclass(frozen=True, slots=True)
class WriteAnswer:
    """Result of a compare-and-swap: written at `revision`, or in conflict with `current`."""

    succeeded: bool
    revision: int
    current: KeyValue | None = None


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """One change below a watched prefix; `value` is `None` for a deletion."""

    key: str
    value: bytes | None
    mod_revision: int


@dataclass(frozen=True, slots=True)
class StoreLease:
    """A lease granted by the store for `ttl_s` seconds."""

    id: int
    ttl_s: float


class Store(Protocol):
    """A key-value service with compare-and-swap, leases and watches.

    Reads and writes return `Err` with `StoreUnavailableError` (no effect) or
    `StoreAmbiguousError` (a write that may have taken effect). Absent keys have revision 0.
    """

    async def read_prefix(
        self, prefix: str, *, stale: bool = False
    ) -> Result[RangeAnswer, HeatherheadError]:
        """Read all keys below a prefix at one revision.

        A stale read may be seconds old if that is cheaper for the store.
        """
        ...

    async def compare_and_swap(
        self, key: str, expected_revision: int, value: bytes | None, lease_id: int = 0
    ) -> Result[WriteAnswer, HeatherheadError]:
        """Write `value` (or delete, for `None`) if the key is at `expected_revision`."""
        ...

    async def grant_lease(self, ttl_s: float) -> Result[StoreLease, HeatherheadError]:
        """Request a new lease."""
        ...

    async def renew_lease(self, lease_id: int) -> Result[StoreLease, HeatherheadError]:
        """Renew a lease; the result is `Err` if it has expired."""
        ...

    async def revoke_lease(self, lease_id: int) -> Result[None, HeatherheadError]:
        """Revoke a lease, which deletes the keys attached to it."""
        ...

    def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Iterate over changes from a revision on.

        Raises `StoreUnavailableError` when the watch breaks, and `CompactedError` if the store has
        compacted `from_revision`.
        """
        ...

    async def close(self) -> None:
        """Close the connections."""
        ...
