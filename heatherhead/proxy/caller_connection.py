"""A caller's connection: parses requests, runs them side by side and answers in order.

The parser is aiohttp's. Its server protocol is not used because it runs the requests of one
connection one after another.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import BadHttpMessage, HttpProcessingError, LineTooLong
from aiohttp.http_parser import HttpRequestParser

from heatherhead.proxy.messages import HttpCall, own_answer
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp import StreamReader
    from aiohttp.http_parser import RawRequestMessage

    from heatherhead.proxy.messages import Answer
    from heatherhead.routes.model import CallerLimits

__all__ = [
    "BodyMemoryError",
    "BodyTooLargeError",
    "CallerConnection",
    "CallerConnections",
    "Exchange",
    "create_caller_connections",
]

PARSER_BUFFER_BYTES = 64 * 1024
MAX_HEADERS = 128
MAX_PIPELINED = 32  # requests of one connection that are read ahead
DEFAULT_HELD_BYTES = 64 * 1024 * 1024
SWEEP_S = 0.5  # how often idle connections and slow heads are looked for
IDLE_SLACK_S = 2.0  # callers measure idle time from their side of the link
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_LINGER_ZERO = struct.pack("ii", 1, 0)  # closing then sends a reset, never a clean end


class BodyMemoryError(Exception):
    """The bodies on their way take all the memory that they may."""


class BodyTooLargeError(Exception):
    """The body passes the operator's limit."""


@dataclass(slots=True, eq=False)
class Exchange:
    """One request of a connection, from its head to its answer."""

    connection: CallerConnection
    message: RawRequestMessage
    payload: StreamReader
    received_at: float
    task: asyncio.Task[None] | None = None
    answer: Answer | None = None
    abandoned: bool = False  # the caller has left
    detached: bool = False  # may run on upstream after the caller has left
    first_in_line: asyncio.Event | None = None
    held_bytes: int = 0  # of the body

    async def wait_first_in_line(self) -> None:
        """Wait until all earlier requests of the connection are answered."""
        if self.connection.exchanges[0] is self:
            return
        self.first_in_line = asyncio.Event()
        await self.first_in_line.wait()

    async def read_call(self, limits: CallerLimits) -> HttpCall:
        """Read the body; raises `BodyTooLargeError` or an error of the connection."""
        message = self.message
        length = message.headers.get("Content-Length")
        if length is not None and int(length) > limits.max_body_bytes:
            raise BodyTooLargeError
        if message.headers.get("Expect", "").lower() == "100-continue":
            self.connection.invite(self)
        body = await self._read_body(limits.max_body_bytes)
        return HttpCall(message.method, message.path, message.headers, body, self.received_at)

    async def _read_body(self, max_bytes: int) -> bytes:
        payload = self.payload
        if payload.is_eof() and not payload.total_bytes:
            return b""
        parts = []
        size = 0
        while chunk := await payload.readany():
            size += len(chunk)
            if size > max_bytes:
                raise BodyTooLargeError
            self.connection.hold_bytes(self, len(chunk))
            parts.append(chunk)
        return parts[0] if len(parts) == 1 else b"".join(parts)


