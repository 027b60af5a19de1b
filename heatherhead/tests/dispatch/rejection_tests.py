"""Tests of calls that are rejected: on which evidence, and how soon."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from heatherhead.dispatch.dispatcher import RejectedError, create_dispatcher
from heatherhead.dispatch.upstream_state import LoadReading
from heatherhead.tests.base import run_with_paused_clock
from heatherhead.tests.dispatch.fakes import create_demand, create_entry

if TYPE_CHECKING:
    from heatherhead.dispatch.dispatcher import Dispatcher

SLOTS = 3


def _create_dispatcher(upstreams: int) -> Dispatcher:
    dispatcher = create_dispatcher("a", {"a": "r"}, 0.2, 10.0, 25.0)
    for number in range(upstreams):
        dispatcher.on_entry(None, create_entry(f"u{number}", slots=SLOTS))
    return dispatcher


def _read(dispatcher: Dispatcher, upstream_id: str, running: int, slowdown: float) -> None:
    state = dispatcher.state(upstream_id)
    assert state is not None
    now = asyncio.get_running_loop().time()
    dispatcher.apply_reading(state, LoadReading(running, 0, SLOTS, slowdown, now))


def test_rejection_tells_full_upstreams_from_slow_ones() -> None:
    async def main() -> None:
        now = asyncio.get_running_loop().time()
        dispatcher = _create_dispatcher(2)
        _read(dispatcher, "u0", SLOTS, 1.0)
        _read(dispatcher, "u1", 0, 7.0)
        demand = create_demand(now, work_s=0.2, give_up_at=now + 0.2, work_measured_at=now - 3.0)
        with pytest.raises(RejectedError) as rejection:
            await dispatcher.acquire(demand, ())
        evidence = rejection.value.evidence
        assert (evidence.upstreams, evidence.free, evidence.excluded) == (2, 1, 0)
        assert evidence.fastest_s > 1.4
        assert (evidence.work_age_s, evidence.reading_age_s) == (3.0, 0.0)
        assert evidence.baseline > 2.0

    run_with_paused_clock(main())
