"""HTTP/1.1 server connections: parses requests, handles them concurrently and answers in order.

The parser is aiohttp's. Its server protocol is not used because it handles the requests of one
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
from aiohttp.http_exceptions import HttpProcessingError, LineTooLong
from aiohttp.http_parser import HttpRequestParser

from heatherhead.proxy.answer_memory import create_answer_memory
from heatherhead.proxy.messages import HttpRequest, own_answer
from heatherhead.proxy.payloads import fail_payload, release_frames
from heatherhead.proxy.request_heads import find_head_fault
from heatherhead.telemetry.bounded_logs import log_routine
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Collection

    from aiohttp import StreamReader
    from aiohttp.http_parser import RawRequestMessage

    from heatherhead.proxy.answer_memory import AnswerMemory, HeldAnswer
    from heatherhead.proxy.messages import Answer
    from heatherhead.routes.model import CallerLimits

__all__ = [
    "BodyMemoryError",
    "BodyTooLargeError",
    "CallerConnection",
    "CallerConnections",
    "Exchange",
    "MalformedBodyError",
    "create_caller_connections",
]

PARSER_BUFFER_BYTES = 64 * 1024
MAX_HEADERS = 128
MAX_PIPELINED_REQUESTS = 32  # with so many unanswered, no further request is taken
MAX_AHEAD_BYTES = 256 * 1024  # of requests not taken yet; with more, the connection ends
AHEAD_PART_BYTES = 4096  # parsed at once, so that few requests are taken beyond the maximum
DEFAULT_MAX_HELD_BYTES = 64 * 1024 * 1024
SWEEP_INTERVAL_S = 0.5  # between checks for idle connections and incomplete heads
IDLE_TIMEOUT_MARGIN_S = 2.0  # callers, whose idle time begins later, then close first
CONTINUE_ANSWER = b"HTTP/1.1 100 Continue\r\n\r\n"
STALLED_S = 2.0  # longer than the retransmission of a lost packet
MIN_PROGRESS_BYTES = 64 * 1024  # in `STALLED_S`, of a caller whose answer others wait for
MAX_JOINED_BODY_BYTES = 64 * 1024  # larger bodies are not copied behind their head
MAX_LOGGED_REASON = 80  # characters
HEAD_END = b"\r\n\r\n"  # also that of a body in chunks, with or without trailers
LINGER_S = 2.0  # for the caller to read the last answer and close; bytes left unread would reset it
_LINGER_ZERO = struct.pack("ii", 1, 0)  # SO_LINGER of 0 s: close sends RST, not FIN


class BodyMemoryError(Exception):
    """Request bodies in progress use all the memory that is allowed for them."""


class BodyTooLargeError(Exception):
    """The body exceeds the configured limit."""


class MalformedBodyError(Exception):
    """The body is not complete, or not certain to be the request's own."""


@dataclass(slots=True, eq=False)
class Exchange:
    """One request of a connection, from its parsed head to its answer."""

    connection: CallerConnection
    message: RawRequestMessage
    payload: StreamReader
    received_at: float
    task: asyncio.Task[None] | None = None
    answer: Answer | None = None
    abandoned: bool = False  # the caller has closed the connection
    detached: bool = False  # not cancelled on disconnect: an upstream may execute it already
    earlier_answered: asyncio.Event | None = None
    body_read: bool = False
    held_bytes: int = 0  # of the body, counted in `CallerConnections.held_bytes`

    async def wait_for_earlier_answers(self) -> None:
        """Wait until all earlier requests of the connection are answered."""
        if self.connection.exchanges[0] is self:
            return
        self.earlier_answered = asyncio.Event()
        await self.earlier_answered.wait()

    async def read_request(self, limits: CallerLimits) -> HttpRequest:
        """Read the body.

        Raises `BodyTooLargeError`, `BodyMemoryError`, `MalformedBodyError` or a connection error.
        """
        message = self.message
        length = message.headers.get("Content-Length")
        if length is not None and int(length) > limits.max_body_bytes:
            raise BodyTooLargeError
        if message.headers.get("Expect", "").lower() == "100-continue":
            await self.wait_for_earlier_answers()
            self.connection.send_continue(self)
        body = await self._read_body(limits.max_body_bytes)
        self.body_read = True
        return HttpRequest(message.method, message.path, message.headers, body, self.received_at)

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
            self.connection.reserve_body_bytes(self, len(chunk))
            parts.append(chunk)
        return parts[0] if len(parts) == 1 else b"".join(parts)


