"""What is done to daemons and upstreams while orders run."""

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
    "KillRun",
    "bring_about",
    "drain_upstream",
    "kill_daemon",
    "kill_upstream",
    "leave_daemon",
    "pause_daemon",
    "pause_upstream",
    "wait_ready",
]

DRAIN_S = 2.0
READY_POLL_S = 0.05


@dataclass(slots=True)
class KillRun:
    """The processes under test and what was done to them."""

    fleet: Fleet
    session: aiohttp.ClientSession
    rng: Random
    daemons: list[DaemonPorts]
    upstreams: list[UpstreamScript]
    settings: dict[str, dict[str, Any]] = field(default_factory=dict)
    faults: Counter[str] = field(default_factory=Counter)
    down: list[tuple[float, float]] = field(default_factory=list)
    busy: set[str] = field(default_factory=set)

    @contextmanager
    def one_daemon(self) -> Iterator[DaemonPorts]:
        """Choose a daemon to which nothing else is done meanwhile."""
        daemon = self.rng.choice([each for each in self.daemons if each.id not in self.busy])
        self.busy.add(daemon.id)
        try:
            yield daemon
        finally:
            self.busy.discard(daemon.id)

    @contextmanager
    def one_upstream(self) -> Iterator[tuple[str, UpstreamScript]]:
        """Choose an upstream to which nothing else is done meanwhile; gives its name too."""
        names = [f"u{index}" for index in range(len(self.upstreams))]
        name = self.rng.choice([each for each in names if each not in self.busy])
        self.busy.add(name)
        try:
            yield name, self.upstreams[names.index(name)]
        finally:
            self.busy.discard(name)


async def wait_ready(run: KillRun, daemon: DaemonPorts) -> None:
    """Wait until a daemon offers addresses."""
    while True:
        try:
            async with run.session.get(f"http://127.0.0.1:{daemon.callers}/v1/ready") as answer:
                if answer.status == 200:
                    return
        except (aiohttp.ClientError, ConnectionError, TimeoutError):
            pass
        await asyncio.sleep(READY_POLL_S)


async def leave_daemon(run: KillRun) -> None:
    """End a daemon in order and start it again."""
    with run.one_daemon() as daemon:
        code = await asyncio.to_thread(run.fleet.stop, daemon.id)
        if code != 0:
            raise RuntimeError(f"{daemon.id} left with exit code {code}")
        run.fleet.start_daemon(daemon, run.settings[daemon.id])
        await wait_ready(run, daemon)


async def kill_daemon(run: KillRun) -> None:
    """Kill a daemon and start it again after a while."""
    loop = asyncio.get_running_loop()
    with run.one_daemon() as daemon:
        began = loop.time()
        run.fleet.kill(daemon.id)
        await asyncio.sleep(run.rng.uniform(0.2, 2.0))
        run.fleet.start_daemon(daemon, run.settings[daemon.id])
        await wait_ready(run, daemon)
        run.down.append((began, loop.time()))


async def pause_daemon(run: KillRun) -> None:
    """Stop a daemon's process for a while."""
    with run.one_daemon() as daemon:
        run.fleet.signal(daemon.id, signal.SIGSTOP)
        await asyncio.sleep(run.rng.uniform(0.3, 4.0))
        run.fleet.signal(daemon.id, signal.SIGCONT)


async def drain_upstream(run: KillRun) -> None:
    """Let an upstream refuse new calls, end it in order and start it again."""
    with run.one_upstream() as (name, script):
        url = f"http://{script.host}:{script.port}/__fault"
        async with run.session.post(url, json={"draining": True}) as answer:
            answer.raise_for_status()
        await asyncio.sleep(DRAIN_S)
        await asyncio.to_thread(run.fleet.stop, name)
        await asyncio.to_thread(run.fleet.start_upstreams, name, [script])


async def kill_upstream(run: KillRun) -> None:
    """Kill an upstream and start it again after a while."""
    with run.one_upstream() as (name, script):
        run.fleet.kill(name)
        await asyncio.sleep(run.rng.uniform(0.1, 1.0))
        await asyncio.to_thread(run.fleet.start_upstreams, name, [script])


async def pause_upstream(run: KillRun) -> None:
    """Stop an upstream's process for a while."""
    with run.one_upstream() as (name, _script):
        run.fleet.signal(name, signal.SIGSTOP)
        await asyncio.sleep(run.rng.uniform(0.1, 2.5))
        run.fleet.signal(name, signal.SIGCONT)


async def bring_about(run: KillRun, until: float, kinds: list[Callable[..., Any]]) -> None:
    """Bring about faults one after the other; several of these run side by side."""
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        fault = run.rng.choice(kinds)
        await fault(run)
        run.faults[fault.__name__] += 1
        await asyncio.sleep(run.rng.uniform(0.2, 0.8))
