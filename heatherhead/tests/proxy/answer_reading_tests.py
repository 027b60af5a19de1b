"""Tests of reading proper answers in odd slices, of what is kept meanwhile, and of what is logged."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from heatherhead.proxy.answer_memory import HeldAnswer, create_answer_memory
from heatherhead.proxy.stray_bytes import LOGGED_BYTES
from heatherhead.proxy.upstream_connection import (
    MAX_OVERHEAD_BYTES,
    BrokenAnswerError,
    UpstreamConnection,
)
from heatherhead.telemetry.logs import add_event_listener, remove_event_listener
from heatherhead.tests.proxy.fakes import answer, request, run_path, status_of

if TYPE_CHECKING:
    from collections.abc import Mapping

    from heatherhead.proxy.answer_memory import AnswerMemory
    from heatherhead.proxy.upstream_connection import UpstreamAnswer
    from heatherhead.tests.proxy.fakes import EntryPath, ScriptedUpstream

READ_BYTES = 256 * 1024  # which asyncio reads at once
EARLIER = answer("r1", 200, b"earlier", Date="Sat, 05 Dec 2026 20:37:01 GMT")
CHUNKED_HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Heatherhead-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
)


def call(request_id: str) -> bytes:
    """Build a call with a short deadline."""
    return request("/read/x", request_id, X_Heatherhead_Deadline_Ms="400")


class _Transport(asyncio.Transport):
    """A transport whose reads the test makes."""

    def __init__(self, protocol: UpstreamConnection) -> None:
        super().__init__()
        self._protocol = protocol
        self.closed = False
        protocol.connection_made(self)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def close(self) -> None:
        self.abort()

    def abort(self) -> None:
        if not self.closed:
            self.closed = True
            asyncio.get_running_loop().call_soon(self._protocol.connection_lost, None)


async def begin_call(
    connection: UpstreamConnection, request_id: str
) -> asyncio.Task[UpstreamAnswer]:
    """Send a request of an id."""
    task = asyncio.ensure_future(
        connection.exchange(
            b"GET / HTTP/1.1\r\n\r\n",
            lambda message: message.headers["X-Heatherhead-Request-Id"] == request_id,
        )
    )
    await asyncio.sleep(0)
    return task


def create_connection(
    memory: AnswerMemory | None = None,
) -> tuple[UpstreamConnection, _Transport]:
    """Create a connection whose reads the test makes."""
    connection = UpstreamConnection(asyncio.get_running_loop(), memory or create_answer_memory())
    return connection, _Transport(connection)


def test_large_answer_behind_a_skipped_one_counts_as_overhead() -> None:
    """Both come in one read; 5f2ab0b passed the answer on."""
    body = bytes(MAX_OVERHEAD_BYTES + 10_000)

    async def main() -> None:
        connection, _ = create_connection()
        task = await begin_call(connection, "r2")
        connection.data_received(EARLIER + answer("r2", 200, body))
        assert (await task).body == body

    asyncio.run(main())


def test_bytes_behind_an_answer_that_waits_for_memory_are_kept() -> None:
    """Up to eight times the answer, outside of the memory for answers; 5f2ab0b broke off at once."""

    async def main() -> None:
        memory = create_answer_memory(2_000_000)
        others = [HeldAnswer(memory) for _ in range(3)]
        for other, size in zip(others, (1_000_000, 1_000_000, 190_000), strict=True):
            await other.grow(size)
            other.settle()
        connection, transport = create_connection(memory)
        task = await begin_call(connection, "r1")
        sent = answer("r1", 200, bytes(400_000))
        for start in range(0, len(sent), READ_BYTES):
            connection.data_received(sent[start : start + READ_BYTES])
            await asyncio.sleep(0)
        flooded = 0
        while not transport.closed and flooded < 10_000_000:
            connection.data_received(b"HTTP/1.1 200 OK\r\nX: " + bytes(READ_BYTES))
            flooded += READ_BYTES
            await asyncio.sleep(0)
        task.cancel()
        assert flooded <= MAX_OVERHEAD_BYTES + READ_BYTES

    asyncio.run(main())


def test_answer_behind_one_with_many_chunks_is_refused() -> None:
    """The parser pauses at a chunk's end and is not resumed; 5f2ab0b passed the answer on."""

    async def main() -> None:
        connection, _ = create_connection()
        chunks = 256 * 1024 // 16 + 1  # one more than a stream of aiohttp holds unread
        task = await begin_call(connection, "r1")
        connection.data_received(CHUNKED_HEAD + b"1\r\nx\r\n" * chunks + b"0\r\n\r\n")
        assert len((await task).body) == chunks
        assert connection.usable
        task = await begin_call(connection, "r2")
        connection.data_received(answer("r2"))
        assert (await task).body == b"whole"

    asyncio.run(main())


