"""Splits the bytes of a connection into messages before they are parsed.

The parser reads on behind the end of an answer and keeps what it finds there. It is given whole heads
and the bytes of one body instead, so that what comes behind an answer is known and never becomes
part of the next one.
"""

from __future__ import annotations

import math
import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from heatherhead.proxy.answer_heads import begins_message, find_second_status_line

if TYPE_CHECKING:
    from aiohttp.http_parser import RawResponseMessage

__all__ = ["AnswerFraming", "FramingError", "create_answer_framing"]

STATUSES = range(100, 600)  # RFC 9110, 15: all others are invalid
STATUSES_WITHOUT_BODY = (204, 304)
MAX_INTERIM_ANSWERS = 64  # before one answer; a few are usual, and each costs a parsed head
_HEAD_END = re.compile(rb"\r?\n\r?\n")
_HEAD_END_BYTES = 4
_CHUNK_SIZE = re.compile(rb"0*([0-9A-Fa-f]{1,15})[ \t]*(?:;|$)")
_SPACE_BEHIND_NAME = re.compile(rb"^([^\s:]+)[ \t]+:", re.MULTILINE)
_CHUNK_END_BYTES = 2


class FramingError(Exception):
    """The bytes are not those of one message after the other; `place` says where, for logs."""

    def __init__(self, reason: str, place: str = "") -> None:
        super().__init__(reason)
        self.place = place


class _Body(Protocol):
    """Tells where a body ends."""

    ended: bool

    def measure(self, data: bytes) -> int:
        """Return how many of the next bytes belong to the body; raises `FramingError`."""
        ...


@dataclass(slots=True)
class _SizedBody:
    """A body with a length, infinite if it ends with the connection."""

    left: float

    @property
    def ended(self) -> bool:
        """Return whether all bytes have come."""
        return not self.left

    def measure(self, data: bytes) -> int:
        """Return how many of the next bytes belong to the body."""
        size = min(self.left, len(data))
        self.left -= size
        return int(size)


@dataclass(slots=True)
class _ChunkedBody:
    """A body in chunks, with the lines behind the last one."""

    ended: bool = False
    had_trailers: bool = False
    _chunk_left: int = 0  # bytes of the current chunk, with the line end behind it
    _line: bytes = b""  # a line that has begun
    _in_trailers: bool = False

    def measure(self, data: bytes) -> int:
        """Return how many of the next bytes belong to the body; raises `FramingError`."""
        position = 0
        while position < len(data) and not self.ended:
            if self._chunk_left:
                size = min(self._chunk_left, len(data) - position)
                self._chunk_left -= size
                position += size
                continue
            line_end = data.find(b"\n", position) + 1
            if not line_end:
                self._line += data[position:]
                return len(data)
            self._end_line((self._line + data[position:line_end]).rstrip(b"\r\n"))
            self._line = b""
            position = line_end
        return position

    def _end_line(self, line: bytes) -> None:
        if self._in_trailers:
            _refuse_second_status_line(line, 0)
            self.ended = not line
            self.had_trailers |= bool(line)
            return
        match = _CHUNK_SIZE.match(line)
        if match is None:
            raise FramingError("no chunk size")
        size = int(match[1], 16)
        self._in_trailers = not size
        self._chunk_left = size + _CHUNK_END_BYTES if size else 0


class AnswerFraming:
    """Gives out the bytes of one answer, and keeps those behind it."""

    def __init__(self, *, with_body: bool) -> None:
        self._with_body = with_body
        self._body: _Body | None = None  # none before the end of a head
        self._searched_bytes = 0
        self._interim_answers = 0  # before the answer
        self.pending = b""  # bytes not given out yet

    @property
    def in_head(self) -> bool:
        """Return whether the next bytes are of a head."""
        return self._body is None

    @property
    def in_body(self) -> bool:
        """Return whether the bytes given out last are of an answer that has not ended."""
        return self._body is not None and not self._body.ended

    @property
    def ended(self) -> bool:
        """Return whether the answer has been given out to its end."""
        return self._body is not None and self._body.ended

    @property
    def had_trailers(self) -> bool:
        """Return whether lines came behind the last chunk of the answer."""
        return isinstance(self._body, _ChunkedBody) and self._body.had_trailers

    def begin_answer(self) -> None:
        """Go on with the next answer."""
        self._body = None
        self._interim_answers = 0

    def append(self, data: bytes) -> None:
        """Add received bytes."""
        self.pending = self.pending + data if self.pending else data

    def take(self) -> bytes:
        """Return a whole head or a part of its body, nothing if more has to come first.

        Raises `FramingError`.
        """
        if not self.pending or self.ended:
            return b""
        if self._body is None:
            return self._take_head()
        return self._take_bytes(self._body.measure(self.pending))

    def _take_head(self) -> bytes:
        if not begins_message(self.pending):
            raise FramingError("no status line")
        self.pending = self.pending.lstrip(b"\r\n")
        match = _HEAD_END.search(self.pending, max(0, self._searched_bytes - _HEAD_END_BYTES))
        if match is None:
            self._searched_bytes = len(self.pending)
            return b""
        self._searched_bytes = 0
        head = self._take_bytes(match.end())
        _refuse_second_status_line(head, 1)
        if b" :" in head or b"\t:" in head:  # which RFC 9112, 5.1, has a proxy remove
            return _SPACE_BEHIND_NAME.sub(rb"\1:", head)
        return head

    def _take_bytes(self, size: int) -> bytes:
        data = self.pending
        if size == len(data):
            self.pending = b""
            return data
        self.pending = data[size:]
        return data[:size]

    def begin_body(self, message: RawResponseMessage) -> None:
        """Follow the body that a head announces; an interim answer is followed by another head.

        Raises `FramingError` if the head's status is none of HTTP, or if it is one interim answer
        too many.
        """
        if message.code not in STATUSES:
            raise FramingError(f"status {message.code}")
        if message.code < 200:
            self._interim_answers += 1
            if self._interim_answers > MAX_INTERIM_ANSWERS:
                raise FramingError("too many interim answers")
            return
        if not self._with_body or message.code in STATUSES_WITHOUT_BODY:
            self._body = _SizedBody(0)
        elif message.chunked:
            self._body = _ChunkedBody()
        else:
            length = message.headers.get("Content-Length")
            self._body = _SizedBody(math.inf if length is None else int(length))


def _refuse_second_status_line(lines: bytes, begins_at: int) -> None:
    place = find_second_status_line(lines, begins_at)
    if place is not None:
        raise FramingError("two messages in one head", place)


def create_answer_framing(*, with_body: bool = True) -> AnswerFraming:
    """Create the framing of a connection; without bodies for answers to HEAD."""
    return AnswerFraming(with_body=with_body)
