"""Reading and streaming of request bodies from callers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.web import RequestPayloadError

from heatherhead.exceptions import BadCallError, CallCutError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from aiohttp import StreamReader
    from aiohttp.web import BaseRequest

    from heatherhead.settings.callers import CallersSettings

__all__ = ["CallBody", "read_body"]

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclass(slots=True)
class CallBody:
    """The body of a call: read completely into `buffered`, or left to be read from `stream`."""

    buffered: bytes | None = None
    stream: BodyStream | None = None

    @property
    def empty(self) -> bool:
        """Return whether the call has no body."""
        return self.buffered is None and self.stream is None

    @property
    def retryable(self) -> bool:
        """Return whether a further attempt could send the body from its start."""
        return self.stream is None or not self.stream.started


class BodyStream:
    """A body that is read from the caller only as fast as the upstream accepts it.

    `on_start` is called before the first read and `on_end` once the body has ended normally.
    """

    def __init__(self, request: BaseRequest, settings: CallersSettings) -> None:
        self._request = request
        self._settings = settings
        self.started = False
        self.error: BadCallError | CallCutError | None = None
        self.on_start: Callable[[], None] | None = None
        self.on_end: Callable[[], None] | None = None

    async def chunks(self) -> AsyncIterator[bytes]:
        """Iterate over the chunks of the body.

        An incomplete or invalid body raises `CallCutError` or `BadCallError`, so that the upstream
        never takes it for a complete one. The error is also kept in `error`.
        """
        self.started = True
        if self.on_start is not None:
            self.on_start()
        size = 0
        try:
            await _send_continue(self._request)
            while chunk := await _read_chunk(self._request.content, self._settings):
                size += len(chunk)
                if size > self._settings.max_body_bytes:
                    raise _body_too_large(self._settings)
                yield chunk
        except (BadCallError, CallCutError) as error:
            self.error = error
            raise
        if self.on_end is not None:
            self.on_end()


async def read_body(request: BaseRequest, settings: CallersSettings) -> CallBody:
    """Read a small body completely; leave a large one, or one of unknown length, as a stream.

    Raises `BadCallError` or `CallCutError`.
    """
    if not request.body_exists:
        return CallBody()
    length = request.content_length
    if length is not None and length > settings.max_body_bytes:
        raise _body_too_large(settings)
    if length is None or length > settings.buffered_body_bytes:
        return CallBody(stream=BodyStream(request, settings))
    await _send_continue(request)
    parts = []
    while chunk := await _read_chunk(request.content, settings):
        parts.append(chunk)
    return CallBody(buffered=b"".join(parts))


async def _send_continue(request: BaseRequest) -> None:
    if request.headers.get("Expect", "").lower() == "100-continue":
        transport = request.transport
        if transport is not None:
            transport.write(CONTINUE_RESPONSE)


async def _read_chunk(content: StreamReader, settings: CallersSettings) -> bytes:
    try:
        if content.is_eof():
            return await content.readany()
        async with asyncio.timeout(settings.body_idle_timeout_s):
            return await content.readany()
    except TimeoutError:
        raise BadCallError(
            f"no byte of the request body for {settings.body_idle_timeout_s} s",
            status=408,
            remedy="send the body without long pauses",
        ) from None
    except (HttpProcessingError, RequestPayloadError, ValueError) as error:
        raise BadCallError(
            f"the request body is malformed: {error}",
            status=400,
            remedy="send the body as its headers announce it",
        ) from error
    except OSError as error:
        raise CallCutError(
            "the caller's connection ended within the body", remedy="send the call again"
        ) from error


def _body_too_large(settings: CallersSettings) -> BadCallError:
    return BadCallError(
        f"the request body is larger than {settings.max_body_bytes} bytes",
        status=413,
        remedy="send less, or have the operator raise callers.max_body_bytes",
    )
