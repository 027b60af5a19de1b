"""Logs bytes of an upstream that belong to no request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.proxy.answer_heads import begins_message
from heatherhead.telemetry.bounded_logs import log_routine

if TYPE_CHECKING:
    import asyncio

__all__ = ["log_stray_bytes"]

LOGGED_BYTES = 12  # of those that begin a message: its protocol and status


def log_stray_bytes(
    transport: asyncio.BaseTransport | None,
    what: str,
    data: bytes,
    calls: int,
    request_id: str = "",
) -> None:
    """Log stray bytes without their content, which may be of any caller's answer.

    `calls` is how many the connection has carried, `request_id` the call that waits on it.
    """
    name = None if transport is None else transport.get_extra_info("peername")
    log_routine(
        "stray_bytes",
        id=request_id,
        address=":".join(map(str, name[:2])) if name else "unknown",
        what=what,
        size=len(data),
        begins=data[:LOGGED_BYTES] if begins_message(data) else b"",
        calls=calls,
    )
