"""Tests of `heatherhead events` when the watched instance is lost."""

from __future__ import annotations

import asyncio
import io
from typing import TYPE_CHECKING

import pytest

from heatherhead.commands import events
from heatherhead.commands.output import Output
from heatherhead.commands.session import Session
from heatherhead.configuration.schema import ServiceSchema
from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.client import ReplyLostError, UnreachableError, create_operators_client
from heatherhead.operators.heatherhead_grpc import EventsStub
from heatherhead.tests.base import run_with_paused_clock
from heatherhead.tests.commands.fakes import ReplyDroppingProxy
from heatherhead.tests.operators.fakes import running_harness

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

WATCHED_S = 60.0
MAX_ATTEMPTS = 30


class _LostClient:
    """A client whose watches are all cut at once."""

    def __init__(self) -> None:
        self.attempts = 0

    async def stream(self, *_: object) -> AsyncIterator[pb.Event]:
        """Cut the watch."""
        self.attempts += 1
        assert self.attempts <= MAX_ATTEMPTS
        raise ReplyLostError("a1: the connection was lost", remedy="try again")
        yield pb.Event()


def test_watch_that_is_cut_again_and_again_is_not_restarted_without_a_pause() -> None:
    async def main() -> None:
        output = Output(io.StringIO(), io.StringIO(), as_json=False)
        session = Session(_LostClient(), output, io.StringIO())  # type: ignore[arg-type]
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(WATCHED_S):
                await events.run(session, {"--kind": [], "--count": None})

    run_with_paused_clock(main())


def test_lost_instance_is_connected_to_anew() -> None:
    """The dead connection was kept, and each new watch on it failed at once."""

    async def main() -> None:
        async with running_harness() as harness:
            proxy = ReplyDroppingProxy(harness.addresses[0])
            client = create_operators_client([await proxy.start()], timeout_s=2.0)
            request = pb.WatchRequest()
            proxied = client.stream(lambda channel: EventsStub(channel).Watch, request)
            await anext(proxied)
            await proxy.stop()
            proxy.drops_replies = True
            await harness.editor.put(ServiceSchema.model_validate({"name": "stock"}), 0, "c1")
            with pytest.raises(ReplyLostError):
                await anext(proxied)
            with pytest.raises(UnreachableError):
                await anext(client.stream(lambda channel: EventsStub(channel).Watch, request))
            client.close()

    asyncio.run(main())
