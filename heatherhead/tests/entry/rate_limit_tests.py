"""Tests of the rate limits of upstreams, which hold for all instances together."""

from __future__ import annotations

import asyncio

import pytest

from heatherhead.store.memory import create_memory_store
from heatherhead.tests.entry.instances import (
    Instances,
    loopback_prefix,
    most_arrivals,
    write,
)

SETTLE_S = 3.0  # after which the platform counts
ALLOWED_FACTOR = 1.5 * 4.0
ALLOWED_SLACK = 5
LIMITS = ("1", "3.5", "0.4", "12")


def allowed(limit: str) -> float:
    """Return the most requests that the platform allows within four seconds."""
    return ALLOWED_FACTOR * float(limit) + ALLOWED_SLACK


@pytest.mark.parametrize(
    ("instances", "calls_per_s", "in_health_answers"), [(6, 120.0, True), (12, 160.0, False)]
)
def test_limit_of_an_upstream_holds_for_all_instances_together(
    instances: int, calls_per_s: float, in_health_answers: bool
) -> None:
    """Each instance placed calls by free slots alone, so an upstream in need got 8 times its limit."""

    async def main() -> None:
        fleet = Instances(create_memory_store(), loopback_prefix(61 + instances))
        await fleet.add_upstreams(8)
        await fleet.start(instances)
        for upstream, limit in zip(fleet.upstreams, LIMITS, strict=False):
            upstream.limit, upstream.limit_in_health_answers = limit, in_health_answers
        named_at = asyncio.get_running_loop().time()
        await fleet.send_calls(calls_per_s, 10.0)
        arrived = {
            limit: most_arrivals(upstream.arrivals, named_at + SETTLE_S)
            for upstream, limit in zip(fleet.upstreams, LIMITS, strict=False)
        }
        await fleet.stop()
        assert all(arrived[limit] <= allowed(limit) for limit in LIMITS), arrived
        assert fleet.statuses[200] > 0.98 * fleet.statuses.total(), fleet.statuses

    asyncio.run(main())


async def _arrivals_under_limits(
    fleet: Instances, limits: tuple[str, ...], calls_per_s: float, for_s: float
) -> dict[str, int]:
    """Have upstreams name limits, send calls, and return the most arrivals within four seconds."""
    for upstream, limit in zip(fleet.upstreams, limits, strict=True):
        upstream.limit = limit
    named_at = asyncio.get_running_loop().time()
    await fleet.send_calls(calls_per_s, for_s)
    return {
        limit: most_arrivals(upstream.arrivals, named_at + SETTLE_S)
        for upstream, limit in zip(fleet.upstreams, limits, strict=True)
    }


def test_calls_beyond_all_limits_are_rejected_at_once_and_the_limits_are_used() -> None:
    async def main() -> None:
        fleet = Instances(create_memory_store(), loopback_prefix(80))
        await fleet.add_upstreams(3)
        await fleet.start(6)
        limits = ("2", "4", "10")
        arrived = await _arrivals_under_limits(fleet, limits, 80.0, 9.0)
        await fleet.stop()
        for limit, calls in arrived.items():
            assert 0.7 * 4.0 * float(limit) <= calls <= allowed(limit), arrived
        assert set(fleet.statuses) == {200, 503}, fleet.statuses
        assert max(fleet.rejected_after_s) < 0.5

    asyncio.run(main())


@pytest.mark.parametrize(
    ("limit", "in_health_answers"), [("0", True), ("0", False), ("0.05", False)]
)
def test_end_of_a_limit_is_noticed_whatever_the_limit(limit: str, in_health_answers: bool) -> None:
    """A limit under which no call is sent would keep away the answers that no longer name it."""

    async def main() -> None:
        fleet = Instances(create_memory_store(), loopback_prefix(81))
        await fleet.add_upstreams(1, limit_in_health_answers=in_health_answers)
        await fleet.start(3)
        await _arrivals_under_limits(fleet, (limit,), 40.0, 3.0)
        fleet.upstreams[0].limit = None
        await fleet.send_calls(40.0, 5.5)
        fleet.statuses.clear()
        await fleet.send_calls(40.0, 1.0)
        await fleet.stop()
        assert fleet.statuses[200] == fleet.statuses.total(), fleet.statuses

    asyncio.run(main())


def test_limit_holds_while_instances_cannot_reach_each_other() -> None:
    """Each side of a partition has a home that issues permits."""

    async def main() -> None:
        fleet = Instances(create_memory_store(), loopback_prefix(82))
        await fleet.add_upstreams(2)
        await fleet.start(6)
        # Instances 0 and 3, homes of the first region, no longer hear of each other, nor of others.
        for number in (0, 3):
            fleet.isolate(fleet.services[number])
        limits = ("6", "12")
        arrived = await _arrivals_under_limits(fleet, limits, 90.0, 12.0)
        await fleet.stop()
        assert all(calls <= allowed(limit) for limit, calls in arrived.items()), arrived

    asyncio.run(main())


def test_restarted_upstream_has_no_limit_until_it_names_one() -> None:
    async def main() -> None:
        fleet = Instances(create_memory_store(), loopback_prefix(83))
        await fleet.add_upstreams(1)
        await fleet.start(3)
        await _arrivals_under_limits(fleet, ("0",), 30.0, 2.0)
        upstream = fleet.upstreams[0]
        upstream.limit = None
        started = {**upstream.entry(0), "born": 1_800_000_000_000}
        await write(fleet.store, f"servers/{upstream.id}", started)
        await asyncio.sleep(0.5)
        fleet.statuses.clear()
        await fleet.send_calls(30.0, 2.0)
        await fleet.stop()
        assert fleet.statuses[200] == fleet.statuses.total(), fleet.statuses

    asyncio.run(main())
