"""Measures what health checks detect at idle upstreams, and what they cost.

Usage: python -m bench.health

Two daemons on the loopback, one with and one without a health path, have fake upstreams of the
same kind. One idle upstream of each starts to drain; later calls show which daemon detected it. The
cost is the bytes and processor time of checks of many idle upstreams, under a large and a small
budget, and the number of checks of upstreams that are busy with calls. A fleet of daemons shows
which of them check, and whether the other homes of the service know of a drain. The last line is
the result.
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
DRAINED_INDEX = 1
MISREPORTING_INDEX = 2
COST_UPSTREAMS = 100
IDLE_S = 4.0
DRAIN_KNOWN_S = 2.0
COST_S = 8.0
CALLS = 200
BUSY_S = 5.0
BUSY_PAUSE_S = 0.01
LARGE_BUDGET_BYTES_PER_S = 1_000_000
SMALL_BUDGET_BYTES_PER_S = 2_000
MICROSECONDS = 1_000_000


@dataclass(slots=True)
class DaemonSetup:
    """One running daemon with its upstreams, created by `start`."""

    name: str
    fleet: Fleet
    session: aiohttp.ClientSession
    scripts: list[UpstreamScript]
    callers: int
    admin: int

    async def stats(self) -> dict[str, Any]:
        """Return the daemon's counters."""
        async with self.session.get(f"http://127.0.0.1:{self.admin}/stats") as reply:
            return await reply.json()

    async def upstream_states(self) -> list[dict[str, Any]]:
        """Return the state of each upstream."""
        return [await self._request(each, "GET", "/__state") for each in self.scripts]

    async def switch(self, index: int, **fault: bool) -> None:
        """Switch faults of one upstream."""
        await self._request(self.scripts[index], "POST", "/__fault", json.dumps(fault))

    async def call(self) -> int:
        """Send one read and return its status."""
        async with self.session.get(f"http://127.0.0.1:{self.callers}/stock") as reply:
            await reply.read()
            return reply.status

    async def _request(
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
) -> DaemonSetup:
    """Start the upstreams and the daemon, and wait until the daemon is ready."""
    callers, admin, *ports = free_ports(2 + upstreams)
    scripts = [UpstreamScript(port) for port in ports]
    fleet.start_upstreams(f"{name}-upstreams", scripts)
    any_port = {"listen": {"port": 0}}
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
        "operators": any_port,
        "membership": any_port,
        "routing": routing,
        "services": [service],
    }
    path = fleet.write_json(f"{name}.json", settings)
    fleet.start(name, ["bench.policy_daemon", str(path), str(admin)])
    setup = DaemonSetup(name, fleet, session, scripts, callers, admin)
    while not await _is_ready(setup):
        await asyncio.sleep(0.1)
    return setup


async def _is_ready(setup: DaemonSetup) -> bool:
    try:
        return (await setup.stats())["ready"]
    except aiohttp.ClientError:
        return False


async def measure_drain(setup: DaemonSetup) -> dict[str, Any]:
    """Drain an idle upstream and count the calls that it refuses afterwards."""
    await asyncio.sleep(IDLE_S)
    await setup.switch(DRAINED_INDEX, draining=True)
    await asyncio.sleep(DRAIN_KNOWN_S)
    statuses = [await setup.call() for _ in range(CALLS)]
    drained = (await setup.upstream_states())[DRAINED_INDEX]
    return {
        f"{setup.name}_refused_by_draining": drained["refused"],
        f"{setup.name}_run_by_draining": drained["calls"],
        f"{setup.name}_calls_answered": statuses.count(200),
    }


async def measure_busy(setup: DaemonSetup) -> dict[str, Any]:
    """Keep all upstreams busy while the health checks of one of them wrongly answer 503."""
    await setup.switch(MISREPORTING_INDEX, lying_health=True)
    before = await setup.upstream_states()
    until = time.monotonic() + BUSY_S
    calls = 0
    while time.monotonic() < until:
        await asyncio.gather(*(setup.call() for _ in range(DRAIN_UPSTREAMS)))
        calls += DRAIN_UPSTREAMS
        await asyncio.sleep(BUSY_PAUSE_S)
    after = await setup.upstream_states()
    busy = [index for index in range(DRAIN_UPSTREAMS) if index != DRAINED_INDEX]
    checks = sum(after[index]["health_checks"] - before[index]["health_checks"] for index in busy)
    misreporting_calls = after[MISREPORTING_INDEX]["calls"] - before[MISREPORTING_INDEX]["calls"]
    return {
        "busy_calls": calls,
        "busy_upstreams_checks": checks,
        "busy_share_of_lying": round(misreporting_calls / calls, 3),
    }


async def measure_cost(setup: DaemonSetup) -> dict[str, Any]:
    """Measure the bytes and processor time of checks of many idle upstreams."""
    await asyncio.sleep(IDLE_S)
    before = await setup.stats()
    await asyncio.sleep(COST_S)
    after = await setup.stats()
    checks = _counter_value(after, "health.checks") - _counter_value(before, "health.checks")
    bytes_used = _counter_value(after, "health.bytes") - _counter_value(before, "health.bytes")
    cpu_s = after["cpu_s"] - before["cpu_s"]
    return {
        f"{setup.name}_checks_per_s": round(checks / COST_S, 1),
        f"{setup.name}_bytes_per_s": round(bytes_used / COST_S),
        f"{setup.name}_bytes_per_check": round(bytes_used / max(1, checks)),
        f"{setup.name}_cpu_share": round(cpu_s / COST_S, 4),
    }


def _counter_value(stats: dict[str, Any], name: str) -> int:
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
                "none": (None, LARGE_BUDGET_BYTES_PER_S),
                "large": (HEALTH_PATH, LARGE_BUDGET_BYTES_PER_S),
                "small": (HEALTH_PATH, SMALL_BUDGET_BYTES_PER_S),
            }
            for name, (path, budget) in budgets.items():
                setup = await start(
                    name, fleet, session, COST_UPSTREAMS, path, health_bytes_per_second=budget
                )
                result.update(await measure_cost(setup))
                fleet.stop(name)
    added_share = result["large_cpu_share"] - result["none_cpu_share"]
    result["cpu_us_per_check"] = round(added_share / result["large_checks_per_s"] * MICROSECONDS)
    return result


def main() -> None:
    """Run the measurement."""
    save_result("health", uvloop.run(run()))


if __name__ == "__main__":
    main()
