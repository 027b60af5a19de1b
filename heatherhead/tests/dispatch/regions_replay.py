"""Simulates homes of three regions whose calls may partly run in other regions only.

Homes read the load of the upstreams of their own region ten times a second. Of other regions they
know what the answers to their own calls tell, 20 ms (one way) later. Decisions are made by the real
dispatchers on a paused clock; there is no network or store.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from random import seed as seed_dispatchers
from typing import TYPE_CHECKING

from heatherhead.dispatch.dispatcher import create_dispatcher
from heatherhead.dispatch.estimates import RouteEstimate
from heatherhead.dispatch.rejection import RejectedError
from heatherhead.dispatch.upstream_state import LoadReading
from heatherhead.tests.base import run_with_paused_clock
from heatherhead.tests.dispatch.fakes import create_demand, create_entry
from heatherhead.tests.dispatch.replayed_upstream import ReplayedUpstream

if TYPE_CHECKING:
    from heatherhead.dispatch.dispatcher import Dispatcher, Slot

__all__ = ["RegionsPattern", "RegionsReplay", "replay_regions"]

READ_INTERVAL_S = 0.1
READING_DELAY_S = 0.005
COUNT_DELAY_S = 0.005
LOCAL_TRANSIT_S = 0.0015  # one way
REMOTE_TRANSIT_S = 0.02
REGIONS = ("r0", "r1", "r2")
WARMUP_S = 3.0  # not counted


@dataclass(frozen=True)
class RegionsPattern:
    """Upstreams, the calls of each region, and those of r0 that may run in r1 and r2 only."""

    upstreams: tuple[int, int, int] = (11, 11, 11)  # by region
    calls_per_s: tuple[float, float, float] = (60.0, 100.0, 100.0)  # that may run anywhere
    confined_calls_per_s: float = 70.0
    homes: int = 2  # of each region
    confining_instances: int = 2  # that the confined calls of r0 come to
    slots: int = 2
    work_s: float = 0.1
    target_s: float = 0.3
    deadline_s: float = 1.5
    slow_share: float = 0.15
    slowdown: float = 5.0
    slow_period_s: float = 0.5
    duration_s: float = 20.0


@dataclass
class _Instance:
    """One instance with its estimates."""

    region: str
    dispatcher: Dispatcher
    is_home: bool
    estimate: RouteEstimate


@dataclass
class RegionsReplay:
    """The instances, the upstreams and the callers of one replay."""

    pattern: RegionsPattern
    seed: int
    ends_by_kind: dict[str, Counter[str]] = field(default_factory=dict)
    calls_by_upstream: Counter[str] = field(default_factory=Counter)  # confined ones
    waits_at_upstreams: int = 0  # confined calls that came to an upstream without a free slot

    def __post_init__(self) -> None:
        self._rng = Random(self.seed)
        self._loop = asyncio.get_running_loop()
        pattern = self.pattern
        self._region_by_upstream = {
            f"{region}-{n}": region
            for region, upstreams in zip(REGIONS, pattern.upstreams, strict=True)
            for n in range(upstreams)
        }
        self._upstream_by_id = {
            name: ReplayedUpstream(name, pattern.slots, keeps_initial_slowdown=True)
            for name in self._region_by_upstream
        }
        self._homes = {
            region: [self._create_instance(region, number) for number in range(pattern.homes)]
            for region in REGIONS
        }
        others = max(0, pattern.confining_instances - pattern.homes)
        self._confining = [
            *self._homes["r0"],
            *(self._create_instance("r0", pattern.homes + n, is_home=False) for n in range(others)),
        ]

    def in_target(self, kind: str) -> float:
        """Return the share of the calls of a kind that were answered within the latency target."""
        ends = self.ends_by_kind[kind]
        return ends["in_target"] / ends.total()

    def _create_instance(self, region: str, number: int, *, is_home: bool = True) -> _Instance:
        pattern = self.pattern
        zones = {f"z-{each}": each for each in REGIONS}
        dispatcher = create_dispatcher(f"z-{region}", zones, 0.2, 10.0, 25.0)
        dispatcher.set_share((0, 1), lambda _: True, pattern.homes)
        for name, each in self._region_by_upstream.items():
            dispatcher.on_entry(None, create_entry(name, f"z-{each}", pattern.slots))
        for each in REGIONS:
            transit_s = LOCAL_TRANSIT_S if each == region else REMOTE_TRANSIT_S
            dispatcher.record_round_trip(f"z-{each}", 2 * transit_s)
        if is_home:
            dispatcher.on_count = lambda state: self._report_count(
                region, number, state.entry.id, state.own_in_flight
            )
        return _Instance(region, dispatcher, is_home, RouteEstimate(work_s=pattern.work_s))

    def _report_count(self, region: str, number: int, upstream_id: str, count: int) -> None:
        for other, home in enumerate(self._homes[region]):
            if other != number:
                self._loop.call_later(
                    COUNT_DELAY_S, _apply_count, home.dispatcher, f"h{number}", upstream_id, count
                )

    def _reading(self, name: str) -> LoadReading:
        upstream = self._upstream_by_id[name]
        slots = self.pattern.slots
        running = min(upstream.in_flight, slots)
        waiting = upstream.in_flight - running
        return LoadReading(running, waiting, slots, upstream.slowdown, self._loop.time())

    async def _read(self) -> None:
        while True:
            for name, region in self._region_by_upstream.items():
                for home in self._homes[region]:
                    self._loop.call_later(
                        READING_DELAY_S, _apply_reading, home.dispatcher, name, self._reading(name)
                    )
            await asyncio.sleep(READ_INTERVAL_S)

    async def _change_slowdowns(self) -> None:
        pattern = self.pattern
        while True:
            for upstream in self._upstream_by_id.values():
                slow = self._rng.random() < pattern.slow_share
                upstream.slowdown = pattern.slowdown if slow else 1.0
            await asyncio.sleep(pattern.slow_period_s)

    async def run(self) -> None:
        """Send calls for the configured time and count their outcomes."""
        background = [
            self._loop.create_task(self._read()),
            self._loop.create_task(self._change_slowdowns()),
        ]
        streams = [
            (region, self._homes[region], None, rate)
            for region, rate in zip(REGIONS, self.pattern.calls_per_s, strict=True)
        ]
        allowed = frozenset({"r1", "r2"})
        streams.append(("confined", self._confining, allowed, self.pattern.confined_calls_per_s))
        began = self._loop.time()
        async with asyncio.TaskGroup() as tasks:
            for kind, instances, regions, rate in streams:
                self.ends_by_kind[kind] = Counter()
                if rate:
                    tasks.create_task(self._send(kind, instances, regions, rate, began))
        for task in background:
            task.cancel()

    async def _send(
        self,
        kind: str,
        instances: list[_Instance],
        regions: frozenset[str] | None,
        calls_per_s: float,
        began: float,
    ) -> None:
        async with asyncio.TaskGroup() as tasks:
            while (elapsed_s := self._loop.time() - began) < WARMUP_S + self.pattern.duration_s:
                counted = elapsed_s >= WARMUP_S
                instance = self._rng.choice(instances)
                tasks.create_task(self._call(kind, instance, regions, counted))
                await asyncio.sleep(self._rng.expovariate(calls_per_s))

    async def _call(
        self, kind: str, instance: _Instance, regions: frozenset[str] | None, counted: bool
    ) -> None:
        pattern, now = self.pattern, self._loop.time()
        demand = create_demand(
            now,
            target_at=now + pattern.target_s,
            give_up_at=now + pattern.deadline_s,
            work_s=instance.estimate.work_s,
            proven_work_s=instance.estimate.proven_work_s(now),
            regions=regions,
        )
        end = "rejected"
        try:
            slot = await instance.dispatcher.acquire(demand, ())
        except RejectedError:
            pass
        else:
            if kind == "confined" and counted:
                self.calls_by_upstream[slot.state.entry.id] += 1
            end = await self._run_in_slot(kind, instance, slot, now)
        if counted:
            self.ends_by_kind[kind][end] += 1

    async def _run_in_slot(self, kind: str, instance: _Instance, slot: Slot, began: float) -> str:
        pattern = self.pattern
        name = slot.state.entry.id
        upstream = self._upstream_by_id[name]
        local = self._region_by_upstream[name] == instance.region
        transit_s = LOCAL_TRANSIT_S if local else REMOTE_TRANSIT_S
        instance.estimate.attempted_at = self._loop.time()
        work_s = pattern.work_s * self._rng.lognormvariate(-0.045, 0.3)
        end = "failed"
        try:
            async with asyncio.timeout_at(began + pattern.deadline_s):
                await asyncio.sleep(transit_s)
                if kind == "confined" and upstream.in_flight >= pattern.slots:
                    self.waits_at_upstreams += 1
                await upstream.run(work_s)
                reading = self._reading(name)
                await asyncio.sleep(transit_s)
                end = "in_target" if self._loop.time() - began <= pattern.target_s else "late"
        except TimeoutError:
            pass
        else:
            _apply_reading(instance.dispatcher, name, reading)
            duration_s = self._loop.time() - slot.acquired_at
            normal_s = instance.dispatcher.record_answer(slot, instance.estimate.work_s, duration_s)
            instance.estimate.record(normal_s, 1000, self._loop.time())
        instance.dispatcher.release(slot)
        return end


def _apply_count(dispatcher: Dispatcher, peer: str, upstream_id: str, count: int) -> None:
    dispatcher.apply_peer_counts(peer, {upstream_id: count}, complete=False)


def _apply_reading(dispatcher: Dispatcher, name: str, reading: LoadReading) -> None:
    state = dispatcher.state(name)
    assert state is not None
    dispatcher.apply_reading(state, reading)


def replay_regions(pattern: RegionsPattern, seed: int) -> RegionsReplay:
    """Replay a pattern."""

    async def main() -> RegionsReplay:
        seed_dispatchers(seed)  # which rank and sample upstreams by the shared generator
        replay = RegionsReplay(pattern, seed)
        await replay.run()
        return replay

    return run_with_paused_clock(main())
