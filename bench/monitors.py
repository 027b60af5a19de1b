"""Compares ways to choose who watches whom: the overlay, random, and the most suitable.

Usage: python -m bench.monitors

One process, fake streams, the clock of the loop. "suitable" is INDIVIDUAL of Satzger and Ungerer
(Grouping Algorithms for Scalable Self-Monitoring Distributed Systems, 2008): each instance takes
those that it knows and that suit it best; near ones suit better.
"""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING, Any
from unittest.mock import patch

from loguru import logger

from bench.fleet import save_result
from heatherhead.membership.interface import InstanceState
from heatherhead.membership.member_messages import Heartbeat, Ping, Pong
from heatherhead.membership.overlay import overlay_neighbours
from heatherhead.tests.base import run_with_paused_clock
from heatherhead.tests.membership.fleet import MemberFleet, create_member_fleet

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from heatherhead.membership.interface import Instance

CHOSEN_EACH = 4  # both ends keep a chosen link, so that an instance has about eight
REGIONS, ZONES, PER_ZONE = 3, 2, 6
CRASHES = 8
WATCH_S = 15.0
LOSS_S = 120.0
LOSS = 0.05


def _random_neighbours(own: Instance, members: Iterable[Instance]) -> list[str]:
    others = sorted(each.id for each in members if each.id != own.id)
    return Random(own.id).sample(others, min(CHOSEN_EACH, len(others)))


def _suitable_neighbours(own: Instance, members: Iterable[Instance]) -> list[str]:
    def suitability(other: Instance) -> tuple[int, float]:
        near = (other.region == own.region) + (other.availability_zone == own.availability_zone)
        return near, Random(own.id + other.id).random()

    others = [each for each in members if each.id != own.id]
    ranked = sorted(others, key=suitability, reverse=True)
    return [each.id for each in ranked[:CHOSEN_EACH]]


async def _measure(fleet: MemberFleet) -> dict[str, Any]:
    loop = asyncio.get_running_loop()
    for region in range(REGIONS):
        for zone in range(ZONES):
            for number in range(PER_ZONE):
                place = (f"r{region}", f"r{region}z{zone}")
                await fleet.start(f"i{region}-{zone}-{number}", *place)
    await asyncio.sleep(30)
    links_max = max(len(each.network.neighbours()) for each in fleet.by_id.values())
    known = [len(each.view.live()) for each in fleet.by_id.values()]
    seen: list[tuple[str, str, InstanceState, float]] = []

    def watch(observer: str) -> None:
        fleet.by_id[observer].table.subscribe(
            lambda member: seen.append((observer, member.id, member.state, loop.time()))
        )

    for each in fleet.by_id:
        watch(each)
    random = Random(11)
    fleet.hub.is_lost = lambda _, __, message: (
        isinstance(message, Heartbeat | Ping | Pong) and random.random() < LOSS
    )
    fleet.hub.bytes_by_pair.clear()
    await asyncio.sleep(LOSS_S)
    false = {(each[1], each[3]) for each in seen if each[2] is InstanceState.SUSPECTED}
    crossing = sum(
        size for (one, other), size in fleet.hub.bytes_by_pair.items() if one[:2] != other[:2]
    )
    times, unseen = await _silence(fleet, random, seen)
    return {
        "links_max": links_max,
        "instances_unknown": sum(REGIONS * ZONES * PER_ZONE - each for each in known),
        "false_suspicions": len(false),
        "cross_region_bytes_per_s": round(crossing / LOSS_S, 1),
        "seen_p50_s": round(times[len(times) // 2], 2) if times else None,
        "seen_p99_s": round(times[int(len(times) * 0.99)], 2) if times else None,
        "unseen": unseen,
    }


async def _silence(fleet: MemberFleet, random: Random, seen: list[Any]) -> tuple[list[float], int]:
    """Let instances fall silent one after the other, as lost hosts do."""
    loop = asyncio.get_running_loop()
    times, unseen = [], 0
    for victim in random.sample(sorted(fleet.by_id), CRASHES):
        began_at = loop.time()
        fleet.hub.cut([victim], [each for each in fleet.by_id if each != victim])
        await asyncio.sleep(WATCH_S)
        await fleet.by_id.pop(victim).stop()
        first = {}
        for observer, instance_id, state, at in seen:
            if instance_id == victim and state is not InstanceState.LIVE and at >= began_at:
                first.setdefault(observer, at - began_at)
        seen_by = [first[each] for each in fleet.by_id if each in first]
        times.extend(seen_by)
        unseen += len(fleet.by_id) - len(seen_by)
    return sorted(times), unseen


def _run(choose: Callable[..., list[str]]) -> dict[str, Any]:
    async def main() -> dict[str, Any]:
        fleet = create_member_fleet()
        result = await _measure(fleet)
        await fleet.stop()
        return result

    place = "heatherhead.membership"
    with (
        patch(f"{place}.service.overlay_neighbours", choose),
        patch(f"{place}.failure_detector.overlay_neighbours", choose),
    ):
        return run_with_paused_clock(main())


if __name__ == "__main__":
    logger.remove()
    ways = {
        "overlay": overlay_neighbours,
        "random": _random_neighbours,
        "suitable": _suitable_neighbours,
    }
    results = {}
    for name, way in ways.items():
        results[name] = _run(way)
        print(f"{name}: {results[name]}", flush=True)
    save_result("monitors", results)
