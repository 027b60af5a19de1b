"""The best possible dispatcher: one queue that is told every upstream's speed, with no hop between.

Run as `python -m bench.told_speed PLAN.json`. It sends the open-loop calls of the plan straight to
the fake upstreams whose slow spells it knows from their seeds. The last line printed is JSON like
that of `bench.load`.
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

from bench.fake_upstream import SlowSpells, UpstreamScript

__all__ = ["ToldPlan", "main"]

PATIENCE_SERVICE_TIMES = 9


@dataclass(slots=True)
class ToldPlan:
    """What the dispatcher does; `rate` is in calls a second, times are in seconds."""

    scripts: list[dict[str, object]]
    rate: float
    duration_s: float
    warm_up_s: float = 1.0
    seed: int = 1


@dataclass(slots=True, eq=False)
class _Known:
    """An upstream with its spells and the calls that this dispatcher has sent."""

    script: UpstreamScript
    spells: SlowSpells
    in_flight: int = 0


class _Dispatcher:
    """Sends a call to a quick upstream with a free slot, first come first served."""

    def __init__(self, plan: ToldPlan, session: aiohttp.ClientSession) -> None:
        scripts = [UpstreamScript(**{**each, "fault": None}) for each in plan.scripts]  # type: ignore[arg-type]
        self.plan = plan
        self.times: list[float] = []
        self.counts: Counter[str] = Counter()
        self._known = [_Known(each, _spells_of(each)) for each in scripts]
        self._waiting: deque[asyncio.Future[_Known]] = deque()
        self._session = session
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Start calls at their moments and wait for the last."""
        loop = asyncio.get_running_loop()
        arrivals = random.Random(self.plan.seed)
        start = due = loop.time()
        measured_from = start + self.plan.warm_up_s
        while due < measured_from + self.plan.duration_s:
            due += arrivals.expovariate(self.plan.rate)
            if (delay := due - loop.time()) > 0:
                await asyncio.sleep(delay)
            task = asyncio.create_task(self._call(due, due >= measured_from))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks)

    async def _call(self, due: float, measured: bool) -> None:
        loop = asyncio.get_running_loop()
        known = None if self._waiting else self._choose()
        if known is None:
            turn: asyncio.Future[_Known] = loop.create_future()
            self._waiting.append(turn)
            known = await turn
        else:
            known.in_flight += 1
        try:
            url = f"http://{known.script.host}:{known.script.port}/"
            async with self._session.get(url) as answer:
                await answer.read()
        finally:
            known.in_flight -= 1
            self._hand_on()
        if measured:
            self.counts[str(answer.status)] += 1
            self.times.append(loop.time() - due)

    def _hand_on(self) -> None:
        while self._waiting and (known := self._choose()) is not None:
            known.in_flight += 1
            self._waiting.popleft().set_result(known)

    def _choose(self) -> _Known | None:
        now = asyncio.get_running_loop().time()
        quick = [each for each in self._known if each.spells.factor(now) == 1.0]
        free = [each for each in quick if each.in_flight < each.script.slots]
        if free:
            return min(free, key=lambda each: each.in_flight)
        quick_slots = sum(each.script.slots for each in quick)
        if len(self._waiting) < PATIENCE_SERVICE_TIMES * quick_slots:
            return None
        spare = [each for each in self._known if each.in_flight < each.script.slots]
        return spare[0] if spare else None


def _spells_of(script: UpstreamScript) -> SlowSpells:
    return SlowSpells(
        script.slow_every_s, script.slow_s, script.slow_factor, script.seed, script.epoch
    )


async def _run(plan: ToldPlan) -> None:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        dispatcher = _Dispatcher(plan, session)
        await dispatcher.run()
    times = [round(each, 6) for each in sorted(dispatcher.times)]
    print(json.dumps({"counts": dict(dispatcher.counts), "skipped": 0, "times": times}))


def main() -> None:
    """Run the plan named on the command line."""
    document = json.loads(Path(sys.argv[1]).read_text(encoding="utf-8"))
    uvloop.run(_run(ToldPlan(**document)))


if __name__ == "__main__":
    main()
