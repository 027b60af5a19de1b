"""Parsing and formatting of the deadline header."""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.callers.headers import DEADLINE_MS

if TYPE_CHECKING:
    from multidict import CIMultiDictProxy

__all__ = ["requested_deadline_ms", "remaining_ms"]

_MAX_DIGITS = 10


def requested_deadline_ms(headers: CIMultiDictProxy[str], max_ms: int) -> int | None:
    """Return the deadline that the caller requested, at most `max_ms`; `None` without the header.

    Raises `ValueError` if the header is not a whole number above zero.
    """
    text = headers.get(DEADLINE_MS)
    if text is None:
        return None
    if not (text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS) or int(text) == 0:
        raise ValueError(f"{DEADLINE_MS} is not a whole number of milliseconds above zero")
    return min(int(text), max_ms)


def remaining_ms(deadline: float, now: float) -> int:
    """Return the whole milliseconds left until `deadline`, at least 1, to send to an upstream."""
    return max(1, int((deadline - now) * 1000))
