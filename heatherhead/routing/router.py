"""The router of a daemon: one dispatcher for each service."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from result import Err

from heatherhead.exceptions import NoUpstreamError
from heatherhead.routing.dispatcher import create_dispatcher
from heatherhead.routing.interface import UpstreamEvidence

if TYPE_CHECKING:
    from result import Result

    from heatherhead.calls import Call
    from heatherhead.configuration.model import Service
    from heatherhead.exceptions import CallRefusedError
    from heatherhead.membership.interface import MembershipView, PeerNetwork
    from heatherhead.routing.dispatcher import Dispatcher
    from heatherhead.routing.interface import QuarantineEntry, Slot
    from heatherhead.settings.routing import RoutingSettings
    from heatherhead.telemetry.interface import Telemetry

__all__ = ["RoutingRouter", "create_router"]

NO_AVOIDED: frozenset[str] = frozenset()


class RoutingRouter:
    """Gives calls to upstreams; see `Router` for each method."""

    def __init__(
        self,
        settings: RoutingSettings,
        membership: MembershipView,
        network: PeerNetwork,
        telemetry: Telemetry,
        rng: Random,
    ) -> None:
        self.dispatcher_by_service: dict[str, Dispatcher] = {}
        self._settings = settings
        self._membership = membership
        self._network = network
        self._telemetry = telemetry
        self._rng = rng
        self._loop = asyncio.get_running_loop()

    async def acquire(
        self, call: Call, avoid: frozenset[str] = NO_AVOIDED
    ) -> Result[Slot, CallRefusedError]:
        """Wait for a slot."""
        dispatcher = self.dispatcher_by_service.get(call.service)
        if dispatcher is None:
            return Err(_unknown_service(call.service))
        return await dispatcher.acquire(call, avoid)

    def try_acquire(self, call: Call, avoid: frozenset[str] = NO_AVOIDED) -> Slot | None:
        """Take a free slot without waiting."""
        dispatcher = self.dispatcher_by_service.get(call.service)
        return dispatcher.try_acquire(call, avoid) if dispatcher else None

    def hedge_delay_s(self, call: Call) -> float | None:
        """Say how long to wait before a hedge."""
        dispatcher = self.dispatcher_by_service.get(call.service)
        return dispatcher.hedge_delay_s() if dispatcher else None

    def update_service(self, name: str, service: Service | None) -> None:
        """Take a service's new configuration, or drop it."""
        dispatcher = self.dispatcher_by_service.get(name)
        if service is None:
            if dispatcher is not None:
                del self.dispatcher_by_service[name]
                dispatcher.close()
        elif dispatcher is not None:
            dispatcher.update(service)
        else:
            self.dispatcher_by_service[name] = create_dispatcher(
                service, self._membership.own, self._settings, self._telemetry, self._rng
            )

    def evidence(self, service: str) -> list[UpstreamEvidence]:
        """List what is known of a service's upstreams."""
        dispatcher = self.dispatcher_by_service.get(service)
        if dispatcher is None:
            return []
        now = self._loop.time()
        return [
            UpstreamEvidence(
                state.upstream,
                state.condition(),
                state.in_flight,
                state.limit.value,
                state.oldest_age_s(now),
                state.reason,
            )
            for state in dispatcher.state_by_id.values()
        ]

    def quarantined(self) -> list[QuarantineEntry]:
        """List the quarantined fingerprints."""
        return []

    def release(self, service: str, fingerprint: int) -> bool:
        """Release a fingerprint."""
        return False


def _unknown_service(name: str) -> NoUpstreamError:
    return NoUpstreamError(
        f"there is no service {name}", remedy="ask for a service that is configured"
    )


def create_router(
    settings: RoutingSettings,
    membership: MembershipView,
    network: PeerNetwork,
    telemetry: Telemetry,
    rng: Random | None = None,
) -> RoutingRouter:
    """Create a router without services on the running loop."""
    return RoutingRouter(settings, membership, network, telemetry, rng or Random())
