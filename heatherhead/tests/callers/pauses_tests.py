"""Tests of `heatherhead.callers.pauses`."""

from __future__ import annotations

import asyncio

from heatherhead.callers.pauses import create_pause_detector
from heatherhead.tests.base import run_with_paused_clock
from heatherhead.tests.callers.fakes import run_with_shifted_clock, running_instance


def test_data_read_after_a_pause_is_assumed_as_old_as_the_pause() -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        detector = create_pause_detector()
        await asyncio.sleep(1.0)
        assert detector.earliest_arrival(loop.time()) == loop.time()
        paused_at = loop.time()
        loop.advance(5.0)  # type: ignore[attr-defined]
        assert paused_at - 0.05 <= detector.earliest_arrival(loop.time()) <= paused_at
        await asyncio.sleep(0.01)
        assert paused_at - 0.05 <= detector.earliest_arrival(loop.time()) <= paused_at
        await asyncio.sleep(0.2)
        assert detector.earliest_arrival(loop.time()) == loop.time()
        detector.stop()

    run_with_paused_clock(main())


def test_call_buffered_by_the_kernel_beyond_its_deadline_is_not_sent() -> None:
    async def main() -> None:
        async with running_instance(None) as harness:
            caller = await harness.connect_caller()
            await caller.send(b"GET / HTTP/1.1\r\nHost: a\r\nHeatherhead-Deadline-Ms: 2000\r\n\r\n")
            asyncio.get_running_loop().advance(3)  # type: ignore[attr-defined]
            assert (await caller.read_head()).split(" ")[1] == "504"
            assert harness.upstreams[0].seen == []

    run_with_shifted_clock(main())
