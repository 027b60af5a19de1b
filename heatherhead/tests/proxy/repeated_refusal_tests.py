"""Tests of refusals that an upstream writes once more, and of heads that break off."""

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

NOT_RUN = {"X_Heatherhead_Not_Executed": "1"}
SERVER_STAMP = b"X-Heatherhead-Server-Stamp: stamp"


def without_id(data: bytes) -> bytes:
    """Return an answer that names no request."""
    return data.replace(b"X-Heatherhead-Request-Id: r1\r\n", b"")


def order(request_id: str) -> bytes:
    """Build a call that may run once at most."""
    return request("/order/x", request_id, "POST", b"pallet")


REFUSALS = {
    "503": answer("r1", 503, b"full", **NOT_RUN),
    "503-without-id": without_id(answer("r1", 503, b"full", **NOT_RUN)),
    "429": answer("r1", 429, b"slow down", **NOT_RUN),
    "429-without-id": without_id(answer("r1", 429, b"slow down", **NOT_RUN)),
    "421": answer("r1", 421, b"", X_Heatherhead_Instance_Id="other"),
    "421-without-id": without_id(answer("r1", 421, b"", X_Heatherhead_Instance_Id="other")),
}


@pytest.mark.parametrize("first", ["refused", "answered", "answered-without-body"])
@pytest.mark.parametrize("refusal", REFUSALS)
def test_earlier_refusal_written_once_more_is_taken_for_the_next_answer(
    refusal: str, first: str
) -> None:
    """It comes after the next order was sent on the connection, which is running by then."""
    first_answer = {
        "refused": answer("r1", 503, b"full", **NOT_RUN),
        "answered": answer("r1"),
        "answered-without-body": b"HTTP/1.1 204 None\r\nX-Heatherhead-Request-Id: r1\r\n"
        + SERVER_STAMP
        + b"\r\n\r\n",
    }[first]

    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        await path.send(order("r1"))
        received = await path.send(order("r2"))
        assert len(upstreams[0].requests) == 2
        assert upstreams[0].connections == 1
        assert status_of(received) in (200, 502)
        if status_of(received) == 200:
            assert received.endswith(b"ran")
        state = path.dispatcher.state("u0")
        assert state is not None
        assert not state.misdirected

    run_path(
        scenario, [first_answer, REFUSALS[refusal] + answer("r2", body=b"ran")], max_attempts=1
    )


@pytest.mark.parametrize("refusal", REFUSALS)
def test_refusal_right_behind_an_answer_or_on_an_idle_connection_reaches_another_call(
    refusal: str,
) -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        assert status_of(await path.send(order("r1"))) == 200
        assert status_of(await path.send(order("r2"))) == 200
        assert upstreams[0].connections == 2

    run_path(scenario, [answer("r1") + REFUSALS[refusal], answer("r2")])


def test_refusal_without_an_id_is_believed_on_a_new_connection() -> None:
    """Nothing else can have been answered there."""

    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        assert status_of(await path.send(order("r1"))) == 200
        assert sum(len(each.requests) for each in upstreams) == 2

    run_path(scenario, [REFUSALS["503-without-id"]], [answer("r1")])


CHUNKED = (
    b"HTTP/1.1 200 OK\r\nX-Heatherhead-Request-Id: r1\r\n"
    + SERVER_STAMP
    + b"\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
)
BROKEN_HEADS: dict[str, Callable[[], bytes]] = {
    "length": lambda: answer("r1"),
    "chunked": lambda: CHUNKED,
    "continued": lambda: b"HTTP/1.1 100 Continue\r\n\r\n" + answer("r1"),
    "hinted": lambda: b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + CHUNKED,
}


@pytest.mark.parametrize("kind", BROKEN_HEADS)
def test_answer_that_breaks_off_is_taken_for_whole(kind: str) -> None:
    """At each byte of its head, its chunk sizes and its body; the upstream then closes."""
    whole = BROKEN_HEADS[kind]()

    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        for cut in range(len(whole)):
            upstreams[0].script[:] = [(whole[:cut], "close")]
            received = await path.send(order("r1"))
            assert status_of(received) == 502, (cut, whole[:cut], received)
            assert SERVER_STAMP not in received
        upstreams[0].script[:] = [whole]
        assert status_of(await path.send(order("r1"))) == 200

    run_path(scenario, [], max_attempts=1)


def test_connection_after_a_head_that_broke_off_is_used_again() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        reader, writer = await path.connect()
        for request_id, expected in (("r1", 502), ("r2", 200)):
            writer.write(request(request_id=request_id))
            assert status_of(await read_answer(reader)) == expected
        assert upstreams[0].connections == 2
        writer.close()
        await asyncio.sleep(0)

    run_path(scenario, [(answer("r1")[:30], "close"), answer("r2")], max_attempts=1)
