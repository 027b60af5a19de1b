"""Tests of answers that break off while their request is being written, and of invalid statuses."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from heatherhead.proxy.upstream_connection import BrokenAnswerError
from heatherhead.proxy.upstream_pool import create_upstream_pool
from heatherhead.registry.entries import UpstreamAddress
from heatherhead.routes.model import CallerLimits
from heatherhead.tests.proxy.detour_tests import listen_as_peer, run_detour
from heatherhead.tests.proxy.fakes import (
    EntryPath,
    ScriptedUpstream,
    answer,
    request,
    run_path,
    run_servers,
    status_of,
)
from heatherhead.tests.truncating_server import (
    BODY_PART,
    INVALID_STATUSES,
    RESETS,
    UNREADABLE_BODY_BYTES,
    End,
    TruncatingServer,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

WITHOUT_LENGTH = answer(body=b"").replace(b"Content-Length: 0\r\n", b"") + BODY_PART
VERSIONS = pytest.mark.parametrize("version", [b"HTTP/1.0", b"HTTP/1.1"])
BODIES = pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunked"])


def upload(*, chunked: bool) -> bytes:
    """Build an upload that no upstream has room for unless it reads."""
    body = bytes(UNREADABLE_BODY_BYTES)
    if not chunked:
        return request("/upload/x", method="POST", body=body)
    head = request("/upload/x", method="POST", Transfer_Encoding="chunked")
    return head + b"%x\r\n" % len(body) + body + b"\r\n0\r\n\r\n"


def with_status(status: str, body: bytes = b"whole") -> bytes:
    """Build an answer with a status that may be none."""
    return answer(body=body).replace(b" 200 ", f" {status} ".encode())


def allow_uploads(path: EntryPath) -> None:
    """Allow bodies of the size of the test's uploads."""
    limits = CallerLimits(max_body_bytes=2 * UNREADABLE_BODY_BYTES)
    known = path.table.configuration
    path.table.apply(replace(known, version=known.version + 1, limits=limits))


def run_upload(early: bytes, end: End, *, chunked: bool, check: Callable[[bytes], None]) -> None:
    """Check the answer to an upload that its upstream answers early."""

    async def scenario(path: EntryPath, servers: list[TruncatingServer]) -> None:
        path.configure()
        allow_uploads(path)
        received = await path.send(upload(chunked=chunked))
        assert servers[0].requests == 1
        check(received)

    run_servers(scenario, [TruncatingServer(early, end)], [("u0",)], max_attempts=1)


def assert_refused(received: bytes) -> None:
    """Check that the answer is none of the upstream's."""
    assert status_of(received) == 502
    assert BODY_PART not in received


@BODIES
@VERSIONS
@pytest.mark.parametrize("end", RESETS)
def test_part_of_an_answer_without_a_length_is_passed_on_after_a_reset(
    end: End, version: bytes, chunked: bool
) -> None:
    early = WITHOUT_LENGTH.replace(b"HTTP/1.1", version)
    run_upload(early, end, chunked=chunked, check=assert_refused)


@BODIES
@VERSIONS
def test_early_answer_without_a_length_is_refused_after_an_orderly_end(
    version: bytes, chunked: bool
) -> None:
    """Such an answer is complete, though its upstream has not read the request to its end."""

    def check(received: bytes) -> None:
        assert status_of(received) == 200
        assert received.endswith(b"\r\n\r\n" + BODY_PART)

    early = WITHOUT_LENGTH.replace(b"HTTP/1.1", version)
    run_upload(early, End.ORDERLY, chunked=chunked, check=check)


@pytest.mark.parametrize("end", list(End))
@pytest.mark.parametrize("framing", [b"Content-Length: 99", b"Transfer-Encoding: chunked"])
def test_part_of_an_answer_with_a_known_end_is_passed_on(framing: bytes, end: End) -> None:
    part = b"10\r\n" + BODY_PART if framing.endswith(b"chunked") else BODY_PART
    early = answer(body=b"").replace(b"Content-Length: 0", framing) + part
    run_upload(early, end, chunked=False, check=assert_refused)


@VERSIONS
@pytest.mark.parametrize("path", ["/read/x", "/order/x"])
@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_invalid_status_is_passed_on(status: str, path: str, version: bytes) -> None:
    odd = with_status(status).replace(b"HTTP/1.1", version)

    async def scenario(entry: EntryPath, _: list[ScriptedUpstream]) -> None:
        entry.configure()
        assert_refused(await entry.send(request(path)))

    run_path(scenario, [odd], max_attempts=1)


@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_answer_behind_one_with_an_invalid_status_is_passed_on(status: str) -> None:
    """A status below 100 is taken for that of an interim answer; which one is right is open."""

    async def scenario(path: EntryPath, _: list[ScriptedUpstream]) -> None:
        path.configure()
        assert_refused(await path.send(request("/order/x")))

    run_path(scenario, [with_status(status, b"") + answer()], max_attempts=1)


@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_call_waits_for_the_end_of_an_answer_with_an_invalid_status(status: str) -> None:
    async def main() -> None:
        pool = create_upstream_pool()
        async with TruncatingServer(with_status(status, b""), End.ORDERLY) as server:
            connection = await pool.open(UpstreamAddress("127.0.0.1", server.port, "u0", 0))
            async with asyncio.timeout(1.0):
                with pytest.raises(BrokenAnswerError, match="not HTTP"):
                    await connection.exchange(request(), lambda _: True)
        pool.close()

    asyncio.run(main())


def run_upload_over_peer(
    call: Callable[[EntryPath, EntryPath], Awaitable[None]],
) -> None:
    """Run a scenario with a cut instance and a peer that take large bodies."""

    async def scenario(cut: EntryPath, peer: EntryPath, _: list[ScriptedUpstream]) -> None:
        allow_uploads(cut)
        allow_uploads(peer)
        await call(cut, peer)

    run_detour(scenario, [], max_attempts=1)


@BODIES
@VERSIONS
@pytest.mark.parametrize("end", RESETS)
def test_part_of_a_peers_answer_is_passed_on_after_a_reset(
    end: End, version: bytes, chunked: bool
) -> None:
    async def call(cut: EntryPath, _: EntryPath) -> None:
        early = WITHOUT_LENGTH.replace(b"HTTP/1.1", version)
        server = await listen_as_peer(cut, TruncatingServer(early, end))
        assert_refused(await cut.send(upload(chunked=chunked)))
        server.close()

    run_upload_over_peer(call)


@BODIES
@VERSIONS
@pytest.mark.parametrize("end", RESETS)
def test_peer_passes_on_a_part_of_its_upstreams_answer(
    end: End, version: bytes, chunked: bool
) -> None:
    async def call(cut: EntryPath, peer: EntryPath) -> None:
        state = peer.dispatcher.state("u0")
        assert state is not None
        early = WITHOUT_LENGTH.replace(b"HTTP/1.1", version)
        async with TruncatingServer(early, end) as server:
            peer.dispatcher.on_entry(state.entry, replace(state.entry, port=server.port))
            assert_refused(await cut.send(upload(chunked=chunked)))
            assert server.requests == 1

    run_upload_over_peer(call)


@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_invalid_status_of_a_peer_is_passed_on(status: str) -> None:
    async def scenario(cut: EntryPath, _: EntryPath, _upstreams: list[ScriptedUpstream]) -> None:
        server = await listen_as_peer(cut, ScriptedUpstream([with_status(status)]))
        assert_refused(await cut.send(request("/order/x")))
        server.close()

    run_detour(scenario, [], max_attempts=1)
