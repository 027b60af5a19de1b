"""Tests of deadlines, of callers that leave, and of answers that are cut short."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from aiohttp import web

from heatherhead.tests.callers.fakes import (
    FakeUpstream,
    hold,
    raw_upstream,
    run_shifted,
    stand,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

GET = b"GET /x HTTP/1.1\r\nHost: a\r\n"


def _advance(seconds: float) -> None:
    asyncio.get_running_loop().advance(seconds)  # type: ignore[attr-defined]


def test_remaining_time_is_passed_on() -> None:
    async def main() -> None:
        async with stand(None) as here:
            for asked, lowest, highest in [
                ({"Heatherhead-Deadline-Ms": "900"}, 1, 900),
                ({}, 1, 30_000),
            ]:
                async with here.session.get(here.url, headers=asked) as answer:
                    assert answer.status == 200
                told = int(here.upstreams[0].headers[-1]["Heatherhead-Deadline-Ms"])
                assert lowest <= told <= highest

    run_shifted(main())


@pytest.mark.parametrize("asked", ["0", "-1", "1.5", "x", "99999999999"])
def test_unreadable_deadline_is_refused(asked: str) -> None:
    async def main() -> None:
        async with (
            stand(None) as here,
            here.session.get(here.url, headers={"Heatherhead-Deadline-Ms": asked}) as answer,
        ):
            assert answer.status == 400
            assert here.upstreams[0].seen == []

    run_shifted(main())


def test_deadline_while_the_upstream_works_is_unknown() -> None:
    async def main() -> None:
        async with stand(hold) as here:
            call = asyncio.create_task(here.session.get(here.url))
            await here.upstreams[0].arrived.wait()
            _advance(31)
            async with await call as answer:
                assert answer.status == 504
                problem = await answer.json()
            assert problem["outcome"] == "unknown"
            assert answer.headers["Heatherhead-No-Retry"] == "true"
            assert "Heatherhead-Not-Run" not in answer.headers
            await here.upstreams[0].gone.wait()

    run_shifted(main())


def test_deadline_in_the_queue_is_not_run() -> None:
    async def main() -> None:
        async with stand(hold, slots=1) as here:
            first = asyncio.create_task(
                here.session.get(here.url, headers={"Heatherhead-Deadline-Ms": "90000"})
            )
            await here.upstreams[0].arrived.wait()
            second = asyncio.create_task(here.session.get(here.url))
            while here.assembly.state.in_progress < 2:
                await asyncio.sleep(0)
            _advance(31)
            async with await second as answer:
                assert answer.status == 504
                assert (await answer.json())["outcome"] == "not-run"
                assert answer.headers["Heatherhead-Not-Run"] == "true"
            here.upstreams[0].go.set()
            async with await first as answer:
                assert answer.status == 200
            assert len(here.upstreams[0].seen) == 1

    run_shifted(main())


def test_nothing_is_sent_after_a_pause_beyond_the_deadline() -> None:
    async def main() -> None:
        async with stand(None) as here:
            client = here.assembly.client
            original = client.send

            async def paused_send(*arguments: object) -> None:
                _advance(31)
                await original(*arguments)  # type: ignore[arg-type]

            async with here.session.get(here.url) as answer:
                assert answer.status == 200  # leaves a connection that can be used at once
            client.send = paused_send  # type: ignore[method-assign]
            async with here.session.get(here.url) as answer:
                assert answer.status == 504
                assert (await answer.json())["outcome"] == "not-run"
            assert len(here.upstreams[0].seen) == 1

    run_shifted(main())


def test_caller_that_leaves_cancels_the_upstream_call() -> None:
    async def main() -> None:
        async with stand(hold) as here:
            caller = await here.caller()
            await caller.send(GET + b"\r\n")
            await here.upstreams[0].arrived.wait()
            caller.close()
            await here.upstreams[0].gone.wait()
            await here.assembly.state.wait_idle()
            assert here.upstreams[0].cancelled == 1

    run_shifted(main())


def test_caller_that_leaves_within_an_answer_closes_the_connection_to_the_upstream() -> None:
    async def stream(upstream: FakeUpstream, request: web.BaseRequest) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(b"begun")
        await upstream.go.wait()
        return response

    async def main() -> None:
        async with stand(stream) as here:
            caller = await here.caller()
            await caller.send(GET + b"\r\n")
            await caller.head()
            caller.close()
            await here.upstreams[0].gone.wait()

    run_shifted(main())


def test_default_deadline_spares_streams_that_flow_and_a_named_one_does_not() -> None:
    async def echo(_upstream: FakeUpstream, request: web.BaseRequest) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        while chunk := await request.content.readany():
            await response.write(chunk)
        return response

    async def slow_echo(named: bytes) -> bytes:
        async with stand(echo, service={"key_required": False}) as here:
            caller = await here.caller()
            await caller.send(
                b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
                + named
                + b"\r\n3\r\nabc\r\n"
            )
            await caller.head()
            for _ in range(4):
                assert b"abc" in await caller.reader.readuntil(b"abc\r\n")
                _advance(20)
                await asyncio.sleep(0)
                await caller.send(b"3\r\nabc\r\n")
            await caller.send(b"0\r\n\r\n")
            return await caller.reader.readuntil(b"0\r\n\r\n")

    async def main() -> None:
        assert b"abc" in await slow_echo(b"")
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await slow_echo(b"Heatherhead-Deadline-Ms: 50000\r\n")

    run_shifted(main())


def test_streamed_answer_may_take_longer_than_the_default_deadline() -> None:
    async def stream(upstream: FakeUpstream, request: web.BaseRequest) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(b"begun ")
        await upstream.go.wait()
        await response.write(b"ended")
        return response

    async def main() -> None:
        async with stand(stream) as here, here.session.get(here.url) as answer:
            assert await answer.content.readany() == b"begun "
            _advance(40)
            await asyncio.sleep(0)
            here.upstreams[0].go.set()
            assert await answer.content.read() == b"ended"

    run_shifted(main())


def test_upload_that_flows_may_take_longer_than_the_default_deadline() -> None:
    async def main() -> None:
        async with stand(None, service={"key_required": False}) as here:
            caller = await here.caller()
            await caller.send(
                b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
            )
            await here.upstreams[0].arrived.wait()
            for _ in range(4):
                received = here.upstreams[0].received
                await caller.send(b"3\r\nabc\r\n")
                while here.upstreams[0].received == received:
                    await asyncio.sleep(0)
                _advance(20)
            await caller.send(b"0\r\n\r\n")
            assert (await caller.head()).startswith("HTTP/1.1 200 ")

    run_shifted(main())


def test_upload_of_a_caller_that_leaves_never_ends_as_whole() -> None:
    async def main() -> None:
        async with stand(None, service={"key_required": False}) as here:
            caller = await here.caller()
            await caller.send(
                b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
            )
            await here.upstreams[0].arrived.wait()
            caller.close()
            await here.upstreams[0].gone.wait()
            assert here.upstreams[0].bodies == []

    run_shifted(main())


async def _cut_with_length(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await _answer_part(reader, writer, b"Content-Length: 200000\r\n\r\n" + b"a" * 100_000)


async def _cut_chunked(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await _answer_part(reader, writer, b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")


async def _answer_part(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, part: bytes
) -> None:
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\n" + part)
    await writer.drain()
    writer.close()


@pytest.mark.parametrize("serve", [_cut_with_length, _cut_chunked])
@pytest.mark.parametrize("version", [b"HTTP/1.1", b"HTTP/1.0"])
def test_cut_answer_is_never_ended_as_whole(
    serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]], version: bytes
) -> None:
    async def main() -> None:
        async with raw_upstream(serve) as port, stand(extra_ports=[port]) as here:
            caller = await here.caller()
            await caller.send(b"GET /x " + version + b"\r\nHost: a\r\n\r\n")
            with pytest.raises(ConnectionResetError):
                await caller.rest()

    run_shifted(main())


def test_small_answer_that_is_cut_becomes_a_problem() -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await _answer_part(reader, writer, b"Content-Length: 9\r\n\r\nabc")

    async def main() -> None:
        async with (
            raw_upstream(serve) as port,
            stand(extra_ports=[port]) as here,
            here.session.get(here.url) as answer,
        ):
            assert answer.status == 502
            assert (await answer.json())["outcome"] == "unknown"

    run_shifted(main())


def test_abandoned_answer_never_reaches_another_caller() -> None:
    """The upstream answers the first call late, on a connection that nobody may use again."""

    async def main() -> None:
        async with stand(hold) as here:
            upstream = here.upstreams[0]
            caller = await here.caller()
            await caller.send(GET + b"\r\n")
            await upstream.arrived.wait()
            caller.close()
            await here.assembly.state.wait_idle()
            upstream.respond = _tell_port
            upstream.go.set()
            async with here.session.get(here.url) as answer:
                assert await answer.text() == "own answer"

    run_shifted(main())


async def _tell_port(_upstream: FakeUpstream, _request: web.BaseRequest) -> web.Response:
    return web.Response(text="own answer")


def test_second_answer_of_an_upstream_reaches_nobody() -> None:
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
        async with raw_upstream(serve) as port, stand(extra_ports=[port]) as here:
            for _ in range(3):
                async with here.session.get(here.url) as answer:
                    assert await answer.text() == "own"

    run_shifted(main())
