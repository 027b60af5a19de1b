"""Reads how long a call may take."""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.callers.headers import DEADLINE_MS

if TYPE_CHECKING:
    from multidict import CIMultiDictProxy

__all__ = ["asked_deadline_ms", "remaining_ms"]

_MAX_DIGITS = 10


def asked_deadline_ms(headers: CIMultiDictProxy[str], longest_ms: int) -> int | None:
    """Read the caller's milliseconds, at most `longest_ms`; `None` if it sent none.

    Raises `ValueError` for a header that is no whole number above zero.
    """
    text = headers.get(DEADLINE_MS)
    if text is None:
        return None
    if not (text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS) or int(text) == 0:
        raise ValueError(f"{DEADLINE_MS} is not a whole number of milliseconds above zero")
    return min(int(text), longest_ms)


def remaining_ms(deadline: float, now: float) -> int:
    """Give the whole milliseconds left, never below one, to tell an upstream."""
    return max(1, int((deadline - now) * 1000))
