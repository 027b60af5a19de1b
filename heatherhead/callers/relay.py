"""Passes an upstream's answer on to the caller."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web

from heatherhead.callers.headers import (
    DRAINING,
    LOAD,
    NO_RETRY,
    NOT_RUN,
    end_to_end_headers,
)

from heatherhead.exceptions import OutcomeUnknownError
from heatherhead.upstreams.attempts import UNKNOWN_REMEDY

if TYPE_CHECKING:
    from aiohttp import ClientResponse
    from multidict import CIMultiDict

    from heatherhead.settings.callers import CallersSettings

__all__ = ["AnswerCutError", "abort_connection", "answer_headers", "relay_answer"]

SMALL_ANSWER_BYTES = 64 * 1024
_LINGER_ZERO = struct.pack("ii", 1, 0)  # closing then sends a reset, never a clean end
_NOT_FOR_CALLERS = frozenset({LOAD.lower(), DRAINING.lower(), NOT_RUN.lower()})
_GATEWAY_STATUSES = frozenset({502, 503, 504})


class AnswerCutError(ConnectionError):
    """The answer ended early; the caller's connection has been closed abruptly."""


def answer_headers(answer: ClientResponse) -> CIMultiDict[str]:
    """Build the headers of the caller's answer."""
    headers = end_to_end_headers(answer.headers, _NOT_FOR_CALLERS)
    headers.add("Via", "1.1 heatherhead")
    if answer.status in _GATEWAY_STATUSES:
        headers[NO_RETRY] = "true"
    return headers


async def relay_answer(
    request: web.BaseRequest, answer: ClientResponse, settings: CallersSettings, *, close: bool
) -> web.StreamResponse:
    """Stream an answer to the caller; `close` asks it to open another connection next time.

    Raises `AnswerCutError` when the upstream or the caller stops in the middle, and
    `OutcomeUnknownError` when nothing has reached the caller yet.
    """
    response = web.StreamResponse(
        status=answer.status, reason=answer.reason, headers=answer_headers(answer)
    )
    if close:
        response.force_close()
    try:
        await _copy(request, response, answer, settings)
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
        if not response.prepared:
            raise OutcomeUnknownError(
                "the upstream's answer ended early", remedy=UNKNOWN_REMEDY
            ) from error
        abort_connection(request)
        raise AnswerCutError(f"answer cut short: {error}") from error
    except asyncio.CancelledError:
        abort_connection(request)
        raise
    return response


async def _copy(
    request: web.BaseRequest,
    response: web.StreamResponse,
    answer: ClientResponse,
    settings: CallersSettings,
) -> None:
    length = answer.content_length
    if length is not None and length <= SMALL_ANSWER_BYTES:
        body = await answer.read()
        await response.prepare(request)
        if body:
            await response.write(body)
        await response.write_eof()
        return
    await response.prepare(request)
    content = answer.content
    while chunk := await content.readany():
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
