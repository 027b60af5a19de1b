"""Tests of upstreams that write an answer once more, whole or in part."""

from __future__ import annotations

import asyncio

import pytest

from heatherhead.entry.settings import HostPort
from heatherhead.platform.dialect import PlatformDialect
from heatherhead.proxy.answer_matching import answers_health_check
from heatherhead.proxy.kept_addresses import NOT_KEPT_S
from heatherhead.proxy.upstream_pool import create_upstream_pool
from heatherhead.tests.proxy.fakes import (
    EntryPath,
    ScriptedUpstream,
    answer,
    recorded_events,
    request,
    run_path,
    status_of,
)

EARLIER = answer(
    "r1",
    200,
    b"earlier",
    Date="Sat, 05 Dec 2026 20:37:01 GMT",
    X_Heatherhead_Server_Load="1,0,4,100",
)
FAILURE = answer("r2", 500, b"failed", X_Heatherhead_Server_Stamp="failed")
SUCCESS = answer("r2", 200, b"second")
HEAD_BYTES = EARLIER.index(b"\r\n\r\n") + 4


def call(request_id: str, prefix: str = "/read/") -> bytes:
    """Build a call with a short deadline."""
    method = "GET" if prefix == "/read/" else "POST"
    return request(f"{prefix}x", request_id, method, X_Heatherhead_Deadline_Ms="400")


def assert_failed(received: bytes) -> None:
    """Check that a caller got the failure as it was, or an error that claims no upstream's."""
    if status_of(received) == 500:
        assert received.endswith(b"failed")
        assert received.count(b"Server-Load") == 0
    else:
        assert status_of(received) == 502
        assert b"Server-Stamp" not in received


@pytest.mark.parametrize("prefix", ["/read/", "/order/"])
@pytest.mark.parametrize("where", ["before", "behind"])
def test_part_of_an_earlier_answer_is_read_as_the_head_of_the_next(where: str, prefix: str) -> None:
    """Cut at each byte of its head, before the next answer or right behind the first."""

    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        for cut in range(1, HEAD_BYTES):
            copy = EARLIER[:cut]
            upstreams[0].script[:] = (
                [EARLIER, copy + FAILURE] if where == "before" else [EARLIER + copy, FAILURE]
            )
            assert status_of(await path.send(call("r1", prefix))) == 200, cut
            assert_failed(await path.send(call("r2", prefix)))

    run_path(scenario, [], max_attempts=1)


def test_answer_behind_a_skipped_one_is_not_read() -> None:
    """Both come in reads of their own; the caller waited for its whole deadline."""

    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        assert status_of(await path.send(call("r1"))) == 200
        received = await path.send(call("r2"))
        assert status_of(received) == 200
        assert received.endswith(b"second")
        assert upstreams[0].connections == 1
        assert status_of(await path.send(call("r3"))) == 200
        assert upstreams[0].connections == 2

    run_path(scenario, [EARLIER, [EARLIER, SUCCESS], answer("r3")], max_attempts=1)


@pytest.mark.parametrize("separate", [False, True], ids=["one read", "two reads"])
def test_earlier_answer_between_head_and_body_is_taken_for_the_body(separate: bool) -> None:
    head_bytes = SUCCESS.index(b"\r\n\r\n") + 4
    parts = [SUCCESS[:head_bytes], EARLIER + SUCCESS[head_bytes:]]

    async def scenario(path: EntryPath, _: list[ScriptedUpstream]) -> None:
        path.configure()
        assert status_of(await path.send(call("r1"))) == 200
        assert status_of(await path.send(call("r2"))) == 502

    run_path(scenario, [EARLIER, parts if separate else b"".join(parts)], max_attempts=1)


def test_skipped_answer_has_a_line_with_both_ids() -> None:
    async def scenario(path: EntryPath, _: list[ScriptedUpstream]) -> None:
        path.configure()
        assert status_of(await path.send(call("r1"))) == 200
        assert status_of(await path.send(call("r2"))) == 500

    with recorded_events("answer_skipped") as lines:
        run_path(scenario, [EARLIER, EARLIER + FAILURE], max_attempts=1)
    assert lines == [{"id": "r2", "upstream": "u0", "of": "r1", "status": 200}]


def test_failed_attempt_that_is_retried_has_a_line() -> None:
    async def scenario(path: EntryPath, _: list[ScriptedUpstream]) -> None:
        path.configure()
        assert status_of(await path.send(call("r1"))) == 500

    with recorded_events("attempt_failed") as lines:
        run_path(scenario, [answer("r1", 500)], [answer("r1", 500)], max_attempts=2)
    assert [(each["id"], each["reason"], each["then"]) for each in lines] == [
        ("r1", "status 500", "retried")
    ]


def test_upstream_that_answers_twice_keeps_its_connections() -> None:
    """A non-idempotent call can't be sent again, so it must not meet what is left there."""

    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        for number in range(1, 4):
            assert status_of(await path.send(call("r1", "/order/"))) == 200
            assert upstreams[0].connections == number

    with recorded_events("connections_not_kept") as lines:
        run_path(scenario, [EARLIER + EARLIER])
    assert [each["what"] for each in lines] == ["bytes behind an answer"]


