"""A daemon with an additional port that serves its counters and the bytes sent to peers.

Usage: python -m bench.policy_daemon SETTINGS ADMIN_PORT
"""

from __future__ import annotations

import asyncio
import sys
import time
from collections import Counter
from typing import TYPE_CHECKING

from aiohttp import web

from heatherhead.assembly import create_assembly
from heatherhead.membership.interface import LinkKind, Traffic
from heatherhead.runtime import create_loop
from heatherhead.settings import load_settings
from heatherhead.telemetry.logs import configure_logs

if TYPE_CHECKING:
    from heatherhead.assembly import Assembly

DRAINING = "draining"
LAG_PROBE_INTERVAL_S = 0.005
LAG_BOUNDS_MS = (3, 10, 30)


def _count_events(assembly: Assembly) -> Counter[str]:
    """Sum the counters separately, since the telemetry resets its own at each flush."""
    counts: Counter[str] = Counter()
    telemetry = assembly.telemetry
    count = telemetry.count

    def count_and_forward(name: str, amount: int = 1) -> None:
        counts[name] += amount
        count(name, amount)

    telemetry.count = count_and_forward  # type: ignore[method-assign]
    return counts


def _stats(assembly: Assembly, counts: Counter[str]) -> dict[str, object]:
    sent = assembly.membership.network.budget.sent
    router = assembly.router
    return {
        "cpu_s": time.process_time(),
        "live": len(assembly.membership.view.live()),
        "ready": assembly.configuration.ready.is_set(),
        "counts": dict(counts),
        "control_bytes": sum(size for link, size in sent.items() if link[0] is Traffic.CONTROL),
        "measuring_bytes": sum(size for link, size in sent.items() if link[0] is Traffic.MEASURING),
        "measuring_bytes_between_regions": sent[Traffic.MEASURING, LinkKind.BETWEEN_REGIONS],
        "homes": {
            name: router.homes.home_ids(name, assembly.settings.instance.region)
            for name in router.dispatcher_by_service
        },
    }


async def _measure_loop_lag(counts: Counter[str]) -> None:
    """Count how often the event loop wakes up later than each of `LAG_BOUNDS_MS`."""
    loop = asyncio.get_running_loop()
    while True:
        due_at = loop.time() + LAG_PROBE_INTERVAL_S
        await asyncio.sleep(LAG_PROBE_INTERVAL_S)
        late_ms = (loop.time() - due_at) * 1000
        counts["lag_probes"] += 1
        for bound_ms in LAG_BOUNDS_MS:
            counts[f"lag_over_{bound_ms}_ms"] += late_ms > bound_ms


async def _run(settings_path: str, admin_port: int) -> None:
    assembly = create_assembly(load_settings(settings_path))
    counts = _count_events(assembly)
    await assembly.start()

    async def stats(_: web.Request) -> web.Response:
        return web.json_response(_stats(assembly, counts))

    async def draining(_: web.Request) -> web.Response:
        names = list(assembly.router.dispatcher_by_service)
        evidence = [each for name in names for each in assembly.router.evidence(name)]
        return web.json_response([each.upstream.id for each in evidence if each.state == DRAINING])

    lag_task = asyncio.create_task(_measure_loop_lag(counts))
    app = web.Application()
    app.router.add_get("/stats", stats)
    app.router.add_get("/draining", draining)
    runner = web.AppRunner(app, handle_signals=False)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", admin_port).start()
    await lag_task


if __name__ == "__main__":
    configure_logs("WARNING")
    loop = create_loop()
    asyncio.set_event_loop(loop)
    loop.run_until_complete(_run(sys.argv[1], int(sys.argv[2])))
