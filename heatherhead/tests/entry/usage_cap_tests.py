"""Tests of the caps of customers on whole instances, which hold for all of them together."""

from __future__ import annotations

import asyncio

import pytest

from heatherhead.store.memory import create_memory_store
from heatherhead.tests.entry.instances import (
    CONFIGURATION,
    Instances,
    loopback_prefix,
    most_arrivals,
    write,
)
from heatherhead.tests.proxy.fakes import read_answer, request

WINDOW_S = 5.0
SETTLE_S = 4.0  # buckets and credits fill


def allowed(per_s: float, burst: float) -> float:
    """Return the most calls that the platform allows within a window."""
    return (per_s * WINDOW_S + burst) * 1.1 + 20


def _configuration(version: int, **caps: tuple[float, float]) -> dict[str, object]:
    customers = {
        name: {"ApiKeys": [f"key-{name}"], "Priority": 0, "RatePerS": per_s, "Burst": burst}
        for name, (per_s, burst) in caps.items()
    }
    return {**CONFIGURATION, "ConfigVersion": version, "Tenants": customers}


def _arrivals(fleet: Instances, customer: str) -> list[float]:
    return [at for each in fleet.upstreams for at in each.arrivals_by_customer[customer]]


async def _started(prefix: int, instances: int, **caps: tuple[float, float]) -> Instances:
    fleet = Instances(create_memory_store(), loopback_prefix(prefix))
    await fleet.add_upstreams(8)
    await fleet.start(instances, _configuration(1, **caps))
    await asyncio.sleep(SETTLE_S)
    return fleet


@pytest.mark.parametrize("instances", [1, 6])
def test_cap_holds_for_all_instances_together_and_is_used(instances: int) -> None:
    """Each instance alone would admit the cap, so six would admit six times as much."""

    async def main() -> None:
        fleet = await _started(90 + instances, instances, large=(25.0, 25.0), small=(1.0, 1.0))
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(fleet.send_calls(150.0, 8.0, key="key-large"))
            tasks.create_task(fleet.send_calls(0.8, 8.0, key="key-small"))
        arrived = _arrivals(fleet, "large")
        await fleet.stop()
        assert most_arrivals(arrived, 0.0, WINDOW_S) <= allowed(25.0, 25.0)
        assert len(arrived) >= 0.95 * (8.0 * 25.0 + 25.0)
        assert set(fleet.statuses_by_key["key-large"]) == {200, 429}
        assert set(fleet.statuses_by_key["key-small"]) == {200}

    asyncio.run(main())


def test_refused_call_has_not_run_and_is_told_when_to_come_back() -> None:
    async def main() -> None:
        fleet = await _started(97, 1, large=(1.0, 1.0))
        service = fleet.services[0]
        received = b""
        for number in range(40):
            reader, writer = await asyncio.open_connection(*service.settings.callers)
            headers = {
                "X_Heatherhead_Request_Id": f"q{number}",
                "X_Heatherhead_Deadline_Ms": "1000",
                "Authorization": "Token key-large",
            }
            writer.write(request("/read/1", **headers))
            received = await read_answer(reader)
            writer.close()
            if b" 429 " in received:
                break
        arrived = len(_arrivals(fleet, "large"))
        await fleet.stop()
        assert received.startswith(b"HTTP/1.1 429 ")
        assert b"Retry-After: " in received
        assert arrived == number
        assert service.metrics.events["cap_exceeded"] == 1

    asyncio.run(main())


def test_lowered_cap_binds_and_a_raised_one_admits() -> None:
    async def main() -> None:
        fleet = await _started(98, 3, large=(40.0, 40.0))
        await fleet.send_calls(120.0, 3.0, key="key-large")
        await write(fleet.store, "op/config", _configuration(2, large=(10.0, 10.0)))
        lowered_at = asyncio.get_running_loop().time() + 0.5
        await fleet.send_calls(120.0, 7.0, key="key-large")
        arrived = _arrivals(fleet, "large")
        assert most_arrivals(arrived, lowered_at, WINDOW_S) <= allowed(10.0, 10.0)
        await write(fleet.store, "op/config", _configuration(3, large=(80.0, 80.0)))
        await asyncio.sleep(0.5)
        before = len(_arrivals(fleet, "large"))
        await fleet.send_calls(120.0, 4.0, key="key-large")
        raised = len(_arrivals(fleet, "large")) - before
        await fleet.stop()
        assert raised >= 0.95 * 4.0 * 80.0

    asyncio.run(main())


def test_bound_holds_while_instances_cannot_reach_each_other() -> None:
    async def main() -> None:
        fleet = await _started(99, 6, large=(25.0, 25.0))
        began = asyncio.get_running_loop().time()
        await fleet.send_calls(150.0, 2.0, key="key-large")
        for number in (0, 3):
            fleet.isolate(fleet.services[number])
        await fleet.send_calls(150.0, 8.0, key="key-large")
        arrived = _arrivals(fleet, "large")
        await fleet.stop()
        assert most_arrivals(arrived, began, WINDOW_S) <= allowed(25.0, 25.0)
        # All shares are used, at three places, but for the time in which loans end.
        assert len(arrived) >= 0.8 * 10.0 * 25.0

    asyncio.run(main())


def test_calls_of_a_customer_without_a_cap_are_not_counted() -> None:
    async def main() -> None:
        fleet = await _started(89, 1, free=(0.0, 0.0))
        await fleet.send_calls(100.0, 2.0, key="key-free")
        await fleet.stop()
        assert set(fleet.statuses_by_key["key-free"]) == {200}

    asyncio.run(main())
