"""Compares strategies for which instances monitor each other: overlay, random and suitable.

Usage: python -m bench.monitors

All instances run in one process with fake streams and a virtual clock. "suitable" is INDIVIDUAL of
Satzger and Ungerer (Grouping Algorithms for Scalable Self-Monitoring Distributed Systems, 2008):
each instance monitors the most suitable instances that it knows; closer ones are more suitable.
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

LINKS_CHOSEN_PER_INSTANCE = 4  # links are kept by both ends, so an instance has about eight
REGIONS, ZONES, PER_ZONE = 3, 2, 6
CRASHES = 8
DETECTION_PERIOD_S = 15.0
LOSS_PERIOD_S = 120.0
HEARTBEAT_LOSS_FRACTION = 0.05


def _random_neighbours(own: Instance, members: Iterable[Instance]) -> list[str]:
    others = sorted(each.id for each in members if each.id != own.id)
    return Random(own.id).sample(others, min(LINKS_CHOSEN_PER_INSTANCE, len(others)))


def _suitable_neighbours(own: Instance, members: Iterable[Instance]) -> list[str]:
    def suitability(other: Instance) -> tuple[int, float]:
        closeness = (other.region == own.region) + (
            other.availability_zone == own.availability_zone
        )
        return closeness, Random(own.id + other.id).random()

    others = [each for each in members if each.id != own.id]
    ranked = sorted(others, key=suitability, reverse=True)
    return [each.id for each in ranked[:LINKS_CHOSEN_PER_INSTANCE]]


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

    def record_states(observer: str) -> None:
        fleet.by_id[observer].table.subscribe(
            lambda member: seen.append((observer, member.id, member.state, loop.time()))
        )

    for each in fleet.by_id:
        record_states(each)
    random = Random(11)
    fleet.hub.is_lost = lambda _, __, message: (
        isinstance(message, Heartbeat | Ping | Pong) and random.random() < HEARTBEAT_LOSS_FRACTION
    )
    fleet.hub.bytes_by_pair.clear()
    await asyncio.sleep(LOSS_PERIOD_S)
    falsely_suspected = {(each[1], each[3]) for each in seen if each[2] is InstanceState.SUSPECTED}
    crossing = sum(
        size for (one, other), size in fleet.hub.bytes_by_pair.items() if one[:2] != other[:2]
    )
    times, unseen = await _crash_instances(fleet, random, seen)
    return {
        "links_max": links_max,
        "instances_unknown": sum(REGIONS * ZONES * PER_ZONE - each for each in known),
        "false_suspicions": len(falsely_suspected),
        "cross_region_bytes_per_s": round(crossing / LOSS_PERIOD_S, 1),
        "seen_p50_s": round(times[len(times) // 2], 2) if times else None,
        "seen_p99_s": round(times[int(len(times) * 0.99)], 2) if times else None,
        "unseen": unseen,
    }


async def _crash_instances(
    fleet: MemberFleet, random: Random, seen: list[Any]
) -> tuple[list[float], int]:
    """Cut instances off one after the other, as crashed hosts are, and measure their detection."""
    loop = asyncio.get_running_loop()
    times, unseen = [], 0
    for victim in random.sample(sorted(fleet.by_id), CRASHES):
        began_at = loop.time()
        fleet.hub.cut([victim], [each for each in fleet.by_id if each != victim])
        await asyncio.sleep(DETECTION_PERIOD_S)
        await fleet.by_id.pop(victim).stop()
        first = {}
        for observer, instance_id, state, at in seen:
            if instance_id == victim and state is not InstanceState.LIVE and at >= began_at:
                first.setdefault(observer, at - began_at)
        detection_times = [first[each] for each in fleet.by_id if each in first]
        times.extend(detection_times)
        unseen += len(fleet.by_id) - len(detection_times)
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
    strategies = {
        "overlay": overlay_neighbours,
        "random": _random_neighbours,
        "suitable": _suitable_neighbours,
    }
    results = {}
    for name, strategy in strategies.items():
        results[name] = _run(strategy)
        print(f"{name}: {results[name]}", flush=True)
    save_result("monitors", results)
