"""An HTTP/1.1 client connection to an upstream that carries one request at a time.

The parser is aiohttp's. Its client session is not used because it retries requests by itself and
can't distinguish an unexpected extra answer from the expected one. The parser is given one answer at
a time (`answer_framing`).
"""

from __future__ import annotations

import re
from collections import deque
from dataclasses import dataclass
from itertools import count
from typing import TYPE_CHECKING

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import HttpResponseParser

from heatherhead.proxy.answer_framing import FramingError, create_answer_framing
from heatherhead.proxy.answer_heads import begins_message, holds_copy
from heatherhead.proxy.answer_memory import AnswerMemoryError, HeldAnswer
from heatherhead.proxy.payloads import fail_payload, release_frames
from heatherhead.proxy.stray_bytes import log_stray_bytes

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable, Sequence

    from aiohttp import StreamReader
    from aiohttp.http_parser import RawResponseMessage

    from heatherhead.proxy.answer_memory import AnswerMemory

__all__ = ["BrokenAnswerError", "UpstreamAnswer", "UpstreamConnection"]

PARSER_BUFFER_BYTES = 256 * 1024
MAX_HEADER_BYTES = 32 * 1024
MAX_HEADERS = 128
PARSE_SLICE_BYTES = 64 * 1024  # between two checks of the limits, so that floods stop early
MAX_OVERHEAD_BYTES = 128 * 1024  # heads, interim answers, chunk framing and trailers of one call
MAX_OVERHEAD_PER_BODY_BYTE = 8  # a one-byte chunk has five bytes of framing
MAX_BEHIND_BYTES = 256 * 1024  # behind an answer: the most that one read brings
MAX_INTERIM_ANSWERS = 16  # answers with a status below 200 to one call; one or two are normal
MAX_ANSWERS = 4  # received in one call; a late duplicate is one more than expected
MAX_CARRIED_IDS = 256  # bounds the memory of a connection
_NUMBERS = count(1)
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d+)")


class BrokenAnswerError(Exception):
    """No complete answer was received; the upstream may have executed the request."""


@dataclass(slots=True)
class UpstreamAnswer:
    """A complete answer of an upstream."""

    status: int
    reason: str
    message: RawResponseMessage
    body: bytes
    held: HeldAnswer  # the memory of the body

    def header(self, name: str) -> str | None:
        """Return the value of a header."""
        return self.message.headers.get(name)


