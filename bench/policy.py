"""Compares routing policies with daemon processes, fake upstreams and callers over loopback.

Usage: python -m bench.policy [--short] [--only-late-binding] [--with-more-baselines]

Every policy gets the same arrivals and the same slow periods, from the same seeds. Baselines spread
calls over all instances, as callers without home sets would, and send no hedges; `least_homes` is
the best of them with home sets. `best_possible` is a single dispatcher that sends directly to the
upstreams and knows their speed (`bench.told_speed`). Absolute times depend on what else the machine
runs, so that only the ratios within one run are comparable. The last line is JSON.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from contextlib import asynccontextmanager
from dataclasses import asdict, dataclass, field
from typing import TYPE_CHECKING, Any

import aiohttp

from bench.fake_upstream import UpstreamScript
from bench.fleet import Fleet, free_ports, save_result
from bench.load import LoadPlan
from bench.told_speed import OraclePlan
from heatherhead.configuration.editor import create_editor
from heatherhead.configuration.replica import create_replica
from heatherhead.configuration.schema import ServiceSchema
from heatherhead.settings.store import StoreSettings
from heatherhead.store.factory import create_store

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

INSTANCES = 16
UPSTREAMS = 12
SLOTS = 4
SERVICE_S = 0.010
CAPACITY_CALLS_PER_S = UPSTREAMS * SLOTS / SERVICE_S
SLOW_EVERY_S = 2.0
LOAD_FRACTIONS = (0.5, 0.7)
OVERLOAD_FACTOR = 1.5
OVERLOAD_DEADLINE_MS = 300
UPSTREAM_PROCESSES = 3
LOAD_PROCESSES = 4
RUN_S = 5.0
SHORT_RUN_S = 3.0
WARM_UP_S = 1.5
SLOW_PERIODS_LEAD_S = 0.5
SERVICE = "stock"
HEDGE_SHARE = 0.05
ALL_INSTANCES_AS_HOMES = {"homes_minimum": INSTANCES, "homes_maximum": INSTANCES}
NO_HEDGES = {"hedge_factor": 100}
POLICIES: dict[str, dict[str, Any]] = {
    "late_binding": {"policy": "late_binding"},
    "least": {"policy": "least_in_flight", **ALL_INSTANCES_AS_HOMES, **NO_HEDGES},
    "random": {"policy": "random", **ALL_INSTANCES_AS_HOMES, **NO_HEDGES},
}
EXTRA_BASELINES: dict[str, dict[str, Any]] = {
    "least_homes": {"policy": "least_in_flight", **NO_HEDGES},
    "least_hedged": {"policy": "least_in_flight", **ALL_INSTANCES_AS_HOMES},
    "round_robin": {"policy": "round_robin", **ALL_INSTANCES_AS_HOMES, **NO_HEDGES},
    "two_choices": {"policy": "two_choices", **ALL_INSTANCES_AS_HOMES, **NO_HEDGES},
}
FAULTS = ("fail_fast", "draining", "lying", "cold")


@dataclass(slots=True)
class RunResult:
    """Merged results of the callers and daemons of one run; `times` are sorted, in seconds."""

    times: list[float]
    counts: dict[str, int]
    skipped: int
    daemon_counters: dict[str, float] = field(default_factory=dict)
    upstream_calls: int = 0

    def percentile_ms(self, quantile: float) -> float:
        """Return a quantile of the latency of answered calls in milliseconds."""
        if not self.times:
            return 0.0
        return self.times[min(len(self.times) - 1, int(len(self.times) * quantile))] * 1000

    @property
    def answered(self) -> int:
        """Number of calls answered with 200."""
        return self.counts.get("200", 0)

    @property
    def calls(self) -> int:
        """Number of all calls, skipped ones included."""
        return sum(self.counts.values()) + self.skipped


@dataclass(slots=True)
class DaemonFleet:
    """The daemons of one policy and their ports."""

    name: str
    callers_ports: list[int]
    admin_ports: list[int]
    peers_ports: list[int]

    @property
    def entry_urls(self) -> list[str]:
        """URLs at which callers ask for addresses."""
        return [f"http://127.0.0.1:{port}" for port in self.callers_ports]


class PolicyBench:
    """Runs load against shared upstreams through a fleet of daemons for each policy."""

    def __init__(self, fleet: Fleet, session: aiohttp.ClientSession, run_s: float) -> None:
        self.fleet = fleet
        self.session = session
        self.run_s = run_s
        self.scripts = [
            UpstreamScript(port=port, slots=SLOTS, service_s=SERVICE_S, seed=index + 1)
            for index, port in enumerate(free_ports(UPSTREAMS))
        ]
        self.store_url = ""
        self._runs = 0

    async def start(self) -> None:
        """Start the upstreams and the store."""
        for index in range(UPSTREAM_PROCESSES):
            scripts = self.scripts[index::UPSTREAM_PROCESSES]
            self.fleet.start_upstreams(f"upstreams-{index}", scripts)
        self.store_url = self._start_fake("fake_store", "store")
        await self._put_service()

    async def start_daemons(self, name: str, routing: dict[str, Any]) -> DaemonFleet:
        """Start a fleet with these settings and wait until every daemon sees all as live."""
        ports = free_ports(3 * INSTANCES)
        daemons = DaemonFleet(
            name, ports[:INSTANCES], ports[INSTANCES : 2 * INSTANCES], ports[2 * INSTANCES :]
        )
        list_url = self._start_fake("fake_instance_list", f"{name}-list")
        await self._publish_list(daemons, list_url)
        for index in range(INSTANCES):
            settings = self._settings(daemons, index, routing, list_url)
            path = self.fleet.write_json(f"{name}-{index}.json", settings)
            arguments = ["bench.policy_daemon", str(path), str(daemons.admin_ports[index])]
            self.fleet.start(f"{name}-{index}", arguments)
        await self._wait_live(daemons)
        return daemons

    def stop_daemons(self, daemons: DaemonFleet) -> None:
        """Kill the daemons of a fleet."""
        for index in range(INSTANCES):
            self.fleet.kill(f"{daemons.name}-{index}")

    async def run(
        self, daemons: DaemonFleet, load: float, *, deadline_ms: int = 0, slow: bool = True
    ) -> RunResult:
        """Send one open-loop load and return its merged results."""
        epoch = await self._restart_slow_periods(slow)
        before = await self._stats(daemons)
        plans = []
        for index in range(LOAD_PROCESSES):
            plan = LoadPlan(
                entry_urls=daemons.entry_urls,
                service=SERVICE,
                rate=load * CAPACITY_CALLS_PER_S / LOAD_PROCESSES,
                duration_s=self.run_s,
                warm_up_s=WARM_UP_S,
                seed=index + 1,
                deadline_ms=deadline_ms,
                max_in_flight=4_000,
            )
            plans.append(("bench.load", asdict(plan)))
        result = await self._run_plans(plans)
        elapsed_s = time.monotonic() - epoch
        result.daemon_counters = _difference(before, await self._stats(daemons))
        result.daemon_counters["elapsed_s"] = elapsed_s
        result.upstream_calls = sum(each["calls"] for each in await self._upstream_states())
        return result

    async def run_oracle(self, load: float) -> RunResult:
        """Send the load through the oracle dispatcher, which knows every upstream's speed."""
        epoch = await self._restart_slow_periods(slow=True)
        for script in self.scripts:
            script.epoch = epoch
            script.slow_every_s = SLOW_EVERY_S
        scripts = [asdict(each) for each in self.scripts]
        plan = OraclePlan(scripts, load * CAPACITY_CALLS_PER_S, self.run_s, WARM_UP_S)
        return await self._run_plans([("bench.told_speed", asdict(plan))])

    async def switch_faults(self, on: bool) -> None:
        """Switch one of `FAULTS` on or off at each of the first upstreams."""
        for script, fault in zip(self.scripts, FAULTS, strict=False):
            await self.post(script, "/__fault", {fault: on})

    async def _run_plans(self, plans: list[tuple[str, dict[str, Any]]]) -> RunResult:
        self._runs += 1
        names = []
        for index, (module, plan) in enumerate(plans):
            name = f"load-{self._runs}-{index}"
            path = self.fleet.write_json(f"{name}.json", plan)
            self.fleet.start(name, [module, str(path)])
            names.append(name)
        merged = RunResult([], {}, 0)
        for name in names:
            process = self.fleet.process_by_name.pop(name)
            await asyncio.to_thread(process.wait)
            document = json.loads(self.fleet.output(name).strip().splitlines()[-1])
            merged.times += document["times"]
            merged.skipped += document["skipped"]
            for outcome, count in document["counts"].items():
                merged.counts[outcome] = merged.counts.get(outcome, 0) + count
        merged.times.sort()
        return merged

    async def _restart_slow_periods(self, slow: bool) -> float:
        epoch = time.monotonic() + SLOW_PERIODS_LEAD_S
        changes = {"epoch": epoch, "slow_every_s": SLOW_EVERY_S if slow else 0.0}
        for script in self.scripts:
            await self.post(script, "/__spells", changes)
        return epoch

    async def post(self, script: UpstreamScript, path: str, changes: dict[str, Any]) -> None:
        """Post changes to a control path of an upstream."""
        url = f"http://{script.host}:{script.port}{path}"
        async with self.session.post(url, json=changes) as answer:
            await answer.read()

    async def _upstream_states(self) -> list[dict[str, Any]]:
        states = []
        for script in self.scripts:
            url = f"http://{script.host}:{script.port}/__state"
            async with self.session.get(url) as answer:
                states.append(await answer.json())
        return states

    def _start_fake(self, module: str, name: str) -> str:
        self.fleet.start(name, [f"heatherhead.tests.{module}"])
        self.fleet.wait_for(lambda: self.fleet.output(name).strip(), name)
        return self.fleet.output(name).strip()

    async def _publish_list(self, daemons: DaemonFleet, list_url: str) -> None:
        entries = []
        for index, port in enumerate(daemons.peers_ports):
            peers = {"host": "127.0.0.1", "port": port}
            callers = {"host": "127.0.0.1", "port": daemons.callers_ports[index]}
            addresses = {"callers": callers, "peers": peers, "operators": peers}
            place = {"region": "local", "availability_zone": "local"}
            entries.append({"id": f"i{index}", **place, **addresses})
        url = list_url.replace("/instances", "/admin/instances")
        async with self.session.put(url, json={"instances": entries}) as answer:
            await answer.read()

    async def _put_service(self) -> None:
        upstreams = [
            {"id": f"u{number}", "host": each.host, "port": each.port, "slots": SLOTS}
            for number, each in enumerate(self.scripts)
        ]
        document = {
            "name": SERVICE,
            "path_prefixes": ["/"],
            "upstreams": upstreams,
            "hedge_share": HEDGE_SHARE,
        }
        store = create_store(StoreSettings(urls=(self.store_url,)))
        replica = create_replica()
        editor = create_editor(
            store, "/heatherhead/", replica, lambda record, _: replica.apply(record)
        )
        (await editor.put(ServiceSchema.model_validate(document), 0, "bench")).unwrap()
        await store.close()

    def _settings(
        self, daemons: DaemonFleet, index: int, routing: dict[str, Any], list_url: str
    ) -> dict[str, Any]:
        return {
            "instance": {"id": f"i{index}"},
            "callers": {
                "listen": {"port": daemons.callers_ports[index]},
                "addresses_count": INSTANCES,
                "addresses_keep_s": 2,
            },
            "operators": {"listen": {"port": 0}},
            "membership": {
                "listen": {"port": daemons.peers_ports[index]},
                "instance_list_url": list_url,
            },
            "telemetry": {"log_level": "WARNING"},
            "routing": routing,
            "store": {"urls": [self.store_url]},
        }

    async def _wait_live(self, daemons: DaemonFleet) -> None:
        deadline = time.monotonic() + 40
        while time.monotonic() < deadline:
            stats = await self.all_stats(daemons)
            if all(each.get("live") == INSTANCES and each["ready"] for each in stats):
                return
            await asyncio.sleep(0.2)
        raise TimeoutError(
            f"not all daemons of {daemons.name} see each other; logs are in {self.fleet.directory}"
        )

    async def all_stats(self, daemons: DaemonFleet) -> list[dict[str, Any]]:
        """Return the counters of all daemons of a fleet."""
        return await asyncio.gather(*(self._stats_of(port) for port in daemons.admin_ports))

    async def _stats_of(self, port: int) -> dict[str, Any]:
        try:
            async with self.session.get(f"http://127.0.0.1:{port}/stats") as answer:
                return await answer.json()
        except aiohttp.ClientError:
            return {"ready": False}

    async def _stats(self, daemons: DaemonFleet) -> dict[str, float]:
        total: dict[str, float] = {}
        for each in await self.all_stats(daemons):
            values = {
                name: value
                for name, value in each.items()
                if name.endswith(("bytes", "regions", "cpu_s"))
            }
            for name, value in {**values, **each["counts"]}.items():
                total[name] = total.get(name, 0) + value
        return total


