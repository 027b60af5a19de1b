"""The call, its attempts and what they ended in, as all filters of the path see them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["AttemptResult", "AttemptState", "Call", "LoadReport", "UpstreamSign"]


class AttemptState(StrEnum):
    """What is known of one attempt to run a call on an upstream."""

    NOT_SENT = "not-sent"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    ANSWERED = "answered"

    @property
    def surely_not_run(self) -> bool:
        """Tell whether the upstream surely did not run the attempt."""
        return self in (AttemptState.NOT_SENT, AttemptState.REFUSED)


class UpstreamSign(StrEnum):
    """What an attempt showed of the upstream's state, beside its own result."""

    NONE = "none"
    DRAINING = "draining"
    SHEDDING = "shedding"
    DIED = "died"


@dataclass(slots=True)
class Call:
    """One call of a caller on its way to an upstream.

    Times are in seconds on the clock of the running event loop.
    """

    service: str
    method: str
    target: str
    arrived_at: float
    deadline: float
    idempotent: bool
    call_class: str = "default"
    tenant: str = ""
    key: str | None = None
    fingerprint: int = 0
    attempts: int = 0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an upstream says of its own load; a hint that may lag or mislead."""

    in_flight: int
    received_at: float


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How one attempt ended, handed back to routing with the upstream's slot.

    `cancelled` says that this side gave the attempt up: a hedge that lost, or a caller that left.
    """

    state: AttemptState
    status: int = 0
    duration_s: float = 0.0
    sign: UpstreamSign = UpstreamSign.NONE
    report: LoadReport | None = None
    cancelled: bool = False
