"""Errors of the store adapters."""

from __future__ import annotations

from heatherhead.exceptions import HeatherheadError, StoreAmbiguousError, StoreUnavailableError

__all__ = ["CompactedError", "LeaseExpiredError", "ambiguous_error", "unavailable_error"]


class CompactedError(HeatherheadError):
    """The store no longer has all changes since the requested revision, as it compacted them."""

    def __init__(self, revision: int) -> None:
        super().__init__(
            f"changes from revision {revision} on are compacted",
            remedy="read the whole prefix and watch from the revision of that read",
        )
        self.revision = revision


class LeaseExpiredError(HeatherheadError):
    """The lease has expired, and the store no longer knows it."""

    def __init__(self, lease_id: int) -> None:
        super().__init__(f"lease {lease_id} has expired", remedy="obtain a new lease")
        self.lease_id = lease_id


def unavailable_error(reason: str) -> StoreUnavailableError:
    """Return the error for a request that certainly had no effect."""
    return StoreUnavailableError(
        f"the store did not take the request: {reason}",
        remedy="try again later; see docs/operators/store-outage.md",
    )


def ambiguous_error(reason: str) -> StoreAmbiguousError:
    """Return the error for a write that may have taken effect."""
    return StoreAmbiguousError(
        f"the store gave no answer to a write: {reason}",
        remedy="ask again with the same change id",
    )
