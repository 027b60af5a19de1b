"""Tests of deadlines, disconnecting callers and truncated answers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from aiohttp import web

from heatherhead.tests.callers.fakes import (
    FakeUpstream,
    raw_upstream,
    respond_when_allowed,
    run_with_shifted_clock,
    running_instance,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

GET_HEAD = b"GET /x HTTP/1.1\r\nHost: a\r\n"


def _advance_clock(seconds: float) -> None:
    asyncio.get_running_loop().advance(seconds)  # type: ignore[attr-defined]


def test_remaining_time_is_sent_to_the_upstream() -> None:
    async def main() -> None:
        async with running_instance(None) as harness:
            for requested, lowest, highest in [
                ({"Heatherhead-Deadline-Ms": "900"}, 1, 900),
                ({}, 1, 30_000),
            ]:
                async with harness.session.get(harness.url, headers=requested) as answer:
                    assert answer.status == 200
                sent_ms = int(harness.upstreams[0].headers[-1]["Heatherhead-Deadline-Ms"])
                assert lowest <= sent_ms <= highest

    run_with_shifted_clock(main())


@pytest.mark.parametrize("requested", ["0", "-1", "1.5", "x", "99999999999"])
def test_malformed_deadline_is_rejected(requested: str) -> None:
    async def main() -> None:
        async with (
            running_instance(None) as harness,
            harness.session.get(
                harness.url, headers={"Heatherhead-Deadline-Ms": requested}
            ) as answer,
        ):
            assert answer.status == 400
            assert harness.upstreams[0].seen == []

    run_with_shifted_clock(main())


def test_outcome_is_unknown_if_the_deadline_passes_at_the_upstream() -> None:
    async def main() -> None:
        async with running_instance(respond_when_allowed) as harness:
            call = asyncio.create_task(harness.session.get(harness.url))
            await harness.upstreams[0].arrived.wait()
            _advance_clock(31)
            async with await call as answer:
                assert answer.status == 504
                problem = await answer.json()
            assert problem["outcome"] == "unknown"
            assert answer.headers["Heatherhead-No-Retry"] == "true"
            assert "Heatherhead-Not-Run" not in answer.headers
            await harness.upstreams[0].call_cancelled.wait()

    run_with_shifted_clock(main())


def test_outcome_is_not_run_if_the_deadline_passes_in_the_queue() -> None:
    async def main() -> None:
        async with running_instance(respond_when_allowed, slots=1) as harness:
            first = asyncio.create_task(
                harness.session.get(harness.url, headers={"Heatherhead-Deadline-Ms": "90000"})
            )
            await harness.upstreams[0].arrived.wait()
            second = asyncio.create_task(harness.session.get(harness.url))
            while harness.assembly.state.in_progress < 2:
                await asyncio.sleep(0)
            _advance_clock(31)
            async with await second as answer:
                assert answer.status == 504
                assert (await answer.json())["outcome"] == "not-run"
                assert answer.headers["Heatherhead-Not-Run"] == "true"
            harness.upstreams[0].answer_allowed.set()
            async with await first as answer:
                assert answer.status == 200
            assert len(harness.upstreams[0].seen) == 1

    run_with_shifted_clock(main())


def test_nothing_is_sent_if_the_deadline_passes_during_a_pause() -> None:
    async def main() -> None:
        async with running_instance(None) as harness:
            client = harness.assembly.client
            original = client.send

            async def paused_send(*arguments: object) -> None:
                _advance_clock(31)
                await original(*arguments)  # type: ignore[arg-type]

            # The first call leaves an open connection, so that the second one sends at once.
            async with harness.session.get(harness.url) as answer:
                assert answer.status == 200
            client.send = paused_send  # type: ignore[method-assign]
            async with harness.session.get(harness.url) as answer:
                assert answer.status == 504
                assert (await answer.json())["outcome"] == "not-run"
            assert len(harness.upstreams[0].seen) == 1

    run_with_shifted_clock(main())


def test_disconnect_of_the_caller_cancels_the_upstream_call() -> None:
    async def main() -> None:
        async with running_instance(respond_when_allowed) as harness:
            caller = await harness.connect_caller()
            await caller.send(GET_HEAD + b"\r\n")
            await harness.upstreams[0].arrived.wait()
            caller.close()
            await harness.upstreams[0].call_cancelled.wait()
            await harness.assembly.state.wait_idle()
            assert harness.upstreams[0].cancelled == 1

    run_with_shifted_clock(main())


def test_disconnect_during_an_answer_closes_the_upstream_connection() -> None:
    async def stream(upstream: FakeUpstream, request: web.BaseRequest) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(b"begun")
        await upstream.answer_allowed.wait()
        return response

    async def main() -> None:
        async with running_instance(stream) as harness:
            caller = await harness.connect_caller()
            await caller.send(GET_HEAD + b"\r\n")
            await caller.read_head()
            caller.close()
            await harness.upstreams[0].call_cancelled.wait()

    run_with_shifted_clock(main())


def test_requested_deadline_ends_an_active_stream_and_the_default_does_not() -> None:
    async def echo(_upstream: FakeUpstream, request: web.BaseRequest) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        while chunk := await request.content.readany():
            await response.write(chunk)
        return response

    async def slow_echo(extra_header: bytes) -> bytes:
        async with running_instance(echo, service={"key_required": False}) as harness:
            caller = await harness.connect_caller()
            await caller.send(
                b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
                + extra_header
                + b"\r\n3\r\nabc\r\n"
            )
            await caller.read_head()
            for _ in range(4):
                assert b"abc" in await caller.reader.readuntil(b"abc\r\n")
                _advance_clock(20)
                await asyncio.sleep(0)
                await caller.send(b"3\r\nabc\r\n")
            await caller.send(b"0\r\n\r\n")
            return await caller.reader.readuntil(b"0\r\n\r\n")

    async def main() -> None:
        assert b"abc" in await slow_echo(b"")
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await slow_echo(b"Heatherhead-Deadline-Ms: 50000\r\n")

    run_with_shifted_clock(main())


def test_streamed_answer_may_take_longer_than_the_default_deadline() -> None:
    async def stream(upstream: FakeUpstream, request: web.BaseRequest) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(b"begun ")
        await upstream.answer_allowed.wait()
        await response.write(b"ended")
        return response

    async def main() -> None:
        async with running_instance(stream) as harness, harness.session.get(harness.url) as answer:
            assert await answer.content.readany() == b"begun "
            _advance_clock(40)
            await asyncio.sleep(0)
            harness.upstreams[0].answer_allowed.set()
            assert await answer.content.read() == b"ended"

    run_with_shifted_clock(main())


def test_active_upload_may_take_longer_than_the_default_deadline() -> None:
    async def main() -> None:
        async with running_instance(None, service={"key_required": False}) as harness:
            caller = await harness.connect_caller()
            await caller.send(
                b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
            )
            await harness.upstreams[0].arrived.wait()
            for _ in range(4):
                received_bytes = harness.upstreams[0].received_bytes
                await caller.send(b"3\r\nabc\r\n")
                while harness.upstreams[0].received_bytes == received_bytes:
                    await asyncio.sleep(0)
                _advance_clock(20)
            await caller.send(b"0\r\n\r\n")
            assert (await caller.read_head()).startswith("HTTP/1.1 200 ")

    run_with_shifted_clock(main())


def test_interrupted_upload_never_reaches_the_upstream_as_complete() -> None:
    async def main() -> None:
        async with running_instance(None, service={"key_required": False}) as harness:
            caller = await harness.connect_caller()
            await caller.send(
                b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
            )
            await harness.upstreams[0].arrived.wait()
            caller.close()
            await harness.upstreams[0].call_cancelled.wait()
            assert harness.upstreams[0].bodies == []

    run_with_shifted_clock(main())


async def _truncate_sized_answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await _send_and_close(reader, writer, b"Content-Length: 200000\r\n\r\n" + b"a" * 100_000)


async def _truncate_chunked_answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await _send_and_close(reader, writer, b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")


async def _send_and_close(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, part: bytes
) -> None:
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\n" + part)
    await writer.drain()
    writer.close()


@pytest.mark.parametrize("serve", [_truncate_sized_answer, _truncate_chunked_answer])
@pytest.mark.parametrize("version", [b"HTTP/1.1", b"HTTP/1.0"])
def test_truncated_answer_never_ends_as_complete(
    serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]], version: bytes
) -> None:
    async def main() -> None:
        async with raw_upstream(serve) as port, running_instance(extra_ports=[port]) as harness:
            caller = await harness.connect_caller()
            await caller.send(b"GET /x " + version + b"\r\nHost: a\r\n\r\n")
            with pytest.raises(ConnectionResetError):
                await caller.read_rest()

    run_with_shifted_clock(main())


def test_truncated_small_answer_becomes_a_problem() -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await _send_and_close(reader, writer, b"Content-Length: 9\r\n\r\nabc")

    async def main() -> None:
        async with (
            raw_upstream(serve) as port,
            running_instance(extra_ports=[port]) as harness,
            harness.session.get(harness.url) as answer,
        ):
            assert answer.status == 502
            assert (await answer.json())["outcome"] == "unknown"

    run_with_shifted_clock(main())


def test_abandoned_answer_never_reaches_another_caller() -> None:
    """The upstream answers an abandoned call late, on a connection that must not be reused."""

    async def main() -> None:
        async with running_instance(respond_when_allowed) as harness:
            upstream = harness.upstreams[0]
            caller = await harness.connect_caller()
            await caller.send(GET_HEAD + b"\r\n")
            await upstream.arrived.wait()
            caller.close()
            await harness.assembly.state.wait_idle()
            upstream.respond = _respond_to_second_call
            upstream.answer_allowed.set()
            async with harness.session.get(harness.url) as answer:
                assert await answer.text() == "own answer"

    run_with_shifted_clock(main())


async def _respond_to_second_call(
    _upstream: FakeUpstream, _request: web.BaseRequest
) -> web.Response:
    return web.Response(text="own answer")


def test_surplus_answer_of_an_upstream_is_discarded() -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            try:
                await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                writer.close()
                return
            own = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown"
            writer.write(own + b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother")

    async def main() -> None:
        async with raw_upstream(serve) as port, running_instance(extra_ports=[port]) as harness:
            for _ in range(3):
                async with harness.session.get(harness.url) as answer:
                    assert await answer.text() == "own"

    run_with_shifted_clock(main())
