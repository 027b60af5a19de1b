"""Tests of answers of other forms, cut ahead of the next answer."""

from __future__ import annotations

import asyncio

import pytest

from heatherhead.entry.settings import HostPort
from heatherhead.proxy.upstream_connection import BrokenAnswerError
from heatherhead.proxy.upstream_pool import create_upstream_pool
from heatherhead.tests.proxy.fakes import (
    EntryPath,
    ScriptedUpstream,
    answer,
    request,
    run_path,
    status_of,
)
from heatherhead.tests.proxy.stuttering_upstream_tests import assert_failed, call

HINTS = (
    b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\nX-Heatherhead-Request-Id: r2\r\n\r\n",
)
FAILURE = answer("r2", 500, b"failed", X_Heatherhead_Server_Stamp="failed")


@pytest.mark.parametrize("hint", HINTS, ids=["103", "100"])
def test_part_of_an_interim_answer_is_read_as_the_head_of_the_next(hint: bytes) -> None:
    """Shows on no version since the heads are checked; cut at each byte."""

    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        for cut in range(1, len(hint)):
            upstreams[0].script[:] = [answer("r1"), hint[:cut] + FAILURE]
            assert status_of(await path.send(call("r1"))) == 200
            assert_failed(await path.send(call("r2")))

    run_path(scenario, [], max_attempts=1)


@pytest.mark.parametrize("hint", HINTS, ids=["103", "100"])
def test_interim_answer_ahead_of_a_failure_changes_it(hint: bytes) -> None:
    """Shows on no version."""

    async def scenario(path: EntryPath, _: list[ScriptedUpstream]) -> None:
        path.configure()
        received = await path.send(call("r2"))
        assert status_of(received) == 500
        assert received.endswith(b"failed")
        assert b"Link" not in received

    run_path(scenario, [hint + FAILURE], max_attempts=1)


def test_cut_answer_to_head_is_read_as_the_head_of_the_next() -> None:
    """Shows on no version: a call of HEAD has a connection of its own; cut at each byte."""
    whole = answer("r1", 200, b"").replace(b"Length: 0", b"Length: 5")
    failure = answer("r1", 500, b"", X_Heatherhead_Server_Stamp="failed")

    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        for cut in range(1, len(whole)):
            upstreams[0].script[:] = [whole[:cut] + failure]
            reader, writer = await path.connect()
            writer.write(request(method="HEAD", X_Heatherhead_Deadline_Ms="400"))
            received = await reader.readuntil(b"\r\n\r\n")
            writer.close()
            assert status_of(received) in (500, 502), (cut, received)

    run_path(scenario, [], max_attempts=1)


@pytest.mark.parametrize("end", ["close", "reset"])
def test_answer_that_ends_with_its_connection_swallows_the_next(end: str) -> None:
    """Bytes of another answer in such a body are refused if they hold its own or the last head."""
    endless = answer("r2", 200, b"").replace(b"Content-Length: 0\r\n", b"")

    async def scenario(path: EntryPath, _: list[ScriptedUpstream]) -> None:
        path.configure()
        assert status_of(await path.send(call("r1"))) == 200
        assert status_of(await path.send(call("r2"))) == 502

    run_path(scenario, [answer("r1"), (endless + b"part" + answer("r1"), end)], max_attempts=1)


def test_foreign_answer_in_a_body_that_ends_with_its_connection_is_passed_on() -> None:
    """Nothing can be said: a body may hold an answer that the connection has not had before."""
    endless = answer("r1", 200, b"").replace(b"Content-Length: 0\r\n", b"")

    async def scenario(path: EntryPath, _: list[ScriptedUpstream]) -> None:
        path.configure()
        assert status_of(await path.send(call("r1"))) == 200

    run_path(scenario, [(endless + b"part" + answer("r9"), "close")], max_attempts=1)


def test_cut_head_that_ends_with_its_connection_is_an_answer() -> None:
    """Shows on no version; cut at each byte."""
    whole = answer("r1", 200, b"").replace(b"Content-Length: 0\r\n", b"")

    async def main() -> None:
        upstream = ScriptedUpstream([(whole[:cut], "close") for cut in range(1, len(whole))])
        server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
        pool = create_upstream_pool()
        for _ in range(1, len(whole)):
            connection = await pool.open(HostPort(*server.sockets[0].getsockname()))
            with pytest.raises(BrokenAnswerError):
                await connection.exchange(request(), lambda _: True)
        pool.close()
        server.close()

    asyncio.run(main())
