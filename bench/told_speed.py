"""Oracle dispatcher: a lower bound for latency, with one queue and known upstream speeds.

Run as `python -m bench.told_speed PLAN.json`. It sends the open-loop calls of the plan directly to
the fake upstreams, without a balancer in between, and derives their slow periods from their seeds.
The last line printed is JSON in the format of `bench.load`.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
from collections import Counter, deque
from dataclasses import dataclass
from pathlib import Path

import aiohttp
import uvloop

from bench.fake_upstream import SlowPeriods, UpstreamScript

__all__ = ["OraclePlan", "main"]

# At the default slowdown of 10, waiting for up to 9 service times is at least as fast.
MAX_WAIT_SERVICE_TIMES = 9


@dataclass(slots=True)
class OraclePlan:
    """The load that the dispatcher sends; `rate` is in calls per second."""

    scripts: list[dict[str, object]]
    rate: float
    duration_s: float
    warm_up_s: float = 1.0
    seed: int = 1


@dataclass(slots=True, eq=False)
class _UpstreamState:
    """An upstream with its slow periods and its number of calls in flight."""

    script: UpstreamScript
    slow_periods: SlowPeriods
    in_flight: int = 0


class _Dispatcher:
    """Sends calls in order of arrival to upstreams at normal speed that have a free slot.

    A slow upstream gets a call only when waiting for the fast ones would take longer.
    """

    def __init__(self, plan: OraclePlan, session: aiohttp.ClientSession) -> None:
        scripts = [UpstreamScript(**{**each, "fault": None}) for each in plan.scripts]  # type: ignore[arg-type]
        self.plan = plan
        self.times: list[float] = []
        self.counts: Counter[str] = Counter()
        self._upstreams = [_UpstreamState(each, _slow_periods_of(each)) for each in scripts]
        self._waiting: deque[asyncio.Future[_UpstreamState]] = deque()
        self._session = session
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Start each call at its scheduled time and wait until all have ended."""
        loop = asyncio.get_running_loop()
        arrivals = random.Random(self.plan.seed)
        start = due_at = loop.time()
        measured_from = start + self.plan.warm_up_s
        while due_at < measured_from + self.plan.duration_s:
            due_at += arrivals.expovariate(self.plan.rate)
            if (delay := due_at - loop.time()) > 0:
                await asyncio.sleep(delay)
            task = asyncio.create_task(self._call(due_at, due_at >= measured_from))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks)

    async def _call(self, due_at: float, measured: bool) -> None:
        loop = asyncio.get_running_loop()
        upstream = None if self._waiting else self._choose()
        if upstream is None:
            assigned: asyncio.Future[_UpstreamState] = loop.create_future()
            self._waiting.append(assigned)
            upstream = await assigned
        else:
            upstream.in_flight += 1
        try:
            url = f"http://{upstream.script.host}:{upstream.script.port}/"
            async with self._session.get(url) as answer:
                await answer.read()
        finally:
            upstream.in_flight -= 1
            self._assign_waiting_calls()
        if measured:
            self.counts[str(answer.status)] += 1
            self.times.append(loop.time() - due_at)

    def _assign_waiting_calls(self) -> None:
        while self._waiting and (upstream := self._choose()) is not None:
            upstream.in_flight += 1
            self._waiting.popleft().set_result(upstream)

    def _choose(self) -> _UpstreamState | None:
        now = asyncio.get_running_loop().time()
        fast = [each for each in self._upstreams if each.slow_periods.slowdown_at(now) == 1.0]
        free = [each for each in fast if each.in_flight < each.script.slots]
        if free:
            return min(free, key=lambda each: each.in_flight)
        fast_slots = sum(each.script.slots for each in fast)
        if len(self._waiting) < MAX_WAIT_SERVICE_TIMES * fast_slots:
            return None
        with_free_slot = [each for each in self._upstreams if each.in_flight < each.script.slots]
        return with_free_slot[0] if with_free_slot else None


def _slow_periods_of(script: UpstreamScript) -> SlowPeriods:
    return SlowPeriods(
        script.slow_every_s, script.slow_s, script.slow_factor, script.seed, script.epoch
    )


async def _run(plan: OraclePlan) -> None:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        dispatcher = _Dispatcher(plan, session)
        await dispatcher.run()
    times = [round(each, 6) for each in sorted(dispatcher.times)]
    print(json.dumps({"counts": dict(dispatcher.counts), "skipped": 0, "times": times}))


def main() -> None:
    """Run the plan named on the command line."""
    document = json.loads(Path(sys.argv[1]).read_text(encoding="utf-8"))
    uvloop.run(_run(OraclePlan(**document)))


if __name__ == "__main__":
    main()
