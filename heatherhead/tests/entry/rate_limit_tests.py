"""Tests of the rate limits of upstreams, which hold for all instances together."""

from __future__ import annotations

import asyncio

import pytest

from heatherhead.store.memory import create_memory_store
from heatherhead.tests.entry.instances import Instances, most_arrivals

SETTLE_S = 3.0  # after which the platform counts
ALLOWED_FACTOR = 1.5 * 4.0
ALLOWED_SLACK = 5
LIMITS = ("1", "3.5", "0.4", "12")


def allowed(limit: str) -> float:
    """Return the most requests that the platform allows within four seconds."""
    return ALLOWED_FACTOR * float(limit) + ALLOWED_SLACK


@pytest.mark.xfail(reason="KNOWN-RED.txt, issue 29", strict=True)
@pytest.mark.parametrize(("instances", "calls_per_s"), [(6, 120.0), (12, 160.0)])
@pytest.mark.parametrize("in_health_answers", [True, False])
def test_limit_of_an_upstream_holds_for_all_instances_together(
    instances: int, calls_per_s: float, in_health_answers: bool
) -> None:
    """Each instance placed calls by free slots alone, so an upstream in need got 8 times its limit."""

    async def main() -> None:
        fleet = Instances(create_memory_store(), f"127.{61 + instances}.1")
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
