"""Tests of calls that are rejected: on which evidence, and how soon."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

import pytest

from heatherhead.dispatch.dispatcher import SMALL_SERVICE_UPSTREAMS, create_dispatcher
from heatherhead.dispatch.estimates import INITIAL_SERVICE_TIME_SHARE, RouteEstimate
from heatherhead.dispatch.rejection import RejectedError
from heatherhead.dispatch.upstream_state import LoadReading
from heatherhead.tests.base import run_with_paused_clock
from heatherhead.tests.dispatch.fakes import create_demand, create_entry
from heatherhead.tests.dispatch.replayed_upstream import ReplayedUpstream

if TYPE_CHECKING:
    from heatherhead.dispatch.dispatcher import Dispatcher

SLOTS = 3
TARGET_S = 1.0
CLIENT_TIMEOUT_S = 1.0
RECOVERY_S = 15.0


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


@dataclass
class _Instance:
    """An instance that nobody reports loads to; it knows only the answers to its own calls."""

    dispatcher: Dispatcher
    estimate: RouteEstimate
    upstream_by_id: dict[str, ReplayedUpstream]
    rejections: list[RejectedError] = field(default_factory=list)

    async def call(self, work_s: float, timeout_s: float) -> None:
        """Send one call, and learn from its answer as the forwarder does."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        demand = create_demand(
            now,
            target_at=now + TARGET_S,
            give_up_at=now + timeout_s,
            work_s=self.estimate.work_s,
            proven_work_s=self.estimate.proven_work_s(now),
            work_measured_at=self.estimate.answered_at,
        )
        try:
            slot = await self.dispatcher.acquire(demand, ())
        except RejectedError as error:
            self.rejections.append(error)
            return
        self.estimate.attempted_at = loop.time()
        upstream = self.upstream_by_id[slot.state.entry.id]
        try:
            async with asyncio.timeout_at(demand.give_up_at):
                await upstream.run(work_s)
        except TimeoutError:
            self.dispatcher.release(slot)
            return
        now = loop.time()
        reading = LoadReading(upstream.in_flight, 0, upstream.slots, upstream.slowdown, now)
        self.dispatcher.apply_reading(slot.state, reading)
        known_s = self.dispatcher.record_answer(slot, self.estimate.work_s, now - slot.acquired_at)
        self.estimate.record(known_s, 1000, now)
        self.dispatcher.release(slot)


def _create_instance(upstreams: int) -> _Instance:
    upstream_by_id = {
        f"u{number}": ReplayedUpstream(f"u{number}", SLOTS, keeps_initial_slowdown=True)
        for number in range(upstreams)
    }
    estimate = RouteEstimate(work_s=INITIAL_SERVICE_TIME_SHARE * TARGET_S)
    return _Instance(_create_dispatcher(upstreams), estimate, upstream_by_id)


def test_average_slowdown_alone_does_not_reject_calls_beside_free_upstreams() -> None:
    """Two answers, one of them from a slow upstream, made an instance refuse a service for good."""

    async def main() -> None:
        instance = _create_instance(4)
        for slowdown in (1.0, 7.0):
            for upstream in instance.upstream_by_id.values():
                upstream.slowdown = slowdown
            await instance.call(0.003, CLIENT_TIMEOUT_S)
            await asyncio.sleep(2.0)
        before = asyncio.get_running_loop().time()
        await instance.call(0.003, CLIENT_TIMEOUT_S)
        assert not instance.rejections
        assert asyncio.get_running_loop().time() - before < 0.1

    run_with_paused_clock(main())


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("work_s", [0.003, 0.16])
def test_rare_calls_to_an_instance_that_is_no_home_are_all_sent(seed: int, work_s: float) -> None:
    """A third of the upstreams is slow at any time, and no home reports which ones."""

    async def main() -> list[RejectedError]:
        rng = Random(seed)
        instance = _create_instance(12)
        for _ in range(60):
            for upstream in instance.upstream_by_id.values():
                upstream.slowdown = 7.0 if rng.random() < 0.35 else 1.0
            await instance.call(work_s, CLIENT_TIMEOUT_S)
            await asyncio.sleep(rng.expovariate(1.0))
        return instance.rejections

    assert not run_with_paused_clock(main())


