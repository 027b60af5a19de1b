"""Open-loop load generator whose callers send to the instances named in their address answers.

Run as `python -m bench.load PLAN.json`. Calls arrive as a seeded Poisson process, independent of
the completion of earlier calls. Latency is measured from the scheduled start of a call, so that
delays of the generator itself are included. The last line printed is JSON: counts by outcome and
the sorted latencies in seconds.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
import uvloop

__all__ = ["LoadPlan", "main"]

CONNECTIONS_PER_HOST = 256
ADDRESS_RETRY_INTERVAL_S = 5.0


@dataclass(slots=True)
class LoadPlan:
    """The load that one process generates.

    Callers ask `entry_urls` for addresses. With `follow_addresses` false, each call goes to a
    random entry URL instead. `rate` is in calls per second. Calls beyond `max_in_flight` are
    skipped and counted.
    """

    entry_urls: list[str]
    service: str
    rate: float
    duration_s: float
    warm_up_s: float = 1.0
    path: str = "/"
    host_header: str = ""
    callers: int = 20
    follow_addresses: bool = True
    availability_zones: list[str] = field(default_factory=lambda: ["local"])
    deadline_ms: int = 0
    deadline_header: str = "Heatherhead-Deadline-Ms"
    seed: int = 1
    max_in_flight: int = 2_000


@dataclass(slots=True)
class _Caller:
    """One caller with the addresses of its latest address answer."""

    entry_url: str
    availability_zone: str
    urls: list[str] = field(default_factory=list)
    weights: list[float] = field(default_factory=list)
    addresses_expire_at: float = 0.0


class _Load:
    """Runs a plan and collects its results."""

    def __init__(self, plan: LoadPlan, session: aiohttp.ClientSession) -> None:
        self.plan = plan
        self.session = session
        self.random = random.Random(plan.seed)
        self.times: list[float] = []
        self.counts: Counter[str] = Counter()
        self.skipped = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._callers = [self._create_caller(index) for index in range(plan.callers)]

    def _create_caller(self, index: int) -> _Caller:
        zones = self.plan.availability_zones
        entry = self.plan.entry_urls[index % len(self.plan.entry_urls)]
        return _Caller(entry, zones[index % len(zones)])

    async def run(self) -> None:
        """Start each call at its scheduled time and wait until all have ended."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        measured_from = start + self.plan.warm_up_s
        end = measured_from + self.plan.duration_s
        due_at = start
        while due_at < end:
            due_at += self.random.expovariate(self.plan.rate)
            delay = due_at - loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            self._start_call(due_at, due_at >= measured_from)
        if self._tasks:
            await asyncio.wait(self._tasks)

    def _start_call(self, due_at: float, measured: bool) -> None:
        if len(self._tasks) >= self.plan.max_in_flight:
            self.skipped += 1
            return
        caller = self.random.choice(self._callers)
        task = asyncio.create_task(self._call(caller, due_at, measured))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, caller: _Caller, due_at: float, measured: bool) -> None:
        loop = asyncio.get_running_loop()
        try:
            url = await self._choose_url(caller, loop.time())
            outcome = await self._request(url)
        except (aiohttp.ClientError, ConnectionError, TimeoutError) as error:
            outcome = type(error).__name__
            caller.addresses_expire_at = 0.0
        if measured:
            self.counts[outcome] += 1
            if outcome == "200":
                self.times.append(loop.time() - due_at)

    async def _request(self, url: str) -> str:
        headers = {"Host": self.plan.host_header} if self.plan.host_header else {}
        if self.plan.deadline_ms:
            headers[self.plan.deadline_header] = str(self.plan.deadline_ms)
        async with self.session.get(url + self.plan.path, headers=headers) as answer:
            await answer.read()
            return str(answer.status)

    async def _choose_url(self, caller: _Caller, now: float) -> str:
        if not self.plan.follow_addresses:
            return self.random.choice(self.plan.entry_urls)
        if now >= caller.addresses_expire_at:
            await self._refresh_addresses(caller, now)
        return self.random.choices(caller.urls, caller.weights)[0]

    async def _refresh_addresses(self, caller: _Caller, now: float) -> None:
        caller.addresses_expire_at = now + ADDRESS_RETRY_INTERVAL_S if caller.urls else 0.0
        params = {
            "service": self.plan.service,
            "availability_zone": caller.availability_zone,
        }
        async with self.session.get(caller.entry_url + "/v1/addresses", params=params) as answer:
            document: dict[str, Any] = await answer.json()
        caller.urls = [f"http://{each['address']}" for each in document["addresses"]]
        caller.weights = [float(each.get("weight", 1.0)) for each in document["addresses"]]
        caller.addresses_expire_at = now + float(document["keep_s"])


async def _run(plan: LoadPlan) -> None:
    connector = aiohttp.TCPConnector(limit=0, limit_per_host=CONNECTIONS_PER_HOST)
    timeout = aiohttp.ClientTimeout(total=30)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        load = _Load(plan, session)
        await load.run()
    result = {
        "counts": dict(load.counts),
        "skipped": load.skipped,
        "times": [round(each, 6) for each in sorted(load.times)],
    }
    print(json.dumps(result), flush=True)


def main() -> None:
    """Run the plan named on the command line."""
    document = json.loads(Path(sys.argv[1]).read_text(encoding="utf-8"))
    uvloop.run(_run(LoadPlan(**document)))


if __name__ == "__main__":
    main()