class CallerConnection(BaseProtocol):
    """One connection of a caller."""

    def __init__(self, owner: CallerConnections) -> None:
        loop = owner.loop
        limits = owner.limits()
        parser = HttpRequestParser(
            self,
            loop,
            PARSER_BUFFER_BYTES,
            max_line_size=limits.max_header_bytes,
            max_field_size=limits.max_header_bytes,
            max_headers=MAX_HEADERS,
            auto_decompress=False,
        )
        super().__init__(loop, parser)
        self._request_parser = parser
        self._owner = owner
        self.exchanges: deque[Exchange] = deque()
        self.active_at = loop.time()
        self.head_begun_at: float | None = None
        self._closing = False
        self._failed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection in."""
        super().connection_made(transport)
        self._owner.connections.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Give up what the caller no longer waits for."""
        super().connection_lost(exc)
        self._owner.connections.discard(self)
        for exchange in self.exchanges:
            exchange.abandoned = True
            payload = exchange.payload
            if not payload.is_eof() and payload.exception() is None:
                payload.set_exception(ConnectionResetError("the caller left"))
            if exchange.task is not None and not exchange.detached:
                exchange.task.cancel()
        self.exchanges.clear()

    def eof_received(self) -> bool:
        """Close: a caller that ends its side has left."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse requests and start them."""
        if self._failed or self._closing:
            return
        try:
            messages, upgraded, _ = self._request_parser.feed_data(data)
        except HttpProcessingError as error:
            self._refuse(error)
            return
        now = self._loop.time()
        self.active_at = now
        for message, payload in messages:
            self._begin(Exchange(self, message, payload, now))
        in_body = bool(self.exchanges) and not self.exchanges[-1].payload.is_eof()
        if messages or in_body or not data:
            self.head_begun_at = None
        elif self.head_begun_at is None:
            self.head_begun_at = now
        if upgraded:
            self._failed = True
        if len(self.exchanges) >= MAX_PIPELINED:
            self._pause_reading_for_buffer()

    def _begin(self, exchange: Exchange) -> None:
        self.exchanges.append(exchange)
        exchange.task = self._loop.create_task(self._run(exchange))

    async def _run(self, exchange: Exchange) -> None:
        try:
            answer = await self._owner.handle(exchange)
        except asyncio.CancelledError:
            if not exchange.abandoned:
                raise
            return
        except Exception as error:  # a fault of this program must not leave a caller waiting
            log_event("call_failed", level="ERROR", error=repr(error))
            answer = own_answer(502, "internal error; the call may have run")
        finally:
            self._owner.held_bytes -= exchange.held_bytes
        if exchange.abandoned:
            return
        exchange.answer = answer
        self._flush()

    def hold_bytes(self, exchange: Exchange, size: int) -> None:
        """Count bytes of a body in memory; raises `BodyMemoryError`."""
        if self._owner.held_bytes + size > self._owner.max_held_bytes:
            raise BodyMemoryError
        exchange.held_bytes += size
        self._owner.held_bytes += size

    def _flush(self) -> None:
        """Write the answers that are due, in the order of the requests."""
        while self.exchanges and self.exchanges[0].answer is not None and not self._closing:
            exchange = self.exchanges.popleft()
            self._write(exchange)
        if self.exchanges:
            waiting = self.exchanges[0].first_in_line
            if waiting is not None:
                waiting.set()
        if self._buffer_paused and len(self.exchanges) < MAX_PIPELINED:
            self._resume_reading_for_buffer()
        self.active_at = self._loop.time()

    def _write(self, exchange: Exchange) -> None:
        answer = exchange.answer
        assert answer is not None
        transport = self.transport
        if transport is None:
            return
        message = exchange.message
        unread = not exchange.payload.is_eof()
        close = answer.close or message.should_close or self._owner.leaving or unread
        head = [f"HTTP/1.1 {answer.status} {answer.reason}\r\n"]
        head.extend(f"{name}: {value}\r\n" for name, value in answer.headers.items())
        bodiless = answer.status in (204, 304) or answer.status < 200
        if not bodiless:
            length = len(answer.body) if answer.length is None else answer.length
            head.append(f"Content-Length: {length}\r\n")
        if close:
            head.append("Connection: close\r\n")
        elif message.version.minor == 0:
            head.append("Connection: keep-alive\r\n")
        head.append("\r\n")
        data = "".join(head).encode("utf-8", "surrogateescape")
        body = b"" if bodiless or message.method == "HEAD" else answer.body
        transport.write(data + body)
        if close:
            self.close()

    def invite(self, exchange: Exchange) -> None:
        """Ask the caller for the body that it announced."""
        if self.transport is not None and self.exchanges and self.exchanges[0] is exchange:
            self.transport.write(CONTINUE)

    def _refuse(self, error: HttpProcessingError) -> None:
        """Answer a request that can't be parsed, after those before it."""
        self._failed = True
        status = 431 if isinstance(error, LineTooLong) else 400
        if self.exchanges and not self.exchanges[-1].payload.is_eof():
            payload = self.exchanges[-1].payload
            if payload.exception() is None:
                payload.set_exception(BadHttpMessage("malformed body"))
            return
        log_event("request_refused", status=status, reason=str(error)[:80])
        if self.exchanges:
            self.exchanges[-1].message = self.exchanges[-1].message._replace(should_close=True)
            return
        self._answer_unread(status, "malformed request")

    def _answer_unread(self, status: int, reason: str) -> None:
        transport = self.transport
        if transport is None or self._closing:
            return
        answer = own_answer(status, reason)
        head = (
            f"HTTP/1.1 {status} {answer.reason}\r\nContent-Type: text/plain\r\n"
            f"Content-Length: {len(answer.body)}\r\nConnection: close\r\n\r\n"
        )
        transport.write(head.encode() + answer.body)
        self.close()

    def sweep(self, now: float, limits: CallerLimits) -> None:
        """Close the connection if it has been idle, or its head incomplete, for too long."""
        if self.head_begun_at is not None and not self.exchanges:
            if now - self.head_begun_at > limits.header_timeout_s:
                self._answer_unread(408, "the request's head took too long")
        elif not self.exchanges and now - self.active_at > limits.idle_timeout_s + IDLE_SLACK_S:
            self.close()

    def close(self) -> None:
        """Close after what has been written."""
        if self.transport is not None and not self._closing:
            self._closing = True
            self.transport.close()

    def abort(self) -> None:
        """Reset the connection, so that a cut answer can't be taken for a whole one."""
        transport = self.transport
        if transport is None:
            return
        connection = transport.get_extra_info("socket")
        if connection is not None:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
        transport.abort()


class CallerConnections:
    """All connections of callers to this instance."""

    def __init__(
        self,
        handle: Callable[[Exchange], Awaitable[Answer]],
        limits: Callable[[], CallerLimits],
        max_held_bytes: int,
    ) -> None:
        self.held_bytes = 0
        self.max_held_bytes = max_held_bytes
        self.loop = asyncio.get_running_loop()
        self.handle = handle
        self.limits = limits
        self.connections: set[CallerConnection] = set()
        self.leaving = False
        self._sweeps = self.loop.call_later(SWEEP_S, self._sweep)

    def create_connection(self) -> CallerConnection:
        """Create the protocol of an accepted connection."""
        return CallerConnection(self)

    def in_progress(self) -> int:
        """Count the requests that wait for an answer."""
        return sum(len(connection.exchanges) for connection in self.connections)

    def close_idle(self) -> None:
        """Close the connections without a request."""
        for connection in list(self.connections):
            if not connection.exchanges:
                connection.close()

    def stop(self) -> None:
        """Stop looking for idle connections."""
        self._sweeps.cancel()

    def _sweep(self) -> None:
        self._sweeps = self.loop.call_later(SWEEP_S, self._sweep)
        now = self.loop.time()
        limits = self.limits()
        for connection in list(self.connections):
            connection.sweep(now, limits)


def create_caller_connections(
    handle: Callable[[Exchange], Awaitable[Answer]],
    limits: Callable[[], CallerLimits],
    max_held_bytes: int = DEFAULT_HELD_BYTES,
) -> CallerConnections:
    """Create the set of callers' connections; must be called inside the running loop.

    `max_held_bytes` bounds the request bodies in memory.
    """
    return CallerConnections(handle, limits, max_held_bytes)
