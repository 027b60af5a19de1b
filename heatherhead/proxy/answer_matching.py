"""Tells the answer to a request from others that come on its connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from aiohttp.http_parser import RawResponseMessage

    from heatherhead.proxy.dialect import Dialect

__all__ = ["answers_call", "answers_health_check"]

MAX_LOGGED_ID = 64  # characters


def answers_call(
    dialect: Dialect,
    message: RawResponseMessage,
    request_id: str,
    sender: object,
    *,
    reused: bool,
    may_lack_id: bool = True,
) -> bool:
    """Return whether an answer is a call's, and log one that is not.

    On a reused connection the answer has to name the call, as a copy of an earlier answer, or of a
    health check's, may come first. `sender` is the upstream or the peer.
    """
    headers = message.headers
    echoed = dialect.request_id(headers)
    if echoed is None and may_lack_id and not (reused and request_id):
        # A health check names no upstream that it expects, so its answer is never of a wrong one.
        misdirected = dialect.answer_metadata(message.code, headers).wrong_upstream
        matches = misdirected or not dialect.is_health_answer(headers)
    else:
        matches = (echoed or "") == request_id
    if not matches:
        _log_skipped(message, request_id, echoed, sender)
    return matches


def answers_health_check(dialect: Dialect, message: RawResponseMessage, sender: object) -> bool:
    """Return whether an answer is a health check's, and log one that is not.

    Calls use the connection too, and an answer to one may come late.
    """
    if not dialect.is_call_answer(message.headers):
        return True
    _log_skipped(message, "health check", dialect.request_id(message.headers), sender)
    return False


def _log_skipped(
    message: RawResponseMessage, request_id: str, echoed: str | None, sender: object
) -> None:
    log_event(
        "answer_skipped",
        id=request_id,
        upstream=sender,
        of=(echoed or "none")[:MAX_LOGGED_ID],
        status=message.code,
    )
