"""A fleet of instances that check the health of upstreams with fake probes."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING, Any

from heatherhead.health import create_health_checker
from heatherhead.health.probe import ProbeResult
from heatherhead.routing.health import HealthDraining, HealthPassing
from heatherhead.settings.routing import RoutingSettings
from heatherhead.tests.base import run_with_paused_clock
from heatherhead.tests.routing.fakes import FakeTelemetry, create_router_fleet

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from heatherhead.configuration.model import Service, Upstream
    from heatherhead.health import HealthChecker
    from heatherhead.membership.interface import Instance
    from heatherhead.routing.router import RoutingRouter

__all__ = ["CheckingInstance", "FakeProbe", "Fleet", "run_checking"]

CHECK_BYTES = 200
ANSWER_S = 0.005


@dataclass(slots=True)
class FakeProbe:
    """Probe with configurable answers that records the time and the upstream of each check."""

    answer_s: float = ANSWER_S
    bytes_used: int = CHECK_BYTES
    draining: set[str] = field(default_factory=set)
    announced: bool = True
    checks: list[tuple[float, str]] = field(default_factory=list)
    in_flight: int = 0
    max_in_flight: int = 0

    async def check(self, upstream: Upstream, path: str) -> ProbeResult:
        """Record the check, wait `answer_s` and return the configured result."""
        now = asyncio.get_running_loop().time()
        self.checks.append((now, upstream.id))
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        try:
            await asyncio.sleep(self.answer_s)
        finally:
            self.in_flight -= 1
        if upstream.id in self.draining:
            return ProbeResult(HealthDraining(now, announced=self.announced), self.bytes_used)
        return ProbeResult(HealthPassing(now), self.bytes_used)

    def checked_ids(self) -> set[str]:
        """Return the ids of the upstreams that were checked."""
        return {upstream_id for _, upstream_id in self.checks}


@dataclass(slots=True)
class CheckingInstance:
    """One instance: its router, checker, probe and telemetry."""

    router: RoutingRouter
    checker: HealthChecker
    probe: FakeProbe
    telemetry: FakeTelemetry

    def states(self) -> dict[str, str]:
        """Return the state of each upstream by id."""
        return {each.upstream.id: each.state for each in self.router.evidence("orders")}

    def reasons(self) -> dict[str, str]:
        """Return the reason for the state of each upstream by id."""
        return {each.upstream.id: each.reason for each in self.router.evidence("orders")}


Fleet = dict[str, CheckingInstance]


def run_checking(
    scenario: Callable[[Fleet], Awaitable[None]],
    service: Service,
    instances: list[Instance],
    **settings: Any,
) -> None:
    """Run a scenario under a paused clock on instances that check a service's upstreams."""

    async def main() -> None:
        fleet = _create_fleet(service, instances, **settings)
        for instance in fleet.values():
            instance.checker.start()
        await scenario(fleet)
        for instance in fleet.values():
            await instance.checker.stop()
            instance.router.close()

    run_with_paused_clock(main())


def _create_fleet(service: Service, instances: list[Instance], **settings: Any) -> Fleet:
    """Create instances with the service on one fake network, each with its own probe."""
    fleet: Fleet = {}
    routers = create_router_fleet(service, instances, **settings)
    own_by_id = {each.id: each for each in instances}
    for number, (own_id, router) in enumerate(routers.items()):
        probe, telemetry = FakeProbe(), FakeTelemetry()
        checker = create_health_checker(
            RoutingSettings(**settings),
            own_by_id[own_id],
            router.homes,
            router,
            probe,
            telemetry,
            Random(number),
        )
        checker.update_service(service.name, service)
        fleet[own_id] = CheckingInstance(router, checker, probe, telemetry)
    return fleet
