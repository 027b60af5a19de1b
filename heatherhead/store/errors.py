"""Errors of the store's adapters."""

from __future__ import annotations

from heatherhead.exceptions import HeatherheadError, StoreAmbiguousError, StoreUnavailableError

__all__ = ["CompactedError", "LeaseLapsedError", "ambiguous", "unavailable"]


class CompactedError(HeatherheadError):
    """The store no longer has the changes from the wanted revision on."""

    def __init__(self, revision: int) -> None:
        super().__init__(
            f"changes from revision {revision} on are compacted",
            remedy="read the whole prefix and watch from the revision of that read",
        )
        self.revision = revision


class LeaseLapsedError(HeatherheadError):
    """A lease is no longer known to the store."""

    def __init__(self, lease_id: int) -> None:
        super().__init__(f"lease {lease_id} has lapsed", remedy="obtain a new lease")
        self.lease_id = lease_id


def unavailable(reason: str) -> StoreUnavailableError:
    """Describe a request that surely had no effect."""
    return StoreUnavailableError(
        f"the store did not take the request: {reason}",
        remedy="try again later; see docs/operators/store-outage.md",
    )


def ambiguous(reason: str) -> StoreAmbiguousError:
    """Describe a write that may have had its effect."""
    return StoreAmbiguousError(
        f"the store gave no answer to a write: {reason}",
        remedy="ask again with the same change id",
    )
