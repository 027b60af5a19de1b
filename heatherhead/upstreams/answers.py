"""Reads upstream state and retry hints from the head of an answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.callers.headers import DRAINING, LOAD, NO_RETRY, NOT_RUN
from heatherhead.calls import LoadReport, UpstreamSignal

if TYPE_CHECKING:
    from aiohttp import ClientResponse

__all__ = ["is_final", "load_report", "says_not_run", "signal_of_answer"]

NEW_CONNECTION_MAX_CALLS = 50
_MAX_LOAD_DIGITS = 9
_HTTP_1_1 = (1, 1)


def says_not_run(answer: ClientResponse) -> bool:
    """Return whether an answer says that its call was not run; which call that is, it doesn't say."""
    return answer.status == 503 and answer.headers.get(NOT_RUN) == "true"


def is_final(answer: ClientResponse) -> bool:
    """Return whether a proxy closer to the failure has already retried the call."""
    return answer.headers.get(NO_RETRY) == "true"


def signal_of_answer(answer: ClientResponse, connection_calls: int) -> UpstreamSignal:
    """Return the upstream's signal in an answer: draining, shedding load or none.

    Many servers close each connection after a number of calls, so a close is read as draining only
    on a connection that has served few calls. A draining server closes the next connection as well.
    """
    headers = answer.headers
    if headers.get(DRAINING) == "true" or (
        connection_calls <= NEW_CONNECTION_MAX_CALLS and _announces_close(answer)
    ):
        return UpstreamSignal.DRAINING
    if says_not_run(answer):
        return UpstreamSignal.SHEDDING
    return UpstreamSignal.NONE


def _announces_close(answer: ClientResponse) -> bool:
    if answer.version is None or tuple(answer.version) < _HTTP_1_1:
        return False
    return answer.headers.get("Connection", "").lower() == "close"


def load_report(answer: ClientResponse, now: float) -> LoadReport | None:
    """Return the calls in flight that the upstream reports; None without a valid report."""
    text = answer.headers.get(LOAD)
    if text is None or not text.isascii() or not text.isdigit() or len(text) > _MAX_LOAD_DIGITS:
        return None
    return LoadReport(int(text), now)
