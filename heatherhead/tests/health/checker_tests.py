"""Tests of which instance checks which upstreams, and how often."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace

from heatherhead.configuration.model import Service, Upstream
from heatherhead.health.checker import MAX_CONCURRENT_CHECKS
from heatherhead.tests.health.fakes import CHECK_BYTES, Fleet, run_checking
from heatherhead.tests.routing.fakes import answered, create_call, create_instance, create_service

MAX_INTERVAL_S = 1.8
CALLS_FOR_ESTIMATE = 32
SLOW_CALL_S = 0.5  # homes report calls in flight to each other only for services with slow calls
INSTANCES = [create_instance(f"i{number}", zone=f"z{number % 2}") for number in range(6)]


def _service(upstreams: int = 12) -> Service:
    return create_service(upstreams, health_path="/health")


def _checkers_by_upstream(fleet: Fleet) -> dict[str, set[str]]:
    checkers: dict[str, set[str]] = {}
    for own_id, instance in fleet.items():
        for upstream_id in instance.probe.checked_ids():
            checkers.setdefault(upstream_id, set()).add(own_id)
    return checkers


def test_each_idle_upstream_is_checked_by_exactly_one_home() -> None:
    async def scenario(fleet: Fleet) -> None:
        await asyncio.sleep(10)
        checkers = _checkers_by_upstream(fleet)
        assert len(checkers) == 12
        assert {len(each) for each in checkers.values()} == {1}
        homes = set(fleet["i0"].router.homes.home_ids("orders", "local"))
        assert set().union(*checkers.values()) <= homes
        checks = Counter(each for one in fleet.values() for _, each in one.probe.checks)
        assert set(checks.values()) <= {6, 7, 8}

    run_checking(scenario, _service(), INSTANCES, homes_minimum=3, homes_maximum=3)


def test_all_homes_know_of_the_drain_of_an_idle_upstream_within_two_seconds() -> None:
    async def scenario(fleet: Fleet) -> None:
        await asyncio.sleep(5)
        for instance in fleet.values():
            instance.probe.draining.add("u4")
        await asyncio.sleep(2)
        homes = fleet["i0"].router.homes.home_ids("orders", "local")
        assert [fleet[each].states()["u4"] for each in homes] == ["draining"] * 3
        checker = next(each for each in homes if "u4" in fleet[each].probe.checked_ids())
        assert "health check" in fleet[checker].reasons()["u4"]
        assert "draining" in fleet[checker].reasons()["u4"]

    run_checking(scenario, _service(), INSTANCES, homes_minimum=3, homes_maximum=3)


def test_other_homes_exclude_an_upstream_while_it_drains() -> None:
    async def scenario(fleet: Fleet) -> None:
        for instance in fleet.values():
            instance.probe.draining.add("u4")
        await asyncio.sleep(2)
        for _ in range(60):
            await asyncio.sleep(1)
            for instance in fleet.values():
                slot = (await instance.router.acquire(create_call())).unwrap()
                slot.finish(answered())
                assert instance.states()["u4"] == "draining"

    run_checking(scenario, _service(), INSTANCES[:2], draining_ms=10_000)


def test_upstream_with_recent_calls_is_not_checked() -> None:
    async def scenario(fleet: Fleet) -> None:
        instance = fleet["i0"]
        busy = instance.router.dispatcher_by_service["orders"].state_by_id["u1"]
        others = frozenset({"u0", "u2"})
        for _ in range(20):
            slot = (await instance.router.acquire(create_call(), others)).unwrap()
            await asyncio.sleep(0.5)
            slot.finish(answered(0.5))
        assert busy.seen_at > 0
        checked = Counter(each for _, each in instance.probe.checks)
        assert checked["u1"] == 0
        assert checked["u0"] >= 5
        last_seen_at = busy.seen_at
        await asyncio.sleep(5)
        first_at = min(at for at, each in instance.probe.checks if each == "u1")
        assert first_at - last_seen_at <= MAX_INTERVAL_S

    run_checking(scenario, _service(3), INSTANCES[:1])


def test_upstream_with_calls_in_flight_from_another_home_is_not_checked() -> None:
    async def scenario(fleet: Fleet) -> None:
        await asyncio.sleep(0.1)
        idle_id = next(own_id for own_id, each in fleet.items() if each.checker.checked_upstreams())
        busy_id = next(each for each in fleet if each != idle_id)
        busy = fleet[busy_id].router
        for _ in range(CALLS_FOR_ESTIMATE):
            (await busy.acquire(create_call())).unwrap().finish(answered(SLOW_CALL_S))
        await busy.acquire(create_call(30))
        await asyncio.sleep(2)
        fleet[idle_id].probe.checks.clear()
        await asyncio.sleep(10)
        assert fleet[idle_id].probe.checks == []

    run_checking(scenario, _service(1), INSTANCES[:2])


def test_checks_stay_within_a_region() -> None:
    upstreams = tuple(
        Upstream(f"u{number}", "127.0.0.1", 1000 + number, region=region)
        for number, region in enumerate(["near", "far", "empty"] * 4)
    )
    service = Service("orders", upstreams, health_path="/health")
    instances = [
        create_instance(f"{region}{number}", region=region)
        for region in ("near", "far")
        for number in range(3)
    ]

    async def scenario(fleet: Fleet) -> None:
        await asyncio.sleep(5)
        region_by_id = {each.id: each.region for each in upstreams}
        for own_id, instance in fleet.items():
            regions = {region_by_id[each] for each in instance.probe.checked_ids()}
            assert regions <= {own_id[:-1]}
        assert len(_checkers_by_upstream(fleet)) == 8

    run_checking(scenario, service, instances)


def test_exhausted_budget_reduces_the_checks_of_all_upstreams_equally() -> None:
    rate = 400.0

    async def scenario(fleet: Fleet) -> None:
        instance = fleet["i0"]
        await asyncio.sleep(60)
        checks = Counter(each for _, each in instance.probe.checks)
        spent = CHECK_BYTES * len(instance.probe.checks)
        assert spent <= rate * 60 + 2 * rate
        assert spent >= 0.9 * rate * 60
        assert len(checks) == 30
        assert max(checks.values()) - min(checks.values()) <= 1
        assert instance.telemetry.counts["health.bytes"] == spent
        assert instance.telemetry.counts["health.waits_for_budget"] > 0

    run_checking(
        scenario, _service(30), INSTANCES[:1], health_bytes_per_second=rate, health_interval_ms=1000
    )


def test_answer_larger_than_estimated_is_charged_to_the_budget() -> None:
    async def scenario(fleet: Fleet) -> None:
        instance = fleet["i0"]
        instance.probe.bytes_used = 8_000
        await asyncio.sleep(100)
        assert 5 <= len(instance.probe.checks) <= 8

    run_checking(scenario, _service(1), INSTANCES[:1], health_bytes_per_second=500)


def test_concurrent_checks_are_limited_when_answers_are_slow() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet["i0"].probe.answer_s = 5.0
        await asyncio.sleep(20)
        assert fleet["i0"].probe.max_in_flight == MAX_CONCURRENT_CHECKS

    run_checking(scenario, _service(60), INSTANCES[:1], health_bytes_per_second=1e6)


def test_checks_stop_when_the_service_its_path_or_the_upstream_is_removed() -> None:
    async def scenario(fleet: Fleet) -> None:
        instance = fleet["i0"]
        checker, checks = instance.checker, instance.probe.checks
        fewer = _service(2)
        checker.update_service("orders", fewer)
        await asyncio.sleep(0.5)
        checks.clear()
        await asyncio.sleep(5)
        assert instance.probe.checked_ids() == {"u0", "u1"}
        for without_checks in (None, replace(fewer, health_path=None)):
            checker.update_service("orders", fewer)
            await asyncio.sleep(5)
            assert checks
            checker.update_service("orders", without_checks)
            await asyncio.sleep(0.5)
            checks.clear()
            await asyncio.sleep(5)
            assert checks == []

    run_checking(scenario, _service(3), INSTANCES[:1])


def test_a_service_without_a_health_path_is_never_checked() -> None:
    async def scenario(fleet: Fleet) -> None:
        await asyncio.sleep(10)
        assert fleet["i0"].probe.checks == []

    run_checking(scenario, create_service(3), INSTANCES[:1])


def test_an_upstream_that_an_operator_drains_is_not_checked() -> None:
    service = _service(3)
    drained = replace(service.upstreams[0], draining=True)
    service = replace(service, upstreams=(drained, *service.upstreams[1:]))

    async def scenario(fleet: Fleet) -> None:
        await asyncio.sleep(5)
        assert fleet["i0"].probe.checked_ids() == {"u1", "u2"}

    run_checking(scenario, service, INSTANCES[:1])
