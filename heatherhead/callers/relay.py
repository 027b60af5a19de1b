"""Passes an upstream's answer on to the caller."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from heatherhead.callers.headers import (
    DRAINING,
    LOAD,
    NO_RETRY,
    NOT_RUN,
    REPLAYED,
    SERVER_NAME,
    end_to_end_headers,
)
from heatherhead.exceptions import OutcomeUnknownError
from heatherhead.upstreams.attempts import UNKNOWN_REMEDY

if TYPE_CHECKING:
    from aiohttp import ClientResponse

    from heatherhead.admission.key_table import RecordedAnswer
    from heatherhead.settings.callers import CallersSettings

__all__ = [
    "AnswerCutError",
    "abort_connection",
    "answer_headers",
    "is_small",
    "relay_answer",
    "relay_recorded",
]

SMALL_ANSWER_BYTES = 64 * 1024
_LINGER_ZERO = struct.pack("ii", 1, 0)  # closing then sends a reset, never a clean end
_NOT_FOR_CALLERS = (LOAD, DRAINING, NOT_RUN)
_GATEWAY_STATUSES = frozenset({502, 503, 504})


class AnswerCutError(ConnectionError):
    """The answer ended early; the caller's connection has been closed abruptly."""


def answer_headers(answer: ClientResponse, keep_promise: bool = False) -> CIMultiDict[str]:
    """Build the headers of the caller's answer."""
    headers = end_to_end_headers(answer.headers, _NOT_FOR_CALLERS)
    if keep_promise and answer.headers.get(NOT_RUN) == "true":
        headers[NOT_RUN] = "true"
    headers.add("Via", "1.1 heatherhead")
    headers.setdefault("Server", SERVER_NAME)
    if answer.status in _GATEWAY_STATUSES:
        headers[NO_RETRY] = "true"
    return headers


async def relay_answer(
    request: web.BaseRequest,
    answer: ClientResponse,
    settings: CallersSettings,
    *,
    close: bool,
    begun: bytes = b"",
    keep_promise: bool = False,
) -> web.StreamResponse:
    """Stream an answer to the caller; `close` asks it to open another connection next time.

    `begun` is the start of the body if that has been read already. `keep_promise` passes the
    header on that says that the call was not run.
    Raises `AnswerCutError` when the upstream or the caller stops in the middle, and
    `OutcomeUnknownError` when nothing has reached the caller yet.
    """
    headers = answer_headers(answer, keep_promise)
    if is_small(answer) and not begun:
        body = await _read_whole(answer)
        return await _send_whole(request, answer.status, answer.reason, headers, body, close=close)
    response = web.StreamResponse(status=answer.status, reason=answer.reason, headers=headers)
    if close:
        response.force_close()
    try:
        await _copy(request, response, answer, settings, begun)
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
        abort_connection(request)
        raise AnswerCutError(f"answer cut short: {error}") from error
    except asyncio.CancelledError:
        abort_connection(request)
        raise
    return response


def is_small(answer: ClientResponse) -> bool:
    """Tell whether an answer is read whole before the caller gets any of it."""
    length = answer.content_length
    return length is not None and length <= SMALL_ANSWER_BYTES


async def _read_whole(answer: ClientResponse) -> bytes:
    try:
        return await answer.read()
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
        raise OutcomeUnknownError(
            "the upstream's answer ended early", remedy=UNKNOWN_REMEDY
        ) from error


async def _send_whole(
    request: web.BaseRequest,
    status: int,
    reason: str | None,
    headers: CIMultiDict[str],
    body: bytes,
    *,
    close: bool,
) -> web.Response:
    """Send head and body in one write."""
    response = web.Response(status=status, reason=reason, headers=headers, body=body)
    if close:
        response.force_close()
    await response.prepare(request)
    await response.write_eof()
    return response


async def relay_recorded(
    request: web.BaseRequest, recorded: RecordedAnswer, *, close: bool, replayed: bool
) -> web.StreamResponse:
    """Send an answer that has been read whole."""
    headers: CIMultiDict[str] = CIMultiDict(recorded.headers)
    if replayed:
        headers[REPLAYED] = "true"
    return await _send_whole(request, recorded.status, None, headers, recorded.body, close=close)


async def _copy(
    request: web.BaseRequest,
    response: web.StreamResponse,
    answer: ClientResponse,
    settings: CallersSettings,
    begun: bytes,
) -> None:
    await response.prepare(request)
    if begun:
        await response.write(begun)
    content = answer.content
    while True:
        async with asyncio.timeout(settings.answer_idle_timeout_s):
            chunk = await content.readany()
        if not chunk:
            break
        async with asyncio.timeout(settings.answer_stall_timeout_s):
            await response.write(chunk)
    await response.write_eof()


def abort_connection(request: web.BaseRequest) -> None:
    """Reset the caller's connection, so that a cut answer can't be taken for a whole one."""
    transport = request.transport
    if transport is None:
        return
    connection = transport.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    transport.abort()
