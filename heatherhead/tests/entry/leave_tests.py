"""Tests of what an instance that leaves waits for."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from multidict import CIMultiDict

from heatherhead.entry.service import MIN_LEAVE_S
from heatherhead.proxy.messages import Answer
from heatherhead.store.memory import create_memory_store
from heatherhead.tests.entry.instances import PORTS, Instances, loopback_prefix
from heatherhead.tests.proxy.fakes import request

if TYPE_CHECKING:
    from heatherhead.proxy.caller_connection import Exchange

ANSWER_BYTES = 24 * 1024 * 1024  # more than the kernel's buffers hold
READS_ON_AFTER_S = MIN_LEAVE_S + 0.5  # within the grace of 6 s


def test_instance_that_leaves_cuts_answers_on_their_way() -> None:
    """Calls counted as done once their answers were written, which callers were still reading."""

    async def scenario() -> None:
        instances = Instances(create_memory_store(), loopback_prefix(52))
        try:
            await instances.add_upstreams(1)
            await instances.start(1)
            service = instances.services[0]

            async def answer(_exchange: Exchange) -> Answer:
                return Answer(200, CIMultiDict(), bytes(ANSWER_BYTES))

            service.callers.handle = answer
            reader, writer = await asyncio.open_connection(service.settings.host, PORTS["Front"])
            writer.write(request())
            await reader.readuntil(b"\r\n\r\n")
            leave = asyncio.create_task(service.leave())
            await asyncio.sleep(READS_ON_AFTER_S)
            assert not leave.done()
            body = await reader.readexactly(ANSWER_BYTES)
            assert body == bytes(ANSWER_BYTES)
            writer.close()
            await leave
        finally:
            await instances.stop()

    asyncio.run(scenario())
