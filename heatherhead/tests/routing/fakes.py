"""Fakes of routing's dependencies: membership view, peer network and telemetry."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random
from typing import TYPE_CHECKING, Any

from heatherhead.calls import AttemptResult, AttemptState, Call, UpstreamSignal
from heatherhead.configuration.model import Service, Upstream
from heatherhead.membership.interface import Address, Instance, Traffic
from heatherhead.membership.messages import decode, encode
from heatherhead.routing.router import create_router
from heatherhead.settings.routing import RoutingSettings

if TYPE_CHECKING:
    from collections.abc import Callable

    from heatherhead.routing.router import RoutingRouter
    from heatherhead.telemetry.interface import HistogramKind

__all__ = [
    "FakeMembership",
    "FakeNetwork",
    "FakeSwitch",
    "FakeTelemetry",
    "answered",
    "create_call",
    "create_instance",
    "create_router_fleet",
    "create_service",
    "create_single_router",
    "warm_up",
]

SERVICE_S = 0.010
WARM_UP_CALLS = 64


class FakeMembership:
    """A membership view that tests can replace."""

    def __init__(self, own: Instance, instances: list[Instance] | None = None) -> None:
        self.own = own
        self.by_id = {each.id: each for each in instances or [own]}
        self._listeners: list[Callable[[], None]] = []

    def live(self) -> list[Instance]:
        """List all instances."""
        return list(self.by_id.values())

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change."""
        self._listeners.append(listener)

    def replace(self, instances: list[Instance]) -> None:
        """Change the view."""
        self.by_id = {each.id: each for each in instances}
        for listener in self._listeners:
            listener()


class FakeSwitch:
    """Connects fake networks; messages are encoded, and delivered after `delay_s`."""

    def __init__(self, delay_s: float = 0.001) -> None:
        self.delay_s = delay_s
        self.network_by_id: dict[str, FakeNetwork] = {}
        self.bytes_by_traffic: Counter[Traffic] = Counter()


class FakeNetwork:
    """A peer network of one instance; `refuse` simulates an exhausted byte budget."""

    def __init__(self, own_id: str, switch: FakeSwitch) -> None:
        self.own_id = own_id
        self.refuse = False
        self.sent: list[tuple[str, object, Traffic]] = []
        self.neighbour_ids: list[str] = []
        self._switch = switch
        self._handler_by_type: dict[type, Callable[[str, Any], None]] = {}
        switch.network_by_id[own_id] = self

    def send(self, instance_id: str, message: object, traffic: Traffic) -> bool:
        """Deliver to a connected network after the delay."""
        target = self._switch.network_by_id.get(instance_id)
        if self.refuse or target is None:
            return False
        data = encode(message)
        self.sent.append((instance_id, message, traffic))
        self._switch.bytes_by_traffic[traffic] += len(data)
        loop = asyncio.get_running_loop()
        loop.call_later(self._switch.delay_s, target.receive, self.own_id, data)
        return True

    def neighbours(self) -> list[str]:
        """List the neighbours that the test set."""
        return self.neighbour_ids

    def subscribe(self, message_type: type, handler: Callable[[str, Any], None]) -> None:
        """Call `handler` for messages of a type."""
        self._handler_by_type[message_type] = handler

    def receive(self, sender_id: str, data: bytes) -> None:
        """Decode a message and call its handler."""
        message = decode(data)
        self._handler_by_type[type(message)](sender_id, message)


class FakeTelemetry:
    """Counts the observations recorded."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def observe(self, service: str, call_class: str, kind: HistogramKind, value: float) -> None:
        """Count an observation."""
        self.counts[kind] += 1

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counts[name] += amount

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.counts[name] = int(value)


def create_instance(
    instance_id: str, zone: str = "local", region: str = "local", incarnation: str = "1"
) -> Instance:
    """Create an instance."""
    address = Address("127.0.0.1", 1)
    return Instance(instance_id, incarnation, region, zone, address, address, address)


def create_service(upstreams: int = 3, slots: int = 2, **changes: Any) -> Service:
    """Create a service with equal upstreams `u0`, `u1` and so on."""
    many = tuple(
        Upstream(f"u{index}", "127.0.0.1", 1000 + index, slots=slots) for index in range(upstreams)
    )
    return Service("orders", **{"upstreams": many, **changes})


def create_single_router(
    service: Service, seed: int = 1, telemetry: FakeTelemetry | None = None, **settings: Any
) -> RoutingRouter:
    """Create the router of a lone instance with one service."""
    own = create_instance("one")
    router = create_router(
        RoutingSettings(**settings),
        FakeMembership(own),
        FakeNetwork(own.id, FakeSwitch()),
        telemetry or FakeTelemetry(),
        rng=Random(seed),
    )
    router.update_service(service.name, service)
    return router


def create_router_fleet(
    service: Service, instances: list[Instance], switch: FakeSwitch | None = None, **settings: Any
) -> dict[str, RoutingRouter]:
    """Create the routers of connected instances by id; each neighbours the next in a ring."""
    switch = switch or FakeSwitch()
    router_by_id = {}
    for index, own in enumerate(instances):
        network = FakeNetwork(own.id, switch)
        network.neighbour_ids = [instances[(index + 1) % len(instances)].id]
        router = create_router(
            RoutingSettings(**settings),
            FakeMembership(own, instances),
            network,
            FakeTelemetry(),
            rng=Random(index),
        )
        router.update_service(service.name, service)
        router_by_id[own.id] = router
    return router_by_id


def create_call(in_s: float = 1.0, **changes: Any) -> Call:
    """Create a call whose deadline is `in_s` seconds away."""
    now = asyncio.get_running_loop().time()
    values = {"service": "orders", "method": "GET", "target": "/", "idempotent": True}
    return Call(**{**values, "arrived_at": now, "deadline": now + in_s, **changes})


def answered(duration_s: float = SERVICE_S, status: int = 200, **changes: Any) -> AttemptResult:
    """Create the result of an answered attempt."""
    return AttemptResult(AttemptState.ANSWERED, status, duration_s, **changes)


def result_with_signal(
    signal: UpstreamSignal, state: AttemptState = AttemptState.REFUSED
) -> AttemptResult:
    """Create the result of an unanswered attempt with a signal of the upstream."""
    return AttemptResult(state, 503, 0.001, signal)


async def warm_up(router: RoutingRouter) -> None:
    """Answer enough calls for the median service time to be known."""
    for _ in range(WARM_UP_CALLS):
        slot = (await router.acquire(create_call())).unwrap()
        await asyncio.sleep(SERVICE_S)
        slot.finish(answered())
