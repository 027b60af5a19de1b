"""Tests that requests whose attempts fail are freed without the garbage collector."""

from __future__ import annotations

import asyncio
import gc
from types import FrameType
from typing import TYPE_CHECKING, Any

import pytest

from heatherhead.proxy.caller_connection import Exchange
from heatherhead.proxy.messages import HttpRequest
from heatherhead.proxy.upstream_connection import UpstreamConnection
from heatherhead.tests.proxy.fakes import EntryPath, answer, request, run_path
from heatherhead.tests.proxy.held_objects import expect_freed, without_collector

if TYPE_CHECKING:
    from heatherhead.tests.proxy.fakes import ScriptedUpstream

__all__ = ["without_collector"]

pytestmark = pytest.mark.usefixtures("without_collector")

REQUESTS = 3
BODY = b"x" * 5000
CUT = answer(body=b"whole")[:-2]
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwho"
# How the upstream ends each attempt.
ENDS: dict[str, Any] = {
    "answered": answer(),
    "lost": "reset",
    "closed": (b"", "close"),
    "cut": (CUT, "close"),
    "cut and reset": (CUT, "reset"),
    "cut between chunks": (CHUNKED, "close"),
    "no answer": b"SSH-2.0-x\r\n\r\n",
    "no chunk": CHUNKED[:-6] + b"zz\r\nwhole",
    "too large": b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
    "no stamp": answer().replace(b"Stamp", b"Stump"),
    "failed": answer(status=500),
    "refused": answer(status=503, X_Heatherhead_Not_Executed="1"),
    "hang": "hang",
}


# How the caller ends the body of a request in chunks, of which one has come.
BROKEN_BODIES = {
    "left": b"",
    "malformed": b"zz\r\n",
    "too large": b"1388\r\n" + BODY + b"\r\n1388\r\n" + BODY + b"\r\n",
}


def _held() -> list[object]:
    """List the requests, and the frames that read answers, which refer to what was read."""
    return [
        each
        for each in gc.get_objects()
        if isinstance(each, HttpRequest | Exchange)
        or (isinstance(each, FrameType) and each.f_code is UpstreamConnection._read.__code__)
    ]


@pytest.mark.parametrize("target", ["/upload/x", "/read/x"])
@pytest.mark.parametrize("end", ENDS)
def test_request_whose_attempt_fails_stays_in_memory(end: str, target: str) -> None:
    """The error of a connection and the frames that raised it held each other and the body."""

    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure(timeout_s=0.3)
        for _ in range(REQUESTS):
            await path.send(request(target, "r1", "POST", BODY))
        await expect_freed(_held)

    run_path(scenario, [ENDS[end]] * 2 * REQUESTS, [ENDS[end]] * 2 * REQUESTS)


@pytest.mark.parametrize("target", ["/upload/x", "/read/x"])
def test_request_whose_caller_leaves_stays_in_memory(target: str) -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure(timeout_s=0.3)
        _, writer = await path.connect()
        writer.write(request(target, "r1", "POST", BODY))
        await upstreams[0].arrived.wait()
        writer.close()
        await expect_freed(_held)

    run_path(scenario, ["hang"])


@pytest.mark.parametrize("end", BROKEN_BODIES)
def test_request_whose_body_is_broken_stays_in_memory(end: str) -> None:
    async def scenario(path: EntryPath, _: list[ScriptedUpstream]) -> None:
        path.configure(timeout_s=0.3)
        _, writer = await path.connect()
        head = request("/upload/x", "r1", "POST", Transfer_Encoding="chunked")
        writer.write(head + b"1388\r\n" + BODY + b"\r\n")
        await asyncio.sleep(0.05)
        assert _held()
        writer.write(BROKEN_BODIES[end])
        await asyncio.sleep(0.05)
        writer.close()
        await expect_freed(_held)

    run_path(scenario, [])
