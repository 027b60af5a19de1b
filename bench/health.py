"""Measures what health checks see of idle upstreams, and what they cost.

Usage: python -m bench.health

Two daemons on the loopback, one with and one without a health path, face the same kind of fake
upstreams. One idle upstream begins to drain; calls that come later show which daemon knew. Then the
cost: bytes and processor time of checks of many idle upstreams, under a large and a small budget,
and checks of upstreams that calls keep busy. Several daemons show who checks, and what the other homes
of the service know of a drain. The last line is the result.
"""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass
from typing import Any

import aiohttp
import uvloop

from bench.fake_upstream import HEALTH_PATH, UpstreamScript
from bench.fleet import Fleet, free_ports, save_result
from bench.health_homes import measure_homes

DRAIN_UPSTREAMS = 4
DRAINED = 1
BUSY_LIAR = 2
COST_UPSTREAMS = 100
IDLE_S = 4.0
DRAIN_KNOWN_S = 2.0
COST_S = 8.0
CALLS = 200
BUSY_S = 5.0
BUSY_PAUSE_S = 0.01
LARGE_BUDGET = 1_000_000
SMALL_BUDGET = 2_000
MICROSECONDS = 1_000_000


@dataclass(slots=True)
class Stand:
    """One daemon with its upstreams; `start` begins both."""

    name: str
    fleet: Fleet
    session: aiohttp.ClientSession
    scripts: list[UpstreamScript]
    callers: int
    admin: int

    async def stats(self) -> dict[str, Any]:
        """Read the daemon's counters."""
        async with self.session.get(f"http://127.0.0.1:{self.admin}/stats") as reply:
            return await reply.json()

    async def upstream_states(self) -> list[dict[str, Any]]:
        """Read what each upstream has seen."""
        return [await self._ask(each, "GET", "/__state") for each in self.scripts]

    async def switch(self, index: int, **fault: bool) -> None:
        """Switch faults of an upstream."""
        await self._ask(self.scripts[index], "POST", "/__fault", json.dumps(fault))

    async def call(self) -> int:
        """Send one read; give its status."""
        async with self.session.get(f"http://127.0.0.1:{self.callers}/stock") as reply:
            await reply.read()
            return reply.status

    async def _ask(
        self, script: UpstreamScript, method: str, path: str, body: str | None = None
    ) -> dict[str, Any]:
        url = f"http://127.0.0.1:{script.port}{path}"
        async with self.session.request(method, url, data=body) as reply:
            return await reply.json()


async def start(
    name: str,
    fleet: Fleet,
    session: aiohttp.ClientSession,
    upstreams: int,
    health_path: str | None,
    **routing: Any,
) -> Stand:
    """Start the upstreams and the daemon of one stand, and wait until it serves."""
    callers, admin, *ports = free_ports(2 + upstreams)
    scripts = [UpstreamScript(port) for port in ports]
    fleet.start_upstreams(f"{name}-upstreams", scripts)
    zero = {"listen": {"port": 0}}
    service = {
        "name": "stock",
        "path_prefixes": ["/"],
        "health_path": health_path,
        "upstreams": [
            {"id": f"u{index}", "host": "127.0.0.1", "port": port}
            for index, port in enumerate(ports)
        ],
    }
    settings = {
        "callers": {"listen": {"port": callers}},
        "operators": zero,
        "membership": zero,
        "routing": routing,
        "services": [service],
    }
    path = fleet.write_json(f"{name}.json", settings)
    fleet.start(name, ["bench.policy_daemon", str(path), str(admin)])
    stand = Stand(name, fleet, session, scripts, callers, admin)
    while not await _is_ready(stand):
        await asyncio.sleep(0.1)
    return stand


async def _is_ready(stand: Stand) -> bool:
    try:
        return (await stand.stats())["ready"]
    except aiohttp.ClientError:
        return False


