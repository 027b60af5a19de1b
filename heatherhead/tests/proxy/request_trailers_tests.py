"""Tests of requests behind one whose body in chunks has trailers."""

from __future__ import annotations

import pytest

from heatherhead.tests.proxy.fakes import (
    EntryPath,
    ScriptedUpstream,
    answer,
    run_path,
    status_of,
)
from heatherhead.tests.proxy.joined_request_tests import (
    CHUNKED,
    NEXT,
    order_head,
    send_parts,
)

TRAILERS = (
    b"T: a\r\n",
    b"T: a\r\nU: b\r\n",
    b"X-Heatherhead-Request-Id: r9\r\n",
    b"T: GET /read/r9 HTTP/1.1\r\n",
)


@pytest.mark.parametrize("trailers", TRAILERS)
def test_trailer_is_added_to_the_headers_of_the_next_request(trailers: bytes) -> None:
    """The parser kept the last one; the next request was run with a header that it didn't have."""
    body = b"5;a=b\r\nABCDE\r\n0\r\n" + trailers + b"\r\n"

    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        received, rest = await send_parts(path, order_head(CHUNKED) + body[:-1], b"\n", NEXT)
        assert (status_of(received), status_of(rest)) == (200, 200)
        assert upstreams[0].requests[0].endswith(b"\r\n\r\nABCDE")
        assert upstreams[0].requests[1].count(b"\r\n") == NEXT.count(b"\r\n") + 1

    run_path(scenario, [answer("r1"), answer("r2")])


@pytest.mark.parametrize("cut", [1, 30, len(NEXT)])
@pytest.mark.parametrize("trailers", [b"", *TRAILERS])
def test_next_request_comes_in_one_read_with_a_trailer(trailers: bytes, cut: int) -> None:
    """Its caller is told that it wasn't read."""
    body = b"5\r\nABCDE\r\n0\r\n" + trailers + b"\r\n"

    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        data = order_head(CHUNKED) + body + NEXT
        end = len(data) - len(NEXT) + cut
        received, rest = await send_parts(path, data[:end], data[end:])
        assert status_of(received) == 200
        assert b"Connection: close" in received
        assert rest == b""
        assert len(upstreams[0].requests) == 1

    run_path(scenario, [answer("r1")])
