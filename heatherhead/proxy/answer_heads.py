"""Finds heads that were read from two messages.

If a message breaks off inside its head and another one follows on the connection, the parser takes
the status line of the second for the rest of the line at which the first one broke off.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from aiohttp.http_parser import RawResponseMessage

__all__ = ["find_second_status_line"]

_STATUS_LINE = re.compile(r"HTTP/\d\.\d \d{3}(?: |$)")


def find_second_status_line(message: RawResponseMessage) -> str | None:
    """Return what of a head holds another message's status line: a header's name or `reason`."""
    if _STATUS_LINE.search(message.reason):
        return "reason"
    for name, value in message.headers.items():
        if "HTTP/" in value and _STATUS_LINE.search(value):
            return name
    return None
