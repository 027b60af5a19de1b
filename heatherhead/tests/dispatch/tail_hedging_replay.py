"""Replays calls that may be hedged, as the forwarder does it, on a paused clock without a network.

Several homes, each with its own dispatcher and hedging, share upstreams of which some are slow for
about half a second. A request takes as long at any upstream of the same speed, and some requests
take long at all of them.
"""

from __future__ import annotations

import asyncio
import math
from bisect import bisect_left, bisect_right
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from heatherhead.dispatch.dispatcher import Dispatcher, Slot, create_dispatcher
from heatherhead.dispatch.estimates import RouteEstimate
from heatherhead.dispatch.hedging import CHECK_INTERVAL_S, first_check_s, worth_hedging
from heatherhead.dispatch.rejection import RejectedError
from heatherhead.dispatch.tail_hedging import CallHedging, TailHedging, create_tail_hedging
from heatherhead.dispatch.upstream_state import LoadReading
from heatherhead.tests.base import run_with_paused_clock
from heatherhead.tests.dispatch.fakes import create_demand, create_entry
from heatherhead.tests.dispatch.replayed_upstream import ReplayedUpstream

if TYPE_CHECKING:
    from heatherhead.dispatch.demand import Demand

__all__ = ["HedgePattern", "HedgeReplay", "replay_hedging"]

READ_INTERVAL_S = 0.1
READING_DELAY_S = 0.02
COUNT_DELAY_S = 0.003
WINDOW_S = 10.0
WARMUP_S = 10.0  # not counted
ROUTE = "read"
ROUNDING_S = 1e-6  # a shorter wait may leave the paused clock where it is


@dataclass(frozen=True)
class HedgePattern:
    """Upstreams, their faults and the load on them; times in seconds."""

    ratio: float = 0.0
    calls_per_s: float = 250.0  # half of the slots
    seconds: float = 30.0  # beside the warm-up
    homes: int = 2
    upstreams: int = 12
    slots: int = 3
    zones: int = 1
    work_s: float = 0.07
    target_s: float = 0.25
    deadline_s: float = 1.5
    slow_share: float = 0.1  # of the time of an upstream
    slow_period_s: tuple[float, float] = (0.3, 0.7)
    slowdown: tuple[float, float] = (3.0, 7.0)
    long_share: float = 0.0  # of the requests; they take long at any upstream
    long_factor: float = 7.0
    swing: float = 0.0  # of the load, as a share of its average
    swing_period_s: float = 17.0
    reads_load: bool = True
    slow_zone: str | None = None  # all of its upstreams are slow in the slow part of the replay
    slow_from_s: float = math.inf  # the start of the slow part, after the warm-up
    slow_until_s: float = math.inf


@dataclass(eq=False)
class _Home:
    dispatcher: Dispatcher
    hedging: TailHedging
    estimate: RouteEstimate
    recheck_by_call: dict[CallHedging, tuple[str, asyncio.Event]] = field(default_factory=dict)

    def recheck(self, upstream_id: str) -> None:
        """Check at once whether to hedge the calls at an upstream that became slow."""
        for first_id, recheck in self.recheck_by_call.values():
            if first_id == upstream_id:
                recheck.set()


