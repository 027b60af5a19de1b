"""Simulates routing policies on a virtual clock: real routers, emulated upstreams, no sockets.

Run as `python -m bench.policy_trial [--option=value ...]`; options are routing settings and the
fields of `TrialPlan`. A simulation takes seconds; `bench.policy` measures with real processes.
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections import Counter, deque
from dataclasses import dataclass, field, fields
from random import Random
from typing import Any

from bench.fake_upstream import COLD_SLOWDOWN_FACTOR, COLD_START_CALLS, SlowPeriods
from heatherhead.calls import AttemptResult, AttemptState, Call
from heatherhead.configuration.model import Service, Upstream
from heatherhead.routing.homes import create_home_sets
from heatherhead.routing.router import RoutingRouter, create_router
from heatherhead.settings.routing import RoutingSettings
from heatherhead.tests.base import PausedClockLoop
from heatherhead.tests.routing.fakes import (
    FakeMembership,
    FakeNetwork,
    FakeSwitch,
    FakeTelemetry,
    create_instance,
)

__all__ = ["TrialPlan", "main", "run_trial"]

SERVICE = "orders"
SLOTS = 4
UPSTREAMS = 12
INSTANCES = 16
LINK_DELAY_S = 0.0003
FAST_FAILURE_S = 0.0005
MAX_HEDGE_TOKENS = 10.0
# At the default slowdown of 10, waiting for up to 9 service times is at least as fast.
MAX_WAIT_SERVICE_TIMES = 9


@dataclass(slots=True)
class TrialPlan:
    """Parameters of one simulation; each is an option of the command line.

    `failing` and `cold` are numbers of upstreams. `told_speed` replaces the policy by an oracle.
    """

    load: float = 0.5
    homes: int = 3
    peers: bool = True
    duration_s: float = 20.0
    warm_up_s: float = 2.0
    deadline_s: float = 30.0
    hedge_share: float = 0.05
    slow_every_s: float = 2.0
    slow_s: float = 0.2
    spell_factor: float = 10.0
    failing: int = 0
    cold: int = 0
    told_speed: bool = False
    service_s: float = 0.010
    jitter_s: float = 0.0003
    exponential: bool = False
    seed: int = 7

    @property
    def capacity(self) -> float:
        """Calls per second that the upstreams can answer when none is slow."""
        return UPSTREAMS * SLOTS / self.service_s


class _EmulatedUpstream:
    """An upstream with slots, a queue and slow periods."""

    def __init__(self, plan: TrialPlan, index: int) -> None:
        self.slow_periods = SlowPeriods(
            plan.slow_every_s, plan.slow_s, plan.spell_factor, plan.seed * 1000 + index
        )
        self.failing = index < plan.failing
        self.cold_calls = COLD_START_CALLS if index >= UPSTREAMS - plan.cold else 0
        self.waiting: deque[asyncio.Future[None]] = deque()
        self.running = 0
        self._random = Random(index)
        self._exponential = plan.exponential
        self._service_s = plan.service_s

    async def run(self, now: float) -> None:
        """Run one call; cancellation frees its slot."""
        if self.running >= SLOTS:
            slot_granted = asyncio.get_running_loop().create_future()
            self.waiting.append(slot_granted)
            try:
                await slot_granted
            except asyncio.CancelledError:
                if slot_granted.done() and not slot_granted.cancelled():
                    self._release_slot()
                raise
        else:
            self.running += 1
        loop = asyncio.get_running_loop()
        try:
            service_s = self._service_s
            if self._exponential:
                service_s = self._random.expovariate(1 / service_s)
            if self.cold_calls:
                self.cold_calls -= 1
                service_s *= COLD_SLOWDOWN_FACTOR
            await asyncio.sleep(service_s * self.slow_periods.slowdown_at(loop.time()))
        finally:
            self._release_slot()

    def _release_slot(self) -> None:
        while self.waiting:
            slot_granted = self.waiting.popleft()
            if not slot_granted.done():
                slot_granted.set_result(None)
                return
        self.running -= 1


class _OraclePolicy:
    """Policy that knows every upstream's speed: fast ones first, slow ones if the queue is long."""

    def __init__(self, router: RoutingRouter, upstream_by_id: dict[str, _EmulatedUpstream]) -> None:
        self._dispatcher = router.dispatcher_by_service[SERVICE]
        self._upstream_by_id = upstream_by_id
        self._dispatcher.policy = self
        self._dispatcher.evidence._policy = self

    def refresh(self, state: Any) -> None:
        """Do nothing: each choice looks at every upstream."""

    def remove(self, state: Any) -> None:
        """Do nothing: each choice looks at every upstream."""

    def choose(self, avoid: frozenset[str], *, anywhere: bool = False) -> Any:
        """Choose a fast upstream with a free slot, or a slow one if waiting would take longer."""
        now = asyncio.get_running_loop().time()
        fast_slots = 0
        slow_choice = None
        choice = None
        for state in self._dispatcher.state_by_id.values():
            is_fast = self._upstream_by_id[state.upstream.id].slow_periods.slowdown_at(now) == 1.0
            fast_slots += SLOTS * is_fast
            if state.in_flight >= SLOTS:
                continue
            if is_fast and (choice is None or state.in_flight < choice.in_flight):
                choice = state
            elif not is_fast:
                slow_choice = state
        if choice is not None:
            return choice
        wait_service_times = len(self._dispatcher.queue) / max(1, fast_slots)
        return slow_choice if wait_service_times > MAX_WAIT_SERVICE_TIMES else None


