"""Checks the head of a request that has been parsed.

If a request breaks off inside its head and another one follows on the connection, a parser takes the
request line of the second for the rest of the line at which the first one broke off.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from aiohttp import HttpVersion11

if TYPE_CHECKING:
    from collections.abc import Iterable

    from aiohttp.http_parser import RawRequestMessage

__all__ = ["find_head_fault"]

_REQUEST_LINE_END = re.compile(r"[A-Z] \S+ HTTP/\d\.\d$")


def find_head_fault(message: RawRequestMessage, single_names: Iterable[str]) -> str | None:
    """Return why a head is not that of one request, or its body can't be told from the next one.

    `single_names` are headers that stand once at most, beside those that the parser checks.
    """
    headers = message.headers
    for name in single_names:
        if len(headers.getall(name, ())) > 1:
            return f"two headers {name}"
    codings = headers.getall("Transfer-Encoding", ())
    if codings and (message.version < HttpVersion11 or _codings_of(codings) != ["chunked"]):
        return "a transfer coding that is not read here"
    return _find_request_line(message)


def _codings_of(values: Iterable[str]) -> list[str]:
    return [each.strip().lower() for each in ",".join(values).split(",")]


def _find_request_line(message: RawRequestMessage) -> str | None:
    """Return which header ends with a request line, ahead of the Host.

    Behind the Host, which callers send first, it is a value like any other: a second request would
    have brought a second Host.
    """
    for name, value in message.headers.items():
        if name.lower() == "host":
            return None
        if _REQUEST_LINE_END.search(value):
            return f"a request line in {name}"
    return None
