"""Decides whether the holder of a lease may still act, by its own clock and also after a pause.

The store counts the lease's time from the receipt of a renewal, which is never earlier than its
sending. The holder therefore counts from the sending, subtracts the possible drift of its clock,
and stops a margin earlier. It must ask before every action, since the process may be paused between
any two steps. A pause of the whole machine can stop the clock as well and stay undetected.
Therefore every write under a lease also names the lease to the store, which refuses the write once
the lease has expired.

Times are seconds on the loop clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from result import Err, Ok, Result

from heatherhead.store.errors import LeaseLapsedError

__all__ = [
    "DEFAULT_LEASE_MARGIN_S",
    "DEFAULT_MAX_DRIFT_FRACTION",
    "LeaseGuard",
    "LeasePermit",
    "create_lease_guard",
]

DEFAULT_LEASE_MARGIN_S = 0.5
DEFAULT_MAX_DRIFT_FRACTION = 0.01  # of the lease's time to live
NO_LEASE_ID = 0


@dataclass(frozen=True, slots=True)
class LeasePermit:
    """Permission for one action before `expires_at`; a write must name `lease_id` to the store."""

    lease_id: int
    expires_at: float


class LeaseGuard:
    """Tracks the validity of this process's lease."""

    def __init__(self, margin_s: float, max_drift_fraction: float) -> None:
        self._margin_s = margin_s
        self._max_drift_fraction = max_drift_fraction
        self._lease_id: int | None = None
        self._expires_at = 0.0
        self._now = 0.0

    def record_grant(self, lease_id: int, ttl_s: float, sent_at: float) -> None:
        """Record that the store granted or renewed a lease on a request sent at `sent_at`.

        Replies may arrive late and out of order; a reply to an earlier request never shortens the
        lease.
        """
        expires_at = sent_at + ttl_s * (1 - self._max_drift_fraction) - self._margin_s
        if lease_id == self._lease_id:
            expires_at = max(expires_at, self._expires_at)
        self._lease_id = lease_id
        self._expires_at = expires_at

    def record_loss(self) -> None:
        """Record that the lease was revoked, or that the store does not know it any more."""
        self._lease_id = None

    def permit(self, now: float, duration_s: float = 0.0) -> Result[LeasePermit, LeaseLapsedError]:
        """Return a permit to begin an action that takes up to `duration_s`."""
        self._now = max(self._now, now)
        if self._lease_id is None or self._now + duration_s >= self._expires_at:
            return Err(LeaseLapsedError(self._lease_id or NO_LEASE_ID))
        return Ok(LeasePermit(self._lease_id, self._expires_at))

    def is_valid(self, permit: LeasePermit, now: float) -> bool:
        """Return whether a permit is still valid; to be called right before the effect.

        A permit of an earlier lease is invalid.
        """
        self._now = max(self._now, now)
        return permit.lease_id == self._lease_id and self._now < permit.expires_at

    def remaining_s(self, now: float) -> float:
        """Return for how many seconds actions may still begin."""
        if self._lease_id is None:
            return 0.0
        return max(0.0, self._expires_at - max(self._now, now))


def create_lease_guard(
    margin_s: float = DEFAULT_LEASE_MARGIN_S, max_drift_fraction: float = DEFAULT_MAX_DRIFT_FRACTION
) -> LeaseGuard:
    """Create a guard without a lease."""
    return LeaseGuard(margin_s, max_drift_fraction)
