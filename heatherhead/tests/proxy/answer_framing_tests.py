"""Tests of where answers end, and of heads that were read from two messages."""

from __future__ import annotations

import asyncio

import pytest
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_parser import HttpResponseParser
from hypothesis import given
from hypothesis import strategies as st

from heatherhead.proxy.answer_framing import AnswerFraming, FramingError, create_answer_framing

SIZED = b"HTTP/1.1 200 OK\r\nDate: Sat\r\nContent-Length: 5\r\n\r\nwhole"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3;name=value\r\nwho\r\n2\r\nle\r\n0\r\nX-Trailer: x\r\n\r\n"
)
EMPTY = b"HTTP/1.1 304 Same\r\nContent-Length: 5\r\n\r\n"
BARE_LINE_ENDS = b"HTTP/1.1 200 OK\nContent-Length: 5\n\nwhole"
AFTER_INTERIM = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" + CHUNKED
FAILURE = b"HTTP/1.1 500 Failed\r\nDate: Sat\r\nContent-Length: 3\r\n\r\nbad"
ANSWERS = [SIZED, CHUNKED, EMPTY, BARE_LINE_ENDS, AFTER_INTERIM]


def read_answer(framing: AnswerFraming, data: bytes, cuts: set[int]) -> tuple[int, bytes]:
    """Feed bytes in pieces up to the end of an answer; return its status and its body."""

    async def main() -> tuple[int, bytes]:
        loop = asyncio.get_running_loop()
        parser = HttpResponseParser(BaseProtocol(loop), loop, 2**16, read_until_eof=True)
        status, body = 0, None
        positions = sorted({0, *cuts, len(data)})
        for start, end in zip(positions, positions[1:], strict=False):
            framing.append(data[start:end])
            while piece := framing.take():
                is_head = framing.in_head
                messages, _, _ = parser.feed_data(piece)
                assert len(messages) == is_head
                if is_head:
                    status, body = messages[0][0].code, messages[0][1]
                    framing.begin_body(messages[0][0])
                    continue
                assert body is not None
                assert body.is_eof() == framing.ended
        assert body is not None
        return status, await body.read() if body.is_eof() else b""

    return asyncio.run(main())


@pytest.mark.parametrize("behind", [b"", FAILURE, FAILURE[:20], b"\r\n", b"x", b"0\r\n\r\n"])
@pytest.mark.parametrize("answer", ANSWERS)
@given(cuts=st.sets(st.integers(min_value=1, max_value=150), max_size=6))
def test_bytes_behind_an_answer_reach_the_parser(
    answer: bytes, behind: bytes, cuts: set[int]
) -> None:
    framing = create_answer_framing()
    data = answer + behind
    status, body = read_answer(framing, data, {cut for cut in cuts if cut < len(data)})
    assert framing.ended
    assert framing.pending == behind
    assert (status, body) == ((304, b"") if answer is EMPTY else (200, b"whole"))


def test_answer_to_head_has_a_body() -> None:
    framing = create_answer_framing(with_body=False)
    framing.append(SIZED)
    framing.take()
    framing.begin_body(_message(SIZED))
    assert framing.ended
    assert framing.pending == b"whole"


def _message(data: bytes):  # type: ignore[no-untyped-def]
    async def main():  # type: ignore[no-untyped-def]
        loop = asyncio.get_running_loop()
        return HttpResponseParser(BaseProtocol(loop), loop, 2**16).feed_data(data)[0][0][0]

    return asyncio.run(main())


@pytest.mark.parametrize("second", [FAILURE, b"HTTP/1.0 500\r\n\r\n", AFTER_INTERIM])
@pytest.mark.parametrize("first", [SIZED, CHUNKED, EMPTY])
def test_head_that_breaks_off_is_joined_with_the_next(first: bytes, second: bytes) -> None:
    """At each byte of the head, given at once or in two pieces."""
    for cut in range(1, first.index(b"\r\n\r\n") + 4):
        for pieces in ([first[:cut] + second], [first[:cut], second]):
            framing = create_answer_framing()
            # A line end before the status line is a blank line or is left to the parser.
            with pytest.raises(Exception, match="two messages|no status line|400, message"):
                read_answer(framing, b"".join(pieces), {len(pieces[0])} - {0})


def test_status_line_in_a_trailer_ends_a_body() -> None:
    framing = create_answer_framing()
    with pytest.raises(FramingError):
        read_answer(framing, CHUNKED[:-6] + FAILURE, set())


@pytest.mark.parametrize("size", [b"-1", b"0x5", b"5_0", b"", b"+5", b"f" * 16])
def test_odd_chunk_size_is_taken_for_a_number(size: bytes) -> None:
    framing = create_answer_framing()
    head = CHUNKED[: CHUNKED.index(b"\r\n\r\n") + 4]
    with pytest.raises(FramingError):
        read_answer(framing, head + size + b"\r\nwho\r\n", set())


def test_interim_answers_without_an_end_keep_the_process_busy() -> None:
    """Tens of thousands of them were parsed, for up to 0.7 s on a busy machine."""
    hints = b"HTTP/1.1 103 Hints\r\n\r\n"
    assert read_answer(create_answer_framing(), hints * 64 + SIZED, set()) == (200, b"whole")
    with pytest.raises(FramingError, match="interim"):
        read_answer(create_answer_framing(), hints * 65 + SIZED, set())


def test_interim_answers_are_counted_for_each_answer() -> None:
    framing = create_answer_framing()
    for _ in range(3):
        assert read_answer(framing, AFTER_INTERIM, set()) == (200, b"whole")
        framing.begin_answer()
        assert framing._interim_answers == 0
