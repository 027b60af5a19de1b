"""Tests of the slots of attempts that end early."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from heatherhead.tests.proxy.fakes import request, run_path, status_of

if TYPE_CHECKING:
    from heatherhead.tests.proxy.fakes import EntryPath, ScriptedUpstream


def test_attempt_that_times_out_before_its_first_step_keeps_its_slot() -> None:
    """A suspension or a stall between the grant of the slot and the check of the deadline."""

    async def scenario(path: EntryPath, _: list[ScriptedUpstream]) -> None:
        path.configure()
        dispatcher = path.dispatcher
        acquire = dispatcher.acquire

        async def acquire_late(demand, avoid):  # type: ignore[no-untyped-def]
            slot = await acquire(demand, avoid)
            path.forwarder.apply_suspension(5.0)
            return slot

        dispatcher.acquire = acquire_late  # type: ignore[method-assign]
        assert status_of(await path.send(request())) == 503
        await asyncio.sleep(0.02)
        state = dispatcher.state("u0")
        assert state is not None
        assert state.own_in_flight == 0

    run_path(scenario, [], max_attempts=1)