def test_chunk_size_with_leading_zeros_is_refused() -> None:
    """RFC 9112 sets no number of digits; 5f2ab0b passed the answer on."""

    async def main() -> None:
        connection, _ = create_connection()
        task = await begin_call(connection, "r1")
        size = b"5".rjust(16, b"0")
        connection.data_received(CHUNKED_HEAD + size + b"\r\nwhole\r\n0\r\n\r\n")
        assert (await task).body == b"whole"

    asyncio.run(main())


def stray_lines(*reads: bytes) -> list[Mapping[str, object]]:
    """Return the fields of the lines on stray bytes while one answer is read."""
    lines: list[Mapping[str, object]] = []

    def record(event: str, _level: str, fields: Mapping[str, object]) -> None:
        if event == "stray_bytes":
            lines.append(fields)

    async def main() -> None:
        connection, _ = create_connection()
        task = await begin_call(connection, "r1")
        for data in reads:
            connection.data_received(data)
        await asyncio.wait([task])
        task.exception()

    add_event_listener(record)
    try:
        asyncio.run(main())
    finally:
        remove_event_listener(record)
    return lines


@pytest.mark.parametrize("end", [b"\0", b"\r\nbad\x01" + b"s" * 1000])
def test_header_that_is_not_http_is_logged_whole(end: bytes) -> None:
    """The reason holds the line, which can be of another caller's answer and 32 KiB long."""
    secret = b"session=of-another-caller"
    head = b"HTTP/1.1 200 OK\r\nSet-Cookie: " + secret + b"s" * 20_000 + end + b"\r\n\r\n"
    (line,) = stray_lines(head)
    assert len(str(line["what"])) < 100
    assert len(bytes(line["begins"])) <= LOGGED_BYTES  # type: ignore[call-overload]


def test_cut_header_of_an_earlier_answer_is_logged_with_its_value() -> None:
    head = b"HTTP/1.1 200 OK\r\nSet-Cookie: id=secretHTTP/1.1 500 Failed\r\n\r\n"
    (line,) = stray_lines(head)
    assert "secret" not in str(line)


def test_framing_header_with_a_space_behind_its_name_is_passed_on() -> None:
    """The parser obeys it, but it isn't dropped: the caller gets two framings of one body."""
    chunked = answer("r1").replace(b"Content-Length: 5", b"Transfer-Encoding : chunked")
    chunked = chunked.replace(b"whole", b"5\r\nwhole\r\n0\r\n\r\n")

    async def scenario(path: EntryPath, _: list[ScriptedUpstream]) -> None:
        path.configure()
        received = await path.send(call("r1"))
        assert status_of(received) == 502 or b"Transfer-Encoding" not in received

    run_path(scenario, [chunked], max_attempts=1)


@pytest.mark.parametrize("behind", [b"0\r\nHTTP/1.1 20\r\n", b"0\r\nbad\x01: x\r\n"])
def test_failure_in_the_read_that_ends_a_chunk_is_not_noticed(behind: bytes) -> None:
    """The chunk's end wakes the reader, which waits again without a look at the failure."""

    async def main() -> None:
        connection, transport = create_connection()
        task = await begin_call(connection, "r1")
        connection.data_received(CHUNKED_HEAD + b"5\r\nwhole")
        await asyncio.sleep(0.01)
        connection.data_received(b"\r\n" + behind)
        assert transport.closed
        await asyncio.wait([task], timeout=0.2)
        assert task.done()
        assert isinstance(task.exception(), BrokenAnswerError)

    asyncio.run(main())


def test_malformed_chunk_behind_a_chunk_of_a_request_is_not_answered() -> None:
    """The end of the chunk before it comes in the same read; the caller waits for ever."""
    head = request("/order/x", "r1", "POST", Transfer_Encoding="chunked")

    async def scenario(path: EntryPath, _: list[ScriptedUpstream]) -> None:
        path.configure()
        reader, writer = await path.connect()
        writer.write(head + b"5\r\nwhole")
        await asyncio.sleep(0.05)
        writer.write(b"\r\nno size\r\n")
        async with asyncio.timeout(1.0):
            await reader.read(1)
        writer.close()

    run_path(scenario, [])


def test_head_of_no_message_ends_a_call_with_an_internal_error() -> None:
    async def main() -> None:
        connection, _ = create_connection()
        task = await begin_call(connection, "r1")
        connection.data_received(b"HTTP/1.1 099 Odd\r\n\r\n" + answer("r1"))
        with pytest.raises(BrokenAnswerError):
            await task

    asyncio.run(main())


def test_blank_line_behind_an_answer_counts_as_an_answer_twice() -> None:
    async def main() -> None:
        connection, _ = create_connection()
        strays: list[str] = []
        connection.on_stray_bytes = strays.append
        task = await begin_call(connection, "r1")
        connection.data_received(answer("r1") + b"\r\n")
        assert (await task).body == b"whole"
        assert strays == []

    asyncio.run(main())
