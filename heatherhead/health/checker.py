"""Checks the health of the upstreams assigned to this instance, within a budget of bytes.

An upstream with recent calls is not checked, since each call postpones its next check. All checks
of an instance share one budget. When it is exhausted, due checks wait in the order of their due
times, so that a small budget lengthens the interval of all upstreams equally.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import TYPE_CHECKING, Protocol

from heatherhead.health.assignment import assigned_upstreams
from heatherhead.token_bucket import create_token_bucket

if TYPE_CHECKING:
    from collections.abc import Sequence

    from heatherhead.configuration.model import Service, Upstream
    from heatherhead.health.probe import Probe
    from heatherhead.membership.interface import Instance
    from heatherhead.routing.interface import HealthObserver
    from heatherhead.settings.routing import RoutingSettings
    from heatherhead.telemetry.interface import Telemetry

__all__ = ["HealthChecker", "create_health_checker"]

MAX_CONCURRENT_CHECKS = 16
ASSIGNMENT_INTERVAL_S = 1.0
MIN_INTERVAL_FACTOR, MAX_INTERVAL_FACTOR = 0.8, 1.2  # jitter of the configured interval
BUDGET_BURST_S = 2.0  # the burst of the budget is its rate over this time
MIN_BUDGET_WAIT_S = 0.01  # a rounded wait below the clock's resolution would cause a busy loop
INITIAL_ESTIMATE_BYTES = 512


class Homes(Protocol):
    """Source of the homes of a service."""

    def home_ids(self, service: str, region: str) -> list[str]:
        """List the ids of the homes in a region."""
        ...


@dataclass(slots=True, eq=False)
class CheckedUpstream:
    """An upstream that this instance checks; `bytes_used` estimates the bytes of its next check."""

    service: str
    path: str
    upstream: Upstream
    bytes_used: int = INITIAL_ESTIMATE_BYTES
    removed: bool = False

    def matches(self, path: str, upstream: Upstream) -> bool:
        """Return whether path and address are unchanged, so that the checks can continue."""
        current = self.upstream
        address = (upstream.host, upstream.port)
        return self.path == path and (current.host, current.port) == address


class HealthChecker:
    """Runs the health checks of an instance from `start` to `stop`."""

    def __init__(
        self,
        settings: RoutingSettings,
        own: Instance,
        homes: Homes,
        observer: HealthObserver,
        probe: Probe,
        telemetry: Telemetry,
        rng: Random,
    ) -> None:
        self._interval_s = settings.health_interval_ms / 1000
        self._own = own
        self._homes = homes
        self._observer = observer
        self._probe = probe
        self._telemetry = telemetry
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        rate = settings.health_bytes_per_second
        self._budget = create_token_bucket(rate, max(rate * BUDGET_BURST_S, INITIAL_ESTIMATE_BYTES))
        self._service_by_name: dict[str, Service] = {}
        self._homes_by_name: dict[str, Sequence[str]] = {}
        self._checked_by_id_by_service: dict[str, dict[str, CheckedUpstream]] = {}
        self._check_heap: list[tuple[float, int, CheckedUpstream]] = []
        self._serial = count()
        self._wake_event = asyncio.Event()
        self._run_task: asyncio.Task[None] | None = None
        self._check_tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Start the task that runs the checks."""
        self._run_task = self._loop.create_task(self._run())

    async def stop(self) -> None:
        """Stop, and cancel the checks in flight."""
        tasks = [*self._check_tasks, *([self._run_task] if self._run_task else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def update_service(self, name: str, service: Service | None) -> None:
        """Apply a service's new configuration; a service without a health path is not checked."""
        self._homes_by_name.pop(name, None)
        if service is not None and service.health_path is not None:
            self._service_by_name[name] = service
        elif self._service_by_name.pop(name, None) is not None:
            for checked in self._checked_by_id_by_service.pop(name, {}).values():
                checked.removed = True
        self._wake_event.set()

    def checked_upstreams(self) -> list[tuple[str, str]]:
        """List the checked upstreams as pairs of service name and upstream id."""
        return [
            (name, upstream_id)
            for name, checked_by_id in self._checked_by_id_by_service.items()
            for upstream_id in checked_by_id
        ]

    async def _run(self) -> None:
        while True:
            self._wake_event.clear()
            self._update_assignments()
            wait_s = self._start_due_checks()
            try:
                async with asyncio.timeout(min(wait_s, ASSIGNMENT_INTERVAL_S)):
                    await self._wake_event.wait()
            except TimeoutError:
                continue

    def _update_assignments(self) -> None:
        """Update the checked upstreams of the services whose homes have changed."""
        for name, service in self._service_by_name.items():
            home_ids = self._homes.home_ids(name, self._own.region)
            if self._homes_by_name.get(name) != home_ids:
                self._homes_by_name[name] = home_ids
                upstreams = assigned_upstreams(service, self._own, home_ids)
                self._update_checked(service, upstreams)

    def _update_checked(self, service: Service, upstreams: list[Upstream]) -> None:
        """Set the checked upstreams of a service; the first checks are spread over one interval."""
        assert service.health_path is not None
        before = self._checked_by_id_by_service.get(service.name, {})
        after: dict[str, CheckedUpstream] = {}
        for upstream in upstreams:
            checked = before.pop(upstream.id, None)
            if checked is None or not checked.matches(service.health_path, upstream):
                if checked is not None:
                    checked.removed = True
                checked = CheckedUpstream(service.name, service.health_path, upstream)
                self._schedule_check(
                    checked, self._loop.time() + self._rng.random() * self._interval_s
                )
            after[upstream.id] = checked
        for checked in before.values():
            checked.removed = True
        self._checked_by_id_by_service[service.name] = after

    def _start_due_checks(self) -> float:
        """Start due checks within the limits; return the seconds until the next attempt."""
        while self._check_heap:
            due_at, _, checked = self._check_heap[0]
            now = self._loop.time()
            if due_at > now:
                return due_at - now
            if len(self._check_tasks) >= MAX_CONCURRENT_CHECKS:
                return ASSIGNMENT_INTERVAL_S
            if checked.removed or self._postpone_if_fresh(checked, now):
                heappop(self._check_heap)
                continue
            if not self._budget.try_take(self._estimate(checked)):
                self._telemetry.count("health.waits_for_budget")
                return max(MIN_BUDGET_WAIT_S, self._budget.wait_s(self._estimate(checked)))
            heappop(self._check_heap)
            self._start(checked)
        return ASSIGNMENT_INTERVAL_S

    def _postpone_if_fresh(self, checked: CheckedUpstream, now: float) -> bool:
        """Postpone a check if there is recent evidence of the upstream; return whether there is."""
        last_observed_at = self._observer.last_observed_at(checked.service, checked.upstream)
        if last_observed_at + MIN_INTERVAL_FACTOR * self._interval_s <= now:
            return False
        self._schedule_check(checked, last_observed_at + self._jittered_s())
        return True

    def _estimate(self, checked: CheckedUpstream) -> float:
        return min(checked.bytes_used, self._budget.burst)

    def _start(self, checked: CheckedUpstream) -> None:
        task = self._loop.create_task(self._check(checked))
        self._check_tasks.add(task)
        task.add_done_callback(self._check_tasks.discard)

    async def _check(self, checked: CheckedUpstream) -> None:
        sent_at = self._loop.time()
        estimate = self._estimate(checked)
        try:
            result = await self._probe.check(checked.upstream, checked.path)
            self._budget.force_take(result.bytes_used - estimate)
            checked.bytes_used = max(result.bytes_used, checked.bytes_used // 2)
            self._telemetry.count("health.checks")
            self._telemetry.count("health.bytes", result.bytes_used)
            if not checked.removed:
                self._observer.observe_health(checked.service, checked.upstream, result.finding)
        finally:
            if not checked.removed:
                self._schedule_check(checked, sent_at + self._jittered_s())
            self._wake_event.set()

    def _schedule_check(self, checked: CheckedUpstream, at: float) -> None:
        heappush(self._check_heap, (at, next(self._serial), checked))

    def _jittered_s(self) -> float:
        return self._interval_s * self._rng.uniform(MIN_INTERVAL_FACTOR, MAX_INTERVAL_FACTOR)


def create_health_checker(
    settings: RoutingSettings,
    own: Instance,
    homes: Homes,
    observer: HealthObserver,
    probe: Probe,
    telemetry: Telemetry,
    rng: Random | None = None,
) -> HealthChecker:
    """Create a checker without services; must be called with an event loop running."""
    return HealthChecker(settings, own, homes, observer, probe, telemetry, rng or Random())
