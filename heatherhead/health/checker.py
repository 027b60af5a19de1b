"""Checks the health of the upstreams assigned to this instance, as far as its budget goes.

An upstream that calls have lately shown something of is not checked: its next check moves on with
each call. All checks of an instance share a budget of bytes; while it is spent the checks wait, the
longest overdue first, so that a small budget makes all of them equally seldom.
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
    from heatherhead.routing.interface import HealthEvidence
    from heatherhead.settings.routing import RoutingSettings
    from heatherhead.telemetry.interface import Telemetry

__all__ = ["HealthChecker", "create_health_checker"]

MAX_CONCURRENT_CHECKS = 16
REASSIGN_S = 1.0
SHORTEST, LONGEST = 0.8, 1.2  # of the interval
BURST_S = 2.0  # of the budget that may be used at once
SHORTEST_WAIT_S = 0.01  # rounding may leave a wait that the clock can't tell from none
FIRST_ESTIMATE_BYTES = 512


class Homes(Protocol):
    """Names the homes of a service."""

    def home_ids(self, service: str, region: str) -> list[str]:
        """List the ids of the homes in a region."""
        ...


@dataclass(slots=True, eq=False)
class Watched:
    """An upstream that this instance checks; `bytes_used` is what its last check took."""

    service: str
    path: str
    upstream: Upstream
    bytes_used: int = FIRST_ESTIMATE_BYTES
    dropped: bool = False

    def still_is(self, path: str, upstream: Upstream) -> bool:
        """Tell whether the checks of an upstream can go on as they are."""
        held = self.upstream
        address = (upstream.host, upstream.port)
        return self.path == path and (held.host, held.port) == address


class HealthChecker:
    """Checks upstreams one by one from `start` to `stop`."""

    def __init__(
        self,
        settings: RoutingSettings,
        own: Instance,
        homes: Homes,
        evidence: HealthEvidence,
        probe: Probe,
        telemetry: Telemetry,
        rng: Random,
    ) -> None:
        self._interval_s = settings.health_interval_ms / 1000
        self._own = own
        self._homes = homes
        self._evidence = evidence
        self._probe = probe
        self._telemetry = telemetry
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        rate = settings.health_bytes_per_second
        self._budget = create_token_bucket(rate, max(rate * BURST_S, FIRST_ESTIMATE_BYTES))
        self._service_by_name: dict[str, Service] = {}
        self._homes_by_name: dict[str, Sequence[str]] = {}
        self._watched_by_id_by_service: dict[str, dict[str, Watched]] = {}
        self._due: list[tuple[float, int, Watched]] = []
        self._serial = count()
        self._woken = asyncio.Event()
        self._running: asyncio.Task[None] | None = None
        self._checks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Begin to check."""
        self._running = self._loop.create_task(self._run())

    async def stop(self) -> None:
        """Stop, and give up the checks under way."""
        tasks = [*self._checks, *([self._running] if self._running else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def update_service(self, name: str, service: Service | None) -> None:
        """Take a service's new configuration; without a health path it is not checked."""
        self._homes_by_name.pop(name, None)
        if service is not None and service.health_path is not None:
            self._service_by_name[name] = service
        elif self._service_by_name.pop(name, None) is not None:
            for watched in self._watched_by_id_by_service.pop(name, {}).values():
                watched.dropped = True
        self._woken.set()

    def watched(self) -> list[tuple[str, str]]:
        """List service and upstream id of all that this instance checks."""
        return [
            (name, upstream_id)
            for name, watched_by_id in self._watched_by_id_by_service.items()
            for upstream_id in watched_by_id
        ]

    async def _run(self) -> None:
        while True:
            self._woken.clear()
            self._assign()
            wait_s = self._start_due_checks()
            try:
                async with asyncio.timeout(min(wait_s, REASSIGN_S)):
                    await self._woken.wait()
            except TimeoutError:
                continue

    def _assign(self) -> None:
        """Follow the homes of the services, of which this instance must be one to check."""
        for name, service in self._service_by_name.items():
            home_ids = self._homes.home_ids(name, self._own.region)
            if self._homes_by_name.get(name) != home_ids:
                self._homes_by_name[name] = home_ids
                upstreams = assigned_upstreams(service, self._own, home_ids)
                self._watch(service, upstreams)

    def _watch(self, service: Service, upstreams: list[Upstream]) -> None:
        """Check just these upstreams of a service, at first some time within an interval."""
        assert service.health_path is not None
        before = self._watched_by_id_by_service.get(service.name, {})
        after: dict[str, Watched] = {}
        for upstream in upstreams:
            watched = before.pop(upstream.id, None)
            if watched is None or not watched.still_is(service.health_path, upstream):
                if watched is not None:
                    watched.dropped = True
                watched = Watched(service.name, service.health_path, upstream)
                self._plan(watched, self._loop.time() + self._rng.random() * self._interval_s)
            after[upstream.id] = watched
        for watched in before.values():
            watched.dropped = True
        self._watched_by_id_by_service[service.name] = after

    def _start_due_checks(self) -> float:
        """Start the checks that are due and fit; say after how many seconds to look again."""
        while self._due:
            due_at, _, watched = self._due[0]
            now = self._loop.time()
            if due_at > now:
                return due_at - now
            if len(self._checks) >= MAX_CONCURRENT_CHECKS:
                return REASSIGN_S
            if watched.dropped or self._is_fresh(watched, now):
                heappop(self._due)
                continue
            if not self._budget.take(self._estimate(watched)):
                self._telemetry.count("health.waits_for_budget")
                return max(SHORTEST_WAIT_S, self._budget.wait_s(self._estimate(watched)))
            heappop(self._due)
            self._start(watched)
        return REASSIGN_S

    def _is_fresh(self, watched: Watched, now: float) -> bool:
        """Put the check off if calls showed the upstream's state lately; tell whether."""
        seen_at = self._evidence.seen_at(watched.service, watched.upstream)
        if seen_at + SHORTEST * self._interval_s <= now:
            return False
        self._plan(watched, seen_at + self._jittered_s())
        return True

    def _estimate(self, watched: Watched) -> float:
        return min(watched.bytes_used, self._budget.burst)

    def _start(self, watched: Watched) -> None:
        task = self._loop.create_task(self._check(watched))
        self._checks.add(task)
        task.add_done_callback(self._checks.discard)

    async def _check(self, watched: Watched) -> None:
        sent_at = self._loop.time()
        estimate = self._estimate(watched)
        try:
            result = await self._probe.check(watched.upstream, watched.path)
            self._budget.owe(result.bytes_used - estimate)
            watched.bytes_used = max(result.bytes_used, watched.bytes_used // 2)
            self._telemetry.count("health.checks")
            self._telemetry.count("health.bytes", result.bytes_used)
            if not watched.dropped:
                self._evidence.observe_health(watched.service, watched.upstream, result.finding)
        finally:
            if not watched.dropped:
                self._plan(watched, sent_at + self._jittered_s())
            self._woken.set()

    def _plan(self, watched: Watched, at: float) -> None:
        heappush(self._due, (at, next(self._serial), watched))

    def _jittered_s(self) -> float:
        return self._interval_s * self._rng.uniform(SHORTEST, LONGEST)


def create_health_checker(
    settings: RoutingSettings,
    own: Instance,
    homes: Homes,
    evidence: HealthEvidence,
    probe: Probe,
    telemetry: Telemetry,
    rng: Random | None = None,
) -> HealthChecker:
    """Create a checker without services; must be called inside the running loop."""
    return HealthChecker(settings, own, homes, evidence, probe, telemetry, rng or Random())
