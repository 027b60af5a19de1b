"""Tests of upstreams that send endless data: memory stays bounded and other calls are served."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from heatherhead.proxy.answer_memory import create_answer_memory
from heatherhead.proxy.upstream_connection import BrokenAnswerError, UpstreamConnection
from heatherhead.tests.proxy.fakes import answer

if TYPE_CHECKING:
    from heatherhead.proxy.answer_memory import AnswerMemory

PIECE_BYTES = 256 * 1024  # the most that a socket delivers at once
PIECES = 200  # 50 MB in all
MAX_OVERHEAD_BYTES = 256 * 1024  # accepted before the connection is aborted
MEMORY_BYTES = 4 * 1024 * 1024
TIMEOUT_S = 10.0

HEAD = b"HTTP/1.1 200 OK\r\nX-Heatherhead-Request-Id: r1\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


class _Transport(asyncio.Transport):
    """A transport that discards writes and records whether reading is paused."""

    def __init__(self) -> None:
        super().__init__()
        self.aborted = False
        self.paused = False

    def write(self, data: bytes) -> None:
        """Discard the data."""

    def get_write_buffer_size(self) -> int:
        """Return 0: all data counts as sent."""
        return 0

    def pause_reading(self) -> None:
        """Pause the flood."""
        self.paused = True

    def resume_reading(self) -> None:
        """Resume the flood."""
        self.paused = False

    def is_reading(self) -> bool:
        """Return whether reading is not paused."""
        return not self.paused

    def close(self) -> None:
        """Close."""
        self.aborted = True

    def abort(self) -> None:
        """Close at once."""
        self.aborted = True


def _connect(memory: AnswerMemory) -> UpstreamConnection:
    connection = UpstreamConnection(asyncio.get_running_loop(), memory)
    connection.connection_made(_Transport())
    return connection


async def _flood(connection: UpstreamConnection, first: bytes, piece: bytes) -> int:
    """Send until the connection is aborted; return the number of bytes sent."""
    transport: Any = connection.transport
    connection.data_received(first)
    sent = len(first)
    for _ in range(PIECES):
        if not connection.usable:
            break
        connection.data_received(piece)
        sent += len(piece)
        for _ in range(100):
            await asyncio.sleep(0)
            if not transport.paused:
                break
    return sent


def _fill_piece(unit: bytes) -> bytes:
    return unit * (PIECE_BYTES // len(unit))


@pytest.mark.parametrize(
    ("first", "unit"),
    [
        (b"HTTP/1.1 200 OK\r\n", b"X-Filler: " + b"a" * 500 + b"\r\n"),
        (b"HTTP/1.1 200 OK\r\nX-Long: ", b"a" * 512),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        (b"", b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"),
        (CHUNKED + b"5;name=", b"a" * 512),
        (CHUNKED, b"1;" + b"a" * 500 + b"\r\nx\r\n"),
        (CHUNKED + b"0\r\n", b"X-Trailer: " + b"a" * 500 + b"\r\n"),
        (b"", b"\r\n"),
        (b"", answer("another")),
    ],
    ids=[
        "head",
        "field",
        "continue",
        "hints",
        "extension",
        "extensions",
        "trailers",
        "blank lines",
        "foreign answers",
    ],
)
def test_overhead_bytes_are_bounded(first: bytes, unit: bytes) -> None:
    async def main() -> None:
        connection = _connect(create_answer_memory(MEMORY_BYTES))
        call = asyncio.create_task(
            connection.exchange(b"", lambda message: message.headers.get(REQUEST_ID_HEADER) == "r1")
        )
        await asyncio.sleep(0)
        sent = await _flood(connection, first, _fill_piece(unit))
        assert not connection.usable
        assert sent <= len(first) + PIECE_BYTES + MAX_OVERHEAD_BYTES
        with pytest.raises(BrokenAnswerError):
            await asyncio.wait_for(call, TIMEOUT_S)

    asyncio.run(main())


REQUEST_ID_HEADER = "X-Heatherhead-Request-Id"


@pytest.mark.parametrize(
    ("first", "unit"),
    [(CHUNKED, b"100\r\n" + b"a" * 256 + b"\r\n"), (HEAD + b"\r\n", b"a" * 512)],
    ids=["chunked", "without length"],
)
def test_endless_bodies_share_one_bound_and_do_not_affect_other_calls(
    first: bytes, unit: bytes
) -> None:
    async def main() -> None:
        memory = create_answer_memory(MEMORY_BYTES)
        floods = [_connect(memory) for _ in range(10)]
        calls = [asyncio.create_task(each.exchange(b"", lambda _: True)) for each in floods]
        await asyncio.sleep(0)
        max_held_bytes = 0
        piece = _fill_piece(unit)
        for each in floods:
            each.data_received(first)
        for _ in range(PIECES):
            for each in floods:
                if each.usable:
                    each.data_received(piece)
            await asyncio.sleep(0)
            max_held_bytes = max(max_held_bytes, memory.held_bytes)
            other = _connect(memory)
            call = asyncio.create_task(other.exchange(b"", lambda _: True))
            await asyncio.sleep(0)
            other.data_received(answer())
            assert (await asyncio.wait_for(call, TIMEOUT_S)).body == b"whole"
        ends = await asyncio.gather(*calls, return_exceptions=True)
        assert all(isinstance(end, BrokenAnswerError) for end in ends)
        assert not any(each.usable for each in floods)
        assert 0 < max_held_bytes <= MEMORY_BYTES
        assert memory.held_bytes == 0

    asyncio.run(main())


def test_announced_body_beyond_the_bound_is_refused_at_its_head() -> None:
    async def main() -> None:
        connection = _connect(create_answer_memory(MEMORY_BYTES))
        call = asyncio.create_task(connection.exchange(b"", lambda _: True))
        await asyncio.sleep(0)
        connection.data_received(HEAD + b"Content-Length: 100000000\r\n\r\n")
        with pytest.raises(BrokenAnswerError, match="memory"):
            await asyncio.wait_for(call, TIMEOUT_S)

    asyncio.run(main())


def test_large_answer_within_the_bound_is_received_and_released() -> None:
    async def main() -> None:
        memory = create_answer_memory(MEMORY_BYTES)
        connection = _connect(memory)
        call = asyncio.create_task(connection.exchange(b"", lambda _: True))
        await asyncio.sleep(0)
        body = b"a" * 1_500_000
        connection.data_received(HEAD + f"Content-Length: {len(body)}\r\n\r\n".encode())
        for start in range(0, len(body), PIECE_BYTES):
            connection.data_received(body[start : start + PIECE_BYTES])
            await asyncio.sleep(0)
        received = await asyncio.wait_for(call, TIMEOUT_S)
        assert received.body == body
        assert len(body) > memory.held_bytes > len(body) - PIECE_BYTES
        received.held.release()
        assert memory.held_bytes == 0
        assert connection.usable

    asyncio.run(main())


def test_many_small_chunks_are_not_rejected_as_overhead() -> None:
    async def main() -> None:
        connection = _connect(create_answer_memory(MEMORY_BYTES))
        call = asyncio.create_task(connection.exchange(b"", lambda _: True))
        await asyncio.sleep(0)
        connection.data_received(CHUNKED + b"1\r\nx\r\n" * 30_000 + b"0\r\n\r\n")
        assert (await asyncio.wait_for(call, TIMEOUT_S)).body == b"x" * 30_000
        assert connection.usable

    asyncio.run(main())
