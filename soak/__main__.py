"""Runs the soak: real daemons under faults, with promises checked from both sides.

Usage:
  soak [options]

Options:
  --seeds=RANGE      First and last seed, such as 1-50; "kept" for those of soak/seeds.txt.
                     [default: 1-4]
  --side-by-side=N   Runs at the same time [default: 1].
  --daemons=N        Daemons of a run [default: 4].
  --backends=N       Back ends of a run [default: 6].
  --callers=N        Callers of a run [default: 12].
  --faults-s=S       Seconds with faults [default: 8].
  --quiet-s=S        Seconds after them; recovery is judged from the 15th on [default: 17].
  --earlier=DIR      Checkout of an earlier version; the daemons run it until they are started again.
  --keep=DIR         Where the logs of failed seeds go [default: bench/out/soak].

Every fifth seed has planned work only: instances that stop, back ends that drain, configurations.
In all but every third, back ends write answers twice meanwhile. In every second and every third,
they refuse requests, write refusals twice and start again. In two of four, callers send an order
that was refused again under its id. In one of four, there are customers: callers send keys that are added
and removed meanwhile, wrong ones and none, and one route needs none.
The exit code is 1 if a promise was broken.
"""

from __future__ import annotations

import asyncio
import os
import shutil
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import docopt

from soak.callers import Callers
from soak.customers import create_customers
from soak.faults import (
    ALL_FAULTS,
    PLANNED_EVENTS,
    change_keys,
    inject_faults,
    refuse,
    start_again,
    stutter,
)
from soak.invariants import count_events, find_violations
from soak.world import create_world

__all__ = ["Plan", "Report", "main", "run_seed"]

CONCURRENT_FAULT_SEQUENCES = 3
PLANNED_SEED_INTERVAL = 5  # seeds divisible by this inject planned events only
STEADY_SEED_INTERVAL = 3  # in seeds divisible by this no upstream stutters
REFUSING_SEED_INTERVALS = (2, 3)  # in seeds divisible by one of them upstreams refuse
RESENDING_SEED_REMAINDERS = (2, 3)  # of a division by 4: callers send refused orders again
CUSTOMER_SEED_REMAINDER = 1  # of a division by 4; an earlier build may know no customers
SEEDS_FILE = Path(__file__).parent / "seeds.txt"
VIOLATIONS_FILE = "violations.txt"  # beside the logs of a failed seed
EXIT_VIOLATIONS = 1


@dataclass(frozen=True)
class Plan:
    """The size and duration of a run."""

    daemons: int
    upstreams: int
    callers: int
    faults_s: float
    quiet_s: float
    earlier_build: Path | None = None


@dataclass
class Report:
    """The result of a run."""

    seed: int
    attempts: int = 0
    served: int = 0
    statuses: Counter[str] = field(default_factory=Counter)  # of all sends
    faults: Counter[str] = field(default_factory=Counter)
    events: Counter[str] = field(default_factory=Counter)  # of upstreams, and orders sent again
    violations: list[str] = field(default_factory=list)


