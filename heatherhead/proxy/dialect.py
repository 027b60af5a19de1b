"""The interface through which the proxy reads and writes platform-specific headers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from heatherhead.dispatch.rate_limits import RateLimitEvidence
from heatherhead.dispatch.warmup import WarmupEvidence
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from multidict import CIMultiDict, CIMultiDictProxy

    from heatherhead.dispatch.upstream_state import LoadReading

    Headers = CIMultiDict[str] | CIMultiDictProxy[str]

__all__ = [
    "AnswerMetadata",
    "Dialect",
    "Headers",
    "read_pause_s",
    "read_rate_limit",
    "read_warmup",
]


@dataclass(frozen=True, slots=True)
class AnswerMetadata:
    """The platform-specific headers of an upstream's answer, decoded."""

    request_id: str | None
    not_run: bool  # the answer is marked as one to a request that was not run
    wrong_upstream: bool  # the status says that another upstream has the address
    authentic: bool  # the body was not altered on its way from the upstream
    sender: str | None  # the id that the upstream gives as its own


class Dialect(Protocol):
    """Reads and writes the headers of the protocol between callers, heatherhead and upstreams."""

    single_request_headers: tuple[str, ...]  # that stand once at most in a request

    def request_id(self, headers: Headers) -> str | None:
        """Return the request id that the caller set, if any."""
        ...

    def client_timeout_s(self, headers: Headers) -> float | None:
        """Return how long the caller waits for an answer; raises `ValueError` if malformed."""
        ...

    def caller_key(self, headers: Headers) -> str | None:
        """Return the customer's key that the caller sent; None if there is none, or several."""
        ...

    def copy_key(self, headers: CIMultiDict[str], received: Headers) -> None:
        """Copy the caller's key for a peer, also if `Connection` names its header."""
        ...

    def set_customer(self, headers: CIMultiDict[str], customer: str | None) -> None:
        """Replace the caller's key by the name of the customer that holds it, if there is one."""
        ...

    def set_request_headers(
        self, headers: CIMultiDict[str], upstream_id: str, remaining_s: float
    ) -> None:
        """Set the headers of a request to an upstream: its id and the remaining time."""
        ...

    def set_client_timeout(self, headers: CIMultiDict[str], remaining_s: float) -> None:
        """Set the header that tells how long the caller still waits."""
        ...

    def set_answer_headers(self, headers: CIMultiDict[str], request_id: str | None) -> None:
        """Set the headers of an answer that heatherhead itself generates."""
        ...

    def answer_metadata(self, status: int, headers: Headers) -> AnswerMetadata:
        """Decode the headers of an upstream's answer."""
        ...

    def is_health_answer(self, headers: Headers) -> bool:
        """Return whether the headers are those of a health check's answer, not of a call's."""
        ...

    def is_call_answer(self, headers: Headers) -> bool:
        """Return whether the headers say that a request of a caller was answered."""
        ...

    def load_reading(self, headers: Headers, now: float) -> LoadReading | None:
        """Return the load that an upstream reports, or `None` if absent or malformed."""
        ...

    def rate_limit(self, headers: Headers) -> float | None:
        """Return the requests a second that an upstream takes from all instances together.

        `None` if it names no limit; raises `ValueError` if the limit is malformed.
        """
        ...

    def pause_s(self, status: int, headers: Headers) -> float:
        """Return for how long an upstream wants no calls from here, infinite if it leaves.

        Raises `ValueError` if the time is malformed.
        """
        ...

    def warmup_left_s(self, headers: Headers) -> float:
        """Return for how long an upstream stays cold by a health check's answer, 0 if it is not.

        Raises `ValueError` if the time is malformed.
        """
        ...

    def answering_upstream(self, headers: Headers) -> str | None:
        """Return the id of the upstream that sent the answer, if the answer names it."""
        ...


def read_rate_limit(
    dialect: Dialect, headers: Headers, upstream_id: str, *, sent_at: float, now: float
) -> RateLimitEvidence | None:
    """Return what an answer tells of its upstream's rate limit, `None` if it is malformed.

    `sent_at` is when the request was sent that it answers.
    """
    try:
        limit = dialect.rate_limit(headers)
    except ValueError as error:
        log_event("rate_limit_unreadable", upstream=upstream_id, reason=error)
        return None
    return RateLimitEvidence(limit, sent_at if limit is None else now)


def read_pause_s(dialect: Dialect, status: int, headers: Headers, upstream_id: str) -> float:
    """Return for how long an upstream wants no calls from here, 0 if that is malformed."""
    try:
        return dialect.pause_s(status, headers)
    except ValueError as error:
        log_event("pause_unreadable", upstream=upstream_id, reason=error)
        return 0.0


def read_warmup(
    dialect: Dialect, headers: Headers, upstream_id: str, *, sent_at: float, now: float
) -> WarmupEvidence | None:
    """Return what a health check's answer tells of the warm-up, `None` if it is malformed."""
    try:
        left_s = dialect.warmup_left_s(headers)
    except ValueError as error:
        log_event("warmup_unreadable", upstream=upstream_id, reason=error)
        return None
    return WarmupEvidence(now + left_s, now) if left_s else WarmupEvidence(None, sent_at)