async def _read_all(instance: _Instance) -> None:
    """Read all upstreams as a home does; these report normal speed whatever their calls take."""
    while True:
        for upstream_id, upstream in instance.upstream_by_id.items():
            _read(instance.dispatcher, upstream_id, min(SLOTS, upstream.in_flight), 1.0)
        await asyncio.sleep(0.1)


def test_route_is_served_again_after_all_its_answers_were_slow() -> None:
    """A home had learnt a service time beyond the client timeout, and sent no call to correct it."""

    async def main() -> None:
        instance = _create_instance(4)
        loop = asyncio.get_running_loop()
        reader = loop.create_task(_read_all(instance))
        calls = []

        async def send(work_s: float, client_timeout_s: float, seconds: float) -> None:
            end = loop.time() + seconds
            while loop.time() < end:
                calls.append(loop.create_task(instance.call(work_s, client_timeout_s)))
                await asyncio.sleep(0.1)

        await send(0.1, CLIENT_TIMEOUT_S, 3.0)
        await send(0.95, 4.0, 6.0)
        await send(0.1, CLIENT_TIMEOUT_S, RECOVERY_S)
        instance.rejections.clear()
        await send(0.1, CLIENT_TIMEOUT_S, 3.0)
        await asyncio.gather(*calls)
        reader.cancel()
        assert not instance.rejections

    run_with_paused_clock(main())


def test_first_guess_of_the_service_time_rejects_no_call() -> None:
    """The guess is a share of the latency target, which may be longer than callers wait."""

    async def main() -> None:
        instance = _create_instance(2)
        instance.estimate.work_s = 3.0
        for upstream_id in instance.upstream_by_id:
            _read(instance.dispatcher, upstream_id, 0, 1.0)
        await instance.call(0.1, CLIENT_TIMEOUT_S)
        assert not instance.rejections

    run_with_paused_clock(main())


def test_short_answers_correct_the_service_time_of_an_instance_without_readings() -> None:
    """The answer's reading differs from the average at dispatch, so each answer was left out."""

    async def main() -> None:
        instance = _create_instance(4)
        for slowdown in (1.0, 7.0, 1.0):
            for upstream in instance.upstream_by_id.values():
                upstream.slowdown = slowdown
            await instance.call(0.01, CLIENT_TIMEOUT_S)
            await asyncio.sleep(3.0)
        assert instance.estimate.work_s < 0.03

    run_with_paused_clock(main())


def test_counts_of_a_peer_that_reports_no_more_expire() -> None:
    """An instance that had been a home saw the last counts of the other homes as calls in flight."""

    async def main() -> None:
        dispatcher = _create_dispatcher(1)
        dispatcher.apply_peer_counts("home", {"u0": SLOTS}, complete=True)
        dispatcher.retain_peers(["home"])
        _read(dispatcher, "u0", SLOTS, 1.0)
        state = dispatcher.state("u0")
        assert state is not None
        now = asyncio.get_running_loop().time()
        assert state.free_slots(now) == 0
        await asyncio.sleep(2.0)
        dispatcher.retain_peers(["home"])
        assert state.occupancy(now + 2.0) == 0

    run_with_paused_clock(main())


def test_call_overflows_to_a_region_that_nobody_reads_for_this_home() -> None:
    """The average slowdown of the own region was taken for that of all upstreams elsewhere."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        dispatcher = create_dispatcher("a", {"a": "r", "b": "s"}, 0.2, 10.0, 25.0)
        for number in range(SMALL_SERVICE_UPSTREAMS + 4):
            zone = "a" if number < 4 else "b"
            dispatcher.on_entry(None, create_entry(f"u{number}", zone, slots=SLOTS))
        for _ in range(100):
            for number in range(4):
                _read(dispatcher, f"u{number}", SLOTS, 4.0)
        now = loop.time()
        demand = create_demand(now, work_s=0.3, target_at=now + 1.0, give_up_at=now + 1.0)
        slot = await dispatcher.acquire(demand, ())
        assert loop.time() == now
        assert not slot.state.local_region

    run_with_paused_clock(main())
