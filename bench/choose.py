"""Times the choice of an upstream for services of 12, 100 and 1,000 upstreams, and of homes.

Usage: python -m bench.choose

`choose_us` is the time of one acquire and finish through an otherwise idle router with half of the
slots in use. `slope` is the exponent with which the time grows with the number of upstreams, where
1 is linear. The last line is JSON.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from math import log
from random import Random
from typing import TYPE_CHECKING

from bench.fleet import save_result
from heatherhead.calls import AttemptResult, AttemptState, Call
from heatherhead.routing.homes import create_home_sets
from heatherhead.runtime import create_loop
from heatherhead.settings.routing import RoutingSettings
from heatherhead.tests.routing.fakes import (
    FakeMembership,
    create_instance,
    create_service,
    create_single_router,
)

if TYPE_CHECKING:
    from heatherhead.routing.homes import RendezvousHomes
    from heatherhead.settings.routing import PolicyName

UPSTREAM_COUNTS = (12, 100, 1_000)
SLOTS = 4
CALLS = 20_000
ROUNDS = 5
POLICIES: tuple[PolicyName, ...] = (
    "late_binding",
    "least_in_flight",
    "two_choices",
    "round_robin",
    "random",
)
MICROSECONDS = 1_000_000
INSTANCES = 1_000
ZONES = 16
REGIONS = 5
SERVICES = 510
HOMES = 3


async def time_choice(policy: PolicyName, upstreams: int) -> float:
    """Return the time of one acquire and finish in microseconds, the minimum over `ROUNDS`."""
    router = create_single_router(
        create_service(upstreams=upstreams, slots=SLOTS), policy=policy, slow_factor=100
    )
    loop = asyncio.get_running_loop()
    rng = Random(upstreams)
    slots_in_use = deque()
    for _ in range(upstreams * SLOTS // 2):
        slots_in_use.append((await router.acquire(_call(loop.time()))).unwrap())
    best = float("inf")
    for _ in range(ROUNDS):
        calls = [_call(loop.time()) for _ in range(CALLS)]
        results = [_result(rng) for _ in range(CALLS)]
        began = time.perf_counter()
        for call, result in zip(calls, results, strict=True):
            slots_in_use.append((await router.acquire(call)).ok_value)
            slots_in_use.popleft().finish(result)
        best = min(best, (time.perf_counter() - began) / CALLS)
    router.close()
    return best * MICROSECONDS


def time_homes() -> dict[str, float]:
    """Time the home sets of all services: cold, cached, and after one instance was removed."""
    instances = [
        create_instance(f"i{index}", f"z{index % ZONES}", f"r{index % ZONES % REGIONS}")
        for index in range(INSTANCES)
    ]
    membership = FakeMembership(instances[0], instances)
    home_sets = create_home_sets(membership, settings=RoutingSettings(homes_minimum=HOMES))
    keys = [(f"s{number}", f"r{region}") for number in range(SERVICES) for region in range(REGIONS)]
    cold_s, before = _time_all(home_sets, keys)
    cached_s, _ = _time_all(home_sets, keys)
    membership.replace(instances[1:])
    changed_s, after = _time_all(home_sets, keys)
    moved = sum(len(set(new) - set(old)) for new, old in zip(after, before, strict=True))
    return {
        "homes_cold_ms": round(cold_s * 1000, 1),
        "homes_cached_us": round(cached_s / len(keys) * MICROSECONDS, 2),
        "homes_after_one_went_ms": round(changed_s * 1000, 1),
        "homes_moved_share": round(moved / (HOMES * len(keys)), 5),
    }


def _time_all(
    home_sets: RendezvousHomes, keys: list[tuple[str, str]]
) -> tuple[float, list[list[str]]]:
    began = time.perf_counter()
    ids = [home_sets.home_ids(*key) for key in keys]
    return time.perf_counter() - began, ids


def _call(now: float) -> Call:
    return Call("orders", "GET", "/", now, now + 60, True)


def _result(rng: Random) -> AttemptResult:
    return AttemptResult(AttemptState.ANSWERED, 200, rng.uniform(0.010, 0.012))


def main() -> None:
    """Time all policies at all sizes."""
    loop = create_loop()
    figures: dict[str, object] = {}
    for policy in POLICIES:
        times = [loop.run_until_complete(time_choice(policy, size)) for size in UPSTREAM_COUNTS]
        slope = log(times[-1] / times[0]) / log(UPSTREAM_COUNTS[-1] / UPSTREAM_COUNTS[0])
        by_size = {
            str(size): round(each, 2) for size, each in zip(UPSTREAM_COUNTS, times, strict=True)
        }
        print(f"{policy:16} {by_size} us, slope {slope:.3f}", flush=True)
        if policy == "late_binding":
            figures = {"choose_us": by_size, "slope": round(slope, 3)}
    figures.update(time_homes())
    save_result("choose", figures)


if __name__ == "__main__":
    main()