class UpstreamConnection(BaseProtocol):
    """The protocol of one connection to an upstream."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, memory: AnswerMemory, *, with_body: bool = True
    ) -> None:
        self._memory = memory
        self._with_body = with_body
        self._response_parser = self._create_parser(loop)
        super().__init__(loop, self._response_parser)
        self._framing = create_answer_framing(with_body=with_body)
        self._answer: tuple[RawResponseMessage, StreamReader] | None = None  # whose head has come
        self._heads: deque[bytes] = deque(maxlen=2)  # of the last answer and the one before it
        # Of the call in progress:
        self._request_id = ""
        self._received_bytes = 0
        self._skipped_bytes = 0  # bodies of skipped answers
        self._interim_answers = 0
        self._answers = 0
        self._waiter: asyncio.Future[None] | None = None
        self._failure: str | None = None  # why the answer in progress can't be complete
        self._lost = False
        self._eof = False
        self._unusable = False  # nothing more is read from it
        self._strayed = False  # bytes that belong to no request came on it; it is read, not reused
        self._carried_ids: set[int] = set()  # hashes, as ids may be long
        self.id_carried = False  # the id of the last request had been on the connection before
        self.number = next(_NUMBERS)  # for log lines
        self.busy = False
        self.calls = 0
        self.idle_since = loop.time()
        self.idle_timeout_s: float | None = None
        self.on_lost: Callable[[UpstreamConnection], None] | None = None
        self.on_stray_bytes: Callable[[str], None] | None = None  # called with what came

    def _create_parser(self, loop: asyncio.AbstractEventLoop) -> HttpResponseParser:
        return HttpResponseParser(
            self,
            loop,
            PARSER_BUFFER_BYTES,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            max_headers=MAX_HEADERS,
            response_with_body=self._with_body,
            read_until_eof=True,
            auto_decompress=False,
        )

    @property
    def usable(self) -> bool:
        """Return whether the connection is open and fit for another request."""
        return not (self._lost or self._unusable or self._strayed or self.transport is None)

    def has_carried(self, request_id: str) -> bool:
        """Return whether a request with an id was sent, so that a copy of its answer may come."""
        return hash(request_id) in self._carried_ids

    @property
    def answers_began(self) -> bool:
        """Return whether bytes have come since the last request was sent."""
        return self._received_bytes > 0

    def data_received(self, data: bytes) -> None:
        """Parse bytes received from the upstream."""
        if self._unusable:
            return
        if not self.busy and data:
            self._report_stray_bytes("bytes without a request", data)
            self._break("bytes without a request")
            return
        if not data:  # resumes the parser on buffered bytes
            self._parse(data)
        for start in range(0, len(data), PARSE_SLICE_BYTES):
            part = data[start : start + PARSE_SLICE_BYTES]
            self._received_bytes += len(part)
            self._framing.append(part)
            self._parse_answer()
            self._check_limits()
            if self._unusable:
                return

    def _parse_answer(self) -> None:
        """Parse what has come of an answer, and nothing behind it."""
        try:
            while not self._unusable and (data := self._framing.take()):
                self._parse(data)
        except FramingError as error:
            self._report_stray_bytes(f"{error} {error.place}".rstrip(), self._framing.pending)
            self._break(f"not HTTP: {error}")
            return
        if self._failure is not None and not self._unusable:  # it is lost, and this is the rest
            if self._eof:
                self._parse_end()
            self._fail(self._failure)

    def _parse(self, data: bytes) -> None:
        is_head = bool(data) and self._framing.in_head
        try:
            messages, upgraded, _ = self._response_parser.feed_data(data)
            if not is_head and self._parser_stands():
                # A pause at the end of an earlier body makes the parser stop here once.
                messages, upgraded, _ = self._response_parser.feed_data(b"")
        except HttpProcessingError as error:
            self._report_stray_bytes(f"refused by the parser: {type(error).__name__}", data)
            self._break(f"not HTTP: {type(error).__name__}")
            return
        if upgraded:
            self._break("an unasked upgrade")
        elif is_head:
            self._begin_message(data, messages)
        elif messages or not self._ends_as_parsed():
            self._report_stray_bytes("an answer without a certain end", data)
            self._break("not HTTP: an answer without a certain end")

    def _begin_message(
        self, head: bytes, messages: Sequence[tuple[RawResponseMessage, StreamReader]]
    ) -> None:
        if len(messages) != 1:
            self._break("not HTTP: a head of no message")
            return
        message, payload = messages[0]
        self._framing.begin_body(message)
        if message.code < 200:
            self._interim_answers += 1
            return
        self._answers += 1
        self._heads.append(head)
        self._answer = (message, payload)
        self._wake_waiter()

    def _ends_as_parsed(self) -> bool:
        """Return whether framing and parser agree on the end of the answer, as far as known."""
        if self._answer is None:
            return True
        parsed = self._answer[1].is_eof()
        return parsed == self._framing.ended or (not parsed and self._reading_paused)

    def _parser_stands(self) -> bool:
        """Return whether the parser has all bytes of an answer and has not ended it."""
        if self._answer is None or not self._framing.ended or self._reading_paused:
            return False
        return not self._answer[1].is_eof()

    def _check_limits(self) -> None:
        """Abort if the upstream sends excessive overhead, interim answers or extra answers."""
        behind = len(self._framing.pending) if self._framing.ended else 0
        if behind > MAX_BEHIND_BYTES:
            self._break("bytes without an end behind the answer")
        if self._received_bytes > MAX_OVERHEAD_BYTES:
            body = self._skipped_bytes
            if self._answer is not None:
                body += self._answer[1].total_bytes
            overhead = self._received_bytes - body - behind
            if overhead > MAX_OVERHEAD_BYTES + MAX_OVERHEAD_PER_BODY_BYTE * body:
                self._break(f"{overhead} bytes that are no body")
        if self._interim_answers > MAX_INTERIM_ANSWERS:
            self._break("interim answers without an end")

    def eof_received(self) -> bool:
        """Complete an answer that is delimited by the end of the connection.

        Such an answer is complete only after a clean close, not after a reset.
        """
        self._lost = self._eof = True
        if not self._unusable:
            self._parse_end()
        self._fail("closed before an answer")
        return False

    def _parse_end(self) -> None:
        """End the answer that the connection ends with."""
        if not self._framing.in_body:
            return
        try:
            self._response_parser.feed_eof()
        except HttpProcessingError as error:
            self._break(f"cut short: {error}")

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the call in progress."""
        super().connection_lost(exc)
        self._lost = True
        self._fail(f"connection lost: {exc}")
        if self.on_lost is not None:
            self.on_lost(self)

    def _break(self, reason: str) -> None:
        self._unusable = True
        self._fail(reason)
        self.abort()

    def _report_stray_bytes(self, what: str, data: bytes = b"") -> None:
        """Log bytes that belong to no request, and let the connection not be reused."""
        log_stray_bytes(self.transport, what, data, self.calls, self._request_id)
        if not self._strayed and self.on_stray_bytes is not None:
            self.on_stray_bytes(what)
        self._strayed = True

    def _fail(self, reason: str) -> None:
        # Not an error: its traceback would refer to the frames of the call, and they to this.
        self._failure = self._failure or reason
        if self._answer is not None and not self._answer[1].is_eof():
            fail_payload(self._loop, self._answer[1], BrokenAnswerError(reason))
        self._wake_waiter()

    def _wake_waiter(self) -> None:
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def exchange(
        self,
        data: bytes,
        is_match: Callable[[RawResponseMessage], bool],
        request_id: str = "",
    ) -> UpstreamAnswer:
        """Send a request and return its complete answer; raises `BrokenAnswerError`.

        `request_id` is for log lines.
        An answer for which `is_match` is false belongs to an earlier request: it is skipped, and
        the connection is not reused. On cancellation the connection is aborted.
        """
        assert self.transport is not None
        self.busy = True
        self._request_id = request_id
        self.id_carried = self.has_carried(request_id)
        if request_id:
            self._carried_ids.add(hash(request_id))
        self.calls += 1
        self._begin_call()
        try:
            self.transport.write(data)
            while True:
                message, payload = await self._next_answer()
                held = HeldAnswer(self._memory)
                try:
                    body = await self._read(message, payload, held)
                    if is_match(message):
                        self._check_boundaries(body)
                        break
                except BaseException:
                    held.release()
                    raise
                held.release()
                self._skip_answer()
            held.settle()
            self._update_reuse(message)
            return UpstreamAnswer(message.code, message.reason, message, body, held)
        except BaseException:
            self.abort()
            raise
        finally:
            self.busy = False
            self._request_id = ""
            self._answer = None
            self.idle_since = self._loop.time()

    def _begin_call(self) -> None:
        self._begin_answer()
        self._received_bytes = self._skipped_bytes = self._interim_answers = self._answers = 0

    def _begin_answer(self) -> None:
        """Prepare for the next answer."""
        self._answer = None
        if self._framing.had_trailers:  # which the parser would add to its headers
            self._parser = self._response_parser = self._create_parser(self._loop)
        self._framing.begin_answer()

    async def _next_answer(self) -> tuple[RawResponseMessage, StreamReader]:
        while self._answer is None:
            if self._failure is not None:
                raise BrokenAnswerError(self._failure)
            self._waiter = self._loop.create_future()
            await self._waiter
        return self._answer

    def _skip_answer(self) -> None:
        """Go on to the answer behind one to an earlier request, which may have come already."""
        assert self._answer is not None
        self._report_stray_bytes("an answer to another request")
        if self._answers >= MAX_ANSWERS:
            raise BrokenAnswerError("answers without an end")
        self._skipped_bytes += self._answer[1].total_bytes
        self._begin_answer()
        self._parse_answer()

    def _check_boundaries(self, body: bytes) -> None:
        """Raise `BrokenAnswerError` if an answer may hold bytes of another one.

        Bytes behind it that begin no message may be the rest of its body. A copy of this or of the
        last answer may also be inside the body, or at the end of one without a length.
        """
        if self._unusable and self._failure is not None:
            raise BrokenAnswerError(self._failure)
        pending = self._framing.pending.lstrip(b"\r\n")
        if pending:
            self._report_stray_bytes("bytes behind an answer", pending)
            if not begins_message(pending):
                raise BrokenAnswerError("not HTTP: bytes behind the answer")
        if any(holds_copy(body, head) for head in self._heads):
            self._report_stray_bytes("an answer inside another one")
            raise BrokenAnswerError("not HTTP: the head of an answer in its body")

    async def _read(
        self, message: RawResponseMessage, payload: StreamReader, held: HeldAnswer
    ) -> bytes:
        parts: list[bytes] = []
        size = 0
        try:
            text = message.headers.get("Content-Length", "")
            announced_size = int(text) if text.isdecimal() and not payload.is_eof() else 0
            self._memory.check_content_length(announced_size)
            while chunk := await payload.readany():
                size += len(chunk)
                await held.grow(size, announced_size)
                parts.append(chunk)
        except AnswerMemoryError as error:
            parts.clear()  # which the traceback would keep
            raise BrokenAnswerError(f"too large: {error}") from error
        except BrokenAnswerError as error:
            raise BrokenAnswerError(str(error)) from release_frames(error)
        except (HttpProcessingError, OSError, ValueError) as error:
            raise BrokenAnswerError(f"cut short: {error}") from release_frames(error)
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def _update_reuse(self, message: RawResponseMessage) -> None:
        transport = self.transport
        request_unsent = transport is not None and transport.get_write_buffer_size() > 0
        behind = bool(self._framing.pending)
        full = len(self._carried_ids) >= MAX_CARRIED_IDS
        if message.should_close or self._strayed or behind or request_unsent or self._lost or full:
            if request_unsent:
                self.abort()  # else the rest stays in memory until the upstream reads it
            else:
                self._unusable = True
                self.close()
            return
        match = _KEEP_ALIVE_TIMEOUT.search(message.headers.get("Keep-Alive", ""))
        self.idle_timeout_s = float(match.group(1)) if match else None

    def close(self) -> None:
        """Close after pending writes are flushed."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Abort the connection at once, which makes the upstream cancel the request."""
        self._unusable = True
        if self.transport is not None:
            self.transport.abort()
