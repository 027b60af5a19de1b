"""Runs real operators' servers over the embedded store, with fakes of the other components."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from result import Err

from heatherhead.configuration.editor import create_editor
from heatherhead.configuration.interface import AppliedRevision
from heatherhead.configuration.replica import create_replica
from heatherhead.exceptions import StoreAmbiguousError, StoreUnavailableError
from heatherhead.membership.interface import Address, Instance, InstanceState
from heatherhead.operators import DaemonParts, create_operators_server
from heatherhead.operators.client import create_operators_client
from heatherhead.routing.interface import QuarantineEntry, UpstreamSnapshot
from heatherhead.settings.instance import ListenSettings
from heatherhead.settings.operators import OperatorsSettings
from heatherhead.store.memory import MemoryStore
from heatherhead.telemetry.recorder import TelemetryRecorder

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from result import Result

    from heatherhead.configuration.editor import Editor
    from heatherhead.configuration.replica import Replica
    from heatherhead.exceptions import HeatherheadError
    from heatherhead.operators.client import OperatorsClient
    from heatherhead.settings.instance import TlsSettings
    from heatherhead.store.interface import WriteAnswer

__all__ = ["OperatorsHarness", "unused_address", "running_harness"]


class LossyStore(MemoryStore):
    """The embedded store with injected faults: writes fail or lose their reply."""

    def __init__(self) -> None:
        super().__init__()
        self.replies_to_lose = 0
        self.is_down = False
        self.writes = 0
        self.before_write: Callable[[], Awaitable[object]] | None = None

    async def compare_and_swap(
        self, key: str, expected_revision: int, value: bytes | None, lease_id: int = 0
    ) -> Result[WriteAnswer, HeatherheadError]:
        """Write; if `replies_to_lose` is not zero, the write takes effect and its reply is lost.

        `before_write` is awaited once before a write, to simulate a concurrent change.
        """
        if self.is_down:
            return Err(StoreUnavailableError("store down", remedy="wait for the store"))
        if self.before_write is not None:
            race, self.before_write = self.before_write, None
            await race()
        answer = await super().compare_and_swap(key, expected_revision, value, lease_id)
        if answer.is_ok() and answer.ok_value.succeeded:
            self.writes += 1
        if self.replies_to_lose:
            self.replies_to_lose -= 1
            return Err(StoreAmbiguousError("no reply", remedy="ask again"))
        return answer


def create_instance(instance_id: str, state: InstanceState = InstanceState.LIVE) -> Instance:
    """Create an instance with a placeholder address."""
    address = Address("127.0.0.1", 1)
    return Instance(instance_id, "1", "nord", "nord-1", address, address, address, state)


class FakeMembership:
    """A membership of three instances, whose states are set by tests."""

    def __init__(self) -> None:
        self.own = create_instance("a1")
        self.by_id = {each: create_instance(each) for each in ("a1", "a2", "a3")}
        self._listeners: list[Callable[[], None]] = []

    def live(self) -> list[Instance]:
        """List the live instances."""
        return [each for each in self.by_id.values() if each.state is InstanceState.LIVE]

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Add a listener that is called after each change."""
        self._listeners.append(listener)

    def set_state(self, instance_id: str, state: InstanceState) -> None:
        """Set the state of an instance and call the listeners."""
        self.by_id[instance_id] = create_instance(instance_id, state)
        for listener in self._listeners:
            listener()


@dataclass
class FakeStatus:
    """Applied revisions, set by tests for other instances and read from the replica for `a1`."""

    replica: Replica
    revision_by_id: dict[str, int] = field(default_factory=lambda: {"a2": 0, "a3": 0})

    def applied(self) -> list[AppliedRevision]:
        """List the revision that each instance has applied."""
        others = [AppliedRevision(key, value, 0.5) for key, value in self.revision_by_id.items()]
        return [AppliedRevision("a1", self.replica.revision, 0.0), *others]

    def missing(self, revision: int) -> list[str]:
        """List the instances that have not applied `revision` yet."""
        return [each.instance_id for each in self.applied() if each.revision < revision]


class FakeRouter:
    """A router whose upstreams are ready or draining, with a quarantine of one entry."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self.entries = [QuarantineEntry("orders", -2, 2, 40.0, "POST /orders")]

    def evidence(self, service: str) -> list[UpstreamSnapshot]:
        """List the states of a service's upstreams."""
        found = self._replica.service(service)
        return [
            UpstreamSnapshot(each, "draining" if each.draining else "ready", 1, 4.0, 0.25, "")
            for each in (found.upstreams if found else ())
        ]

    def quarantined(self) -> list[QuarantineEntry]:
        """List the quarantine entries."""
        return self.entries

    def release(self, service: str, fingerprint: int) -> bool:
        """Remove an entry; return whether it existed."""
        before = len(self.entries)
        self.entries = [
            each
            for each in self.entries
            if (each.service, each.fingerprint) != (service, fingerprint)
        ]
        return len(self.entries) < before


class OperatorsHarness:
    """The components that the operators' servers of a test share: one store and one replica."""

    def __init__(self) -> None:
        self.store = LossyStore()
        self.replica = create_replica()
        self.membership = FakeMembership()
        self.status = FakeStatus(self.replica)
        self.router = FakeRouter(self.replica)
        self.telemetry = TelemetryRecorder(None, 8)
        self.editor = create_editor(
            self.store, "/test/", self.replica, lambda record, _: self.replica.apply(record)
        )
        self.parts = DaemonParts(
            self.replica,
            self.editor,
            self.status,
            self.membership,  # type: ignore[arg-type]
            self.router,  # type: ignore[arg-type]
            self.telemetry,
        )
        self.addresses: list[Address] = []

    def other_editor(self) -> Editor:
        """Create the editor of another instance, whose replica is empty."""
        return create_editor(self.store, "/test/", create_replica(), lambda *_: True)

    def client(self, timeout_s: float = 10.0) -> OperatorsClient:
        """Create a client that knows the addresses of all servers."""
        return create_operators_client(self.addresses, timeout_s=timeout_s)


@asynccontextmanager
async def running_harness(
    servers: int = 1, tls: TlsSettings | None = None
) -> AsyncIterator[OperatorsHarness]:
    """Run operators' servers on free loopback ports."""
    harness = OperatorsHarness()
    settings = OperatorsSettings(listen=ListenSettings(port=0, tls=tls))
    running = [create_operators_server(settings, harness.parts) for _ in range(servers)]
    try:
        for server in running:
            await server.start()
            harness.addresses.append(server.address)
        yield harness
    finally:
        for server in running:
            await server.stop()


async def unused_address() -> Address:
    """Return a loopback address on which nothing listens."""
    server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    server.close()
    await server.wait_closed()
    return Address(host, port)
