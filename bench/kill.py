"""Measures keyed orders from resending callers while daemons and upstreams leave and fail.

Run as `make bench-kill`, or `python -m bench.kill SEED`. In the first phase daemons and upstreams
only shut down gracefully, which must not disturb any order; in the second phase they are killed and
paused as well. Runs are counted from the files to which the upstreams append before they run a
call, so that a killed upstream's runs are counted too. The last line is JSON.
"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from random import Random
from typing import TYPE_CHECKING, Any

import aiohttp
import uvloop

from bench.fake_upstream import UpstreamScript
from bench.faults import (
    FaultRun,
    drain_upstream,
    inject_faults,
    kill_daemon,
    kill_upstream,
    leave_daemon,
    pause_daemon,
    pause_upstream,
    wait_ready,
)
from bench.fleet import DaemonPorts, Fleet, free_ports, save_result
from bench.orders import CALL_TIMEOUT_S, Order, OrderingCaller, OrderLog, OrderState
from heatherhead.configuration.editor import create_editor
from heatherhead.configuration.replica import create_replica
from heatherhead.configuration.schema import ServiceSchema
from heatherhead.settings.store import StoreSettings
from heatherhead.store.factory import create_store

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

DAEMONS = 4
UPSTREAMS = 8
CALLERS = 60
MEAN_CALLER_PAUSE_S = 0.25
ANSWER_BYTES = 1024
SERVICE_S = 0.010
ADDRESSES_KEEP_S = 2.0
GRACEFUL_PHASE_S = 16.0
FAULT_PHASE_S = 26.0
DEFAULT_SEED = 20_261
EXIT_CHECK_FAILED = 1


async def _start(fleet: Fleet, session: aiohttp.ClientSession, seed: int) -> FaultRun:
    ports = free_ports(3 * DAEMONS + UPSTREAMS)
    daemons = [DaemonPorts(f"d{n}", *ports[3 * n : 3 * n + 3]) for n in range(DAEMONS)]
    upstreams = [
        UpstreamScript(
            port=port,
            service_s=SERVICE_S,
            answer_bytes=ANSWER_BYTES,
            run_log=str(fleet.directory / f"u{index}.runs"),
        )
        for index, port in enumerate(ports[3 * DAEMONS :])
    ]
    run = FaultRun(fleet, session, Random(seed), daemons, upstreams)
    for name in ("fake_store", "fake_instance_list"):
        fleet.start(name, [f"heatherhead.tests.{name}"])
        fleet.wait_for(lambda each=name: fleet.output(each).strip(), name)
    store_url, list_url = (
        fleet.output(name).strip() for name in ("fake_store", "fake_instance_list")
    )
    for index, script in enumerate(upstreams):
        fleet.start_upstreams(f"u{index}", [script])
    await _store_service(run, store_url)
    await _publish_instance_list(run, list_url)
    for daemon in daemons:
        run.settings[daemon.id] = _settings(daemon, store_url, list_url)
        fleet.start_daemon(daemon, run.settings[daemon.id])
    for daemon in daemons:
        await wait_ready(run, daemon)
    return run


def _settings(daemon: DaemonPorts, store_url: str, list_url: str) -> dict[str, Any]:
    return {
        "instance": {"id": daemon.id},
        "callers": {"listen": {"port": daemon.callers}, "addresses_keep_s": ADDRESSES_KEEP_S},
        "operators": {"listen": {"port": daemon.operators}},
        "membership": {"listen": {"port": daemon.peers}, "instance_list_url": list_url},
        "store": {"urls": [store_url]},
    }


async def _store_service(run: FaultRun, store_url: str) -> None:
    store = create_store(StoreSettings(urls=(store_url,)))
    replica = create_replica()
    upstreams = [
        {"id": f"u{index}", "host": each.host, "port": each.port}
        for index, each in enumerate(run.upstreams)
    ]
    service = ServiceSchema.model_validate(
        {"name": "orders", "path_prefixes": ["/"], "upstreams": upstreams}
    )
    editor = create_editor(
        store, "/heatherhead/", replica, lambda record, _document: replica.apply(record)
    )
    (await editor.put(service, 0, "bench")).unwrap()
    await store.close()


async def _publish_instance_list(run: FaultRun, list_url: str) -> None:
    entries = [
        {
            "id": each.id,
            "region": "local",
            "availability_zone": "local",
            "callers": {"host": "127.0.0.1", "port": each.callers},
            "peers": {"host": "127.0.0.1", "port": each.peers},
            "operators": {"host": "127.0.0.1", "port": each.operators},
        }
        for each in run.daemons
    ]
    url = list_url.replace("/instances", "/admin/instances")
    async with run.session.put(url, json={"instances": entries}) as answer:
        answer.raise_for_status()


async def _run_phase(
    run: FaultRun, name: str, duration_s: float, faults: list[list[Callable[..., Awaitable[None]]]]
) -> OrderLog:
    """Send orders under faults: sequentially within each list, the lists in parallel."""
    order_log = OrderLog()
    until = asyncio.get_running_loop().time() + duration_s
    urls = [f"http://127.0.0.1:{each.callers}" for each in run.daemons]
    callers = [
        OrderingCaller(
            f"{name}{index}", run.session, urls, Random(run.rng.random()), order_log, ANSWER_BYTES
        )
        for index in range(CALLERS)
    ]
    async with asyncio.TaskGroup() as tasks:
        for kinds in faults:
            tasks.create_task(inject_faults(run, until - ADDRESSES_KEEP_S, kinds))
        for caller in callers:
            tasks.create_task(caller.run(until, MEAN_CALLER_PAUSE_S))
    return order_log


def _runs_by_id(run: FaultRun) -> Counter[str]:
    counts: Counter[str] = Counter()
    for path in run.fleet.directory.glob("u*.runs"):
        counts.update(path.read_text(encoding="utf-8").split())
    return counts


def _done_share_during_outages(run: FaultRun, orders: list[Order]) -> float:
    during = [
        order for order in orders if any(a <= order.started_at <= b for a, b in run.daemon_outages)
    ]
    return sum(each.state is OrderState.DONE for each in during) / max(1, len(during))


def _result(run: FaultRun, seed: int, graceful: OrderLog, faulty: OrderLog) -> dict[str, Any]:
    runs = _runs_by_id(run)
    orders = [*graceful.orders, *faulty.orders]
    runs_by_order = [sum(runs[each] for each in order.run_ids) for order in orders]
    states = Counter(order.state.value for order in orders)
    done = [order for order in orders if order.state is OrderState.DONE]
    return {
        "seed": seed,
        "orders": len(orders),
        "reads": graceful.reads + faulty.reads,
        "faults": dict(sorted(run.fault_counts.items())),
        "ran_twice": sum(count > 1 for count in runs_by_order),
        "told_not_run_but_ran": sum(
            runs[each] > 0 for order in orders for each in order.not_run_ids
        ),
        "told_done_but_not_ran": sum(
            not any(runs[each] for each in order.run_ids) for order in done
        ),
        "cut_by_leaving": sum(
            bool(order.broken_connections) or order.state is not OrderState.DONE
            for order in graceful.orders
        )
        + graceful.reads
        - graceful.reads_done,
        "wrong_or_partial_answers": graceful.wrong_answers + faulty.wrong_answers,
        "unknown_share": round(states["unknown"] / len(orders), 5),
        "done_share": round(states["done"] / len(orders), 5),
        "done_share_one_daemon_down": round(_done_share_during_outages(run, faulty.orders), 5),
        "reads_done_share": round(
            (graceful.reads_done + faulty.reads_done) / (graceful.reads + faulty.reads), 5
        ),
    }


async def _run(fleet: Fleet, seed: int) -> dict[str, Any]:
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
        run = await _start(fleet, session, seed)
        graceful = await _run_phase(
            run, "leaving", GRACEFUL_PHASE_S, [[leave_daemon], [drain_upstream]]
        )
        faulty = await _run_phase(
            run,
            "failing",
            FAULT_PHASE_S,
            [
                [kill_daemon],
                [pause_daemon, leave_daemon],
                [drain_upstream, kill_upstream, pause_upstream],
                [kill_upstream, pause_upstream],
            ],
        )
        return _result(run, seed, graceful, faulty)


def main() -> None:
    """Run with the seed of the command line or the default; exit with 1 if a check fails."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_SEED
    print(f"seed {seed}", flush=True)
    with Fleet() as fleet:
        result = uvloop.run(_run(fleet, seed))
    save_result("kill", result)
    violations = ("ran_twice", "told_not_run_but_ran", "cut_by_leaving", "wrong_or_partial_answers")
    sys.exit(EXIT_CHECK_FAILED if any(result[each] for each in violations) else 0)


if __name__ == "__main__":
    main()
