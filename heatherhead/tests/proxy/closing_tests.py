"""Tests of answers that close a caller's connection on which more requests are sent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from heatherhead.tests.proxy.fakes import (
    EntryPath,
    ScriptedUpstream,
    answer,
    read_answer,
    request,
    run_path,
    status_of,
)

if TYPE_CHECKING:
    from collections.abc import Callable

BODY_BYTES = 4_000_000  # more than the kernel's buffers take


class HeldUpstream:
    """Answers its requests when they are released."""

    def __init__(self) -> None:
        self.ids: list[str] = []
        self.released = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.ids.append(head.split(b"Request-Id: ")[1].split(b"\r\n")[0].decode())
                held = self.ids[-1]
                await self.released.wait()
                writer.write(answer(held))
        except asyncio.IncompleteReadError:
            return
        finally:
            writer.close()


async def add_held_upstream(path: EntryPath) -> HeldUpstream:
    """Give a path one upstream whose answers are held."""
    upstream = HeldUpstream()
    server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
    path.port_by_upstream["held"] = server.sockets[0].getsockname()[1]
    path.configure()
    return upstream


async def wait_for_arrivals(upstream: HeldUpstream, count: int) -> None:
    """Wait until so many requests have arrived."""
    while len(upstream.ids) < count:
        await asyncio.sleep(0.01)


def _leave(path: EntryPath) -> None:
    path.callers.leaving = True


def _reject(path: EntryPath) -> None:
    path.callers.leaving = True
    path.forwarder.rejects_calls = True


@pytest.mark.parametrize("stop", [_leave, _reject])
def test_planned_stop_breaks_off_requests_sent_behind_another_one(
    stop: Callable[[EntryPath], None],
) -> None:
    """The first answer after SIGTERM closed the connection, and cancelled the others at upstreams."""

    async def scenario(path: EntryPath, _upstreams: object) -> None:
        upstream = await add_held_upstream(path)
        reader, writer = await path.connect()
        writer.write(b"".join(request(request_id=f"r{number}") for number in (1, 2, 3)))
        await wait_for_arrivals(upstream, 3)
        stop(path)
        upstream.released.set()
        received = [await read_answer(reader) for _ in range(3)]
        assert [status_of(each) for each in received] == [200] * 3
        assert [b"Connection: close" in each for each in received] == [False, False, True]
        assert await reader.read() == b""
        writer.close()

    run_path(scenario)


def test_request_behind_a_closing_answer_is_not_passed_on() -> None:
    """Callers send such requests again, so one that runs would run twice."""

    async def scenario(path: EntryPath, _upstreams: object) -> None:
        upstream = await add_held_upstream(path)
        reader, writer = await path.connect()
        writer.write(request(request_id="r1") + request(request_id="r2"))
        await wait_for_arrivals(upstream, 2)
        path.callers.leaving = True
        upstream.released.set()
        await read_answer(reader)
        writer.write(request(request_id="late") + b"no request at all\r\n\r\n")
        assert b"Connection: close" in await read_answer(reader)
        assert await reader.read() == b""
        await asyncio.sleep(0.1)
        assert upstream.ids == ["r1", "r2"]
        writer.close()

    run_path(scenario)


@pytest.mark.parametrize("chunked", [False, True])
def test_answer_before_the_end_of_a_body_is_lost_to_a_reset(chunked: bool) -> None:
    """The connection was closed with unread bytes, which resets it before the caller has read."""

    async def scenario(path: EntryPath, _upstreams: object) -> None:
        path.configure(max_body_bytes=1000)
        framing = {"Transfer_Encoding": "chunked"} if chunked else {}
        length = {} if chunked else {"Content_Length": str(BODY_BYTES)}
        reader, writer = await path.connect()
        writer.write(request("/upload/x", method="POST", **framing, **length))
        body = b"x" * BODY_BYTES
        writer.write(f"{BODY_BYTES:x}\r\n".encode() + body if chunked else body)
        await writer.drain()
        await asyncio.sleep(0.1)
        assert status_of(await read_answer(reader)) == 413
        assert await reader.read() == b""
        writer.close()

    run_path(scenario)


def test_bytes_behind_a_malformed_request_reset_its_answer() -> None:
    async def scenario(path: EntryPath, _upstreams: object) -> None:
        path.configure()
        reader, writer = await path.connect()
        writer.write(b"no request\r\n\r\n" + b"x" * BODY_BYTES)
        await asyncio.sleep(0.1)
        assert status_of(await read_answer(reader)) == 400
        assert await reader.read() == b""
        writer.close()

    run_path(scenario)


def test_request_that_asks_for_an_upgrade_leaves_a_connection_that_is_not_read() -> None:
    """Its caller is told that the connection closes, and sends the next request on another one."""

    async def scenario(path: EntryPath, _upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        reader, writer = await path.connect()
        writer.write(request(Connection="upgrade", Upgrade="websocket"))
        received = await read_answer(reader)
        assert status_of(received) == 200
        assert b"Connection: close" in received
        assert await reader.read() == b""
        writer.close()

    run_path(scenario, [answer()])