async def run_seed(seed: int, plan: Plan, directory: Path, ip_prefix: str) -> Report:
    """Run one seed and check its invariants."""
    rng = Random(seed)
    report = Report(seed)
    planned_only = seed % PLANNED_SEED_INTERVAL == 0
    has_customers = seed % 4 == CUSTOMER_SEED_REMAINDER and plan.earlier_build is None
    customers = create_customers(Random(seed + 2)) if has_customers else None
    world = await create_world(
        directory, rng, ip_prefix, plan.daemons, plan.upstreams, plan.earlier_build, customers
    )
    callers = Callers(world, Random(seed + 1), resends=seed % 4 in RESENDING_SEED_REMAINDERS)
    loop = asyncio.get_running_loop()
    try:
        await world.start()
        started_at = loop.time()
        kinds = PLANNED_EVENTS if planned_only else ALL_FAULTS
        calls_task = asyncio.create_task(
            callers.run(plan.callers, started_at + plan.faults_s + plan.quiet_s)
        )
        faults_end_at = started_at + plan.faults_s
        sequences = [kinds] * (1 if planned_only else CONCURRENT_FAULT_SEQUENCES)
        if seed % STEADY_SEED_INTERVAL:
            sequences.append((stutter,))
        if any(seed % interval == 0 for interval in REFUSING_SEED_INTERVALS):
            sequences += [(refuse,), (start_again,)]
        if customers is not None:
            sequences.append((change_keys,))
        await asyncio.gather(
            *(inject_faults(world, each, faults_end_at, report.faults) for each in sequences)
        )
        world.store.faults.clear()
        faults_ended_at = time.time()
        await calls_task
    finally:
        await world.stop()
    report.violations = list(find_violations(world, callers, faults_ended_at, planned_only))
    sends = [send for each in callers.attempt_by_id.values() for send in (*each.earlier, each)]
    report.events = count_events(world)
    report.events["resent"] = len(sends) - len(callers.attempt_by_id)
    report.attempts = len(sends)
    report.statuses = Counter(str(each.status) for each in sends)
    report.served = sum(each.status == 200 for each in callers.attempt_by_id.values())
    return report


def _parse_seeds(text: str) -> list[int]:
    if text == "kept":
        lines = SEEDS_FILE.read_text().splitlines()
        return [int(line.split()[0]) for line in lines if line and not line.startswith("#")]
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


async def _run_seeds(
    seeds: list[int], plan: Plan, concurrency: int, failed_logs_directory: Path
) -> list[Report]:
    slots = asyncio.Semaphore(concurrency)
    reports = []

    async def run_and_report(seed: int) -> None:
        async with slots:
            directory = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
            ip_prefix = f"127.{1 + os.getpid() % 250}.{seed % 250}"
            report = await run_seed(seed, plan, directory, ip_prefix)
            reports.append(report)
            _print_report(report)
            if report.violations:
                (directory / VIOLATIONS_FILE).write_text("\n".join(report.violations))
                shutil.copytree(directory, failed_logs_directory / str(seed), dirs_exist_ok=True)
            shutil.rmtree(directory)

    await asyncio.gather(*(run_and_report(seed) for seed in seeds))
    return reports


def _print_report(report: Report) -> None:
    print(
        f"seed={report.seed} attempts={report.attempts} served={report.served}"
        f" broken={len(report.violations)} statuses={_format_counts(report.statuses)}"
        f" events={_format_counts(report.events)}"
        f" faults={_format_counts(report.faults)}",
        flush=True,
    )
    for line in report.violations[:10]:
        print(f"  {line}", flush=True)


def _format_counts(counts: Counter[str]) -> str:
    return ",".join(f"{name}:{count}" for name, count in sorted(counts.items()))


def main(arguments: list[str]) -> int:
    """Run seeds, print their reports and return the exit code."""
    options = docopt.docopt(__doc__, arguments)
    plan = Plan(
        int(options["--daemons"]),
        int(options["--backends"]),
        int(options["--callers"]),
        float(options["--faults-s"]),
        float(options["--quiet-s"]),
        Path(options["--earlier"]).resolve() if options["--earlier"] else None,
    )
    reports = asyncio.run(
        _run_seeds(
            _parse_seeds(options["--seeds"]),
            plan,
            int(options["--side-by-side"]),
            Path(options["--keep"]),
        )
    )
    failed = [report.seed for report in reports if report.violations]
    faults = sum((report.faults for report in reports), Counter())
    attempts = sum(report.attempts for report in reports)
    events = sum((report.events for report in reports), Counter())
    print(
        f"seeds={len(reports)} attempts={attempts} faults={faults.total()}"
        f" events={_format_counts(events)} failed_seeds={failed}"
    )
    return EXIT_VIOLATIONS if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