def test_upstream_without_stray_bytes_for_a_while_keeps_no_connections() -> None:
    """Load readings share their connection all the time."""

    async def main() -> None:
        upstream = ScriptedUpstream([EARLIER + EARLIER])
        server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
        address = HostPort(*server.sockets[0].getsockname())
        pool = create_upstream_pool()
        loop = asyncio.get_running_loop()
        for for_call, connections in ((True, 1), (False, 2), (False, 2), (True, 3), (True, 4)):
            connection = await pool.acquire(address, for_call=for_call)
            await connection.exchange(call("r1"), lambda _: True)
            pool.release(address, connection, for_call=for_call)
            assert upstream.connections == connections
        now = loop.time()
        loop.time = lambda: now + NOT_KEPT_S  # type: ignore[method-assign]
        for _ in range(2):
            connection = await pool.open(address)
            pool.release(address, connection)
            assert await pool.acquire(address) is connection
        pool.close()
        server.close()

    asyncio.run(main())


def test_call_without_an_id_shares_a_connection() -> None:
    """No id tells a copy of an earlier answer from its own."""
    call_without_id = call("r1").replace(b"X-Heatherhead-Request-Id: r1\r\n", b"")

    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        for connections in (1, 2):
            assert status_of(await path.send(call_without_id)) == 404
            assert upstreams[0].connections == connections

    run_path(scenario, [answer("r1", 404).replace(b"X-Heatherhead-Request-Id: r1\r\n", b"")] * 2)


def test_late_answer_to_a_call_without_its_id_is_taken_for_a_health_check() -> None:
    copy = answer("r1", 500, X_Heatherhead_Server_Stamp="s", X_Heatherhead_Instance_Id="u0")
    copy = copy.replace(b"X-Heatherhead-Request-Id: r1\r\n", b"")
    health = b"HTTP/1.1 200 OK\r\nX-Heatherhead-Instance-Id: u0\r\nContent-Length: 0\r\n\r\n"

    async def main() -> None:
        upstream = ScriptedUpstream([answer("r1"), [copy, health]])
        server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
        address = HostPort(*server.sockets[0].getsockname())
        pool = create_upstream_pool()
        connection = await pool.open(address)
        await connection.exchange(call("r1"), lambda _: True)
        received = await connection.exchange(
            b"GET /healthz HTTP/1.1\r\n\r\n",
            lambda message: answers_health_check(PlatformDialect(), message, "u0"),
        )
        assert received.status == 200
        pool.close()
        server.close()

    asyncio.run(main())


@pytest.mark.parametrize("name", ["X-Heatherhead-Server-Stamp", "X-Heatherhead-Request-Id"])
def test_success_with_two_stamps_or_ids_is_passed_on(name: str) -> None:
    line = f"{name}: r1\r\n".encode()
    twice = answer("r1").replace(b"Content-Length", line + b"Content-Length")

    async def scenario(path: EntryPath, _: list[ScriptedUpstream]) -> None:
        path.configure()
        assert status_of(await path.send(call("r1", "/order/"))) == 502

    run_path(scenario, [twice])


@pytest.mark.parametrize("skipped", [False, True], ids=["answered", "skipped"])
def test_trailer_of_an_answer_is_added_to_the_headers_of_the_next(skipped: bool) -> None:
    """The library's parser keeps the last trailer for the next message."""
    chunked = EARLIER.replace(b"Content-Length: 7", b"Transfer-Encoding: chunked")
    chunked = chunked[: -len(b"earlier")] + b"7\r\nearlier\r\n0\r\nX-Trailer: leaked\r\n\r\n"

    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        assert status_of(await path.send(call("r1"))) == 200
        received = await path.send(call("r2"))
        assert upstreams[0].connections == 1
        assert received.endswith(b"second")
        assert b"leaked" not in received

    run_path(scenario, [chunked, chunked + SUCCESS if skipped else SUCCESS], max_attempts=1)


def test_cut_copy_becomes_the_end_of_an_answer_that_ends_with_its_connection() -> None:
    """The caller gets a success whose body ends with a part of a head."""
    endless = answer("r1").replace(b"Content-Length: 5\r\n", b"")
    head_bytes = endless.index(b"\r\n\r\n")

    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        for cut in (head_bytes // 2, head_bytes):
            upstreams[0].script[:] = [(endless + endless[:cut], "close")]
            received = await path.send(call("r1"))
            assert status_of(received) == 502 or received.endswith(b"\r\n\r\nwhole"), cut

    run_path(scenario, [], max_attempts=1)


def test_cut_copy_between_head_and_body_displaces_the_end_of_the_body() -> None:
    """The last bytes of the body come in a read of their own, after the answer was taken."""
    body = bytes(range(32, 127)) * 4
    own = answer("r2", 200, body)
    head_bytes = own.index(b"\r\n\r\n") + 4
    copy = EARLIER[:40]
    parts = [own[:head_bytes], copy + body[:-40], body[-40:]]

    async def scenario(path: EntryPath, _: list[ScriptedUpstream]) -> None:
        path.configure()
        assert status_of(await path.send(call("r1"))) == 200
        received = await path.send(call("r2"))
        assert status_of(received) == 502 or received.endswith(body)

    run_path(scenario, [EARLIER, parts], max_attempts=1)
