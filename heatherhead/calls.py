"""A call, its attempts and their results, as data classes shared along the path of a call."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["AttemptResult", "AttemptState", "Call", "LoadReport", "UpstreamSignal"]


class AttemptState(StrEnum):
    """What is known about one attempt to run a call on an upstream."""

    NOT_SENT = "not-sent"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    ANSWERED = "answered"

    @property
    def known_not_run(self) -> bool:
        """Return whether the upstream is known not to have run the attempt."""
        return self in (AttemptState.NOT_SENT, AttemptState.REFUSED)


class UpstreamSignal(StrEnum):
    """What an attempt revealed about the upstream's state, besides its own result."""

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
    """The load that an upstream reports of itself; it may be out of date or wrong."""

    in_flight: int
    received_at: float


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How one attempt ended; passed to routing when the upstream's slot is released.

    `cancelled` is set if this instance aborted the attempt: another attempt of the call answered
    first, or the caller disconnected.
    """

    state: AttemptState
    status: int = 0
    duration_s: float = 0.0
    signal: UpstreamSignal = UpstreamSignal.NONE
    report: LoadReport | None = None
    cancelled: bool = False
