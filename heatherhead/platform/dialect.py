"""The platform's request and answer headers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.dispatch.upstream_state import LoadReading
from heatherhead.platform.names import (
    DEADLINE_MS,
    EXPECT_UPSTREAM,
    LOAD,
    NOT_RUN,
    REQUEST_ID,
    STAMP,
    UPSTREAM_ID,
)
from heatherhead.proxy.dialect import AnswerMetadata

if TYPE_CHECKING:
    from multidict import CIMultiDict

    from heatherhead.proxy.dialect import Headers

__all__ = ["PlatformDialect"]

WRONG_UPSTREAM_STATUS = 421


class PlatformDialect:
    """Implements `Dialect`."""

    def request_id(self, headers: Headers) -> str | None:
        """Give the caller's id of the request."""
        return headers.get(REQUEST_ID)

    def client_timeout_s(self, headers: Headers) -> float | None:
        """Give the seconds that the caller waits; raises `ValueError`."""
        text = headers.get(DEADLINE_MS)
        return None if text is None else float(text) / 1000

    def set_request_headers(
        self, headers: CIMultiDict[str], upstream_id: str, remaining_s: float
    ) -> None:
        """Set what an upstream needs to know."""
        headers[DEADLINE_MS] = str(max(1, int(remaining_s * 1000)))
        headers[EXPECT_UPSTREAM] = upstream_id

    def set_answer_headers(self, headers: CIMultiDict[str], request_id: str | None) -> None:
        """Set the id on an answer of heatherhead's own."""
        if request_id is not None:
            headers[REQUEST_ID] = request_id

    def answer_metadata(self, status: int, headers: Headers) -> AnswerMetadata:
        """Read an upstream's answer."""
        wrong = status == WRONG_UPSTREAM_STATUS
        return AnswerMetadata(
            request_id=headers.get(REQUEST_ID),
            not_run=wrong or NOT_RUN in headers,
            wrong_upstream=wrong,
            # Callers ask for no encoding, so an encoded body is not the upstream's.
            authentic=STAMP in headers and "Content-Encoding" not in headers,
        )

    def is_health_answer(self, headers: Headers) -> bool:
        """Tell an answer of the health path from one to a request."""
        return UPSTREAM_ID in headers and REQUEST_ID not in headers

    def load_reading(self, headers: Headers, now: float) -> LoadReading | None:
        """Read `running,waiting,slots[,percent]`; work takes percent/100 as long as usual."""
        text = headers.get(LOAD)
        if text is None:
            return None
        try:
            figures = [float(part) for part in text.split(",")]
            slowdown = max(0.05, figures[3] / 100) if len(figures) > 3 else None
            return LoadReading(int(figures[0]), int(figures[1]), int(figures[2]), slowdown, now)
        except (ValueError, IndexError):
            return None
