"""The router of a daemon: one dispatcher for each service."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from result import Err

from heatherhead.membership.interface import Traffic
from heatherhead.routing.dispatcher import create_dispatcher
from heatherhead.routing.exchange import create_vector_exchange
from heatherhead.routing.health import apply_finding, apply_hint, record_finding
from heatherhead.routing.homes import create_home_sets
from heatherhead.routing.interface import UpstreamSnapshot
from heatherhead.routing.loop_lag import create_loop_lag
from heatherhead.routing.messages import (
    CrashRecords,
    DrainReport,
    HealthHint,
    QuarantineRelease,
)
from heatherhead.routing.quarantine import DEATHS_TO_QUARANTINE
from heatherhead.routing.refusals import unknown_service
from heatherhead.routing.upstream_state import NEVER

if TYPE_CHECKING:
    from result import Result

    from heatherhead.calls import Call
    from heatherhead.configuration.model import Service, Upstream
    from heatherhead.exceptions import CallRefusedError
    from heatherhead.membership.interface import MembershipView, PeerNetwork
    from heatherhead.routing.dispatcher import Dispatcher
    from heatherhead.routing.health import HealthFinding
    from heatherhead.routing.homes import RendezvousHomes
    from heatherhead.routing.interface import QuarantineEntry, Slot
    from heatherhead.routing.upstream_state import UpstreamState
    from heatherhead.settings.routing import RoutingSettings
    from heatherhead.telemetry.interface import Telemetry

__all__ = ["RoutingRouter", "create_router"]

DEMAND_INTERVAL_S = 1.0
REPAIR_INTERVAL_S = 30.0
LOAD_EWMA_WEIGHT = 0.2  # weight of the latest interval
NO_AVOIDED: frozenset[str] = frozenset()


class RoutingRouter:
    """Assigns calls to upstreams; implements `Router` and `HealthObserver`."""

    def __init__(
        self,
        settings: RoutingSettings,
        membership: MembershipView,
        network: PeerNetwork,
        telemetry: Telemetry,
        homes: RendezvousHomes,
        rng: Random,
    ) -> None:
        self.homes = homes
        self.dispatcher_by_service: dict[str, Dispatcher] = {}
        self._settings = settings
        self._membership = membership
        self._network = network
        self._telemetry = telemetry
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._exchange = create_vector_exchange(settings, membership, network, homes)
        self._lag = create_loop_lag()
        self._round_timer = self._schedule_round(settings.vector_interval_ms / 1000)
        self._demand_timer = self._loop.call_later(DEMAND_INTERVAL_S, self._report_demand)
        self._next_repair_at = self._loop.time() + REPAIR_INTERVAL_S * rng.random()
        network.subscribe(DrainReport, self._on_drain_report)
        network.subscribe(HealthHint, self._on_health_hint)
        network.subscribe(CrashRecords, self._on_crash_records)
        network.subscribe(QuarantineRelease, self._on_release)

    async def acquire(
        self, call: Call, avoid: frozenset[str] = NO_AVOIDED
    ) -> Result[Slot, CallRefusedError]:
        """Wait for a slot; see `Router.acquire`."""
        dispatcher = self.dispatcher_by_service.get(call.service)
        if dispatcher is None:
            return Err(unknown_service(call.service))
        return await dispatcher.acquire(call, avoid)

    def try_acquire(self, call: Call, avoid: frozenset[str] = NO_AVOIDED) -> Slot | None:
        """Return a free slot without waiting, or `None`."""
        dispatcher = self.dispatcher_by_service.get(call.service)
        return dispatcher.try_acquire(call, avoid) if dispatcher else None

    def hedge_delay_s(self, call: Call) -> float | None:
        """Return the delay in seconds before a hedge; `None` for no hedge."""
        dispatcher = self.dispatcher_by_service.get(call.service)
        return dispatcher.hedge_delay_s(call) if dispatcher else None

    def update_service(self, name: str, service: Service | None) -> None:
        """Apply a service's new configuration, or remove the service for `None`."""
        dispatcher = self.dispatcher_by_service.get(name)
        if service is None:
            if dispatcher is not None:
                del self.dispatcher_by_service[name]
                self._exchange.remove_service(name)
                dispatcher.close()
            return
        if dispatcher is not None:
            dispatcher.update(service)
        else:
            dispatcher = create_dispatcher(
                service, self._membership.own, self._settings, self._telemetry, self._rng
            )
            dispatcher.evidence.lag = self._lag
            dispatcher.evidence.on_draining = lambda state: self._report_draining(name, state)
            dispatcher.evidence.on_hint = lambda state: self._report_hint(name, state)
            dispatcher.quarantine.publish = lambda records: self._report_crashes(name, records)
            self.dispatcher_by_service[name] = dispatcher
        self._exchange.add_service(dispatcher)

    def evidence(self, service: str) -> list[UpstreamSnapshot]:
        """List the states of a service's upstreams."""
        dispatcher = self.dispatcher_by_service.get(service)
        if dispatcher is None:
            return []
        now = self._loop.time()
        return [
            UpstreamSnapshot(
                state.upstream,
                state.state_name(),
                state.in_flight,
                state.limit.value,
                state.oldest_age_s(now),
                state.reason_with_health(now),
            )
            for state in dispatcher.state_by_id.values()
        ]

    def last_observed_at(self, service: str, upstream: Upstream) -> float:
        """Return when calls last gave evidence of an upstream; see `HealthObserver`."""
        state = self._state_of(service, upstream)
        if state is None:
            return NEVER
        return self._loop.time() if state.reported_in_flight else state.last_observed_at

    def observe_health(self, service: str, upstream: Upstream, finding: HealthFinding) -> None:
        """Apply a health check's finding; see `HealthObserver`."""
        state = self._state_of(service, upstream)
        if state is None:
            return
        now = self._loop.time()
        record_finding(state, finding, now)
        dispatcher = self.dispatcher_by_service[service]
        dispatcher.evidence.end_pauses(now)
        apply_finding(finding, dispatcher.evidence, state, now)
        if dispatcher.queue:
            dispatcher.dispatch()

    def _state_of(self, service: str, upstream: Upstream) -> UpstreamState | None:
        """Return the state of an upstream, or `None` if unknown or at another address."""
        dispatcher = self.dispatcher_by_service.get(service)
        state = dispatcher.state_by_id.get(upstream.id) if dispatcher else None
        if state is None:
            return None
        known = state.upstream
        return state if (known.host, known.port) == (upstream.host, upstream.port) else None

    def quarantined(self) -> list[QuarantineEntry]:
        """List the quarantined fingerprints."""
        dispatchers = self.dispatcher_by_service.values()
        return [entry for each in dispatchers for entry in each.quarantine.entries()]

    def release(self, service: str, fingerprint: int) -> bool:
        """Release a fingerprint here and at the other homes."""
        for peer_id in self._other_homes_in_all_regions(service):
            self._network.send(peer_id, QuarantineRelease(service, fingerprint), Traffic.CONTROL)
        return self._release(service, fingerprint)

    def close(self) -> None:
        """Stop the timers and refuse all waiting calls."""
        self._round_timer.cancel()
        self._demand_timer.cancel()
        for dispatcher in self.dispatcher_by_service.values():
            dispatcher.close()

    def _run_round(self) -> None:
        self._lag.record_timer(self._loop.time())
        delay_s = self._exchange.run_round()
        self._round_timer = self._schedule_round(delay_s)

    def _schedule_round(self, delay_s: float) -> asyncio.TimerHandle:
        due_at = self._loop.time() + delay_s
        self._lag.expect_timer(due_at)
        return self._loop.call_at(due_at, self._run_round)

    def _report_demand(self) -> None:
        self._demand_timer = self._loop.call_later(DEMAND_INTERVAL_S, self._report_demand)
        rate_by_service = {}
        for name, dispatcher in self.dispatcher_by_service.items():
            if dispatcher.calls_in_interval or dispatcher.smoothed_rate:
                latest = dispatcher.calls_in_interval / DEMAND_INTERVAL_S
                dispatcher.smoothed_rate += LOAD_EWMA_WEIGHT * (latest - dispatcher.smoothed_rate)
                dispatcher.calls_in_interval = 0
                rate_by_service[name] = max(dispatcher.smoothed_rate, latest)
        load = sum(rate_by_service.values())
        self._exchange.load = round(load)
        self.homes.load_by_id[self._membership.own.id] = load
        self.homes.counts.report(rate_by_service)
        self.homes.counts.resize_led_services()
        if self._loop.time() >= self._next_repair_at:
            self._next_repair_at = self._loop.time() + REPAIR_INTERVAL_S
            self._repair_counts()

    def _repair_counts(self) -> None:
        neighbours = self._network.neighbours()
        if neighbours:
            self.homes.counts.send_table(self._rng.choice(neighbours))

    def _report_draining(self, service: str, state: UpstreamState) -> None:
        """Report a draining upstream to the other homes of this region."""
        self._send_to_regional_homes(service, DrainReport(service, state.upstream.id))

    def _report_hint(self, service: str, state: UpstreamState) -> None:
        """Report a health check's hint to the other homes of this region."""
        self._send_to_regional_homes(service, HealthHint(service, state.upstream.id))

    def _send_to_regional_homes(self, service: str, message: DrainReport | HealthHint) -> None:
        for peer_id in self._other_homes(service, self._membership.own.region):
            self._network.send(peer_id, message, Traffic.CONTROL)

    def _on_drain_report(self, _sender_id: str, message: DrainReport) -> None:
        dispatcher = self.dispatcher_by_service.get(message.service)
        state = dispatcher.state_by_id.get(message.upstream_id) if dispatcher else None
        if dispatcher is not None and state is not None:
            dispatcher.evidence.exclusions.exclude_draining(state, self._loop.time())

    def _on_health_hint(self, _sender_id: str, message: HealthHint) -> None:
        dispatcher = self.dispatcher_by_service.get(message.service)
        state = dispatcher.state_by_id.get(message.upstream_id) if dispatcher else None
        if dispatcher is not None and state is not None:
            apply_hint(dispatcher.evidence, state, self._loop.time())

    def _report_crashes(self, service: str, records: CrashRecords) -> None:
        """Send suspects to this region's homes, and quarantined fingerprints to all homes."""
        peer_ids = self._other_homes(service, self._membership.own.region)
        if any(deaths >= DEATHS_TO_QUARANTINE for _, _, deaths, _, _ in records.rows):
            peer_ids = self._other_homes_in_all_regions(service)
        for peer_id in peer_ids:
            self._network.send(peer_id, records, Traffic.CONTROL)

    def _on_crash_records(self, _sender_id: str, message: CrashRecords) -> None:
        for service, fingerprint, deaths, seconds, example in message.rows:
            dispatcher = self.dispatcher_by_service.get(service)
            if dispatcher is not None:
                dispatcher.quarantine.apply_report(fingerprint, deaths, seconds, example)

    def _on_release(self, _sender_id: str, message: QuarantineRelease) -> None:
        self._release(message.service, message.fingerprint)

    def _release(self, service: str, fingerprint: int) -> bool:
        dispatcher = self.dispatcher_by_service.get(service)
        return dispatcher is not None and dispatcher.quarantine.release(fingerprint)

    def _other_homes(self, service: str, region: str) -> list[str]:
        own_id = self._membership.own.id
        return [each for each in self.homes.home_ids(service, region) if each != own_id]

    def _other_homes_in_all_regions(self, service: str) -> list[str]:
        regions = sorted({each.region for each in self._membership.by_id.values()})
        return [home for region in regions for home in self._other_homes(service, region)]


def create_router(
    settings: RoutingSettings,
    membership: MembershipView,
    network: PeerNetwork,
    telemetry: Telemetry,
    homes: RendezvousHomes | None = None,
    rng: Random | None = None,
) -> RoutingRouter:
    """Create a router without services on the running loop; `homes` may be shared."""
    homes = homes or create_home_sets(membership, network, settings)
    return RoutingRouter(settings, membership, network, telemetry, homes, rng or Random())
