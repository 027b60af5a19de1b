"""Tests of answers that break off while a call's body is being sent, and of invalid statuses."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

import pytest

from heatherhead.tests.callers.fakes import run_with_shifted_clock, running_instance
from heatherhead.tests.truncating_server import (
    BODY_PART,
    INVALID_STATUSES,
    UNREADABLE_BODY_BYTES,
    End,
    TruncatingServer,
)

if TYPE_CHECKING:
    from heatherhead.tests.callers.fakes import RawCaller

WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\n\r\n" + BODY_PART
HEAD = b"POST / HTTP/1.1\r\nHost: x\r\n"
LAST_CHUNK = b"0\r\n\r\n"
PROBLEM_END = b"}"
ANSWER_TIMEOUT_S = 2.0  # below the time for which the upstream holds its connection
VERSIONS = pytest.mark.parametrize("version", [b"HTTP/1.0", b"HTTP/1.1"])


def call_of(size: int, *, chunked: bool) -> bytes:
    """Build a call with a body."""
    body = bytes(size)
    if chunked:
        return HEAD + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (size, body)
    return HEAD + b"Content-Length: %d\r\n\r\n%b" % (size, body)


async def send(caller: RawCaller, data: bytes) -> None:
    """Send a call, whose rest an instance may refuse to read."""
    with suppress(ConnectionError):
        await caller.send(data)


async def read_answer(caller: RawCaller) -> tuple[bytes, bool]:
    """Read a relayed answer or a problem; return it, and whether the connection was reset."""
    received = b""
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while not received.endswith((LAST_CHUNK, PROBLEM_END)) and (
                data := await caller.reader.read(65536)
            ):
                received += data
    except ConnectionResetError:
        return received, True
    return received, False


async def exchange(early: bytes, end: End, data: bytes) -> tuple[bytes, bool]:
    """Return what a caller gets of an answer that its upstream gives early, and whether it's cut."""
    service = {"key_required": False}
    async with (
        TruncatingServer(early, end) as server,
        running_instance(extra_ports=[server.port], service=service) as here,
    ):
        caller = await here.connect_caller()
        sending = asyncio.ensure_future(send(caller, data))
        received = await read_answer(caller)
        sending.cancel()
        assert server.requests == 1
        return received


@pytest.mark.parametrize(
    ("size", "chunked", "end"),
    [
        (300, False, End.RESET),
        (UNREADABLE_BODY_BYTES, False, End.RESET),
        (UNREADABLE_BODY_BYTES, True, End.RESET),
        (UNREADABLE_BODY_BYTES, False, End.UNREAD),
        (UNREADABLE_BODY_BYTES, True, End.UNREAD),
    ],
)
@VERSIONS
def test_part_of_an_answer_without_a_length_is_passed_on_as_whole_after_a_reset(
    version: bytes, size: int, chunked: bool, end: End
) -> None:
    """aiohttp ends such a body with its connection, whatever ended that."""

    async def main() -> None:
        early = WITHOUT_LENGTH.replace(b"HTTP/1.1", version)
        received, reset = await exchange(early, end, call_of(size, chunked=chunked))
        assert not received.endswith(LAST_CHUNK)
        assert reset

    run_with_shifted_clock(main())


@pytest.mark.parametrize(
    ("size", "chunked"),
    [(300, False), (UNREADABLE_BODY_BYTES, False), (UNREADABLE_BODY_BYTES, True)],
)
@VERSIONS
def test_answer_without_a_length_is_held_back_until_its_upstream_has_read_the_call(
    version: bytes, size: int, chunked: bool
) -> None:
    """It is complete after an orderly end, and an upstream that has answered may read no more."""

    async def main() -> None:
        early = WITHOUT_LENGTH.replace(b"HTTP/1.1", version)
        received, reset = await exchange(early, End.ORDERLY, call_of(size, chunked=chunked))
        assert received.endswith(BODY_PART + b"\r\n" + LAST_CHUNK)
        assert not reset

    run_with_shifted_clock(main())


@pytest.mark.parametrize("framing", [b"Content-Length: 99", b"Transfer-Encoding: chunked"])
def test_part_of_an_answer_with_a_known_end_is_whole_after_an_orderly_end(framing: bytes) -> None:
    async def main() -> None:
        part = b"10\r\n" + BODY_PART if framing.endswith(b"chunked") else BODY_PART
        early = b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n" + part
        received, reset = await exchange(early, End.ORDERLY, call_of(300, chunked=False))
        assert reset or received.startswith(b"HTTP/1.1 502 ")
        assert not received.endswith(LAST_CHUNK)

    run_with_shifted_clock(main())


@pytest.mark.parametrize("status", INVALID_STATUSES)
@VERSIONS
def test_invalid_status_is_passed_on(version: bytes, status: str) -> None:
    async def main() -> None:
        head = b"%b %b Odd\r\nContent-Length: 5\r\n\r\n" % (version, status.encode())
        received, _ = await exchange(head + b"whole", End.ORDERLY, call_of(1, chunked=False))
        assert received.startswith(b"HTTP/1.1 502 ")
        assert b"whole" not in received

    run_with_shifted_clock(main())
