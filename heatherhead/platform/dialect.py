"""The platform's request and answer headers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from heatherhead.dispatch.upstream_state import LoadReading
from heatherhead.platform.names import (
    AUTHORIZATION,
    CUSTOMER,
    DEADLINE_MS,
    EXPECT_UPSTREAM,
    LEAVING,
    LOAD,
    NOT_RUN,
    RATE_LIMIT,
    REQUEST_ID,
    RETRY_AFTER,
    STAMP,
    UPSTREAM_ID,
    WARMUP_LEFT_MS,
)
from heatherhead.proxy.dialect import AnswerMetadata

if TYPE_CHECKING:
    from collections.abc import Iterable

    from multidict import CIMultiDict

    from heatherhead.proxy.dialect import Headers

__all__ = ["PlatformDialect"]

WRONG_UPSTREAM_STATUS = 421
TURNED_AWAY_STATUS = 503
KEY_SCHEME = "token"
MAX_WARMUP_MS = 86_400_000.0  # as in an upstream's entry


class PlatformDialect:
    """Implements `Dialect`."""

    single_request_headers = (REQUEST_ID, DEADLINE_MS)

    def request_id(self, headers: Headers) -> str | None:
        """Return the request id that the caller set, if any."""
        return headers.get(REQUEST_ID)

    def client_timeout_s(self, headers: Headers) -> float | None:
        """Return how long the caller waits for an answer; raises `ValueError` if malformed."""
        text = headers.get(DEADLINE_MS)
        return None if text is None else float(text) / 1000

    def caller_key(self, headers: Headers) -> str | None:
        """Return the customer's key that the caller sent; None if there is none, or several."""
        values = headers.getall(AUTHORIZATION, ())
        if len(values) != 1:
            return None
        scheme, _, key = values[0].strip().partition(" ")
        return key.strip() or None if scheme.lower() == KEY_SCHEME else None

    def copy_key(self, headers: CIMultiDict[str], received: Headers) -> None:
        """Copy the caller's key for a peer, also if `Connection` names its header."""
        headers.popall(AUTHORIZATION, None)
        headers.extend((AUTHORIZATION, value) for value in received.getall(AUTHORIZATION, ()))

    def set_customer(self, headers: CIMultiDict[str], customer: str | None) -> None:
        """Replace the caller's key by the name of the customer that holds it, if there is one."""
        headers.popall(AUTHORIZATION, None)
        headers.popall(CUSTOMER, None)
        if customer is not None:
            headers[CUSTOMER] = customer

    def set_request_headers(
        self, headers: CIMultiDict[str], upstream_id: str, remaining_s: float
    ) -> None:
        """Set the headers of a request to an upstream: its id and the remaining time."""
        self.set_client_timeout(headers, remaining_s)
        headers[EXPECT_UPSTREAM] = upstream_id

    def set_client_timeout(self, headers: CIMultiDict[str], remaining_s: float) -> None:
        """Set the header that tells how long the caller still waits."""
        headers[DEADLINE_MS] = str(max(1, int(remaining_s * 1000)))

    def set_answer_headers(self, headers: CIMultiDict[str], request_id: str | None) -> None:
        """Set the request id on an answer that heatherhead itself generates."""
        if request_id is not None:
            headers[REQUEST_ID] = request_id

    def answer_metadata(self, status: int, headers: Headers) -> AnswerMetadata:
        """Decode the headers of an upstream's answer."""
        return AnswerMetadata(
            request_id=headers.get(REQUEST_ID),
            not_run=NOT_RUN in headers,
            wrong_upstream=status == WRONG_UPSTREAM_STATUS,
            # Callers accept no encoding, so an encoded body was altered on its way.
            authentic=len(headers.getall(STAMP, ())) == 1
            and len(headers.getall(REQUEST_ID, ())) == 1
            and "Content-Encoding" not in headers,
            sender=_only_name(headers.getall(UPSTREAM_ID, ())),
        )

    def is_health_answer(self, headers: Headers) -> bool:
        """Return whether the headers are those of a health check's answer, not of a call's."""
        return UPSTREAM_ID in headers and not self.is_call_answer(headers)

    def is_call_answer(self, headers: Headers) -> bool:
        """Return whether the headers say that a request of a caller was answered."""
        return REQUEST_ID in headers or STAMP in headers

    def load_reading(self, headers: Headers, now: float) -> LoadReading | None:
        """Parse `running,waiting,slots[,percent]`; `percent` is service time relative to normal."""
        text = headers.get(LOAD)
        if text is None:
            return None
        try:
            numbers = [float(part) for part in text.split(",")]
            if not all(map(math.isfinite, numbers)):
                return None
            slowdown = max(0.05, numbers[3] / 100) if len(numbers) > 3 else None
            return LoadReading(int(numbers[0]), int(numbers[1]), int(numbers[2]), slowdown, now)
        except (ValueError, IndexError):
            return None

    def rate_limit(self, headers: Headers) -> float | None:
        """Return the requests a second that an upstream takes from all instances together.

        `None` if it names no limit; raises `ValueError` if the limit is malformed.
        """
        text = headers.get(RATE_LIMIT)
        if text is None:
            return None
        limit = float(text)
        if not math.isfinite(limit) or limit < 0:
            raise ValueError(f"{text!r} is no rate")
        return limit

    def pause_s(self, status: int, headers: Headers) -> float:
        """Return for how long an upstream wants no calls from here, infinite if it leaves.

        Raises `ValueError` if the time is malformed.
        """
        if headers.get(LEAVING, "").strip() == "1":
            return math.inf
        text = headers.get(RETRY_AFTER)
        if text is None or status != TURNED_AWAY_STATUS:
            return 0.0
        pause_s = float(text)
        if not math.isfinite(pause_s) or pause_s < 0:
            raise ValueError(f"{text!r} is no time")
        return pause_s

    def warmup_left_s(self, headers: Headers) -> float:
        """Return for how long an upstream stays cold by a health check's answer, 0 if it is not.

        Raises `ValueError` if the time is malformed.
        """
        text = headers.get(WARMUP_LEFT_MS)
        if text is None:
            return 0.0
        left_ms = float(text)
        if not 0 <= left_ms <= MAX_WARMUP_MS:
            raise ValueError(f"{text!r} is no time")
        return left_ms / 1000

    def answering_upstream(self, headers: Headers) -> str | None:
        """Return the id of the upstream that sent the answer, if the answer names it."""
        return headers.get(UPSTREAM_ID)


def _only_name(values: Iterable[str]) -> str | None:
    """Return the name that a header gives, none if it gives several or an empty one."""
    names = ",".join(values).split(",")
    return names[0].strip() or None if len(names) == 1 else None
