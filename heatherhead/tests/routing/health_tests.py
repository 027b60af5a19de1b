"""Tests of `heatherhead.routing.health`: the effect of health check findings on routing."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from heatherhead.calls import LoadReport, UpstreamSignal
from heatherhead.routing.health import (
    UNANSWERED_CHECKS_TO_EJECT,
    HealthDraining,
    HealthInconclusive,
    HealthPassing,
    HealthUnanswered,
    HealthUnreachable,
)
from heatherhead.tests.base import run_with_paused_clock
from heatherhead.tests.routing.fakes import (
    answered,
    create_call,
    create_instance,
    create_router_fleet,
    create_service,
    create_single_router,
    result_with_signal,
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
    """Run one call on the given upstream."""
    others = frozenset(router.dispatcher_by_service["orders"].state_by_id) - {upstream_id}
    (await router.acquire(create_call(LONG_S), others)).unwrap().finish(answered(status=status))


async def _eject(router: RoutingRouter, upstream_id: str) -> None:
    """Fail calls until an upstream is ejected, after successful calls on the others."""
    for each in _states(router):
        if each != upstream_id:
            await _run_call(router, each)
    while _states(router)[upstream_id] != "ejected":
        await _run_call(router, upstream_id, status=500)


def test_a_finding_of_draining_excludes_an_idle_upstream() -> None:
    async def main() -> None:
        for finding in (
            HealthDraining(_now()),
            HealthDraining(_now(), announced=True),
            HealthUnreachable(_now()),
        ):
            router = create_single_router(create_service(3))
            _observe(router, "u1", finding)
            assert _states(router)["u1"] == "draining"
            evidence = {each.upstream.id: each for each in router.evidence("orders")}
            assert str(finding) in evidence["u1"].reason

    run_with_paused_clock(main())


def test_an_unreachable_upstream_is_excluded_for_a_short_time_only() -> None:
    async def main() -> None:
        router = create_single_router(create_service(3))
        _observe(router, "u1", HealthUnreachable(_now()))
        await asyncio.sleep(2.1)
        await _run_call(router, "u1")

    run_with_paused_clock(main())


def test_ignores_draining_and_unreachable_findings_while_own_calls_succeed() -> None:
    async def main() -> None:
        router = create_single_router(create_service(3))
        for _ in range(2 * UNANSWERED_CHECKS_TO_EJECT):
            await asyncio.sleep(1.0)
            await _run_call(router, "u1")
            for finding in (HealthDraining(_now()), HealthUnreachable(_now())):
                _observe(router, "u1", finding)
            assert _states(router)["u1"] == "ready"
        await asyncio.sleep(1.6)
        _observe(router, "u1", HealthDraining(_now()))
        assert _states(router)["u1"] == "draining"

    run_with_paused_clock(main())


def test_ignores_unanswered_checks_while_own_calls_succeed() -> None:
    async def main() -> None:
        router = create_single_router(create_service(3))
        for _ in range(2 * UNANSWERED_CHECKS_TO_EJECT):
            await asyncio.sleep(1.0)
            await _run_call(router, "u1")
            _observe(router, "u1", HealthUnanswered(_now()))
            assert _states(router)["u1"] == "ready"

    run_with_paused_clock(main())


def test_announced_draining_excludes_an_upstream_even_if_own_calls_succeed() -> None:
    async def main() -> None:
        router = create_single_router(create_service(3))
        await _run_call(router, "u1")
        _observe(router, "u1", HealthDraining(_now(), announced=True))
        assert _states(router)["u1"] == "draining"

    run_with_paused_clock(main())


def test_hints_exclude_at_most_half_of_the_upstreams_and_announcements_all() -> None:
    async def main() -> None:
        router = create_single_router(create_service(4))
        for upstream_id in ("u0", "u1", "u2", "u3"):
            _observe(router, upstream_id, HealthDraining(_now()))
        assert list(_states(router).values()).count("draining") == 2
        for upstream_id in ("u0", "u1", "u2", "u3"):
            _observe(router, upstream_id, HealthDraining(_now(), announced=True))
        assert list(_states(router).values()).count("draining") == 4

    run_with_paused_clock(main())


def test_consecutive_unanswered_checks_eject_an_idle_upstream() -> None:
    async def main() -> None:
        router = create_single_router(create_service(3))
        for _ in range(UNANSWERED_CHECKS_TO_EJECT - 1):
            _observe(router, "u1", HealthUnanswered(_now()))
        _observe(router, "u1", HealthInconclusive(_now(), 404))
        for _ in range(UNANSWERED_CHECKS_TO_EJECT - 1):
            _observe(router, "u1", HealthUnanswered(_now()))
        assert _states(router)["u1"] == "ready"
        _observe(router, "u1", HealthUnanswered(_now()))
        assert _states(router)["u1"] == "ejected"

    run_with_paused_clock(main())


def test_ignores_unanswered_checks_of_an_upstream_with_calls_in_flight() -> None:
    async def main() -> None:
        router = create_single_router(create_service(3))
        others = frozenset({"u0", "u2"})
        await router.acquire(create_call(LONG_S), others)
        for _ in range(2 * UNANSWERED_CHECKS_TO_EJECT):
            _observe(router, "u1", HealthUnanswered(_now()))
        assert _states(router)["u1"] != "ejected"

    run_with_paused_clock(main())


def test_a_passing_check_only_brings_the_trial_call_forward() -> None:
    async def main() -> None:
        router = create_single_router(create_service(3), ejection_ms=EJECTION_MS)
        state = router.dispatcher_by_service["orders"].state_by_id["u1"]
        state.ejections = 3
        await _eject(router, "u1")
        _observe(router, "u1", HealthPassing(_now()))
        assert router.try_acquire(create_call(LONG_S), frozenset({"u0", "u2"})) is None
        assert _states(router)["u1"] == "ejected"
        await asyncio.sleep(EJECTION_MS / 1000 + 0.1)
        _observe(router, "u1", HealthPassing(_now()))
        assert _states(router)["u1"] == "ramping"
        await _run_call(router, "u1", status=500)
        assert _states(router)["u1"] == "ejected"

    run_with_paused_clock(main())


def test_a_failed_trial_after_a_passing_check_makes_later_checks_ineffective() -> None:
    async def main() -> None:
        router = create_single_router(create_service(3), ejection_ms=EJECTION_MS)
        state = router.dispatcher_by_service["orders"].state_by_id["u1"]
        state.ejections = 3
        await _eject(router, "u1")
        await asyncio.sleep(EJECTION_MS / 1000 + 0.1)
        _observe(router, "u1", HealthPassing(_now()))
        await _run_call(router, "u1", status=500)
        for _ in range(4):
            await asyncio.sleep(EJECTION_MS / 1000 + 0.1)
            _observe(router, "u1", HealthPassing(_now()))
            assert _states(router)["u1"] == "ejected"

    run_with_paused_clock(main())


def test_a_passing_check_does_not_end_draining() -> None:
    async def main() -> None:
        router = create_single_router(create_service(3))
        slot = (await router.acquire(create_call(LONG_S), frozenset({"u0", "u2"}))).unwrap()
        slot.finish(result_with_signal(UpstreamSignal.DRAINING))
        await asyncio.sleep(5)
        _observe(router, "u1", HealthPassing(_now()))
        assert _states(router)["u1"] == "draining"

    run_with_paused_clock(main())


def test_ignores_a_hint_of_another_home_while_own_calls_succeed() -> None:
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

    run_with_paused_clock(main())


def test_a_report_replaces_older_ones_only() -> None:
    async def main() -> None:
        router = create_single_router(create_service(3))
        state = router.dispatcher_by_service["orders"].state_by_id["u1"]
        newer, older = LoadReport(3, _now()), LoadReport(9, _now() - 1)
        _observe(router, "u1", HealthPassing(_now(), newer))
        _observe(router, "u1", HealthPassing(_now(), older))
        assert state.report is newer

    run_with_paused_clock(main())


def test_ignores_a_finding_for_a_previous_address() -> None:
    async def main() -> None:
        router = create_single_router(create_service(3))
        upstream = router.dispatcher_by_service["orders"].state_by_id["u1"].upstream
        before = replace(upstream, port=upstream.port + 1)
        router.observe_health("orders", before, HealthDraining(_now(), announced=True))
        router.observe_health("gone", upstream, HealthDraining(_now(), announced=True))
        assert _states(router)["u1"] == "ready"

    run_with_paused_clock(main())
