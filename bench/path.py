"""Measures the latency that an instance adds to a call, compared to a minimal forwarder.

Run as `make bench-path`. Calls take three routes: direct, forwarder and daemon. All figures come
from one run; the last line is JSON.
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import asdict
from typing import TYPE_CHECKING, Any

import aiohttp
import uvloop

from bench.closed_loop import WARM_UP_S as CLOSED_LOOP_WARM_UP_S
from bench.fake_upstream import UpstreamScript
from bench.fleet import (
    DaemonPorts,
    Fleet,
    cpu_seconds,
    free_ports,
    rss_mb,
    save_result,
    standalone_daemon_settings,
)
from bench.load import LoadPlan

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

OPEN_LOOP_CALLS_PER_S = 300.0
ROUNDS = 4
ROUND_S = 4.0
ANSWER_BYTES = 1024
UPSTREAMS = 2
SLOTS = 64
CLOSED_LOOP_PROCESSES = 2
CLOSED_LOOP_CALLERS = 16
CLOSED_LOOP_ROUNDS = 3
CLOSED_LOOP_ROUND_S = 2.0
UPLOAD_BYTES = 1024**3
UPLOAD_CHUNK_BYTES = 256 * 1024
MEMORY_SAMPLE_INTERVAL_S = 0.05
DAEMON = "daemon"
FORWARDER = "forwarder"


def _settings(daemon: DaemonPorts, scripts: list[UpstreamScript]) -> dict[str, Any]:
    upstreams = [
        {"id": f"u{index}", "host": each.host, "port": each.port, "slots": SLOTS}
        for index, each in enumerate(scripts)
    ]
    service = {
        "name": "stock",
        "path_prefixes": ["/"],
        "upstreams": upstreams,
        "key_required": False,
    }
    return standalone_daemon_settings(daemon, service)


def _start(fleet: Fleet) -> tuple[dict[str, int], DaemonPorts]:
    """Start all processes; return the port of each route by its name, and the daemon."""
    ports = free_ports(4 + UPSTREAMS)
    daemon = DaemonPorts(DAEMON, *ports[:3])
    scripts = [
        UpstreamScript(port=port, slots=SLOTS, service_s=0.0, answer_bytes=ANSWER_BYTES)
        for port in ports[4:]
    ]
    for index, script in enumerate(scripts):
        fleet.start_upstreams(f"upstream-{index}", [script])
    names = [f"127.0.0.1:{each.port}" for each in scripts]
    fleet.start(FORWARDER, ["bench.forwarder", str(ports[3]), *names])
    fleet.wait_for(lambda: fleet.output(FORWARDER).startswith("ready"), FORWARDER)
    fleet.start_daemon(daemon, _settings(daemon, scripts))
    fleet.wait_ready(daemon)
    return {"direct": scripts[0].port, FORWARDER: ports[3], DAEMON: daemon.callers}, daemon


def _open_loop(fleet: Fleet, name: str, port: int) -> list[float]:
    """Send calls at random times; return their latencies in seconds."""
    plan = LoadPlan(
        entry_urls=[f"http://127.0.0.1:{port}"],
        service="stock",
        rate=OPEN_LOOP_CALLS_PER_S,
        duration_s=ROUND_S,
        warm_up_s=0.5,
        path="/stock",
        follow_addresses=False,
    )
    path = fleet.write_json(f"{name}-plan.json", asdict(plan))
    process = fleet.start(name, ["bench.load", str(path)])
    process.wait()
    fleet.process_by_name.pop(name)
    result = json.loads(fleet.output(name).splitlines()[-1])
    if set(result["counts"]) != {"200"}:
        raise RuntimeError(f"{name}: {result['counts']}")
    return result["times"]


def _latencies(fleet: Fleet, port_by_route: dict[str, int]) -> dict[str, list[float]]:
    """Measure the routes alternately, so that other load on the machine affects all alike."""
    times: dict[str, list[float]] = {route: [] for route in port_by_route}
    for round_index in range(ROUNDS):
        for route, port in port_by_route.items():
            times[route] += _open_loop(fleet, f"load-{route}-{round_index}", port)
    return times


def _throughput(fleet: Fleet, route: str, port: int) -> float:
    """Load one route with closed-loop callers; return its calls per second."""
    arguments = [
        "bench.closed_loop",
        "127.0.0.1",
        str(port),
        str(CLOSED_LOOP_CALLERS),
        str(CLOSED_LOOP_ROUND_S),
    ]
    names = [f"closed-{route}-{index}" for index in range(CLOSED_LOOP_PROCESSES)]
    processes = [fleet.start(name, arguments) for name in names]
    for process in processes:
        process.wait()
    for name in names:
        fleet.process_by_name.pop(name)
    return sum(json.loads(fleet.output(name).splitlines()[-1])["per_s"] for name in names)


def _throughputs(
    fleet: Fleet, port_by_route: dict[str, int]
) -> tuple[dict[str, float], dict[str, float]]:
    """Load forwarder and daemon alternately; return calls per second, and µs of CPU per call."""
    rates: dict[str, list[float]] = {FORWARDER: [], DAEMON: []}
    cpu_s = dict.fromkeys(rates, 0.0)
    for _ in range(CLOSED_LOOP_ROUNDS):
        for route, measured in rates.items():
            process_id = fleet.process_by_name[route].pid
            before = cpu_seconds(process_id)
            measured.append(_throughput(fleet, route, port_by_route[route]))
            cpu_s[route] += cpu_seconds(process_id) - before
    driven_s = CLOSED_LOOP_ROUND_S + CLOSED_LOOP_WARM_UP_S
    cpu_us = {route: 1e6 * cpu_s[route] / (sum(rates[route]) * driven_s) for route in rates}
    return {route: sum(each) / CLOSED_LOOP_ROUNDS for route, each in rates.items()}, cpu_us


async def _upload(port: int) -> None:
    chunk = b"u" * UPLOAD_CHUNK_BYTES

    async def body() -> AsyncIterator[bytes]:
        for _ in range(UPLOAD_BYTES // UPLOAD_CHUNK_BYTES):
            yield chunk

    async with (
        aiohttp.ClientSession() as session,
        session.post(f"http://127.0.0.1:{port}/photo", data=body()) as answer,
    ):
        await answer.read()
        received = int(answer.headers["Heatherhead-Bench-Received"])
    if received != UPLOAD_BYTES:
        raise RuntimeError(
            f"upload truncated: upstream received {received} of {UPLOAD_BYTES} bytes"
        )


async def _upload_growth_mb(port: int, process_id: int) -> float:
    """Upload a large body and return the maximum growth of the daemon's memory."""
    before = highest = rss_mb(process_id)
    upload = asyncio.create_task(_upload(port))
    while not upload.done():
        highest = max(highest, rss_mb(process_id))
        await asyncio.sleep(MEMORY_SAMPLE_INTERVAL_S)
    await upload
    return highest - before


