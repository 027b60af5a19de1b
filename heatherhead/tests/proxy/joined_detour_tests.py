"""Tests of answers that peers give to calls of an instance, joined, cut or of another call."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from heatherhead.entry.settings import HostPort
from heatherhead.tests.proxy.detour_tests import run_detour
from heatherhead.tests.proxy.fakes import (
    EntryPath,
    ScriptedUpstream,
    answer,
    request,
    status_of,
)
from heatherhead.tests.proxy.stuttering_upstream_tests import EARLIER, FAILURE, assert_failed, call

WITHOUT_ID = b"X-Heatherhead-Request-Id: r1\r\n"


def run_with_scripted_peer(calls: list[tuple[bytes, int]], script: list[Any]) -> ScriptedUpstream:
    """Send calls over a peer that follows a script; check the statuses that the callers get."""
    peer = ScriptedUpstream(script)

    async def scenario(cut: EntryPath, _peer: EntryPath, _: list[ScriptedUpstream]) -> None:
        server = await asyncio.start_server(peer.serve, "127.0.0.1", 0)
        cut.peers[:] = [HostPort(*server.sockets[0].getsockname())]
        for data, status in calls:
            assert status_of(await cut.send(data)) == status
        server.close()

    run_detour(scenario, [])
    return peer


@pytest.mark.parametrize("prefix", ["/read/", "/order/"])
def test_joined_answer_of_the_peers_upstream_is_passed_on(prefix: str) -> None:
    """Shows on no version since heads are checked; cut at each byte of the first line and header."""

    async def scenario(cut: EntryPath, _peer: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        for size in range(1, EARLIER.index(b"\r\n", 20)):
            upstreams[0].script[:] = [EARLIER, EARLIER[:size] + FAILURE]
            assert status_of(await cut.send(call("r1", prefix))) == 200
            assert_failed(await cut.send(call("r2", prefix)))

    run_detour(scenario, [], max_attempts=1)


@pytest.mark.parametrize("size", [5, 40, len(EARLIER)])
def test_earlier_answer_on_a_kept_connection_to_a_peer_is_taken_for_the_next(size: int) -> None:
    """Shows on no version; a whole one is skipped."""
    status = 500 if size == len(EARLIER) else 502
    run_with_scripted_peer(
        [(call("r1"), 200), (call("r2"), status)], [EARLIER, EARLIER[:size] + FAILURE]
    )


def test_call_without_an_id_shares_a_connection_to_a_peer() -> None:
    """No id tells a copy of an earlier answer from its own."""
    first = answer("r1", 404, b"first").replace(WITHOUT_ID, b"")
    second = answer("r1", 500, b"second").replace(WITHOUT_ID, b"")
    data = call("r1").replace(WITHOUT_ID, b"")
    peer = run_with_scripted_peer([(data, 404), (data, 500)], [first, second])
    assert peer.connections == 2


def test_answer_to_head_of_a_peer_is_read_with_a_body() -> None:
    """Shows on no version: it has a connection of its own."""

    async def scenario(cut: EntryPath, _peer: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        whole = answer("r1", 200, b"").replace(b"Length: 0", b"Length: 5")
        upstreams[0].script[:] = [whole, answer("r2", 200, b"second")]
        reader, writer = await cut.connect()
        writer.write(request(method="HEAD"))
        received = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        assert status_of(received) == 200
        assert b"Content-Length: 5" in received
        assert (await cut.send(call("r2"))).endswith(b"second")

    run_detour(scenario, [])


@pytest.mark.parametrize("status", [500, 404])
def test_failure_without_an_id_is_not_read_from_a_peer(status: int) -> None:
    """The caller waited for its whole deadline."""
    failure = answer("r1", status, b"failed").replace(WITHOUT_ID, b"")

    async def scenario(
        cut: EntryPath, _peer: EntryPath, _upstreams: list[ScriptedUpstream]
    ) -> None:
        received = await cut.send(call("r1"))
        assert status_of(received) == status

    run_detour(scenario, [failure], max_attempts=1)
