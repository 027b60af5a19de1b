"""Checks the bytes of a head before they are parsed.

If a message breaks off inside its head and another one follows on the connection, a parser takes the
status line of the second for the rest of the line at which the first one broke off.
"""

from __future__ import annotations

import re

__all__ = ["begins_message", "find_second_status_line", "holds_copy"]

_PROTOCOL = b"HTTP/1."
_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}(?=\s|$)")
MAX_NAME_BYTES = 40  # of a header in a log line
HEAD_SIGN_BYTES = 32  # of a head: its status line and the beginning of a header
_BLANK = b"\r\n"


def begins_message(data: bytes) -> bool:
    """Return whether bytes are the beginning of a message, which may follow blank lines."""
    start = data.lstrip(_BLANK)[: len(_PROTOCOL)]
    return _PROTOCOL.startswith(start)


def holds_copy(body: bytes, head: bytes) -> bool:
    """Return whether a body holds a head, begins with a part of it or ends in one."""
    sign = head[:HEAD_SIGN_BYTES]
    last = body.rfind(sign)
    if last < 0:
        return False
    return body.startswith(sign) or head.startswith(body[last:]) or head in body


def find_second_status_line(lines: bytes, begins_at: int) -> str | None:
    """Return which header, or `reason`, holds a status line at or behind a position."""
    match = _STATUS_LINE.search(lines, begins_at)
    if match is None:
        return None
    line = lines[lines.rfind(b"\n", 0, match.start()) + 1 : match.start()]
    name, colon, _ = line.partition(b":")
    return name[:MAX_NAME_BYTES].decode("ascii", "replace") if colon else "reason"