def _percentile_ms(times_s: list[float], quantile: float) -> float:
    ordered = sorted(times_s)
    return ordered[min(len(ordered) - 1, int(len(ordered) * quantile))] * 1000


def main() -> None:
    """Run the measurement."""
    with Fleet() as fleet:
        port_by_route, daemon = _start(fleet)
        process_id = fleet.process_by_name[DAEMON].pid
        times = _latencies(fleet, port_by_route)
        per_s, cpu_per_call_us = _throughputs(fleet, port_by_route)
        rss = rss_mb(process_id)
        growth_mb = uvloop.run(_upload_growth_mb(daemon.callers, process_id))
    p50 = {route: _percentile_ms(each, 0.50) for route, each in times.items()}
    p99 = {route: _percentile_ms(each, 0.99) for route, each in times.items()}
    added = p99[DAEMON] - p99["direct"]
    result = {
        "calls": sum(len(each) for each in times.values()),
        "added_p99_ms": round(added, 3),
        "added_p99_over_forwarder": round(added / (p99[FORWARDER] - p99["direct"]), 3),
        "added_p50_ms": round(p50[DAEMON] - p50["direct"], 3),
        "added_p50_over_forwarder": round(
            (p50[DAEMON] - p50["direct"]) / (p50[FORWARDER] - p50["direct"]), 3
        ),
        "p99_ms": {route: round(each, 3) for route, each in p99.items()},
        "throughput_over_forwarder": round(per_s[DAEMON] / per_s[FORWARDER], 3),
        "throughput_per_s": {route: round(each) for route, each in per_s.items()},
        "cpu_us_per_call": {route: round(each) for route, each in cpu_per_call_us.items()},
        "upload_rss_growth_mb": round(growth_mb, 1),
        "rss_mb": round(rss, 1),
    }
    save_result("path", result)


if __name__ == "__main__":
    main()
