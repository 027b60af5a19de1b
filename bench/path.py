"""Measures what an instance adds to a call, beside a bare forwarder and direct calls.

Run as `make bench-path`. All figures come from one run; the last line is JSON.
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import asdict
from typing import TYPE_CHECKING, Any

import aiohttp
import uvloop

from bench.closed_loop import WARM_UP_S as CLOSED_WARM_UP_S
from bench.fake_upstream import UpstreamScript
from bench.fleet import (
    DaemonPorts,
    Fleet,
    cpu_seconds,
    free_ports,
    lone_daemon_settings,
    rss_mb,
    save_result,
)
from bench.load import LoadPlan

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

RATE = 300.0
ROUNDS = 4
ROUND_S = 4.0
ANSWER_BYTES = 1024
UPSTREAMS = 2
SLOTS = 64
CLOSED_PROCESSES = 2
CLOSED_CALLERS = 16
CLOSED_ROUNDS = 3
CLOSED_S = 2.0
UPLOAD_BYTES = 1024**3
UPLOAD_CHUNK_BYTES = 256 * 1024
SAMPLE_S = 0.05
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
    return lone_daemon_settings(daemon, service)


def _start(fleet: Fleet) -> tuple[dict[str, int], DaemonPorts]:
    """Start everything; gives the port of each way by its name."""
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
    """Send calls at random moments; gives their times in seconds."""
    plan = LoadPlan(
        entry_urls=[f"http://127.0.0.1:{port}"],
        service="stock",
        rate=RATE,
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


def _latencies(fleet: Fleet, port_by_way: dict[str, int]) -> dict[str, list[float]]:
    """Measure the ways in turn, several rounds, so that all see the same neighbours."""
    times: dict[str, list[float]] = {way: [] for way in port_by_way}
    for round_index in range(ROUNDS):
        for way, port in port_by_way.items():
            times[way] += _open_loop(fleet, f"load-{way}-{round_index}", port)
    return times


def _throughput(fleet: Fleet, way: str, port: int) -> float:
    """Drive one way with closed-loop callers; gives calls a second of its process."""
    arguments = ["bench.closed_loop", "127.0.0.1", str(port), str(CLOSED_CALLERS), str(CLOSED_S)]
    names = [f"closed-{way}-{index}" for index in range(CLOSED_PROCESSES)]
    processes = [fleet.start(name, arguments) for name in names]
    for process in processes:
        process.wait()
    for name in names:
        fleet.process_by_name.pop(name)
    return sum(json.loads(fleet.output(name).splitlines()[-1])["per_s"] for name in names)


def _throughputs(
    fleet: Fleet, port_by_way: dict[str, int]
) -> tuple[dict[str, float], dict[str, float]]:
    """Drive forwarder and daemon in turn; gives calls a second, and processor time a call in us."""
    rates: dict[str, list[float]] = {FORWARDER: [], DAEMON: []}
    cpu_s = dict.fromkeys(rates, 0.0)
    for _ in range(CLOSED_ROUNDS):
        for way, measured in rates.items():
            process_id = fleet.process_by_name[way].pid
            before = cpu_seconds(process_id)
            measured.append(_throughput(fleet, way, port_by_way[way]))
            cpu_s[way] += cpu_seconds(process_id) - before
    driven_s = CLOSED_S + CLOSED_WARM_UP_S
    cpu_us = {way: 1e6 * cpu_s[way] / (sum(rates[way]) * driven_s) for way in rates}
    return {way: sum(each) / CLOSED_ROUNDS for way, each in rates.items()}, cpu_us


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
        raise RuntimeError(f"the upstream received {received} bytes")


async def _upload_growth_mb(port: int, process_id: int) -> float:
    """Upload while watching the daemon's memory; gives the highest growth."""
    before = highest = rss_mb(process_id)
    upload = asyncio.create_task(_upload(port))
    while not upload.done():
        highest = max(highest, rss_mb(process_id))
        await asyncio.sleep(SAMPLE_S)
    await upload
    return highest - before


def _percentile_ms(times_s: list[float], share: float) -> float:
    ordered = sorted(times_s)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))] * 1000


def main() -> None:
    """Run the measurement."""
    with Fleet() as fleet:
        port_by_way, daemon = _start(fleet)
        process_id = fleet.process_by_name[DAEMON].pid
        times = _latencies(fleet, port_by_way)
        per_s, cpu_per_call_us = _throughputs(fleet, port_by_way)
        rss = rss_mb(process_id)
        growth = uvloop.run(_upload_growth_mb(daemon.callers, process_id))
    p50 = {way: _percentile_ms(each, 0.50) for way, each in times.items()}
    p99 = {way: _percentile_ms(each, 0.99) for way, each in times.items()}
    added = p99[DAEMON] - p99["direct"]
    result = {
        "calls": sum(len(each) for each in times.values()),
        "added_p99_ms": round(added, 3),
        "added_p99_over_forwarder": round(added / (p99[FORWARDER] - p99["direct"]), 3),
        "added_p50_ms": round(p50[DAEMON] - p50["direct"], 3),
        "added_p50_over_forwarder": round(
            (p50[DAEMON] - p50["direct"]) / (p50[FORWARDER] - p50["direct"]), 3
        ),
        "p99_ms": {way: round(each, 3) for way, each in p99.items()},
        "throughput_over_forwarder": round(per_s[DAEMON] / per_s[FORWARDER], 3),
        "throughput_per_s": {way: round(each) for way, each in per_s.items()},
        "cpu_us_per_call": {way: round(each) for way, each in cpu_per_call_us.items()},
        "upload_rss_growth_mb": round(growth, 1),
        "rss_mb": round(rss, 1),
    }
    save_result("path", result)


if __name__ == "__main__":
    main()
