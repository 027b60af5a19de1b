"""Tests of the bound on calls to cold upstreams, which holds for all instances together."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from heatherhead.store.memory import create_memory_store
from heatherhead.tests.entry.instances import Instances, loopback_prefix, write
from heatherhead.tests.fleet.warmup_replay import PER_S, allowed, most_in_a_second

if TYPE_CHECKING:
    from heatherhead.entry.service import EntryService
    from heatherhead.tests.entry.instances import LimitedUpstream

WARMUP_S = 5.0
DETECTION_S = 1.0  # in which all instances learn what only health checks tell


async def become_cold(fleet: Instances, upstream: LimitedUpstream, for_s: float) -> None:
    """Have an upstream become cold and write that to its entry."""
    upstream.cold_until = asyncio.get_running_loop().time() + for_s
    number = fleet.upstreams.index(upstream)
    entry = {**upstream.entry(number), "WarmupLeftS": for_s, "Sequence": 2}
    await write(fleet.store, f"servers/{upstream.id}", entry)


def believe_cold(fleet: Instances) -> list[EntryService]:
    """List the instances that limit the calls to any upstream."""
    return [
        service
        for service in fleet.services
        if any(each.rate_limit.warmup_per_s is not None for each in service.dispatcher.states)
    ]


def test_cold_upstreams_get_more_than_their_bound_from_all_instances() -> None:
    """Each instance placed calls by free slots alone; there is no other upstream here."""

    async def main() -> None:
        fleet = Instances(create_memory_store(), loopback_prefix(105))
        await fleet.add_upstreams(3)
        await fleet.start(9, WarmupPerS=PER_S)
        await fleet.send_calls(60.0, 0.5)
        for upstream in fleet.upstreams:
            await become_cold(fleet, upstream, WARMUP_S)
        await fleet.send_calls(60.0, WARMUP_S)
        arrived = [most_in_a_second(upstream.cold_arrivals) for upstream in fleet.upstreams]
        used = sum(len(upstream.cold_arrivals) for upstream in fleet.upstreams)
        await asyncio.sleep(0.3)
        fleet.statuses.clear()
        await fleet.send_calls(60.0, 1.0)
        statuses = dict(fleet.statuses)
        await fleet.stop()
        assert max(arrived) <= allowed(), arrived
        assert used >= 0.75 * 3 * PER_S * WARMUP_S, used
        assert set(statuses) == {200}, statuses

    asyncio.run(main())


def test_warmup_that_only_health_answers_tell_of_is_not_kept_or_does_not_end() -> None:
    """Instances that don't read the upstream have to learn of it, and of its early end."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        fleet = Instances(create_memory_store(), loopback_prefix(106))
        await fleet.add_upstreams(2)
        await fleet.start(9, WarmupPerS=PER_S)
        await fleet.send_calls(60.0, 0.5)
        cold = fleet.upstreams[0]
        began = loop.time()
        cold.cold_until = began + 60.0
        await fleet.send_calls(60.0, DETECTION_S)
        known = len(believe_cold(fleet))
        await fleet.send_calls(60.0, 3.0)
        late = [at for at in cold.cold_arrivals if at >= began + DETECTION_S]
        cold.cold_until = 0.0
        await asyncio.sleep(DETECTION_S)
        ended = len(believe_cold(fleet))
        await fleet.stop()
        assert known == len(fleet.services)
        assert most_in_a_second(late) <= allowed(), late
        assert not ended
        assert fleet.statuses[200] >= 0.98 * fleet.statuses.total(), fleet.statuses

    asyncio.run(main())


def test_bound_is_exceeded_while_instances_cannot_reach_each_other() -> None:
    """Each side of a partition has a home that issues permits."""

    async def main() -> None:
        fleet = Instances(create_memory_store(), loopback_prefix(107))
        await fleet.add_upstreams(2)
        await fleet.start(6, WarmupPerS=PER_S)
        # Homes of the first region no longer hear of each other, nor of others.
        for number in (0, 3):
            fleet.isolate(fleet.services[number])
        await asyncio.sleep(1.5)
        for upstream in fleet.upstreams:
            await become_cold(fleet, upstream, WARMUP_S)
        await fleet.send_calls(90.0, WARMUP_S)
        arrived = [most_in_a_second(upstream.cold_arrivals) for upstream in fleet.upstreams]
        await fleet.stop()
        assert max(arrived) <= allowed(), arrived

    asyncio.run(main())


def test_rule_of_a_new_configuration_is_not_applied_to_cold_upstreams() -> None:
    async def main() -> None:
        fleet = Instances(create_memory_store(), loopback_prefix(108))
        await fleet.add_upstreams(1)
        await fleet.start(3)
        await become_cold(fleet, fleet.upstreams[0], 60.0)
        await fleet.send_calls(40.0, 1.0)
        before = dict(fleet.statuses)
        await fleet.configure(2, WarmupPerS=PER_S)
        await asyncio.sleep(0.5)
        known = len(believe_cold(fleet))
        await fleet.configure(3)
        await asyncio.sleep(0.5)
        left = len(believe_cold(fleet))
        await fleet.stop()
        assert set(before) == {200}
        assert (known, left) == (3, 0)

    asyncio.run(main())


def test_instance_that_starts_late_takes_warm_upstreams_for_cold() -> None:
    """Their entries still name the time left when they were written."""

    async def main() -> None:
        fleet = Instances(create_memory_store(), loopback_prefix(109))
        await fleet.add_upstreams(2)
        for upstream in fleet.upstreams:
            await become_cold(fleet, upstream, 60.0)
            upstream.cold_until = 0.0
        await fleet.start(3, WarmupPerS=PER_S)
        await asyncio.sleep(1.0)
        started = await fleet.add_instance(4)
        fleet.statuses.clear()
        await fleet.send_calls(20.0, 1.0, lambda _: started)
        limited = [each.limited for each in started.dispatcher.states]
        await fleet.send_calls(40.0, 1.0)
        await fleet.stop()
        assert set(fleet.statuses) == {200}, fleet.statuses
        assert not all(limited)  # the other one is asked about once it is needed

    asyncio.run(main())