class CallerConnection(BaseProtocol):
    """The protocol of one connection of a caller."""

    def __init__(self, owner: CallerConnections) -> None:
        loop = owner.loop
        self._request_parser = _create_parser(self, loop, owner.limits())
        super().__init__(loop, self._request_parser)
        self._owner = owner
        self.exchanges: deque[Exchange] = deque()
        self.active_at = loop.time()
        self.head_started_at: float | None = None
        self._closing = False
        self._failed = False
        self._chunked_payload: StreamReader | None = None  # of a request that the parser has read
        self._last_bytes = b""
        self._ahead = bytearray()  # received while no request is taken; counted by the owner
        self._ending = False  # no further request is taken; it closes after the last answer
        self._linger_timer: asyncio.TimerHandle | None = None
        self._unsent: list[HeldAnswer] = []  # of answers that the caller has not taken yet
        self._unsent_bytes = 0  # at `_progress_at`, and of the answers since
        self._progress_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        super().connection_made(transport)
        self._owner.connections.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the requests in progress, except detached ones."""
        super().connection_lost(exc)
        self._owner.connections.discard(self)
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        self._release_sent()
        self._drop_ahead()
        for exchange in self.exchanges:
            exchange.abandoned = True
            payload = exchange.payload
            if not payload.is_eof() and payload.exception() is None:
                payload.set_exception(ConnectionResetError("the caller closed the connection"))
            if exchange.task is not None and not exchange.detached:
                exchange.task.cancel()
        self.exchanges.clear()

    def resume_writing(self) -> None:
        """Release the memory of the answers that the caller has taken."""
        super().resume_writing()
        self._release_sent()

    def _release_sent(self) -> None:
        for held in self._unsent:
            held.release()
        self._unsent.clear()

    def eof_received(self) -> bool:
        """Close the connection; a half-closed one is not served further."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse requests and start handling them."""
        if self._failed or self._closing or (self._ending and not self._receives_body()):
            return
        if data and (self._ahead or self._is_full()):
            self._hold_ahead(data)
        else:
            self._parse(data)

    def _parse(self, data: bytes) -> None:
        try:
            messages, upgraded, _ = self._request_parser.feed_data(data)
        except HttpProcessingError as error:
            self._reject_malformed(error)
            return
        now = self._loop.time()
        self.active_at = now
        for message, payload in messages:
            if self._ending:
                self._failed = True  # those behind it are not read either
                break
            fault = find_head_fault(message, self._owner.single_names)
            if fault is not None:
                self._refuse(400, fault)
                break
            if self._chunked_payload is not None:
                self._end_behind_chunks()
                break
            if message.chunked:
                self._chunked_payload = payload
            self._start(Exchange(self, message, payload, now))
        self._renew_parser(data)
        if messages or self._receives_body() or not data:
            self.head_started_at = None
        elif self.head_started_at is None:
            self.head_started_at = now
        if upgraded:
            self._end_after_last()

    def _is_full(self) -> bool:
        """Return whether too many requests are unanswered to take another one."""
        return len(self.exchanges) >= MAX_PIPELINED_REQUESTS and not self._receives_body()

    def _hold_ahead(self, data: bytes) -> None:
        """Keep data for later.

        Reading is never paused for that, since only a reader sees that the caller has left. Requests
        beyond the bounds are not taken: their callers send them on another connection.
        """
        fits = len(self._ahead) + len(data) <= MAX_AHEAD_BYTES
        if not fits or not self._owner.reserve(len(data)):
            log_routine("requests_not_read", reason="too many sent ahead", caller=self._caller())
            self._drop_ahead()
            self._end_after_last()
            return
        self._ahead += data

    def _take_ahead(self) -> None:
        """Go on with the data that was held back."""
        while self._ahead and not self._is_full():
            if self._failed or self._closing or (self._ending and not self._receives_body()):
                self._drop_ahead()
                return
            part = bytes(self._ahead[:AHEAD_PART_BYTES])
            del self._ahead[:AHEAD_PART_BYTES]
            self._owner.held_bytes -= len(part)
            self._parse(part)

    def _drop_ahead(self) -> None:
        self._owner.held_bytes -= len(self._ahead)
        self._ahead.clear()

    def _renew_parser(self, data: bytes) -> None:
        """Replace the parser behind a body in chunks.

        It would add the last trailer to the headers of the next request. Requests whose bytes it
        has read already are not taken: their callers send them on another connection.
        """
        if self._chunked_payload is None:
            return
        self._last_bytes = (self._last_bytes + data)[-len(HEAD_END) :]
        if self._failed or not self._chunked_payload.is_eof():
            return
        if self._last_bytes != HEAD_END:
            self._end_behind_chunks()
            return
        self._parser = self._request_parser = _create_parser(self, self._loop, self._owner.limits())
        self._chunked_payload = None

    def _end_behind_chunks(self) -> None:
        log_routine("requests_not_read", reason="behind a body in chunks", caller=self._caller())
        self._end_after_last()

    def _receives_body(self) -> bool:
        """Return whether the body of the last request is incomplete."""
        return bool(self.exchanges) and not self.exchanges[-1].payload.is_eof()

    def _start(self, exchange: Exchange) -> None:
        self.exchanges.append(exchange)
        exchange.task = self._loop.create_task(self._handle(exchange))

    async def _handle(self, exchange: Exchange) -> None:
        try:
            answer = await self._owner.handle(exchange)
        except asyncio.CancelledError:
            if not exchange.abandoned:
                raise
            return
        except MalformedBodyError:
            answer = own_answer(400, "malformed body", close=True)
        except Exception as error:  # after an internal error the caller still gets an answer
            log_event("call_failed", level="ERROR", error=repr(error))
            answer = own_answer(502, "internal error; the call may have run")
        finally:
            self._owner.held_bytes -= exchange.held_bytes
            payload_error = exchange.payload.exception()
            if payload_error is not None:
                release_frames(payload_error)
        if exchange.abandoned:
            return
        exchange.answer = answer
        self._flush()
        if self._receives_body() and self.exchanges[-1] is exchange:
            # It waits behind others. The rest of its body is dropped, so that a close is seen.
            self._end_after_last()
            self._resume_transport_reading()

    def reserve_body_bytes(self, exchange: Exchange, size: int) -> None:
        """Count body bytes as held in memory; raises `BodyMemoryError` at the bound."""
        if not self._owner.reserve(size):
            raise BodyMemoryError
        exchange.held_bytes += size

    def _flush(self) -> None:
        """Write the finished answers in the order of the requests."""
        while self.exchanges and self.exchanges[0].answer is not None and not self._closing:
            exchange = self.exchanges.popleft()
            self._write(exchange)
        if self.exchanges:
            event = self.exchanges[0].earlier_answered
            if event is not None:
                event.set()
        self._take_ahead()
        self.active_at = self._loop.time()

    def _write(self, exchange: Exchange) -> None:
        answer = exchange.answer
        assert answer is not None
        transport = self.transport
        if transport is None:
            return
        message = exchange.message
        body_unread = not exchange.payload.is_eof()
        if answer.close or message.should_close or self._owner.leaving or body_unread:
            self._ending = True
        close = self._ending and not self.exchanges
        head = [f"HTTP/1.1 {answer.status} {answer.reason}\r\n"]
        head.extend(f"{name}: {value}\r\n" for name, value in answer.headers.items())
        without_body = answer.status in (204, 304) or answer.status < 200
        if not without_body:
            length = len(answer.body) if answer.length is None else answer.length
            head.append(f"Content-Length: {length}\r\n")
        if close:
            head.append("Connection: close\r\n")
        elif message.version.minor == 0:
            head.append("Connection: keep-alive\r\n")
        head.append("\r\n")
        data = "".join(head).encode("utf-8", "surrogateescape")
        body = b"" if without_body or message.method == "HEAD" else answer.body
        if len(body) <= MAX_JOINED_BODY_BYTES:
            transport.write(data + body)
        else:
            transport.writelines((data, body))
        if answer.held is not None:
            self._hold_until_sent(answer.held, len(data) + len(body))
        if close:
            self._close_after_reading()

    def _hold_until_sent(self, held: HeldAnswer, size: int) -> None:
        """Release an answer's memory, or keep it counted while the caller takes the answer."""
        if not self.writing_paused or self.transport is None:
            held.release()
            return
        if not self._unsent:
            self._progress_at = self._loop.time()
            self._unsent_bytes = self.transport.get_write_buffer_size()
        else:
            self._unsent_bytes += size
        self._unsent.append(held)

    def abort_if_stalled(self, now: float) -> None:
        """Reset the connection if its caller has hardly read for `STALLED_S`."""
        if self.transport is None or not self._unsent or now - self._progress_at < STALLED_S:
            return
        unsent_bytes = self.transport.get_write_buffer_size()
        if unsent_bytes > self._unsent_bytes - MIN_PROGRESS_BYTES:
            log_event("caller_stalled", level="WARNING", unsent_bytes=unsent_bytes)
            self.abort()
            return
        self._progress_at, self._unsent_bytes = now, unsent_bytes

    def send_continue(self, exchange: Exchange) -> None:
        """Send 100 Continue if the request is the next to be answered."""
        if self.transport is not None and self.exchanges and self.exchanges[0] is exchange:
            self.transport.write(CONTINUE_ANSWER)

    def _reject_malformed(self, error: HttpProcessingError) -> None:
        """Refuse bytes that can't be parsed, and the request in whose body they are or may be."""
        status = 431 if isinstance(error, LineTooLong) else 400
        reason = str(error)[:MAX_LOGGED_REASON]
        if not self.exchanges or not _has_doubtful_body(self.exchanges[-1]):
            self._refuse(status, reason)
            return
        self._log_refusal(status, f"in or behind a body: {reason}")
        fail_payload(self._loop, self.exchanges[-1].payload, MalformedBodyError())
        self._end_after_last()

    def _refuse(self, status: int, reason: str) -> None:
        """Refuse a request and read none behind it; those before it are still answered."""
        self._log_refusal(status, reason)
        self._end_after_last()
        if not self.exchanges:
            self._answer_and_close(status, "malformed request")

    def _end_after_last(self) -> None:
        """Read nothing more, and close after the answer to the last request."""
        self._failed = True
        if self.exchanges:
            self.exchanges[-1].message = self.exchanges[-1].message._replace(should_close=True)

    def _log_refusal(self, status: int, reason: str) -> None:
        log_routine("request_refused", status=status, reason=reason, caller=self._caller())

    def _caller(self) -> str:
        name = self.transport.get_extra_info("peername") if self.transport is not None else None
        return ":".join(map(str, name[:2])) if name else "unknown"

    def _answer_and_close(self, status: int, reason: str) -> None:
        transport = self.transport
        if transport is None or self._closing:
            return
        answer = own_answer(status, reason)
        head = (
            f"HTTP/1.1 {status} {answer.reason}\r\nContent-Type: text/plain\r\n"
            f"Content-Length: {len(answer.body)}\r\nConnection: close\r\n\r\n"
        )
        transport.write(head.encode() + answer.body)
        self._close_after_reading()

    @property
    def has_unsent_bytes(self) -> bool:
        """Return whether the caller has not taken all that was written."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def close_if_timed_out(self, now: float, limits: CallerLimits) -> None:
        """Close the connection if its idle timeout or header timeout has expired."""
        if self.head_started_at is not None and not self.exchanges:
            if now - self.head_started_at > limits.header_timeout_s:
                self._answer_and_close(408, "the request's head took too long")
        elif (
            not self.exchanges
            and now - self.active_at > limits.idle_timeout_s + IDLE_TIMEOUT_MARGIN_S
        ):
            self.close()

    def _close_after_reading(self) -> None:
        """Close once the caller has, or after `LINGER_S`; what it sends meanwhile is dropped."""
        transport = self.transport
        if transport is None or self._closing or transport.is_closing():
            return
        self._closing = True
        transport.write_eof()
        self._resume_transport_reading()
        self._linger_timer = self._loop.call_later(LINGER_S, transport.close)

    def close(self) -> None:
        """Close after pending writes are flushed."""
        if self.transport is not None and not self._closing:
            self._closing = True
            self.transport.close()

    def abort(self) -> None:
        """Reset the connection, so that a truncated answer can't be taken for a complete one."""
        transport = self.transport
        if transport is None:
            return
        connection = transport.get_extra_info("socket")
        if connection is not None:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
        transport.abort()


