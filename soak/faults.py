"""What is done to the processes and links of a run, drawn from its seed."""

from __future__ import annotations

import asyncio
import signal
from contextlib import contextmanager
from typing import TYPE_CHECKING

from soak.links import Fault
from soak.world import GRACE_S, wait_ready

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Awaitable, Callable, Iterator

    from soak.world import Backend, Daemon, World

__all__ = ["PLANNED", "UNPLANNED", "bring_about"]

PAUSE_S = (0.2, 1.2)  # between two faults of one row
LENGTH_S = (0.4, 3.0)


def _free_daemon(world: World) -> Daemon | None:
    """Choose a daemon to which nothing is done, so long as another one is left alone."""
    free = [each for each in world.daemons if not each.busy]
    return world.rng.choice(free) if len(free) > 1 else None


def _free_backend(world: World) -> Backend | None:
    free = [each for each in world.backends if not each.busy]
    return world.rng.choice(free) if len(free) > len(world.backends) // 2 else None


@contextmanager
def _busy(target: Daemon | Backend) -> Iterator[None]:
    """Keep other faults away from a process meanwhile."""
    target.busy = True
    try:
        yield
    finally:
        target.busy = False


async def _pause(world: World, target: Daemon | Backend) -> None:
    with _busy(target):
        target.process.signal(signal.SIGSTOP)
        await _some_time(world)
        target.process.signal(signal.SIGCONT)


async def _some_time(world: World) -> None:
    await asyncio.sleep(world.rng.uniform(*LENGTH_S))


async def stop_daemon(world: World) -> None:
    """End a daemon in order and start it again."""
    daemon = _free_daemon(world)
    if daemon is not None:
        with _busy(daemon):
            await daemon.process.end(GRACE_S)
            daemon.process.start()
            await wait_ready(daemon)


async def kill_daemon(world: World) -> None:
    """Kill a daemon and start it again; it may be killed at its start."""
    daemon = _free_daemon(world)
    if daemon is not None:
        with _busy(daemon):
            for _ in range(world.rng.randint(1, 2)):
                daemon.process.signal(signal.SIGKILL)
                await asyncio.sleep(world.rng.uniform(0.05, 0.8))
                daemon.process.start()
            await wait_ready(daemon)


async def kill_all_daemons(world: World) -> None:
    """Kill all daemons at the same moment and start them again."""
    if any(each.busy for each in world.daemons):
        return
    for daemon in world.daemons:
        daemon.busy = True
        daemon.process.signal(signal.SIGKILL)
    await asyncio.sleep(world.rng.uniform(0.1, 1.0))
    for daemon in world.daemons:
        daemon.process.start()
    for daemon in world.daemons:
        await wait_ready(daemon)
        daemon.busy = False


async def pause_daemon(world: World) -> None:
    """Let a daemon stand still for a while."""
    daemon = _free_daemon(world)
    if daemon is not None:
        await _pause(world, daemon)


async def kill_backend(world: World) -> None:
    """Kill a back end and start it again under its id, as another boot."""
    backend = _free_backend(world)
    if backend is not None:
        with _busy(backend):
            backend.process.signal(signal.SIGKILL)
            await _some_time(world)
            backend.process.start()


async def pause_backend(world: World) -> None:
    """Let a back end stand still for a while."""
    backend = _free_backend(world)
    if backend is not None:
        await _pause(world, backend)


async def drain_backend(world: World) -> None:
    """End a back end in order and start it again."""
    backend = _free_backend(world)
    if backend is not None:
        with _busy(backend):
            await backend.process.end(GRACE_S)
            backend.process.start()


async def harm_backend_link(world: World) -> None:
    """Delay, silence or cut one way the link to a back end, then reset it."""
    link = world.rng.choice(world.backends).link
    link.delay_s = world.rng.uniform(0.05, 0.6)
    link.fault = world.rng.choice([Fault.DELAY, Fault.SILENT, Fault.DEAF, Fault.MUTE])
    await _some_time(world)
    link.fault = Fault.NONE
    link.reset()


async def reset_connections(world: World) -> None:
    """Reset all connections to some back ends."""
    for backend in world.rng.sample(world.backends, len(world.backends) // 2):
        backend.link.reset()


async def harm_store_link(world: World) -> None:
    """Delay, silence or cut one way the store for some daemons, or for all of them."""
    count = world.rng.randint(1, len(world.daemons))
    links = [each.store_link for each in world.rng.sample(world.daemons, count)]
    fault = world.rng.choice([Fault.DELAY, Fault.SILENT, Fault.DEAF, Fault.MUTE])
    for link in links:
        link.delay_s = world.rng.uniform(0.05, 0.8)
        link.fault = fault
    await _some_time(world)
    for link in links:
        link.fault = Fault.NONE
        if world.rng.random() < 0.5:
            link.reset()


async def refuse_store_calls(world: World) -> None:
    """Let the store refuse calls, or lose answers of calls that took effect."""
    kinds = [503, 429, "lost"]
    world.store.faults.extend(world.rng.choice(kinds) for _ in range(world.rng.randint(3, 25)))


async def forget_history(world: World) -> None:
    """Let the store forget its history."""
    world.store.compacted = world.store.revision
    world.store.events.clear()


async def lapse_leases(world: World) -> None:
    """End leases early, as an outage of the store may."""
    leases = list(world.store.leases)
    for lease in world.rng.sample(leases, len(leases) // 2):
        world.store.end_lease(lease)


async def change_configuration(world: World) -> None:
    """Write versions in quick succession; some send a route to another service."""
    for _ in range(world.rng.randint(1, 4)):
        moved = {"/read/": ("stock", "orders")} if world.rng.random() < 0.5 else None
        world.write_configuration(moved)
        await asyncio.sleep(world.rng.uniform(0.05, 0.4))


PLANNED = (stop_daemon, drain_backend, change_configuration)
UNPLANNED = (
    *PLANNED,
    kill_daemon,
    kill_all_daemons,
    pause_daemon,
    kill_backend,
    pause_backend,
    harm_backend_link,
    reset_connections,
    harm_store_link,
    refuse_store_calls,
    forget_history,
    lapse_leases,
)


async def bring_about(
    world: World,
    kinds: tuple[Callable[[World], Awaitable[None]], ...],
    until: float,
    done: Counter[str],
) -> None:
    """Bring about faults one after the other; several rows of them overlap."""
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        fault = world.rng.choice(kinds)
        done[fault.__name__] += 1
        await fault(world)
        await asyncio.sleep(world.rng.uniform(*PAUSE_S))