def _difference(before: dict[str, float], after: dict[str, float]) -> dict[str, float]:
    return {name: value - before.get(name, 0) for name, value in after.items()}


async def measure(bench: PolicyBench, policies: dict[str, dict[str, Any]]) -> dict[str, Any]:
    """Run all policies under each load and compute the figures."""
    results: dict[tuple[str, float], RunResult] = {}
    faulty: dict[str, RunResult] = {}
    fleets = [await bench.start_daemons(name, each) for name, each in policies.items()]
    await bench.run(fleets[0], LOAD_FRACTIONS[0])
    for load in LOAD_FRACTIONS:
        results["best_possible", load] = await bench.run_oracle(load)
        _print_result("best_possible", f"{load:.0%}", results["best_possible", load])
        for daemons in fleets:
            results[daemons.name, load] = await bench.run(daemons, load)
            _print_result(daemons.name, f"{load:.0%}", results[daemons.name, load])
    await bench.switch_faults(True)
    for daemons in fleets:
        faulty[daemons.name] = await bench.run(daemons, LOAD_FRACTIONS[0])
        _print_result(daemons.name, "faults", faulty[daemons.name])
    await bench.switch_faults(False)
    for daemons in fleets[1:]:
        bench.stop_daemons(daemons)
    overload = await bench.run(
        fleets[0], OVERLOAD_FACTOR, deadline_ms=OVERLOAD_DEADLINE_MS, slow=False
    )
    _print_result(fleets[0].name, "overload", overload)
    return _figures(bench, results, faulty, overload)


