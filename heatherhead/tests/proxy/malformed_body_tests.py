"""Tests of bodies of requests that end elsewhere than they say, and of what comes behind them."""

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
    assert_refused,
    order_head,
    send_parts,
)


@pytest.mark.parametrize(
    "parts",
    [
        (order_head(CHUNKED), b"5\r\nAB" + NEXT),
        (order_head(CHUNKED), b"5" + NEXT),
        (order_head(CHUNKED), b"5\r\nABCDE\r\n0\r\n" + NEXT),
        (order_head(CHUNKED), b"5\r\nABCDE\r\n0\r\nT: a" + NEXT),
        (order_head(CHUNKED), b"5\r\nABCDE", b"0\r\n\r\n" + NEXT),
        (order_head(CHUNKED), b"0x5\r\nABCDE\r\n0\r\n\r\n"),
        (order_head(CHUNKED), b"5;a\nb\r\nABCDE\r\n0\r\n\r\n"),
        (order_head(CHUNKED), b"5\nABCDE\r\n0\r\n\r\n"),
        (order_head(CHUNKED), b"5\r\nABCDE\r\n0\r\nContent-Length: 7\r\n\r\n"),
    ],
    ids=["chunk", "size", "end", "trailer", "no line end", "0x", "extension", "LF", "length"],
)
def test_call_with_a_malformed_body_is_said_to_have_run(parts: tuple[bytes, ...]) -> None:
    """The answer was 502; its caller sent it once more, or gave it up as run."""

    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        await assert_refused(path, upstreams[0], *parts)

    run_path(scenario, [])


@pytest.mark.parametrize("separate", [False, True], ids=["one read", "two reads"])
@pytest.mark.parametrize("rest", [b"AB" + NEXT, b"ABCDEFGHIJKL"], ids=["next request", "bytes"])
def test_body_that_ends_inside_the_next_request_is_passed_on(rest: bytes, separate: bool) -> None:
    """What comes with its last bytes begins no request, so they may be another one's."""
    head = order_head("Content-Length: 10")

    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        parts = (head, rest) if separate else (head + rest,)
        await assert_refused(path, upstreams[0], *parts)

    run_path(scenario, [])


def test_body_that_holds_the_whole_next_request_is_passed_on() -> None:
    """Nothing can be said: a body may hold any bytes, and its length agrees."""
    data = order_head(f"Content-Length: {len(NEXT)}")

    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        assert status_of((await send_parts(path, data, NEXT))[0]) == 200
        assert upstreams[0].requests[0].endswith(NEXT)

    run_path(scenario, [answer("r1")])
