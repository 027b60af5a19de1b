"""Tests of what routing makes of the findings of health checks."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from heatherhead.calls import LoadReport, UpstreamSign
from heatherhead.routing.health import (
    UNANSWERED_CHECKS_TO_EJECT,
    HealthDraining,
    HealthFine,
    HealthGone,
    HealthSilent,
    HealthUnclear,
)
from heatherhead.tests.base import run_paused
from heatherhead.tests.routing.fakes import (
    answered,
    create_call,
    create_instance,
    create_router_fleet,
    create_service,
    create_single_router,
    refused_with,
)

if TYPE_CHECKING:
    from heatherhead.routing.health import HealthFinding
    from heatherhead.routing.router import RoutingRouter

EJECTION_MS = 1_000
LONG_S = 60.0


def _now() -> float:
    return asyncio.get_running_loop().time()


def _observe(router: RoutingRouter, upstream_id: str, finding: HealthFinding) -> None:
    state = router.dispatcher_by_service["orders"].state_by_id[upstream_id]
    router.observe_health("orders", state.upstream, finding)


def _states(router: RoutingRouter) -> dict[str, str]:
    return {each.upstream.id: each.state for each in router.evidence("orders")}


async def _run_call(router: RoutingRouter, upstream_id: str, status: int = 200) -> None:
    """Let one call run on a certain upstream."""
    others = frozenset(router.dispatcher_by_service["orders"].state_by_id) - {upstream_id}
    (await router.acquire(create_call(LONG_S), others)).unwrap().finish(answered(status=status))


async def _eject(router: RoutingRouter, upstream_id: str) -> None:
    """Let calls fail until an upstream is ejected, among good ones on the others."""
    for each in _states(router):
        if each != upstream_id:
            await _run_call(router, each)
    while _states(router)[upstream_id] != "ejected":
        await _run_call(router, upstream_id, status=500)


def test_a_sign_of_draining_leaves_an_idle_upstream_out() -> None:
    async def main() -> None:
        for finding in (
            HealthDraining(_now()),
            HealthDraining(_now(), announced=True),
            HealthGone(_now()),
        ):
            router = create_single_router(create_service(3))
            _observe(router, "u1", finding)
            assert _states(router)["u1"] == "draining"
            evidence = {each.upstream.id: each for each in router.evidence("orders")}
            assert str(finding) in evidence["u1"].reason

    run_paused(main())


def test_one_that_can_be_connected_to_again_is_soon_back() -> None:
    async def main() -> None:
        router = create_single_router(create_service(3))
        _observe(router, "u1", HealthGone(_now()))
        await asyncio.sleep(2.1)
        await _run_call(router, "u1")

    run_paused(main())


def test_trouble_is_not_believed_while_own_calls_succeed() -> None:
    async def main() -> None:
        router = create_single_router(create_service(3))
        for _ in range(2 * UNANSWERED_CHECKS_TO_EJECT):
            await asyncio.sleep(1.0)
            await _run_call(router, "u1")
            for finding in (HealthDraining(_now()), HealthGone(_now())):
                _observe(router, "u1", finding)
            assert _states(router)["u1"] == "ready"
        await asyncio.sleep(1.6)
        _observe(router, "u1", HealthDraining(_now()))
        assert _states(router)["u1"] == "draining"

    run_paused(main())


def test_silence_is_not_believed_while_own_calls_succeed() -> None:
    async def main() -> None:
        router = create_single_router(create_service(3))
        for _ in range(2 * UNANSWERED_CHECKS_TO_EJECT):
            await asyncio.sleep(1.0)
            await _run_call(router, "u1")
            _observe(router, "u1", HealthSilent(_now()))
            assert _states(router)["u1"] == "ready"

    run_paused(main())


def test_an_upstream_that_announces_its_drain_is_believed_at_once() -> None:
    async def main() -> None:
        router = create_single_router(create_service(3))
        await _run_call(router, "u1")
        _observe(router, "u1", HealthDraining(_now(), announced=True))
        assert _states(router)["u1"] == "draining"

    run_paused(main())


def test_hints_leave_out_half_at_most_and_announcements_all() -> None:
    async def main() -> None:
        router = create_single_router(create_service(4))
        for upstream_id in ("u0", "u1", "u2", "u3"):
            _observe(router, upstream_id, HealthDraining(_now()))
        assert list(_states(router).values()).count("draining") == 2
        for upstream_id in ("u0", "u1", "u2", "u3"):
            _observe(router, upstream_id, HealthDraining(_now(), announced=True))
        assert list(_states(router).values()).count("draining") == 4

    run_paused(main())


def test_silence_ejects_an_idle_upstream_after_some_checks() -> None:
    async def main() -> None:
        router = create_single_router(create_service(3))
        for _ in range(UNANSWERED_CHECKS_TO_EJECT - 1):
            _observe(router, "u1", HealthSilent(_now()))
        _observe(router, "u1", HealthUnclear(_now(), 404))
        for _ in range(UNANSWERED_CHECKS_TO_EJECT - 1):
            _observe(router, "u1", HealthSilent(_now()))
        assert _states(router)["u1"] == "ready"
        _observe(router, "u1", HealthSilent(_now()))
        assert _states(router)["u1"] == "ejected"

    run_paused(main())


def test_silence_of_one_with_calls_in_flight_counts_for_nothing() -> None:
    async def main() -> None:
        router = create_single_router(create_service(3))
        others = frozenset({"u0", "u2"})
        await router.acquire(create_call(LONG_S), others)
        for _ in range(2 * UNANSWERED_CHECKS_TO_EJECT):
            _observe(router, "u1", HealthSilent(_now()))
        assert _states(router)["u1"] != "ejected"

    run_paused(main())


def test_a_good_answer_brings_the_trial_call_forward_and_nothing_more() -> None:
    async def main() -> None:
        router = create_single_router(create_service(3), ejection_ms=EJECTION_MS)
        state = router.dispatcher_by_service["orders"].state_by_id["u1"]
        state.ejections = 3
        await _eject(router, "u1")
        _observe(router, "u1", HealthFine(_now()))
        assert router.try_acquire(create_call(LONG_S), frozenset({"u0", "u2"})) is None
        assert _states(router)["u1"] == "ejected"
        await asyncio.sleep(EJECTION_MS / 1000 + 0.1)
        _observe(router, "u1", HealthFine(_now()))
        assert _states(router)["u1"] == "ramping"
        await _run_call(router, "u1", status=500)
        assert _states(router)["u1"] == "ejected"

    run_paused(main())


def test_good_answers_of_one_whose_calls_fail_are_not_believed_twice() -> None:
    async def main() -> None:
        router = create_single_router(create_service(3), ejection_ms=EJECTION_MS)
        state = router.dispatcher_by_service["orders"].state_by_id["u1"]
        state.ejections = 3
        await _eject(router, "u1")
        await asyncio.sleep(EJECTION_MS / 1000 + 0.1)
        _observe(router, "u1", HealthFine(_now()))
        await _run_call(router, "u1", status=500)
        for _ in range(4):
            await asyncio.sleep(EJECTION_MS / 1000 + 0.1)
            _observe(router, "u1", HealthFine(_now()))
            assert _states(router)["u1"] == "ejected"

    run_paused(main())


def test_a_good_answer_does_not_end_a_drain() -> None:
    async def main() -> None:
        router = create_single_router(create_service(3))
        slot = (await router.acquire(create_call(LONG_S), frozenset({"u0", "u2"}))).unwrap()
        slot.finish(refused_with(UpstreamSign.DRAINING))
        await asyncio.sleep(5)
        _observe(router, "u1", HealthFine(_now()))
        assert _states(router)["u1"] == "draining"

    run_paused(main())


def test_a_hint_of_another_home_is_weighed_against_own_calls() -> None:
    async def main() -> None:
        instances = [create_instance("a"), create_instance("b")]
        routers = create_router_fleet(create_service(4), instances, homes_minimum=2)
        await _run_call(routers["b"], "u1")
        for upstream_id in ("u0", "u1"):
            _observe(routers["a"], upstream_id, HealthDraining(_now()))
        await asyncio.sleep(0.01)
        assert _states(routers["b"])["u0"] == "draining"
        assert _states(routers["b"])["u1"] == "ready"
        _observe(routers["a"], "u2", HealthDraining(_now(), announced=True))
        await _run_call(routers["b"], "u2")
        await asyncio.sleep(0.01)
        assert _states(routers["b"])["u2"] == "draining"

    run_paused(main())


def test_a_report_replaces_older_ones_only() -> None:
    async def main() -> None:
        router = create_single_router(create_service(3))
        state = router.dispatcher_by_service["orders"].state_by_id["u1"]
        newer, older = LoadReport(3, _now()), LoadReport(9, _now() - 1)
        _observe(router, "u1", HealthFine(_now(), newer))
        _observe(router, "u1", HealthFine(_now(), older))
        assert state.report is newer

    run_paused(main())


def test_a_finding_of_an_earlier_address_is_dropped() -> None:
    async def main() -> None:
        router = create_single_router(create_service(3))
        upstream = router.dispatcher_by_service["orders"].state_by_id["u1"].upstream
        before = replace(upstream, port=upstream.port + 1)
        router.observe_health("orders", before, HealthDraining(_now(), announced=True))
        router.observe_health("gone", upstream, HealthDraining(_now(), announced=True))
        assert _states(router)["u1"] == "ready"

    run_paused(main())