@dataclass(slots=True)
class _Trial:
    plan: TrialPlan
    routers: list[RoutingRouter]
    upstream_by_id: dict[str, _EmulatedUpstream]
    random: Random
    times: list[float] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    hedge_tokens: float = MAX_HEDGE_TOKENS

    async def call(self, router: RoutingRouter, measured: bool) -> None:
        """Run one call with at most one hedge."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        call = Call(SERVICE, "GET", "/", now, now + self.plan.deadline_s, True)
        answer = await router.acquire(call)
        if answer.is_err():
            self.counts["refused"] += measured
            return
        self.hedge_tokens = min(MAX_HEDGE_TOKENS, self.hedge_tokens + self.plan.hedge_share)
        status = await self._attempt_and_hedge(router, call, answer.unwrap(), measured)
        if not measured:
            return
        self.counts[str(status)] += 1
        self.counts["in_time"] += loop.time() <= call.deadline
        self.times.append(loop.time() - now)

    async def _attempt_and_hedge(
        self, router: RoutingRouter, call: Call, slot: Any, measured: bool
    ) -> int:
        first = asyncio.create_task(self._attempt(slot))
        self.counts["attempts"] += measured
        delay_s = router.hedge_delay_s(call)
        if delay_s is None or self.plan.hedge_share == 0:
            return await first
        done, _ = await asyncio.wait([first], timeout=delay_s)
        if done or self.hedge_tokens < 1:
            return await first
        hedge_slot = router.try_acquire(call, frozenset([slot.upstream.id]))
        if hedge_slot is None:
            self.counts["no_hedge_slot"] += measured
            return await first
        self.hedge_tokens -= 1
        self.counts["hedges"] += measured
        self.counts["attempts"] += measured
        second = asyncio.create_task(self._attempt(hedge_slot))
        done, pending = await asyncio.wait([first, second], return_when=asyncio.FIRST_COMPLETED)
        for each in pending:
            each.cancel()
        return done.pop().result()

    async def _attempt(self, slot: Any) -> int:
        loop = asyncio.get_running_loop()
        upstream = self.upstream_by_id[slot.upstream.id]
        result = AttemptResult(AttemptState.UNKNOWN, cancelled=True)
        try:
            await asyncio.sleep(LINK_DELAY_S + self.random.expovariate(1 / self.plan.jitter_s))
            status = 200
            if upstream.failing:
                status = 500
                await asyncio.sleep(FAST_FAILURE_S)
            else:
                await upstream.run(loop.time())
            await asyncio.sleep(LINK_DELAY_S)
            result = AttemptResult(AttemptState.ANSWERED, status, loop.time() - slot.started_at)
            return status
        finally:
            slot.finish(result)


async def _run(plan: TrialPlan, settings: RoutingSettings) -> dict[str, Any]:
    instances = [create_instance(f"i{index}") for index in range(INSTANCES)]
    upstreams = tuple(
        Upstream(f"u{index}", "127.0.0.1", 1000 + index, slots=SLOTS) for index in range(UPSTREAMS)
    )
    service = Service(SERVICE, upstreams=upstreams, queue_limit=2000)
    switch = FakeSwitch(LINK_DELAY_S)
    routers = []
    settings = settings.model_copy(
        update={"homes_minimum": plan.homes, "homes_maximum": plan.homes}
    )
    home_sets = create_home_sets(FakeMembership(instances[0], instances), settings=settings)
    home_ids = home_sets.home_ids(SERVICE, "local")
    for index, each in enumerate(instances):
        membership = FakeMembership(each, instances)
        network = FakeNetwork(each.id, switch)
        network.refuse = not plan.peers
        router = create_router(
            settings,
            membership,
            network,
            FakeTelemetry(),
            rng=Random(plan.seed * 100 + index),
        )
        router.update_service(SERVICE, service)
        if each.id in home_ids:
            routers.append(router)
    upstream_by_id = {
        each.id: _EmulatedUpstream(plan, index) for index, each in enumerate(upstreams)
    }
    if plan.told_speed:
        for router in routers:
            _OraclePolicy(router, upstream_by_id)
    trial = _Trial(plan, routers, upstream_by_id, Random(plan.seed))
    await _send_calls(trial)
    return _summary(plan, trial, switch)


async def _send_calls(trial: _Trial) -> None:
    plan = trial.plan
    loop = asyncio.get_running_loop()
    arrivals = Random(plan.seed)
    start = loop.time()
    tasks: set[asyncio.Task[None]] = set()
    while loop.time() < start + plan.warm_up_s + plan.duration_s:
        await asyncio.sleep(arrivals.expovariate(plan.load * plan.capacity))
        measured = loop.time() >= start + plan.warm_up_s
        task = asyncio.create_task(trial.call(arrivals.choice(trial.routers), measured))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        task.add_done_callback(asyncio.Task.result)
    await asyncio.gather(*tasks)


def _summary(plan: TrialPlan, trial: _Trial, switch: FakeSwitch) -> dict[str, Any]:
    times = sorted(trial.times)
    calls = len(times)
    in_ms = {
        f"p{per_mille / 10:g}_ms": round(times[calls * per_mille // 1000] * 1000, 1)
        for per_mille in (500, 950, 990, 999)
    }
    total = calls + trial.counts["refused"]
    return {
        **in_ms,
        "hedge_share": round(trial.counts["hedges"] / max(1, calls), 4),
        "failed_share": round(trial.counts["500"] / max(1, calls), 4),
        "goodput": round(trial.counts["in_time"] / plan.duration_s / plan.capacity, 3),
        "refused_share": round(trial.counts["refused"] / max(1, total), 4),
        "peer_bytes_per_call": round(sum(switch.bytes_by_traffic.values()) / max(1, total), 2),
        "no_hedge_slot": trial.counts["no_hedge_slot"],
    }


def run_trial(plan: TrialPlan, settings: RoutingSettings) -> dict[str, Any]:
    """Run one simulation and return its figures."""
    loop = PausedClockLoop()
    try:
        return loop.run_until_complete(_run(plan, settings))
    finally:
        loop.close()


def main() -> None:
    """Run the simulation that the options describe and print its figures as JSON."""
    options = dict(each.removeprefix("--").split("=", 1) for each in sys.argv[1:])
    values = {name: json.loads(value) for name, value in options.items() if name != "policy"}
    names = {each.name for each in fields(TrialPlan)}
    plan = TrialPlan(**{name: values.pop(name) for name in list(values) if name in names})
    policy = options.get("policy", "late_binding")
    settings = RoutingSettings.model_validate({**values, "policy": policy})
    print(json.dumps({"options": options, **run_trial(plan, settings)}), flush=True)


if __name__ == "__main__":
    main()