@dataclass(eq=False)
class HedgeReplay:
    """The homes, the upstreams and the calls of one replay."""

    pattern: HedgePattern
    seed: int
    events: Counter[str] = field(default_factory=Counter)
    called_at: list[float] = field(default_factory=list)  # first attempts
    hedged_at: list[float] = field(default_factory=list)
    hedge_zones: Counter[tuple[str, str]] = field(default_factory=Counter)
    hedges_while_calls_wait: int = 0
    durations_s: list[float] = field(default_factory=list)  # of the answered calls
    short_durations_s: list[float] = field(default_factory=list)  # but of the long requests
    refused: int = 0
    late: int = 0  # answered after their latency target
    busy_s: float = 0.0  # of all slots
    began_at: float = 0.0

    def __post_init__(self) -> None:
        self._rng = Random(self.seed)
        self._loop = asyncio.get_running_loop()
        pattern = self.pattern
        self._upstream_by_id = {
            f"u{n}": ReplayedUpstream(f"u{n}", pattern.slots, keeps_initial_slowdown=True)
            for n in range(pattern.upstreams)
        }
        self._zone_by_id = {f"u{n}": "abcdef"[n % pattern.zones] for n in range(pattern.upstreams)}
        self._homes = [self._create_home(number) for number in range(pattern.homes)]

    def percentile_s(self, percent: float) -> float:
        """Return a percentile of the durations of the answered calls."""
        return _percentile(self.durations_s, percent)

    @property
    def extra(self) -> float:
        """Return the hedges per call."""
        return len(self.hedged_at) / len(self.called_at)

    def most_in_window(self) -> float:
        """Return the largest share of hedges among the calls of a window that ends with a hedge."""
        return max((self._share_in(at - WINDOW_S, at) for at in self.hedged_at), default=0.0)

    def most_in_any_window(self) -> float:
        """Return the largest share of hedges among the calls of any window, in steps of 0.1 s."""
        count = int((self.called_at[-1] - self.called_at[0] - WINDOW_S) * 10)
        starts = [self.called_at[0] + step / 10 for step in range(count)]
        return max(self._share_in(start, start + WINDOW_S) for start in starts)

    def _share_in(self, start: float, end: float) -> float:
        return _count(self.hedged_at, start, end) / max(1, _count(self.called_at, start, end))

    def hedges_between(self, start_s: float, end_s: float) -> int:
        """Count the hedges between two times after the warm-up."""
        began_at = self.began_at
        return _count(self.hedged_at, began_at + start_s, began_at + end_s)

    def _create_home(self, number: int) -> _Home:
        pattern = self.pattern
        region_by_zone = dict.fromkeys("abcdef", "r")
        dispatcher = create_dispatcher("a", region_by_zone, 0.2, WINDOW_S, 25.0 / pattern.homes)
        dispatcher.set_share((0, 1), lambda _: True, pattern.homes)
        for name, zone in self._zone_by_id.items():
            dispatcher.on_entry(None, create_entry(name, zone=zone, slots=pattern.slots))
        dispatcher.on_count = lambda state: self._report_count(number, state.entry.id)
        hedging = create_tail_hedging(
            dispatcher, pattern.ratio, WINDOW_S, self.events, self._loop.time
        )
        home = _Home(dispatcher, hedging, RouteEstimate(work_s=pattern.work_s))
        dispatcher.on_slowdown = lambda state: home.recheck(state.entry.id)
        return home

    def _report_count(self, number: int, upstream_id: str) -> None:
        state = self._homes[number].dispatcher.state(upstream_id)
        assert state is not None
        counts = {upstream_id: state.own_in_flight}
        for other, home in enumerate(self._homes):
            if other != number:
                apply = home.dispatcher.apply_peer_counts
                self._loop.call_later(
                    COUNT_DELAY_S, lambda apply=apply: apply(f"h{number}", counts, complete=False)
                )

    async def _change_slowdown(self, upstream: ReplayedUpstream) -> None:
        pattern, rng = self.pattern, self._rng
        mean_s = sum(pattern.slow_period_s) / 2
        while pattern.slow_share:
            gap_s = mean_s * (1.0 - pattern.slow_share) / pattern.slow_share
            await asyncio.sleep(rng.expovariate(1 / gap_s))
            upstream.slowdown = rng.uniform(*pattern.slowdown)
            await asyncio.sleep(rng.uniform(*pattern.slow_period_s))
            upstream.slowdown = 1.0

    async def _slow_part(self) -> None:
        pattern = self.pattern
        if math.isinf(pattern.slow_from_s):
            return
        await asyncio.sleep(WARMUP_S + pattern.slow_from_s)
        slowed = [
            upstream
            for name, upstream in self._upstream_by_id.items()
            if pattern.slow_zone in (None, self._zone_by_id[name])
        ]
        for upstream in slowed:
            upstream.slowdown = pattern.slowdown[1]
        await asyncio.sleep(min(1e6, pattern.slow_until_s - pattern.slow_from_s))
        for upstream in slowed:
            upstream.slowdown = 1.0

    async def _read(self) -> None:
        slots = self.pattern.slots
        while True:
            for name, upstream in self._upstream_by_id.items():
                running = min(upstream.in_flight, slots)
                slowdown = upstream.slowdown if self.pattern.reads_load else None
                waiting = upstream.in_flight - running
                reading = LoadReading(running, waiting, slots, slowdown, self._loop.time())
                self._loop.call_later(READING_DELAY_S, self._apply_reading, name, reading)
            await asyncio.sleep(READ_INTERVAL_S)

    def _apply_reading(self, name: str, reading: LoadReading) -> None:
        for home in self._homes:
            state = home.dispatcher.state(name)
            assert state is not None
            home.dispatcher.apply_reading(state, reading)

    async def run(self) -> None:
        """Send calls for the configured time and record their outcomes."""
        background = [
            self._loop.create_task(each)
            for each in (
                self._read(),
                self._slow_part(),
                *map(self._change_slowdown, self._upstream_by_id.values()),
            )
        ]
        await self._send(WARMUP_S)
        self.durations_s.clear()
        self.short_durations_s.clear()
        self.refused = self.late = 0
        self.began_at = self._loop.time()
        await self._send(self.pattern.seconds)
        for task in background:
            task.cancel()

    async def _send(self, seconds: float) -> None:
        pattern = self.pattern
        calls = []
        end = self._loop.time() + seconds
        while (now := self._loop.time()) < end:
            calls.append(self._loop.create_task(self._call()))
            phase = math.sin(2 * math.pi * now / pattern.swing_period_s)
            rate = pattern.calls_per_s * (1.0 + pattern.swing * phase)
            await asyncio.sleep(self._rng.expovariate(rate))
        await asyncio.gather(*calls)

    async def _call(self) -> None:
        pattern = self.pattern
        home = self._rng.choice(self._homes)
        is_long = self._rng.random() < pattern.long_share
        work_s = pattern.work_s * self._rng.lognormvariate(-0.045, 0.3)
        if is_long:
            work_s *= pattern.long_factor
        began = self._loop.time()
        demand = create_demand(
            began,
            target_at=began + pattern.target_s,
            give_up_at=began + pattern.deadline_s,
            work_s=home.estimate.work_s,
            proven_work_s=home.estimate.proven_work_s(began),
        )
        home.dispatcher.budget(demand.service).record_call(began)
        try:
            slot = await home.dispatcher.acquire(demand, ())
        except RejectedError:
            self.refused += 1
            return
        if not await self._run(home, demand, slot, work_s):
            self.refused += 1
            return
        duration_s = self._loop.time() - began
        self.durations_s.append(duration_s)
        if not is_long:
            self.short_durations_s.append(duration_s)
        self.late += duration_s > pattern.target_s

    async def _run(self, home: _Home, demand: Demand, first: Slot, work_s: float) -> bool:
        """Run the attempts of a call, with a hedge if the decision is for one."""
        call = CallHedging()
        self.called_at.append(self._loop.time())
        recheck = asyncio.Event()
        home.recheck_by_call[call] = (first.state.entry.id, recheck)
        tasks = [self._launch(home, call, demand, first, work_s)]
        while True:
            now = self._loop.time()
            if now >= demand.give_up_at - ROUNDING_S:
                break
            check_s = demand.give_up_at - now
            if len(tasks) == 1 and call.second is None:
                check_at = first.acquired_at + first_check_s(first.expected_s)
                estimate_s = max(check_at - now, CHECK_INTERVAL_S)
                check_s = min(check_s, home.hedging.next_check_s(ROUTE, first, estimate_s))
            recheck.clear()
            rechecked = self._loop.create_task(recheck.wait())
            done, _ = await asyncio.wait(
                [*tasks, rechecked], timeout=check_s, return_when=asyncio.FIRST_COMPLETED
            )
            rechecked.cancel()
            if done - {rechecked}:
                break
            if len(tasks) == 1 and call.second is None:
                second = self._hedge(home, call, demand, first)
                if second is not None:
                    call.second = second
                    tasks.append(self._launch(home, call, demand, second, work_s))
        del home.recheck_by_call[call]
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        return call.winner is not None

    def _hedge(self, home: _Home, call: CallHedging, demand: Demand, first: Slot) -> Slot | None:
        waiting = bool(home.dispatcher._service(demand.service).queue.calls)
        tried_ids = {first.state.entry.id}
        if home.hedging.enabled:
            second = home.hedging.try_hedge(call, ROUTE, demand, tried_ids, first, lambda _: True)
        else:
            second = self._hedge_by_estimate(home, demand, tried_ids, first)
        if second is not None:
            self.hedged_at.append(self._loop.time())
            zones = (first.state.entry.availability_zone, second.state.entry.availability_zone)
            self.hedge_zones[zones] += 1
            self.hedges_while_calls_wait += waiting
        return second

    def _hedge_by_estimate(
        self, home: _Home, demand: Demand, tried_ids: set[str], first: Slot
    ) -> Slot | None:
        """Hedge as the forwarder does without a limit."""
        now = self._loop.time()
        dispatcher = home.dispatcher
        second_s = dispatcher.expected_elsewhere_s(demand, tried_ids)
        if second_s is None:
            return None
        slowdown = first.state.slowdown_now(now, dispatcher.baseline_slowdown(demand.service))
        if not worth_hedging(demand, now, now - first.acquired_at, slowdown, second_s):
            return None
        budget = dispatcher.budget(demand.service)
        if budget.remaining(now) < 1.0:
            return None
        second = dispatcher.try_acquire(demand, tried_ids)
        if second is not None:
            budget.try_spend(now)
        return second

    def _launch(
        self, home: _Home, call: CallHedging, demand: Demand, slot: Slot, work_s: float
    ) -> asyncio.Task[None]:
        home.estimate.attempted_at = self._loop.time()
        home.hedging.record_attempt(call, demand.service)
        task = self._loop.create_task(self._attempt(home, call, slot, work_s))

        def end(_: asyncio.Task[None]) -> None:
            home.hedging.record_end(call, ROUTE, demand, slot)
            home.dispatcher.release(slot)
            self.busy_s += self._loop.time() - slot.acquired_at

        task.add_done_callback(end)
        return task

    async def _attempt(self, home: _Home, call: CallHedging, slot: Slot, work_s: float) -> None:
        await self._upstream_by_id[slot.state.entry.id].run(work_s)
        now = self._loop.time()
        duration_s = now - slot.acquired_at
        normal_s = home.dispatcher.record_answer(slot, home.estimate.work_s, duration_s)
        home.estimate.record(normal_s, 1000, now)
        call.record_answer(slot)


def _count(times: list[float], start: float, end: float) -> int:
    return bisect_right(times, end) - bisect_left(times, start)


def _percentile(values: list[float], percent: float) -> float:
    ascending = sorted(values)
    return ascending[min(len(ascending) - 1, int(len(ascending) * percent / 100))]


def replay_hedging(pattern: HedgePattern, seed: int = 1) -> HedgeReplay:
    """Replay a pattern."""

    async def main() -> HedgeReplay:
        replay = HedgeReplay(pattern, seed)
        await replay.run()
        return replay

    return run_with_paused_clock(main())
