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
  --keep=DIR         Where the logs of failed seeds go [default: bench/out/soak].

Every fifth seed has planned work only: instances that stop, back ends that drain, configurations.
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
from soak.faults import PLANNED, UNPLANNED, bring_about
from soak.promises import broken_promises
from soak.world import create_world

__all__ = ["Plan", "Report", "main", "run_seed"]

ROWS = 3  # of faults that overlap
PLANNED_EVERY = 5  # seeds
SEEDS_FILE = Path(__file__).parent / "seeds.txt"
EXIT_BROKEN = 1


@dataclass(frozen=True)
class Plan:
    """The size and length of a run."""

    daemons: int
    backends: int
    callers: int
    faults_s: float
    quiet_s: float


@dataclass
class Report:
    """What came of a run."""

    seed: int
    attempts: int = 0
    served: int = 0
    faults: Counter[str] = field(default_factory=Counter)
    broken: list[str] = field(default_factory=list)


async def run_seed(seed: int, plan: Plan, directory: Path, base_ip: str) -> Report:
    """Play one seed."""
    rng = Random(seed)
    report = Report(seed)
    planned_only = seed % PLANNED_EVERY == 0
    world = await create_world(directory, rng, base_ip, plan.daemons, plan.backends)
    callers = Callers(world, Random(seed + 1))
    loop = asyncio.get_running_loop()
    try:
        await world.start()
        began = loop.time()
        kinds = PLANNED if planned_only else UNPLANNED
        calling = asyncio.create_task(
            callers.run(plan.callers, began + plan.faults_s + plan.quiet_s)
        )
        until = began + plan.faults_s
        rows = 1 if planned_only else ROWS
        await asyncio.gather(
            *(bring_about(world, kinds, until, report.faults) for _ in range(rows))
        )
        world.store.faults.clear()
        calm_from = time.time()
        await calling
    finally:
        await world.stop()
    report.broken = list(broken_promises(world, callers, calm_from, planned_only))
    report.attempts = len(callers.attempt_by_id)
    report.served = sum(each.status == 200 for each in callers.attempt_by_id.values())
    return report


def _seeds(text: str) -> list[int]:
    if text == "kept":
        lines = SEEDS_FILE.read_text().splitlines()
        return [int(line.split()[0]) for line in lines if line and not line.startswith("#")]
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


async def _play(seeds: list[int], plan: Plan, side_by_side: int, keep: Path) -> list[Report]:
    slots = asyncio.Semaphore(side_by_side)
    reports = []

    async def play(seed: int) -> None:
        async with slots:
            directory = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
            base_ip = f"127.{1 + os.getpid() % 250}.{seed % 250}"
            report = await run_seed(seed, plan, directory, base_ip)
            reports.append(report)
            _print(report)
            if report.broken:
                shutil.copytree(directory, keep / str(seed), dirs_exist_ok=True)
            shutil.rmtree(directory)

    await asyncio.gather(*(play(seed) for seed in seeds))
    return reports


def _print(report: Report) -> None:
    faults = ",".join(f"{name}:{count}" for name, count in sorted(report.faults.items()))
    print(
        f"seed={report.seed} attempts={report.attempts} served={report.served}"
        f" broken={len(report.broken)} faults={faults}",
        flush=True,
    )
    for line in report.broken[:10]:
        print(f"  {line}", flush=True)


def main(arguments: list[str]) -> int:
    """Play seeds and tell what was broken."""
    options = docopt.docopt(__doc__, arguments)
    plan = Plan(
        int(options["--daemons"]),
        int(options["--backends"]),
        int(options["--callers"]),
        float(options["--faults-s"]),
        float(options["--quiet-s"]),
    )
    reports = asyncio.run(
        _play(
            _seeds(options["--seeds"]),
            plan,
            int(options["--side-by-side"]),
            Path(options["--keep"]),
        )
    )
    broken = [report.seed for report in reports if report.broken]
    faults = sum((report.faults for report in reports), Counter())
    attempts = sum(report.attempts for report in reports)
    print(f"seeds={len(reports)} attempts={attempts} faults={faults.total()} failed_seeds={broken}")
    return EXIT_BROKEN if broken else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
