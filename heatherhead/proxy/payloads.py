"""Ends the reading of a body that is not complete or not certain."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

    from aiohttp import StreamReader

__all__ = ["fail_payload", "release_frames"]


def fail_payload(loop: asyncio.AbstractEventLoop, payload: StreamReader, error: Exception) -> None:
    """Let the reader of a body fail with an error, also if the body has come to its end."""
    if payload.exception() is not None:
        return
    payload.set_exception(error)
    # A reader that the end of a chunk has just woken waits again without a look at the error.
    loop.call_soon(payload.set_exception, error)


def release_frames(error: Exception) -> Exception:
    """Remove the traceback of a payload's error.

    Its frames refer to the payload, which keeps the error; with them the body would stay in memory.
    """
    return error.with_traceback(None)