def _print_result(name: str, scenario: str, result: RunResult) -> None:
    print(
        f"{name:14} {scenario:>8}  p50 {result.percentile_ms(0.5):7.1f}  "
        f"p95 {result.percentile_ms(0.95):7.1f}  p99 {result.percentile_ms(0.99):7.1f}  "
        f"p99.9 {result.percentile_ms(0.999):7.1f} ms  {result.counts}  skipped {result.skipped}  "
        f"{ {key: round(value) for key, value in sorted(result.daemon_counters.items()) if value} }",
        flush=True,
    )


def _figures(
    bench: PolicyBench,
    results: dict[tuple[str, float], RunResult],
    faulty: dict[str, RunResult],
    overload: RunResult,
) -> dict[str, Any]:
    figures: dict[str, Any] = {"p99_ms": {}}
    for (name, load), result in results.items():
        figures["p99_ms"][f"{name}@{load:.0%}"] = round(result.percentile_ms(0.99), 1)
    for name, result in faulty.items():
        figures["p99_ms"][f"{name}@faults"] = round(result.percentile_ms(0.99), 1)
    for other in ("least", "random", "best_possible"):
        if (other, LOAD_FRACTIONS[0]) not in results:
            continue
        figures[f"p99_ratio_to_{other}"] = {
            f"{load:.0%}": _ratio(results["late_binding", load], results[other, load])
            for load in LOAD_FRACTIONS
        }
    for other in ("least", "random"):
        if other not in faulty:
            continue
        ratio = _ratio(faulty["late_binding"], faulty[other])
        figures[f"p99_ratio_to_{other}"]["faults"] = ratio
    figures["failed_share_with_faults"] = {
        name: round(1 - each.answered / max(1, each.calls), 4) for name, each in faulty.items()
    }
    late_binding_runs = {f"{load:.0%}": results["late_binding", load] for load in LOAD_FRACTIONS}
    late_binding_runs["faults"] = faulty["late_binding"]
    for label, result in late_binding_runs.items():
        for key, value in _costs(result).items():
            figures.setdefault(key, {})[label] = value
    figures["attempts_per_call"] = _attempts_per_call(overload)
    figures["goodput_at_overload"] = round(
        overload.answered / bench.run_s / CAPACITY_CALLS_PER_S, 3
    )
    figures["late_at_overload"] = round(_late_share(overload), 4)
    return figures


