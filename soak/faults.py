"""Faults of the processes and links of a run, chosen by its random generator."""

from __future__ import annotations

import asyncio
import signal
import time
from contextlib import contextmanager
from typing import TYPE_CHECKING

from soak.controls import Spell, Start, spell_path, start_path, write_control
from soak.links import Cut, Fault
from soak.stutter import DUE_FORMS, FORMS
from soak.world import STOP_GRACE_S, wait_ready

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Awaitable, Callable, Iterator
    from random import Random

    from soak.world import Daemon, Upstream, World

__all__ = [
    "ALL_FAULTS",
    "PLANNED_EVENTS",
    "change_keys",
    "inject_faults",
    "refuse",
    "start_again",
    "stutter",
]

FAULT_INTERVAL_RANGE_S = (0.2, 1.2)  # between two faults of one sequence
FAULT_DURATION_RANGE_S = (0.4, 3.0)
MAX_LOST_FRACTION = 0.34  # of the daemons, off for good
STUTTER_SHARE_RANGE = (0.1, 1.0)  # of the answers of an upstream
REFUSED_SHARE = 0.4  # of the requests of an upstream
UNMARKED_SHARE = 0.3  # of its orders
REFUSAL_FORMS = (*DUE_FORMS, "before whole", "behind whole", "late whole", "late without id")
START_INTERVAL_RANGE_S = (0.2, 0.8)  # between starts of a series
MAX_STARTS = 4
NEW_ID_SHARE = 0.7  # of the starts
LEASE_END_S = 1.6  # after it, the entry of an earlier start has lapsed


def _pick_daemon(world: World) -> Daemon | None:
    """Choose a daemon without a fault; return `None` if no other one would remain."""
    candidates = [each for each in world.daemons if not each.reserved]
    return world.rng.choice(candidates) if len(candidates) > 1 else None


def _pick_upstream(world: World) -> Upstream | None:
    """Choose an upstream without a fault; return `None` if only half or fewer have none."""
    candidates = [each for each in world.upstreams if not each.reserved]
    return world.rng.choice(candidates) if len(candidates) > len(world.upstreams) // 2 else None


@contextmanager
def _reserve(target: Daemon | Upstream) -> Iterator[None]:
    """Reserve a process, so that no other fault is injected into it."""
    target.reserved = True
    try:
        yield
    finally:
        target.reserved = False


async def _suspend_process(world: World, target: Daemon | Upstream) -> None:
    with _reserve(target):
        target.process.signal(signal.SIGSTOP)
        await _wait_fault_duration(world)
        target.process.signal(signal.SIGCONT)


async def _wait_fault_duration(world: World) -> None:
    await asyncio.sleep(world.rng.uniform(*FAULT_DURATION_RANGE_S))


async def stop_daemon(world: World) -> None:
    """Stop a daemon gracefully and start it again."""
    daemon = _pick_daemon(world)
    if daemon is not None:
        with _reserve(daemon):
            await daemon.process.end(STOP_GRACE_S)
            daemon.process.start()
            await wait_ready(daemon)


async def kill_daemon(world: World) -> None:
    """Kill a daemon and start it again; it may be killed a second time during its start."""
    daemon = _pick_daemon(world)
    if daemon is not None:
        with _reserve(daemon):
            for _ in range(world.rng.randint(1, 2)):
                daemon.process.signal(signal.SIGKILL)
                await asyncio.sleep(world.rng.uniform(0.05, 0.8))
                daemon.process.start()
            await wait_ready(daemon)


async def kill_all_daemons(world: World) -> None:
    """Kill all daemons at the same time and start them again."""
    daemons = [each for each in world.daemons if each.lost_at is None]
    if any(each.reserved for each in daemons):
        return
    for daemon in daemons:
        daemon.reserved = True
        daemon.process.signal(signal.SIGKILL)
    await asyncio.sleep(world.rng.uniform(0.1, 1.0))
    for daemon in daemons:
        daemon.process.start()
    for daemon in daemons:
        await wait_ready(daemon)
        daemon.reserved = False


async def lose_daemon(world: World) -> None:
    """Kill a daemon, or suspend it, for the rest of the run."""
    lost = sum(each.lost_at is not None for each in world.daemons)
    daemon = _pick_daemon(world)
    if daemon is not None and lost + 1 <= MAX_LOST_FRACTION * len(world.daemons):
        daemon.reserved = True
        daemon.process.signal(world.rng.choice([signal.SIGKILL, signal.SIGSTOP]))
        daemon.lost_at = time.time()


