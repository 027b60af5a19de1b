"""Tests of calls through a complete instance: what upstreams and callers receive."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from aiohttp import web

from heatherhead.tests.callers.fakes import (
    FakeUpstream,
    run_with_shifted_clock,
    running_assembly,
    running_instance,
    settings_for,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "OPTIONS", "PURGE"])
def test_methods_are_forwarded(method: str) -> None:
    async def main() -> None:
        async with (
            running_instance(None, service={"key_required": False}) as harness,
            harness.session.request(method, harness.url + "/a%2Fb?x=%20") as answer,
        ):
            assert await answer.text() == "hello"
            assert harness.upstreams[0].seen == [f"{method} /a%2Fb?x=%20"]

    run_with_shifted_clock(main())


def test_head_keeps_the_length_without_a_body() -> None:
    async def main() -> None:
        async with running_instance(None) as harness:
            async with harness.session.head(harness.url + "/") as answer:
                assert answer.headers["Content-Length"] == "5"
                assert await answer.read() == b""
            async with harness.session.get(harness.url + "/") as answer:
                assert await answer.text() == "hello"

    run_with_shifted_clock(main())


def test_hop_by_hop_headers_are_removed() -> None:
    async def main() -> None:
        async with running_instance(_answer_with_hop_headers) as harness:
            sent = {
                "Connection": "X-Private",
                "X-Private": "1",
                "TE": "trailers",
                "X-Kept": "2",
                "X-Forwarded-For": "192.0.2.1",
            }
            async with harness.session.get(harness.url + "/", headers=sent) as answer:
                assert "X-Hop" not in answer.headers
                assert answer.headers["X-Answer"] == "3"
                assert answer.headers["Via"] == "1.1 heatherhead"
                assert "Heatherhead-Load" not in answer.headers
            seen = harness.upstreams[0].headers[0]
            assert "X-Private" not in seen and "TE" not in seen
            assert seen["X-Kept"] == "2"
            assert seen["X-Forwarded-For"] == "192.0.2.1, 127.0.0.1"
            assert seen["Via"] == "1.1 heatherhead"
            assert seen["Host"] == harness.url.removeprefix("http://")
            assert seen["Heatherhead-Service"] == "orders"

    run_with_shifted_clock(main())


async def _answer_with_hop_headers(
    _upstream: FakeUpstream, _request: web.BaseRequest
) -> web.Response:
    headers = {"Connection": "X-Hop", "X-Hop": "1", "X-Answer": "3", "Heatherhead-Load": "7"}
    return web.Response(headers=headers)


def test_large_bodies_stream_both_ways() -> None:
    async def main() -> None:
        async with (
            running_instance(_echo, service={"key_required": False}) as harness,
            harness.session.post(harness.url + "/", data=_chunks(64)) as answer,
        ):
            body = await answer.read()
            assert len(body) == 64 * 50_000
            assert body[:50_000] == b"\x00" * 50_000
            assert body[-50_000:] == b"\x3f" * 50_000

    run_with_shifted_clock(main())


async def _chunks(count: int) -> AsyncIterator[bytes]:
    for index in range(count):
        yield bytes([index]) * 50_000


async def _echo(_upstream: FakeUpstream, request: web.BaseRequest) -> web.StreamResponse:
    response = web.StreamResponse()
    await response.prepare(request)
    while chunk := await request.content.readany():
        await response.write(chunk)
    await response.write_eof()
    return response


def test_upload_waits_for_a_slow_upstream() -> None:
    async def main() -> None:
        async with running_instance(
            _read_body_when_released, service={"key_required": False}
        ) as harness:
            sent = 0

            async def body() -> AsyncIterator[bytes]:
                nonlocal sent
                for _ in range(1024):
                    yield b"x" * 65_536
                    sent += 65_536

            post = asyncio.create_task(harness.session.post(harness.url + "/", data=body()))
            await harness.upstreams[0].arrived.wait()
            while True:
                before = sent
                for _ in range(200):
                    await asyncio.sleep(0)
                if sent == before:
                    break
            assert sent < 48 * 1024**2
            harness.upstreams[0].answer_allowed.set()
            async with await post as answer:
                assert await answer.text() == str(64 * 1024**2)

    run_with_shifted_clock(main())


async def _read_body_when_released(
    upstream: FakeUpstream, request: web.BaseRequest
) -> web.StreamResponse:
    await upstream.answer_allowed.wait()
    size = 0
    while chunk := await request.content.readany():
        size += len(chunk)
    return web.Response(text=str(size))


def test_continue_is_sent_before_a_streamed_body_is_read() -> None:
    async def main() -> None:
        async with running_instance(None, service={"key_required": False}) as harness:
            caller = await harness.connect_caller()
            await caller.send(
                b"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n"
            )
            assert (await caller.read_head()).startswith("HTTP/1.1 100 ")
            await caller.send(b"3\r\nabc\r\n0\r\n\r\n")
            assert (await caller.read_head()).startswith("HTTP/1.1 200 ")
            assert harness.upstreams[0].bodies == [b"abc"]
            assert "Expect" not in harness.upstreams[0].headers[0]

    run_with_shifted_clock(main())


def test_refused_call_gets_no_continue() -> None:
    async def main() -> None:
        async with running_instance(None) as harness:
            caller = await harness.connect_caller()
            await caller.send(
                b"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n"
            )
            assert (await caller.read_head()).startswith("HTTP/1.1 428 ")
            assert harness.upstreams[0].seen == []

    run_with_shifted_clock(main())


def test_host_name_takes_precedence_over_path_prefix() -> None:
    async def main() -> None:
        upstream = FakeUpstream()
        async with running_instance(None) as other:
            document = settings_for([other.upstreams[0].port], service={"path_prefixes": ["/lab"]})
            document["services"].append(
                {
                    "name": "stock",
                    "hosts": ["stock.example"],
                    "upstreams": [
                        {"id": "u0", "host": "127.0.0.1", "port": other.upstreams[0].port}
                    ],
                }
            )
            async with running_assembly(document) as assembly:
                url = f"http://127.0.0.1:{assembly.settings.callers.listen.port}"
                for path, host, service in [
                    ("/lab/1", "Stock.Example:80", "stock"),
                    ("/lab/1", "x", "orders"),
                    ("/lab", "x", "orders"),
                ]:
                    async with other.session.get(url + path, headers={"Host": host}) as answer:
                        assert answer.status == 200
                    assert other.upstreams[0].headers[-1]["Heatherhead-Service"] == service
                async with other.session.get(url + "/labour", headers={"Host": "x"}) as answer:
                    assert answer.status == 404
                    assert (await answer.json())["outcome"] == "not-run"
        assert upstream.seen == []

    run_with_shifted_clock(main())


def test_own_answers_do_not_reveal_library_versions() -> None:
    async def main() -> None:
        async with running_instance(None) as harness:
            for path in ("/v1/ready", "/v1/addresses?service=orders", "/v1/addresses"):
                async with harness.session.get(harness.url + path) as answer:
                    assert answer.headers["Server"] == "heatherhead"

    run_with_shifted_clock(main())