def _create_parser(
    protocol: BaseProtocol, loop: asyncio.AbstractEventLoop, limits: CallerLimits
) -> HttpRequestParser:
    return HttpRequestParser(
        protocol,
        loop,
        PARSER_BUFFER_BYTES,
        max_line_size=limits.max_header_bytes,
        max_field_size=limits.max_header_bytes,
        max_headers=MAX_HEADERS,
        auto_decompress=False,
    )


def _has_doubtful_body(exchange: Exchange) -> bool:
    """Return whether malformed bytes behind the last ones of a request may be part of its body.

    They may as long as it has not been handled. The end of a body in chunks is certain.
    """
    if not exchange.payload.is_eof():
        return True
    return (
        not exchange.body_read and exchange.payload.total_bytes > 0 and not exchange.message.chunked
    )


class CallerConnections:
    """All connections of callers to this instance."""

    def __init__(
        self,
        handle: Callable[[Exchange], Awaitable[Answer]],
        limits: Callable[[], CallerLimits],
        max_held_bytes: int,
        answer_memory: AnswerMemory,
        single_names: Collection[str],
    ) -> None:
        self.held_bytes = 0
        self.max_held_bytes = max_held_bytes
        self.loop = asyncio.get_running_loop()
        self.answer_memory = answer_memory
        self.handle = handle
        self.limits = limits
        self.single_names = single_names
        self.connections: set[CallerConnection] = set()
        self.leaving = False
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def create_connection(self) -> CallerConnection:
        """Create the protocol of an accepted connection."""
        return CallerConnection(self)

    def reserve(self, size: int) -> bool:
        """Count bytes of requests as held in memory, or return that the bound doesn't allow it."""
        if self.held_bytes + size > self.max_held_bytes:
            return False
        self.held_bytes += size
        return True

    def in_progress(self) -> int:
        """Count the unanswered requests."""
        return sum(len(connection.exchanges) for connection in self.connections)

    def unsent(self) -> int:
        """Count the connections whose callers have not taken all of their answers."""
        return sum(connection.has_unsent_bytes for connection in self.connections)

    def close_idle(self) -> None:
        """Close the connections without a request."""
        for connection in list(self.connections):
            if not connection.exchanges:
                connection.close()

    def stop(self) -> None:
        """Stop the periodic check of connections."""
        self._sweep_timer.cancel()

    def _sweep(self) -> None:
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self.loop.time()
        limits = self.limits()
        for connection in list(self.connections):
            connection.close_if_timed_out(now, limits)
            if self.answer_memory.is_awaited:
                connection.abort_if_stalled(now)


def create_caller_connections(
    handle: Callable[[Exchange], Awaitable[Answer]],
    limits: Callable[[], CallerLimits],
    max_held_bytes: int = DEFAULT_MAX_HELD_BYTES,
    answer_memory: AnswerMemory | None = None,
    single_names: Collection[str] = (),
) -> CallerConnections:
    """Create the set of callers' connections; must be called inside the running loop.

    `max_held_bytes` bounds the memory of request bodies, `answer_memory` that of answers.
    A request that has a header of `single_names` twice is refused.
    """
    return CallerConnections(
        handle, limits, max_held_bytes, answer_memory or create_answer_memory(), single_names
    )
