"""Demonstration: reads and keyed orders through one daemon while one of four upstreams is killed.

Run as `make demo`. It prints a table with a row for each second, and the outcomes of the orders.
"""

from __future__ import annotations

import asyncio
import json
import sys
import urllib.request
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import uvloop

from bench.fake_upstream import RUN_ID_HEADER, UpstreamScript
from bench.fleet import DaemonPorts, Fleet, free_ports, standalone_daemon_settings

SECONDS = 8
READS_PER_S = 150
ORDERS_PER_S = 20
KILL_AT_S = 3
RESTART_AT_S = 6
UPSTREAMS = 4
SERVICE_S = 0.010
EXIT_CHECK_FAILED = 1


@dataclass(slots=True)
class SecondRow:
    """Calls and events of one second."""

    reads: Counter[int] = field(default_factory=Counter)
    times_s: list[float] = field(default_factory=list)
    orders: Counter[str] = field(default_factory=Counter)
    event: str = ""


@dataclass(slots=True)
class Demo:
    """The running processes and the rows of the table."""

    fleet: Fleet
    daemon: DaemonPorts
    scripts: list[UpstreamScript]
    rows: list[SecondRow]
    grant: str = ""
    order_answers: dict[str, list[str]] = field(default_factory=dict)

    @property
    def url(self) -> str:
        """URL of the daemon's listener for callers."""
        return f"http://127.0.0.1:{self.daemon.callers}"


def create_demo(fleet: Fleet) -> Demo:
    """Start the upstreams and the daemon."""
    callers, operators, peers, *upstream_ports = free_ports(3 + UPSTREAMS)
    scripts = [UpstreamScript(port=port, service_s=SERVICE_S) for port in upstream_ports]
    for index, script in enumerate(scripts):
        fleet.start_upstreams(f"stock-{index + 1}", [script])
    daemon = DaemonPorts("demo", callers, operators, peers)
    fleet.start_daemon(daemon, _settings(daemon, scripts))
    fleet.wait_ready(daemon)
    return Demo(fleet, daemon, scripts, [SecondRow() for _ in range(SECONDS)])


def _settings(daemon: DaemonPorts, scripts: list[UpstreamScript]) -> dict[str, Any]:
    upstreams = [
        {"id": f"stock-{index + 1}", "host": script.host, "port": script.port}
        for index, script in enumerate(scripts)
    ]
    service = {"name": "stock", "path_prefixes": ["/"], "upstreams": upstreams}
    return standalone_daemon_settings(daemon, service)


async def run_demo(demo: Demo) -> None:
    """Send reads and orders for `SECONDS` while an upstream is killed and restarted."""
    async with aiohttp.ClientSession() as session:
        demo.grant = await _fetch_grant(demo, session)
        loop = asyncio.get_running_loop()
        start = loop.time()
        tasks = [
            asyncio.create_task(_read_at(demo, session, start + index / READS_PER_S, start))
            for index in range(SECONDS * READS_PER_S)
        ]
        tasks += [
            asyncio.create_task(_order_at(demo, session, start + index / ORDERS_PER_S, start))
            for index in range(SECONDS * ORDERS_PER_S)
        ]
        await _kill_and_restart(demo, start)
        await asyncio.gather(*tasks)


async def _fetch_grant(demo: Demo, session: aiohttp.ClientSession) -> str:
    async with session.get(f"{demo.url}/v1/addresses", params={"service": "stock"}) as answer:
        document = await answer.json()
        return str(document["grant"])


async def _read_at(demo: Demo, session: aiohttp.ClientSession, at: float, start: float) -> None:
    loop = asyncio.get_running_loop()
    await asyncio.sleep(at - loop.time())
    row = demo.rows[int(at - start)]
    async with session.get(f"{demo.url}/stock") as answer:
        await answer.read()
        row.reads[answer.status] += 1
        row.times_s.append(loop.time() - at)


async def _order_at(demo: Demo, session: aiohttp.ClientSession, at: float, start: float) -> None:
    """Send one order twice with the same key, as a caller that got no answer would."""
    await asyncio.sleep(at - asyncio.get_running_loop().time())
    row = demo.rows[int(at - start)]
    order = f"order-{round((at - start) * ORDERS_PER_S)}"
    headers = {"Idempotency-Key": f"{demo.grant}.{order}", RUN_ID_HEADER: order}
    for _ in range(2):
        async with session.post(f"{demo.url}/orders", headers=headers, data=b"crisps") as answer:
            body = await answer.read()
            outcome = "done" if answer.status == 200 else str(json.loads(body)["outcome"])
            demo.order_answers.setdefault(order, []).append(outcome)
    row.orders[outcome] += 1


async def _kill_and_restart(demo: Demo, start: float) -> None:
    loop = asyncio.get_running_loop()
    await asyncio.sleep(start + KILL_AT_S - loop.time())
    demo.fleet.kill("stock-1")
    demo.rows[KILL_AT_S].event = "stock-1 killed"
    await asyncio.sleep(start + RESTART_AT_S - loop.time())
    await asyncio.to_thread(demo.fleet.start_upstreams, "stock-1", [demo.scripts[0]])
    demo.rows[RESTART_AT_S].event = "stock-1 back"


def print_table(demo: Demo) -> None:
    """Print a row for each second."""
    print(f"{'second':>6} {'reads':>6} {'not 200':>8} {'median':>8} {'99th':>8}  orders")
    for second, row in enumerate(demo.rows):
        failed = sum(count for status, count in row.reads.items() if status != 200)
        median, p99 = (_percentile_ms(row.times_s, quantile) for quantile in (0.50, 0.99))
        orders = ", ".join(f"{count} {name}" for name, count in sorted(row.orders.items()))
        print(
            f"{second:>6} {row.reads.total():>6} {failed:>8} {median:>6.1f}ms {p99:>6.1f}ms  "
            f"{orders:<24} {row.event}"
        )


def _percentile_ms(times_s: list[float], quantile: float) -> float:
    ordered = sorted(times_s)
    return ordered[int(quantile * (len(ordered) - 1))] * 1000 if ordered else 0.0


def check_orders(demo: Demo) -> bool:
    """Return whether the upstreams that were not killed ran no order twice; print the outcomes."""
    runs: Counter[str] = Counter()
    for script in demo.scripts[1:]:
        with urllib.request.urlopen(f"http://127.0.0.1:{script.port}/__state") as answer:
            runs.update(json.loads(answer.read())["runs_by_id"])
    repeated_orders = [order for order, count in runs.items() if count > 1]
    outcomes = Counter(answers[-1] for answers in demo.order_answers.values())
    print(f"orders sent twice each: {len(demo.order_answers)}, told: {dict(outcomes)}")
    print(f"orders that ran more than once: {len(repeated_orders)}")
    return not repeated_orders


def main() -> None:
    """Run the demonstration; exit with 1 if an order ran twice."""
    with Fleet() as fleet:
        demo = create_demo(fleet)
        uvloop.run(run_demo(demo))
        print_table(demo)
        if not check_orders(demo):
            sys.exit(EXIT_CHECK_FAILED)


if __name__ == "__main__":
    main()
