"""Protocol of a connection to an upstream that keeps its answers apart.

The one of aiohttp keeps a message that comes while the connection is idle, and takes it for the answer
to the next call. Its parser takes the bytes of two answers for one if the first was cut.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any

from aiohttp import ClientPayloadError
from aiohttp.http_exceptions import HttpProcessingError

from heatherhead.client_connections import ClientConnection
from heatherhead.proxy.answer_framing import FramingError, create_answer_framing
from heatherhead.proxy.answer_heads import begins_message
from heatherhead.proxy.stray_bytes import log_stray_bytes

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from aiohttp import StreamReader
    from aiohttp.http_parser import RawResponseMessage

    from heatherhead.proxy.answer_framing import AnswerFraming

__all__ = ["AnswerProtocol", "create_answer_protocol"]

MAX_OVERHEAD_BYTES = 512 * 1024  # heads, interim answers, chunk framing and trailers of one call
MAX_OVERHEAD_PER_BODY_BYTE = 8  # a one-byte chunk has five bytes of framing
_PROTOCOL = b"HTTP/1."  # all heads begin with it, and it is found faster than they are


class AnswerProtocol(ClientConnection):
    """Gives the parser the bytes of one answer to each call, and refuses all others."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.calls = 0
        self.on_stray_bytes: Callable[[str], None] | None = None  # called with what came
        self._framing: AnswerFraming | None = None  # of the last call
        self._heads: deque[bytes] = deque(maxlen=2)  # of the last answer and the one before it
        self._received_bytes = 0  # of the last call
        self._strayed = False  # bytes that belong to no call came on it

    @property
    def should_close(self) -> bool:
        """Return whether the connection is unfit for another call."""
        framing = self._framing
        if self._strayed or framing is None or not framing.ended or framing.pending:
            return True
        return super().should_close

    def set_response_params(self, *, skip_payload: bool = False, **params: Any) -> None:
        """Begin a call; `skip_payload` for answers without a body."""
        self._framing = create_answer_framing(with_body=not skip_payload)
        self._received_bytes = 0
        super().set_response_params(skip_payload=skip_payload, **params)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the answer to the call in progress."""
        if not data:  # resumes the parser on buffered bytes
            super().data_received(data)
        elif not self._strayed:
            try:
                self._receive(data)
            except FramingError as error:
                self._refuse(f"{error} {error.place}".rstrip(), data)

    def _receive(self, data: bytes) -> None:
        framing = self._framing
        if framing is None or framing.ended:
            raise FramingError("bytes without a call")
        framing.append(data)
        self._received_bytes += len(data)
        while part := framing.take():
            self._parse(framing, part)
        self._check_overhead()
        if framing.ended and framing.pending:
            self._report("bytes behind an answer", framing.pending)

    def _check_overhead(self) -> None:
        """Raise `FramingError` if far more has come than a body; the framing holds some of it."""
        body = 0 if self._payload is None else self._payload.total_bytes
        overhead = self._received_bytes - body
        if overhead > MAX_OVERHEAD_BYTES + MAX_OVERHEAD_PER_BODY_BYTE * body:
            raise FramingError(f"{overhead} bytes that are no body")

    def _parse(self, framing: AnswerFraming, part: bytes) -> None:
        """Parse a whole head or a part of a body; raises `FramingError`."""
        if framing.in_head:
            self._heads.append(part)
        else:
            _check_end(framing, reused=self.calls > 1)
            if _PROTOCOL in part and any(head in part for head in self._heads):
                raise FramingError("an answer inside another one")
        super().data_received(part)
        if isinstance(self._exception, HttpProcessingError):
            raise FramingError("refused by the parser")
        payload = self._payload
        unended = payload is not None and not payload.is_eof() and not self._reading_paused
        if framing.ended and unended:
            raise FramingError("an answer without a certain end")

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """Take a parsed head; raises `FramingError`."""
        framing = self._framing
        assert framing is not None
        framing.begin_body(data[0])
        _check_end(framing, reused=self.calls > 1)
        super().feed_data(data, size)

    def _refuse(self, what: str, data: bytes) -> None:
        """Fail the call in progress and close the connection."""
        self._report(what, data)
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(ClientPayloadError(f"not HTTP: {what}"))
        self.set_exception(HttpProcessingError(message=f"not HTTP: {what}"))
        if self.transport is not None:
            self.transport.close()

    def _report(self, what: str, data: bytes) -> None:
        """Log bytes that belong to no call, and let the connection not be reused."""
        self._strayed = True
        log_stray_bytes(self.transport, what, data, self.calls)
        if self.on_stray_bytes is not None:
            self.on_stray_bytes(what)


def _check_end(framing: AnswerFraming, *, reused: bool) -> None:
    """Raise `FramingError` if what came behind an answer leaves open which one it is.

    Bytes that begin no message may be the rest of its body. On a reused connection, of two answers
    the first may be a copy of an earlier one.
    """
    if framing.ended and framing.pending and (reused or not begins_message(framing.pending)):
        raise FramingError("bytes behind an answer")


def create_answer_protocol(loop: asyncio.AbstractEventLoop) -> AnswerProtocol:
    """Create the protocol of a new connection."""
    return AnswerProtocol(loop)
