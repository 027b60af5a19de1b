"""Tests of uploads that their upstream answers before it has read them."""

from __future__ import annotations

import asyncio
import gc
from typing import TYPE_CHECKING

import pytest

from heatherhead.proxy.upstream_connection import UpstreamConnection
from heatherhead.tests.proxy.fakes import answer, request, run_servers, status_of

if TYPE_CHECKING:
    from heatherhead.tests.proxy.fakes import EntryPath

BODY_BYTES = 24 * 1024 * 1024  # more than the kernel's buffers hold
FREED_WITHIN_S = 1.0


class _EarlyUpstream:
    """Answers at the head of a request, and reads the body when it is told to."""

    def __init__(self, answer: bytes) -> None:
        self.answer = answer
        self.reads_on = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.answer)
        await self.reads_on.wait()
        writer.close()


def _unsent_bytes() -> int:
    connections = [each for each in gc.get_objects() if isinstance(each, UpstreamConnection)]
    transports = [each.transport for each in connections if each.transport is not None]
    return sum(transport.get_write_buffer_size() for transport in transports)


@pytest.mark.parametrize(
    ("upstream_answer", "status"),
    [(answer(status=503, X_Heatherhead_Not_Executed="1"), 503), (answer(), 200)],
    ids=["refused", "answered"],
)
def test_upload_that_is_answered_early_stays_in_memory(upstream_answer: bytes, status: int) -> None:
    """A connection that closed kept the rest of its request until the upstream had read it."""

    async def scenario(path: EntryPath, upstreams: list[_EarlyUpstream]) -> None:
        path.configure(max_body_bytes=BODY_BYTES)
        data = request("/upload/x", method="POST", body=bytes(BODY_BYTES))
        assert status_of(await path.send(data)) == status
        try:
            async with asyncio.timeout(FREED_WITHIN_S):
                while _unsent_bytes():
                    await asyncio.sleep(0.02)
        except TimeoutError:
            pytest.fail(f"{_unsent_bytes()} bytes are kept for the upstream")
        finally:
            for upstream in upstreams:
                upstream.reads_on.set()

    run_servers(scenario, [_EarlyUpstream(upstream_answer)], [("u0",)], max_attempts=1)
