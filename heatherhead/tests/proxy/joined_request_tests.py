"""Tests of requests that break off before their end and are read as one with the next."""

from __future__ import annotations

import asyncio

import pytest

from heatherhead.telemetry import bounded_logs
from heatherhead.tests.proxy.fakes import (
    EntryPath,
    ScriptedUpstream,
    answer,
    read_answer,
    recorded_events,
    request,
    run_path,
    status_of,
)

SEPARATE_READS_S = 0.02
ID_HEADER = "X-Heatherhead-Request-Id"
SHORT_DEADLINE = "X-Heatherhead-Deadline-Ms: 400\r\n"
HOST = "Host: shop.example\r\n"


def order(request_id: str, *, host_first: bool, body: bytes = b"") -> bytes:
    """Build a call with its Host ahead of or behind the other headers."""
    others = f"Referer: https://a.example/b?c=d\r\n{ID_HEADER}: {request_id}\r\n{SHORT_DEADLINE}"
    headers = HOST + others if host_first else others + HOST
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return f"POST /order/{request_id} HTTP/1.1\r\n{length}{headers}\r\n".encode() + body


def order_head(*lines: str) -> bytes:
    """Build the head of a call with further lines."""
    head = f"POST /order/r1 HTTP/1.1\r\n{HOST}{ID_HEADER}: r1\r\n{SHORT_DEADLINE}"
    return (head + "".join(f"{line}\r\n" for line in lines) + "\r\n").encode()


NEXT = request("/read/r2", "r2")
CHUNKED = "Transfer-Encoding: chunked"


async def send_parts(path: EntryPath, *parts: bytes) -> tuple[bytes, bytes]:
    """Send parts that are read one by one; return the first answer and what comes behind it."""
    reader, writer = await path.connect()
    for part in parts:
        writer.write(part)
        await asyncio.sleep(SEPARATE_READS_S)
    received = await read_answer(reader)
    writer.write_eof()
    rest = await reader.read()
    writer.close()
    return received, rest


async def assert_refused(path: EntryPath, upstream: ScriptedUpstream, *parts: bytes) -> None:
    """Check that the caller gets 400 that names no request, and that nothing reaches an upstream."""
    received, rest = await send_parts(path, *parts)
    assert status_of(received) == 400
    assert b"Connection: close" in received
    assert ID_HEADER.encode() not in received
    assert rest == b""
    assert upstream.requests == []


@pytest.mark.parametrize("body", [b"", b"ABCDE"], ids=["no body", "body"])
@pytest.mark.parametrize("host_first", [True, False], ids=["Host first", "Host last"])
def test_part_of_a_head_is_read_as_one_with_the_next_request(host_first: bool, body: bytes) -> None:
    """Cut at each byte of its head; the next request was run with this one's path or headers."""
    first = order("r1", host_first=host_first, body=body)
    second = order("r2", host_first=host_first)

    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        for cut in range(1, first.index(b"\r\n\r\n") + 4):
            await assert_refused(path, upstreams[0], first[:cut] + second)

    run_path(scenario, [])


def test_joined_head_behind_a_whole_request_is_run() -> None:
    """The whole one is answered, and the connection closed; its caller sends the others again."""
    joined = order("r2", host_first=False)[:40] + order("r3", host_first=False)

    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        received, rest = await send_parts(path, NEXT.replace(b"r2", b"r1") + joined)
        assert status_of(received) == 200
        assert b"Connection: close" in received
        assert rest == b""
        assert len(upstreams[0].requests) == 1

    run_path(scenario, [answer("r1")])


@pytest.mark.parametrize(
    "line", [f"{ID_HEADER}: r2", f"{ID_HEADER}: r1", "X-Heatherhead-Deadline-Ms: 900"]
)
def test_request_with_two_ids_or_deadlines_is_run(line: str) -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        await assert_refused(path, upstreams[0], order_head(line))

    run_path(scenario, [])


@pytest.mark.parametrize(
    "line",
    [
        "X-Original-Request: GET /x HTTP/1.1",
        "Referer: https://a.example/?q=GET%20/x%20HTTP/1.1",
        'X-Log: "GET /x HTTP/1.1" 200',
    ],
)
@pytest.mark.parametrize("target", ["/read/x?q=GET%20/y%20HTTP/1.1", "/read/GET/HTTP/1.1"])
def test_proper_request_that_mentions_a_request_line_is_refused(line: str, target: str) -> None:
    """Shows on no version: behind the Host a whole request line may be meant."""

    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        name, value = line.split(": ", 1)
        received = await path.send(request(target, **{name.replace("-", "_"): value}))
        assert status_of(received) == 200
        assert upstreams[0].requests[0].startswith(f"GET {target} HTTP/1.1\r\n".encode())
        assert line.encode() in upstreams[0].requests[0]

    run_path(scenario, [answer("r1")])


def test_quoted_request_line_ahead_of_the_host_is_refused() -> None:
    """Shows on no version: a value that doesn't end with the line isn't joined with a request."""
    data = NEXT.replace(b"Host:", b'X-Log: "GET /x HTTP/1.1" 200\r\nHost:')

    async def scenario(path: EntryPath, _: list[ScriptedUpstream]) -> None:
        path.configure()
        assert status_of(await path.send(data)) == 200

    run_path(scenario, [answer("r2")])


@pytest.mark.parametrize(
    "lines",
    [
        ("Content-Length: 5", CHUNKED),
        (CHUNKED, "Content-Length: 5"),
        ("Content-Length: 5", "Content-Length: 5"),
        ("Content-Length: 5, 5",),
        ("Content-Length: +5",),
        (CHUNKED, CHUNKED),
        ("Transfer-Encoding: xchunked",),
        ("Transfer-Encoding: chunked, identity",),
        ("Transfer-Encoding: gzip, chunked",),
        ("A: b\n GET /read/r2 HTTP/1.1",),
        ("A: b\r\n GET /read/r2 HTTP/1.1",),
        ("A: b\nC: d",),
        ("A: b\rC: d",),
        ("A: b\0",),
        ("A : b",),
        ("Host: shop.example",),
    ],
    ids=repr,
)
def test_request_of_uncertain_extent_is_run(lines: tuple[str, ...]) -> None:
    """Only a coding beside `chunked` was: the body was passed on as it was encoded."""

    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        await assert_refused(path, upstreams[0], order_head(*lines) + b"0\r\n\r\n")

    run_path(scenario, [])


def test_chunked_request_of_http_1_0_is_run() -> None:
    data = order_head(CHUNKED).replace(b"HTTP/1.1", b"HTTP/1.0") + b"0\r\n\r\n"

    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        await assert_refused(path, upstreams[0], data)

    run_path(scenario, [])


def test_joined_request_has_a_line_with_the_header_and_the_caller(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(bounded_logs, "_counts_by_event", {})
    data = b"POST /order/r1 HTTP/1.1\r\nReferer: a" + NEXT

    async def scenario(path: EntryPath, _: list[ScriptedUpstream]) -> None:
        path.configure()
        for _number in range(30):
            await path.send(data)

    with recorded_events("request_refused") as lines:
        run_path(scenario, [])
    assert 10 <= len(lines) < 30
    assert lines[0]["reason"] == "a request line in Referer"
    assert str(lines[0]["caller"]).startswith("127.0.0.1:")
