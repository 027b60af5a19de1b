"""Fault injection: stops, kills, pauses and drains of daemons and upstreams under load.

The names of the fault functions are the keys of `faults` in the result.
"""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import aiohttp

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from random import Random

    from bench.fake_upstream import UpstreamScript
    from bench.fleet import DaemonPorts, Fleet

__all__ = [
    "FaultRun",
    "drain_upstream",
    "inject_faults",
    "kill_daemon",
    "kill_upstream",
    "leave_daemon",
    "pause_daemon",
    "pause_upstream",
    "wait_ready",
]

DRAIN_BEFORE_STOP_S = 2.0
READY_POLL_INTERVAL_S = 0.05


@dataclass(slots=True)
class FaultRun:
    """The processes under test and the faults that were injected into them.

    `daemon_outages` holds start and end of each period in which a killed daemon was down;
    `reserved_names` holds the processes into which a fault is being injected.
    """

    fleet: Fleet
    session: aiohttp.ClientSession
    rng: Random
    daemons: list[DaemonPorts]
    upstreams: list[UpstreamScript]
    settings: dict[str, dict[str, Any]] = field(default_factory=dict)
    fault_counts: Counter[str] = field(default_factory=Counter)
    daemon_outages: list[tuple[float, float]] = field(default_factory=list)
    reserved_names: set[str] = field(default_factory=set)

    @contextmanager
    def reserve_daemon(self) -> Iterator[DaemonPorts]:
        """Reserve a random daemon, so that no other fault is injected into it."""
        daemon = self.rng.choice(
            [each for each in self.daemons if each.id not in self.reserved_names]
        )
        self.reserved_names.add(daemon.id)
        try:
            yield daemon
        finally:
            self.reserved_names.discard(daemon.id)

    @contextmanager
    def reserve_upstream(self) -> Iterator[tuple[str, UpstreamScript]]:
        """Reserve a random upstream like `reserve_daemon`; yield its process name and script."""
        names = [f"u{index}" for index in range(len(self.upstreams))]
        name = self.rng.choice([each for each in names if each not in self.reserved_names])
        self.reserved_names.add(name)
        try:
            yield name, self.upstreams[names.index(name)]
        finally:
            self.reserved_names.discard(name)


async def wait_ready(run: FaultRun, daemon: DaemonPorts) -> None:
    """Wait until a daemon reports that it is ready."""
    while True:
        try:
            async with run.session.get(f"http://127.0.0.1:{daemon.callers}/v1/ready") as answer:
                if answer.status == 200:
                    return
        except (aiohttp.ClientError, ConnectionError, TimeoutError):
            pass
        await asyncio.sleep(READY_POLL_INTERVAL_S)


async def leave_daemon(run: FaultRun) -> None:
    """Shut a daemon down gracefully and restart it."""
    with run.reserve_daemon() as daemon:
        code = await asyncio.to_thread(run.fleet.stop, daemon.id)
        if code != 0:
            raise RuntimeError(f"graceful shutdown of {daemon.id} ended with exit code {code}")
        run.fleet.start_daemon(daemon, run.settings[daemon.id])
        await wait_ready(run, daemon)


async def kill_daemon(run: FaultRun) -> None:
    """Kill a daemon and restart it after a random delay."""
    loop = asyncio.get_running_loop()
    with run.reserve_daemon() as daemon:
        began = loop.time()
        run.fleet.kill(daemon.id)
        await asyncio.sleep(run.rng.uniform(0.2, 2.0))
        run.fleet.start_daemon(daemon, run.settings[daemon.id])
        await wait_ready(run, daemon)
        run.daemon_outages.append((began, loop.time()))


async def pause_daemon(run: FaultRun) -> None:
    """Pause a daemon with SIGSTOP for a random time."""
    with run.reserve_daemon() as daemon:
        run.fleet.signal(daemon.id, signal.SIGSTOP)
        await asyncio.sleep(run.rng.uniform(0.3, 4.0))
        run.fleet.signal(daemon.id, signal.SIGCONT)


async def drain_upstream(run: FaultRun) -> None:
    """Drain an upstream, shut it down gracefully and restart it."""
    with run.reserve_upstream() as (name, script):
        url = f"http://{script.host}:{script.port}/__fault"
        async with run.session.post(url, json={"draining": True}) as answer:
            answer.raise_for_status()
        await asyncio.sleep(DRAIN_BEFORE_STOP_S)
        await asyncio.to_thread(run.fleet.stop, name)
        await asyncio.to_thread(run.fleet.start_upstreams, name, [script])


async def kill_upstream(run: FaultRun) -> None:
    """Kill an upstream and restart it after a random delay."""
    with run.reserve_upstream() as (name, script):
        run.fleet.kill(name)
        await asyncio.sleep(run.rng.uniform(0.1, 1.0))
        await asyncio.to_thread(run.fleet.start_upstreams, name, [script])


async def pause_upstream(run: FaultRun) -> None:
    """Pause an upstream with SIGSTOP for a random time."""
    with run.reserve_upstream() as (name, _script):
        run.fleet.signal(name, signal.SIGSTOP)
        await asyncio.sleep(run.rng.uniform(0.1, 2.5))
        run.fleet.signal(name, signal.SIGCONT)


async def inject_faults(run: FaultRun, until: float, kinds: list[Callable[..., Any]]) -> None:
    """Inject random faults of these kinds sequentially; may run concurrently with itself."""
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        fault = run.rng.choice(kinds)
        await fault(run)
        run.fault_counts[fault.__name__] += 1
        await asyncio.sleep(run.rng.uniform(0.2, 0.8))