async def cut_daemons_from_upstreams(world: World) -> None:
    """Cut up to half of the daemons from all upstreams; callers, store and peers reach them."""
    how = world.rng.choice(list(Cut))
    names = [each.process.name for each in world.daemons]
    cut = world.rng.sample(names, world.rng.randint(1, max(1, len(names) // 2)))
    links = [each.link for each in world.upstreams]
    await asyncio.gather(*(link.cut(cut, how) for link in links))
    await _wait_fault_duration(world)
    for link in links:
        link.heal(cut)


async def pause_daemon(world: World) -> None:
    """Suspend the process of a daemon for a while."""
    daemon = _pick_daemon(world)
    if daemon is not None:
        await _suspend_process(world, daemon)


async def kill_upstream(world: World) -> None:
    """Kill an upstream and start a new process with the same id."""
    upstream = _pick_upstream(world)
    if upstream is not None:
        with _reserve(upstream):
            upstream.process.signal(signal.SIGKILL)
            await _wait_fault_duration(world)
            upstream.process.start()


async def pause_upstream(world: World) -> None:
    """Suspend the process of an upstream for a while."""
    upstream = _pick_upstream(world)
    if upstream is not None:
        await _suspend_process(world, upstream)


async def drain_upstream(world: World) -> None:
    """Stop an upstream gracefully and start it again."""
    upstream = _pick_upstream(world)
    if upstream is not None:
        with _reserve(upstream):
            await upstream.process.end(STOP_GRACE_S)
            upstream.process.start()


async def impair_upstream_link(world: World) -> None:
    """Delay or drop bytes on the link to an upstream, then reset its connections."""
    link = world.rng.choice(world.upstreams).link
    link.delay_s = world.rng.uniform(0.05, 0.6)
    link.fault = world.rng.choice(
        [Fault.DELAY, Fault.DROP_ALL, Fault.DROP_FROM_TARGET, Fault.DROP_FROM_CLIENT]
    )
    await _wait_fault_duration(world)
    link.fault = Fault.NONE
    link.reset()


async def reset_connections(world: World) -> None:
    """Reset all connections to half of the upstreams."""
    for upstream in world.rng.sample(world.upstreams, len(world.upstreams) // 2):
        upstream.link.reset()


async def impair_store_link(world: World) -> None:
    """Delay or drop bytes between the store and some or all daemons."""
    count = world.rng.randint(1, len(world.daemons))
    links = [each.store_link for each in world.rng.sample(world.daemons, count)]
    fault = world.rng.choice(
        [Fault.DELAY, Fault.DROP_ALL, Fault.DROP_FROM_TARGET, Fault.DROP_FROM_CLIENT]
    )
    for link in links:
        link.delay_s = world.rng.uniform(0.05, 0.8)
        link.fault = fault
    await _wait_fault_duration(world)
    for link in links:
        link.fault = Fault.NONE
        if world.rng.random() < 0.5:
            link.reset()


async def fail_store_calls(world: World) -> None:
    """Make the store reject calls, or lose the answers of calls that took effect."""
    kinds = [503, 429, "lost"]
    world.store.faults.extend(world.rng.choice(kinds) for _ in range(world.rng.randint(3, 25)))


async def compact_store_history(world: World) -> None:
    """Discard the store's history of events, as a compaction does."""
    world.store.compacted = world.store.revision
    world.store.events.clear()


async def restore_store(world: World) -> None:
    """Take the store away for a moment and bring it back from a copy some seconds old."""
    copied = world.store.copy()
    await _wait_fault_duration(world)
    world.store.away = True
    await asyncio.sleep(world.rng.uniform(0.1, 1.0))
    world.store.restore(copied)
    world.store.away = False
    world.rewrite_configuration()


async def end_leases_early(world: World) -> None:
    """End half of the leases early, as an outage of the store may."""
    leases = list(world.store.leases)
    for lease in world.rng.sample(leases, len(leases) // 2):
        world.store.end_lease(lease)


async def change_configuration(world: World) -> None:
    """Write configurations in quick succession; some route a prefix to another service."""
    for _ in range(world.rng.randint(1, 4)):
        replaced_services = {"/read/": ("stock", "orders")} if world.rng.random() < 0.5 else None
        world.write_configuration(replaced_services)
        await asyncio.sleep(world.rng.uniform(0.05, 0.4))


async def change_keys(world: World) -> None:
    """Add a key to a customer and remove another one, each by a configuration of its own."""
    customers = world.customers
    assert customers is not None
    customers.add_key()
    world.write_configuration()
    await asyncio.sleep(world.rng.uniform(0.05, 0.4))
    customers.remove_key(world.write_configuration)


async def stutter(world: World) -> None:
    """Make up to half of the upstreams write answers twice, in one, some or all forms."""
    chosen = world.rng.sample(world.upstreams, world.rng.randint(1, _half(world)))
    with _apply_spells(world, {each: _stuttering_spell(world.rng) for each in chosen}):
        await _wait_fault_duration(world)


async def refuse(world: World) -> None:
    """Make upstreams refuse requests and write refusals twice, or refuse without the mark."""
    chosen = world.rng.sample(world.upstreams, world.rng.randint(1, len(world.upstreams)))
    spell = _refusing_spell(world.rng)
    with _apply_spells(world, dict.fromkeys(chosen, spell)):
        await _wait_fault_duration(world)


async def start_again(world: World) -> None:
    """Make up to half of the upstreams start again some times, most of them under new ids.

    Each keeps its address and its connections; what its earlier start refused may come once more.
    """
    chosen = world.rng.sample(world.upstreams, world.rng.randint(1, _half(world)))
    with _apply_spells(world, dict.fromkeys(chosen, Spell(DUE_FORMS, 1.0, only_refusals=True))):
        for _ in range(world.rng.randint(1, MAX_STARTS)):
            for upstream in chosen:
                _start_upstream_again(world, upstream)
            await asyncio.sleep(world.rng.uniform(*START_INTERVAL_RANGE_S))
        await asyncio.sleep(LEASE_END_S)


def _half(world: World) -> int:
    return max(1, len(world.upstreams) // 2)


@contextmanager
def _apply_spells(world: World, spell_by_upstream: dict[Upstream, Spell]) -> Iterator[None]:
    """Make upstreams misbehave; of spells that overlap the later one holds, and ends with either."""
    paths = {each: spell_path(world.run_log, each.process.name) for each in spell_by_upstream}
    for upstream, spell in spell_by_upstream.items():
        write_control(paths[upstream], spell)
    try:
        yield
    finally:
        for path in paths.values():
            path.unlink(missing_ok=True)


def _stuttering_spell(rng: Random) -> Spell:
    forms = rng.sample(FORMS, rng.choice([1, 3, len(FORMS)]))
    return Spell(tuple(forms), rng.uniform(*STUTTER_SHARE_RANGE))


def _refusing_spell(rng: Random) -> Spell:
    """Return a spell of one kind; an upstream that answers too much gets no kept connections."""
    match rng.choice(["due", "due", "any", "unmarked"]):
        case "due":
            return Spell(DUE_FORMS, 1.0, only_refusals=True, refused_share=REFUSED_SHARE)
        case "any":
            forms = (rng.choice(REFUSAL_FORMS),)
            share = rng.uniform(*STUTTER_SHARE_RANGE)
            return Spell(forms, share, only_refusals=True, refused_share=REFUSED_SHARE)
        case _:
            return Spell((), 0.0, only_refusals=True, unmarked_share=UNMARKED_SHARE)


def _start_upstream_again(world: World, upstream: Upstream) -> None:
    upstream.starts += 1
    if world.rng.random() < NEW_ID_SHARE:
        upstream.id = f"{upstream.process.name}-{upstream.starts}"
    start = Start(upstream.id, upstream.starts)
    write_control(start_path(world.run_log, upstream.process.name), start)


PLANNED_EVENTS = (stop_daemon, drain_upstream, change_configuration)
ALL_FAULTS = (
    *PLANNED_EVENTS,
    kill_daemon,
    kill_all_daemons,
    lose_daemon,
    cut_daemons_from_upstreams,
    pause_daemon,
    kill_upstream,
    pause_upstream,
    impair_upstream_link,
    reset_connections,
    impair_store_link,
    fail_store_calls,
    compact_store_history,
    end_leases_early,
    restore_store,
    start_again,
)


async def inject_faults(
    world: World,
    kinds: tuple[Callable[[World], Awaitable[None]], ...],
    ends_at: float,
    injected_counts: Counter[str],
) -> None:
    """Inject faults one after the other; several such sequences run concurrently."""
    loop = asyncio.get_running_loop()
    while loop.time() < ends_at:
        fault = world.rng.choice(kinds)
        injected_counts[fault.__name__] += 1
        await fault(world)
        await asyncio.sleep(world.rng.uniform(*FAULT_INTERVAL_RANGE_S))
