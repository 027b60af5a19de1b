"""Tests of answers behind one whose body in chunks has trailers."""

from __future__ import annotations

import pytest

from heatherhead.tests.proxy.fakes import (
    EntryPath,
    ScriptedUpstream,
    answer,
    run_path,
    status_of,
)
from heatherhead.tests.proxy.stuttering_upstream_tests import call

CHUNKED_HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Heatherhead-Request-Id: r1\r\nX-Heatherhead-Server-Stamp: stamp\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)


def with_trailer(trailer: bytes) -> bytes:
    """Build an answer in chunks with a trailer."""
    return CHUNKED_HEAD + b"5\r\nwhole\r\n0\r\n" + trailer + b"\r\n\r\n"


@pytest.mark.parametrize(
    "trailer",
    [b"T: a", b"X-Heatherhead-Request-Id: r1", b"X-Heatherhead-Server-Load: 0,0,8,100"],
    ids=["other", "id", "load"],
)
def test_trailer_of_an_answer_is_added_to_the_headers_of_the_next(trailer: bytes) -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        assert status_of(await path.send(call("r1"))) == 200
        received = await path.send(call("r2"))
        assert status_of(received) == 200
        assert trailer not in received

    run_path(scenario, [with_trailer(trailer), answer("r2")], max_attempts=1)


def test_trailer_of_an_answer_has_an_order_that_ran_refused_as_not_run() -> None:
    """The failure of the next one bore the promise of the first one's trailer."""
    first = with_trailer(b"X-Heatherhead-Not-Executed: 1")
    failure = answer("r2", 500, b"failed", X_Heatherhead_Server_Stamp="failed")

    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        assert status_of(await path.send(call("r1", "/order/"))) == 200
        assert status_of(await path.send(call("r2", "/order/"))) == 500
        assert len(upstreams[0].requests) == 2

    run_path(scenario, [first, failure], max_attempts=2)
