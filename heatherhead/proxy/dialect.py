"""The interface through which the proxy reads and writes platform-specific headers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from multidict import CIMultiDict, CIMultiDictProxy

    from heatherhead.dispatch.upstream_state import LoadReading

    Headers = CIMultiDict[str] | CIMultiDictProxy[str]

__all__ = ["AnswerMetadata", "Dialect"]


@dataclass(frozen=True, slots=True)
class AnswerMetadata:
    """The platform-specific headers of an upstream's answer, decoded."""

    request_id: str | None
    not_run: bool  # the upstream states that it has not executed the request
    wrong_upstream: bool  # the address now belongs to another upstream
    authentic: bool  # the body was not altered on its way from the upstream


class Dialect(Protocol):
    """Reads and writes the headers of the protocol between callers, heatherhead and upstreams."""

    def request_id(self, headers: Headers) -> str | None:
        """Return the request id that the caller set, if any."""
        ...

    def client_timeout_s(self, headers: Headers) -> float | None:
        """Return how long the caller waits for an answer; raises `ValueError` if malformed."""
        ...

    def set_request_headers(
        self, headers: CIMultiDict[str], upstream_id: str, remaining_s: float
    ) -> None:
        """Set the headers of a request to an upstream: its id and the remaining time."""
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

    def load_reading(self, headers: Headers, now: float) -> LoadReading | None:
        """Return the load that an upstream reports, or `None` if absent or malformed."""
        ...
