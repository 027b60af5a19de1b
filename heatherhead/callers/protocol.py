"""HTTP/1.1 connections of callers, with limits on their number, sizes and idle times."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong
from aiohttp.web_protocol import RequestHandler, _ErrInfo

from heatherhead.callers.problems import problem_of, problem_response
from heatherhead.exceptions import HeatherheadError, OutcomeUnknownError
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Awaitable, Callable

    from heatherhead.settings.callers import CallersSettings

__all__ = ["CallersProtocol", "CallersServer", "create_callers_server"]

LINGERING_TIMEOUT_S = 2.0
READ_BUFFER_BYTES = 128 * 1024


class CallersProtocol(RequestHandler):
    """One connection of a caller; closed if a request head takes longer than `head_timeout_s`."""

    __slots__ = ("_head_timer", "_head_timeout_s")

    def __init__(
        self,
        manager: CallersServer,
        *,
        loop: asyncio.AbstractEventLoop,
        head_timeout_s: float,
        **options: object,
    ) -> None:
        super().__init__(manager, loop=loop, **options)  # type: ignore[arg-type]
        self._head_timeout_s = head_timeout_s
        self._head_timer: asyncio.TimerHandle | None = None

    def data_received(self, data: bytes) -> None:
        """Feed the parser, and time the request head if it is incomplete."""
        super().data_received(data)
        if self._messages and isinstance(self._messages[-1][0], _ErrInfo):
            self._fail_body()
        if self._messages or self._current_request is not None:
            if self._head_timer is not None:
                self._head_timer.cancel()
                self._head_timer = None
        elif self._head_timer is None and self.is_idle:
            self._head_timer = self._loop.call_later(self._head_timeout_s, self._on_head_timeout)

    @property
    def is_idle(self) -> bool:
        """Return whether the connection is waiting for a request."""
        return self._waiter is not None and not self._waiter.done()

    @property
    def head_started(self) -> bool:
        """Return whether a request head has been received in part."""
        return self._head_timer is not None

    def _fail_body(self) -> None:
        """Fail the body being read; on invalid data the parser leaves its reader waiting."""
        request = self._current_request
        if request is not None and not request.content.is_eof():
            request.content.set_exception(web.RequestPayloadError("bad chunk"))

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the head timer of a lost connection."""
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None
        super().connection_lost(exc)

    def _on_head_timeout(self) -> None:
        self._head_timer = None
        if self.is_idle:
            self.force_close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a malformed request, or one whose handling failed, and close the connection."""
        if status == 400:
            error: HeatherheadError = _bad_request(exc, message)
        else:
            log_event("call_failed", level="ERROR", error=repr(exc))
            error = HeatherheadError(
                "the call failed inside heatherhead", remedy="report the logged error"
            )
        response = problem_response(problem_of(error))
        response.force_close()
        return response


def _bad_request(exc: BaseException | None, message: str | None) -> OutcomeUnknownError:
    """Return the error of a request that can't be read, whose call may have run by an earlier one."""
    reason = (message or str(exc) or "the request is not HTTP/1.1").splitlines()[0][:200]
    if isinstance(exc, LineTooLong):
        return OutcomeUnknownError(
            "the request line or a header is too long", status=431, remedy="send less"
        )
    return OutcomeUnknownError(reason, status=400, remedy="send one well-formed HTTP/1.1 request")


class CallersServer(web.Server):
    """Creates the protocol of each connection and closes connections beyond the limit."""

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        settings: CallersSettings,
    ) -> None:
        super().__init__(
            handler,  # type: ignore[arg-type]
            handler_cancellation=True,
            access_log=None,
            logger=_library_logger(),
            keepalive_timeout=settings.idle_timeout_s,
            max_line_size=settings.max_target_bytes,
            max_field_size=settings.max_header_bytes,
            max_headers=settings.max_headers,
            lingering_time=LINGERING_TIMEOUT_S,
            read_bufsize=READ_BUFFER_BYTES,
            auto_decompress=False,
        )
        self._settings = settings

    def __call__(self) -> RequestHandler:
        """Create the protocol of one connection."""
        return CallersProtocol(
            self,
            loop=self._loop,
            head_timeout_s=self._settings.head_timeout_s,
            **self._kwargs,
        )

    def open_connections(self) -> list[CallersProtocol]:
        """List the open connections."""
        return [each for each in self._connections if isinstance(each, CallersProtocol)]

    def connection_made(self, handler: RequestHandler, transport: asyncio.Transport) -> None:
        """Register a connection, or close it at once if there are too many."""
        super().connection_made(handler, transport)
        if len(self._connections) > self._settings.max_connections:
            log_event("connection_refused", level="WARNING", connections=len(self._connections))
            transport.abort()


def _library_logger() -> logging.Logger:
    logger = logging.getLogger("heatherhead.callers.aiohttp")
    logger.addHandler(logging.NullHandler())
    logger.propagate = False
    return logger


def create_callers_server(
    handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    settings: CallersSettings,
) -> CallersServer:
    """Create the server of the port for callers; must be called inside the running loop."""
    return CallersServer(handler, settings)