def _ratio(one: RunResult, other: RunResult) -> float:
    return round(one.percentile_ms(0.99) / max(0.001, other.percentile_ms(0.99)), 3)


def _costs(result: RunResult) -> dict[str, float]:
    seconds = result.daemon_counters["elapsed_s"]
    calls = max(1, result.upstream_calls)
    return {
        "hedge_share": round(result.daemon_counters.get("hedges", 0) / calls, 4),
        "measuring_bytes_per_call": round(result.daemon_counters["measuring_bytes"] / calls, 3),
        "measuring_bytes_between_regions": result.daemon_counters[
            "measuring_bytes_between_regions"
        ],
        "control_kb_per_second": round(
            (result.daemon_counters["control_bytes"] + result.daemon_counters["measuring_bytes"])
            / seconds
            / INSTANCES
            / 1000,
            3,
        ),
    }


def _attempts_per_call(result: RunResult) -> float:
    extra_attempts = result.daemon_counters.get("hedges", 0) + result.daemon_counters.get(
        "retries", 0
    )
    return round(1 + extra_attempts / max(1, result.upstream_calls - extra_attempts), 4)


def _late_share(result: RunResult) -> float:
    late = sum(1 for each in result.times if each * 1000 > OVERLOAD_DEADLINE_MS)
    return late / max(1, len(result.times))


@asynccontextmanager
async def _bench(run_s: float) -> AsyncIterator[PolicyBench]:
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    with Fleet() as fleet:
        async with aiohttp.ClientSession(connector=connector) as session:
            bench = PolicyBench(fleet, session, run_s)
            await bench.start()
            yield bench


async def _main(arguments: list[str]) -> None:
    run_s = SHORT_RUN_S if "--short" in arguments else RUN_S
    policies = dict(POLICIES)
    if "--only-late-binding" in arguments:
        policies = {"late_binding": POLICIES["late_binding"]}
    if "--with-more-baselines" in arguments:
        policies.update(EXTRA_BASELINES)
    began = time.monotonic()
    async with _bench(run_s) as bench:
        figures = await measure(bench, policies)
    figures["rig_s"] = round(time.monotonic() - began, 1)
    save_result("policy", figures)


if __name__ == "__main__":
    asyncio.run(_main(sys.argv[1:]))