async def measure_drain(stand: Stand) -> dict[str, Any]:
    """Drain an idle upstream, and count the calls that it had to refuse afterwards."""
    await asyncio.sleep(IDLE_S)
    await stand.switch(DRAINED, draining=True)
    await asyncio.sleep(DRAIN_KNOWN_S)
    statuses = [await stand.call() for _ in range(CALLS)]
    drained = (await stand.upstream_states())[DRAINED]
    return {
        f"{stand.name}_refused_by_draining": drained["refused"],
        f"{stand.name}_run_by_draining": drained["calls"],
        f"{stand.name}_calls_answered": statuses.count(200),
    }


async def measure_busy(stand: Stand) -> dict[str, Any]:
    """Keep all upstreams busy, one of them with a health path that says 503 all the same."""
    await stand.switch(BUSY_LIAR, lying_health=True)
    before = await stand.upstream_states()
    until = time.monotonic() + BUSY_S
    calls = 0
    while time.monotonic() < until:
        await asyncio.gather(*(stand.call() for _ in range(DRAIN_UPSTREAMS)))
        calls += DRAIN_UPSTREAMS
        await asyncio.sleep(BUSY_PAUSE_S)
    after = await stand.upstream_states()
    busy = [index for index in range(DRAIN_UPSTREAMS) if index != DRAINED]
    checks = sum(after[index]["health_checks"] - before[index]["health_checks"] for index in busy)
    liar_calls = after[BUSY_LIAR]["calls"] - before[BUSY_LIAR]["calls"]
    return {
        "busy_calls": calls,
        "busy_upstreams_checks": checks,
        "busy_share_of_lying": round(liar_calls / calls, 3),
    }


async def measure_cost(stand: Stand) -> dict[str, Any]:
    """Measure the checks of many idle upstreams."""
    await asyncio.sleep(IDLE_S)
    before = await stand.stats()
    await asyncio.sleep(COST_S)
    after = await stand.stats()
    checks = _counted(after, "health.checks") - _counted(before, "health.checks")
    used = _counted(after, "health.bytes") - _counted(before, "health.bytes")
    cpu_s = after["cpu_s"] - before["cpu_s"]
    return {
        f"{stand.name}_checks_per_s": round(checks / COST_S, 1),
        f"{stand.name}_bytes_per_s": round(used / COST_S),
        f"{stand.name}_bytes_per_check": round(used / max(1, checks)),
        f"{stand.name}_cpu_share": round(cpu_s / COST_S, 4),
    }


def _counted(stats: dict[str, Any], name: str) -> int:
    return stats["counts"].get(name, 0)


async def run() -> dict[str, Any]:
    """Run all measurements one after the other."""
    with Fleet() as fleet:
        async with aiohttp.ClientSession() as session:
            checked = await start("checked", fleet, session, DRAIN_UPSTREAMS, HEALTH_PATH)
            unchecked = await start("unchecked", fleet, session, DRAIN_UPSTREAMS, None)
            drains = await asyncio.gather(measure_drain(checked), measure_drain(unchecked))
            result = {**drains[0], **drains[1], **await measure_busy(checked)}
            result.update(await measure_homes(fleet, session))
            budgets: dict[str, tuple[str | None, int]] = {
                "none": (None, LARGE_BUDGET),
                "large": (HEALTH_PATH, LARGE_BUDGET),
                "small": (HEALTH_PATH, SMALL_BUDGET),
            }
            for name, (path, budget) in budgets.items():
                stand = await start(
                    name, fleet, session, COST_UPSTREAMS, path, health_bytes_per_second=budget
                )
                result.update(await measure_cost(stand))
                fleet.stop(name)
    added_share = result["large_cpu_share"] - result["none_cpu_share"]
    result["cpu_us_per_check"] = round(added_share / result["large_checks_per_s"] * MICROSECONDS)
    return result


def main() -> None:
    """Run the measurement."""
    save_result("health", uvloop.run(run()))


if __name__ == "__main__":
    main()
