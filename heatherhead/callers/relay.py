"""Relays the answer of an upstream to the caller."""

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
    "is_buffered",
    "relay_answer",
    "send_recorded_answer",
]

MAX_BUFFERED_ANSWER_BYTES = 64 * 1024
_LINGER_ZERO = struct.pack("ii", 1, 0)  # close() then sends a TCP reset instead of an orderly end
_UPSTREAM_ONLY_HEADERS = (LOAD, DRAINING, NOT_RUN)
_GATEWAY_STATUSES = frozenset({502, 503, 504})


class AnswerCutError(ConnectionError):
    """The answer ended early, and the caller's connection has been reset or lost."""


def answer_headers(answer: ClientResponse, keep_not_run: bool = False) -> CIMultiDict[str]:
    """Build the headers of the answer to the caller."""
    headers = end_to_end_headers(answer.headers, _UPSTREAM_ONLY_HEADERS)
    if keep_not_run and answer.headers.get(NOT_RUN) == "true":
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
    close_connection: bool,
    body_start: bytes = b"",
    keep_not_run: bool = False,
) -> web.StreamResponse:
    """Send an answer to the caller: a small one in one write, a larger one as a stream.

    `close_connection` closes the connection after the answer. `body_start` is the part of the body
    that has already been read. `keep_not_run` keeps the header that says that the call did not
    run.
    Raises `AnswerCutError` if the upstream or the caller stops during a stream, and
    `OutcomeUnknownError` if the upstream stops before anything has been sent to the caller.
    """
    headers = answer_headers(answer, keep_not_run)
    if is_buffered(answer) and not body_start:
        body = await _read_body(answer)
        return await _send_buffered(
            request, answer.status, answer.reason, headers, body, close_connection=close_connection
        )
    response = web.StreamResponse(status=answer.status, reason=answer.reason, headers=headers)
    if close_connection:
        response.force_close()
    try:
        await _stream_body(request, response, answer, settings, body_start)
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
        abort_connection(request)
        raise AnswerCutError(f"answer cut short: {error}") from error
    except asyncio.CancelledError:
        abort_connection(request)
        raise
    return response


def is_buffered(answer: ClientResponse) -> bool:
    """Return whether an answer is read completely before any of it is sent to the caller."""
    length = answer.content_length
    return length is not None and length <= MAX_BUFFERED_ANSWER_BYTES


async def _read_body(answer: ClientResponse) -> bytes:
    try:
        return await answer.read()
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
        raise OutcomeUnknownError(
            "the upstream's answer ended early", remedy=UNKNOWN_REMEDY
        ) from error


async def _send_buffered(
    request: web.BaseRequest,
    status: int,
    reason: str | None,
    headers: CIMultiDict[str],
    body: bytes,
    *,
    close_connection: bool,
) -> web.Response:
    """Send the head and the body in one write."""
    response = web.Response(status=status, reason=reason, headers=headers, body=body)
    if close_connection:
        response.force_close()
    await response.prepare(request)
    await response.write_eof()
    return response


async def send_recorded_answer(
    request: web.BaseRequest, recorded: RecordedAnswer, *, close_connection: bool, replayed: bool
) -> web.StreamResponse:
    """Send an answer from the key table; `replayed` marks one recorded for an earlier request."""
    headers: CIMultiDict[str] = CIMultiDict(recorded.headers)
    if replayed:
        headers[REPLAYED] = "true"
    return await _send_buffered(
        request, recorded.status, None, headers, recorded.body, close_connection=close_connection
    )


async def _stream_body(
    request: web.BaseRequest,
    response: web.StreamResponse,
    answer: ClientResponse,
    settings: CallersSettings,
    body_start: bytes,
) -> None:
    await response.prepare(request)
    if body_start:
        await response.write(body_start)
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
    """Reset the caller's connection, so that an incomplete answer can't be taken for complete."""
    transport = request.transport
    if transport is None:
        return
    connection = transport.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    transport.abort()
