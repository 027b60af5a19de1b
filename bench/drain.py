"""Measures how soon every home of a service knows that an upstream is draining.

Usage: python -m bench.drain

Daemon processes run on the loopback, and all calls go to one home, so that the other homes know of
a draining upstream only from that home's reports. Upstreams start to drain one after the other.
Times are measured from the switch of the upstream, which precedes its first refusal. The last line
is the result.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import asdict
from typing import Any

import aiohttp
import uvloop

from bench.fleet import Fleet, save_result
from bench.load import LoadPlan
from bench.policy import SERVICE, DaemonFleet, PolicyBench

HOMES = 3
TRIALS = 8
CALLS_PER_S = 400.0
RUN_S = 30.0
SETTLE_S = 3.0
PAUSE_BETWEEN_TRIALS_S = 1.0
POLL_INTERVAL_S = 0.005
WAIT_TIMEOUT_S = 5.0


async def measure_drain(bench: PolicyBench) -> dict[str, Any]:
    """Drain upstreams one by one and measure in seconds when each home knows of it."""
    daemons = await bench.start_daemons("drain", {"homes_minimum": HOMES})
    homes = await _home_indices(bench, daemons)
    _start_load(bench, daemons.entry_urls[homes[0]])
    await asyncio.sleep(SETTLE_S)
    times = []
    refused_calls = 0
    for trial in range(TRIALS):
        seen = await _drain(bench, daemons, homes, trial)
        times += seen
        await asyncio.sleep(PAUSE_BETWEEN_TRIALS_S)
        refused_calls += await _refused_calls(bench, trial)
    times.sort()
    return {
        "drain_known_p99_s": round(times[int(len(times) * 0.99)], 4),
        "drain_known_max_s": round(times[-1], 4),
        "homes": len(homes),
        "trials": TRIALS,
        "calls_refused_by_leaving_upstreams": refused_calls,
    }


async def _home_indices(bench: PolicyBench, daemons: DaemonFleet) -> list[int]:
    stats = await bench.all_stats(daemons)
    return [int(each.removeprefix("i")) for each in stats[0]["homes"][SERVICE]]


def _start_load(bench: PolicyBench, url: str) -> None:
    plan = LoadPlan([url], SERVICE, CALLS_PER_S, RUN_S, follow_addresses=False)
    path = bench.fleet.write_json("drain-load.json", asdict(plan))
    bench.fleet.start("drain-load", ["bench.load", str(path)])


async def _drain(
    bench: PolicyBench, daemons: DaemonFleet, homes: list[int], trial: int
) -> list[float]:
    began_at = time.monotonic()
    await bench.post(bench.scripts[trial], "/__fault", {"draining": True})
    waits = [
        _wait_until_known(bench, daemons.admin_ports[home], f"u{trial}", began_at) for home in homes
    ]
    return list(await asyncio.gather(*waits))


async def _wait_until_known(
    bench: PolicyBench, admin_port: int, upstream_id: str, began_at: float
) -> float:
    """Poll a home until it reports the upstream as draining; return the seconds since `began_at`.

    Raises `TimeoutError` after `WAIT_TIMEOUT_S`.
    """
    url = f"http://127.0.0.1:{admin_port}/draining"
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while True:
            async with bench.session.get(url) as answer:
                is_known = upstream_id in await answer.json()
            if is_known:
                return time.monotonic() - began_at
            await asyncio.sleep(POLL_INTERVAL_S)


async def _refused_calls(bench: PolicyBench, trial: int) -> int:
    script = bench.scripts[trial]
    async with bench.session.get(f"http://{script.host}:{script.port}/__state") as answer:
        return int((await answer.json())["refused"])


async def run() -> dict[str, Any]:
    """Start a fleet, run the measurement and stop the fleet."""
    with Fleet() as fleet:
        async with aiohttp.ClientSession() as session:
            bench = PolicyBench(fleet, session, RUN_S)
            await bench.start()
            return await measure_drain(bench)


def main() -> None:
    """Run the measurement and save its result."""
    save_result("drain", uvloop.run(run()))


if __name__ == "__main__":
    main()
