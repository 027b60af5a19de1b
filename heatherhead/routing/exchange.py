"""Periodic exchange of in-flight counts between co-homes: the homes of one service in a region.

A vector holds the in-flight counts of one service, one for each upstream. Each round sends one
message to each co-home, with the changed vectors of all services that both serve. A count older
than a small part of the service time misleads, so the counts of a service are updated ten times per
median service time, and not sent at all if the median is below ten rounds.
The interval grows with the size of a round, and backs off when the byte budget refuses a message;
upstreams are then selected by fewer vectors, and finally by this home's own calls alone.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from heatherhead.membership.interface import Traffic
from heatherhead.routing.messages import InFlightVectors
from heatherhead.routing.shares import owner_by_upstream
from heatherhead.routing.vectors import (
    PeerVector,
    pack_changes,
    signature_of,
    unpack_changes,
    vector_of,
)

if TYPE_CHECKING:
    from heatherhead.membership.interface import MembershipView, PeerNetwork
    from heatherhead.routing.dispatcher import Dispatcher
    from heatherhead.routing.homes import RendezvousHomes
    from heatherhead.routing.upstream_state import UpstreamState
    from heatherhead.settings.routing import RoutingSettings

__all__ = ["VectorExchange", "create_vector_exchange"]

FULL_VECTOR_INTERVAL_S = 1.0
VECTOR_LIFETIME_S = 2.5
MAX_PEERS_PER_SERVICE = 64
MAX_BACKOFF_FACTOR = 64.0
SERVICES_UPDATED_PER_ROUND = 16
VECTORS_PER_SERVICE_TIME = 10
ROW_OVERHEAD_BYTES = 10
MESSAGE_OVERHEAD_BYTES = 12


@dataclass(slots=True)
class _SharedService:
    """A service with its co-homes, and the vectors sent to and received from them.

    `signature` identifies the list of upstreams. `octets` is this home's vector, whose counts are
    next updated at `next_counts_at`. `sent_by_peer` holds the vector last sent to a co-home and the
    time of the last complete one.
    """

    dispatcher: Dispatcher
    states: list[UpstreamState]
    signature: int
    co_homes: list[str] = field(default_factory=list)
    home_ids: list[str] | None = None
    vector_by_peer: dict[str, PeerVector] = field(default_factory=dict)
    sent_by_peer: dict[str, tuple[bytes, float]] = field(default_factory=dict)
    next_counts_at: float = 0.0
    octets: bytes = b""


class VectorExchange:
    """Sends and applies vectors, and assigns this home its share of the upstreams."""

    def __init__(
        self,
        settings: RoutingSettings,
        membership: MembershipView,
        network: PeerNetwork,
        homes: RendezvousHomes,
    ) -> None:
        self.load = 0
        self._settings = settings
        self._membership = membership
        self._network = network
        self._homes = homes
        self._shared_by_service: dict[str, _SharedService] = {}
        self._services_with_co_homes: list[_SharedService] = []
        self._applied_version = (-1, -1)
        self._pending_updates: list[str] = []
        self._backoff_factor = 1.0
        network.subscribe(InFlightVectors, self._on_vectors)

    def add_service(self, dispatcher: Dispatcher) -> None:
        """Add a service, or replace it after a change of its upstreams."""
        name = dispatcher.service.name
        self.remove_service(name)
        ids = [each.id for each in dispatcher.service.upstreams]
        states = [dispatcher.state_by_id[each] for each in ids]
        shared = _SharedService(dispatcher, states, signature_of(ids))
        self._shared_by_service[name] = shared
        self._apply_homes(shared)
        self._refresh_co_homes()

    def remove_service(self, name: str) -> None:
        """Remove a service and the vectors received for it."""
        shared = self._shared_by_service.pop(name, None)
        if shared is not None:
            for vector in shared.vector_by_peer.values():
                vector.withdraw(shared.states)
            self._refresh_co_homes()

    def co_homes(self, name: str) -> list[str]:
        """List the other homes of a service in this region."""
        shared = self._shared_by_service.get(name)
        return shared.co_homes if shared else []

    def run_round(self) -> float:
        """Send changed vectors to the co-homes; return the seconds until the next round."""
        self._update_homes()
        now = asyncio.get_running_loop().time()
        rows_by_peer: dict[str, list[tuple[str, int, bytes, bool]]] = {}
        for shared in self._services_with_co_homes:
            if not self._is_idle(shared):
                self._expire(shared, now)
                self._add_rows(shared, rows_by_peer, now)
        size = self._send(rows_by_peer)
        interval_s = self._settings.vector_interval_ms / 1000 * self._backoff_factor
        return max(interval_s, size / self._settings.vector_bytes_per_second)

    def _is_idle(self, shared: _SharedService) -> bool:
        """Return whether a service has no vectors to send, to withdraw or to expire."""
        return not (
            shared.sent_by_peer
            or shared.vector_by_peer
            or shared.dispatcher.isolation.reserved is not None
            or self._shares_counts(shared)
        )

    def _shares_counts(self, shared: _SharedService) -> bool:
        """Return whether a service's calls last long enough for shared counts to be useful."""
        median_ms = shared.dispatcher.service_time.median_s * 1000
        return median_ms >= VECTORS_PER_SERVICE_TIME * self._settings.vector_interval_ms

    def _add_rows(
        self,
        shared: _SharedService,
        rows_by_peer: dict[str, list[tuple[str, int, bytes, bool]]],
        now: float,
    ) -> None:
        octets = self._octets(shared, now)
        for peer_id in shared.co_homes:
            before, full_sent_at = shared.sent_by_peer.get(peer_id, (b"", 0.0))
            full_due = now - full_sent_at >= FULL_VECTOR_INTERVAL_S and any(octets)
            if octets == before and not full_due:
                continue
            if not before and not any(octets):
                continue
            if full_due or not before:
                before, full_sent_at = b"", now
            data, partial = pack_changes(before, octets)
            name = shared.dispatcher.service.name
            rows_by_peer.setdefault(peer_id, []).append((name, shared.signature, data, partial))
            if any(octets):
                shared.sent_by_peer[peer_id] = (octets, full_sent_at)
            else:
                shared.sent_by_peer.pop(peer_id, None)

    def _octets(self, shared: _SharedService, now: float) -> bytes:
        """Return a service's vector, with new counts when they are due."""
        if not self._shares_counts(shared):
            return vector_of(shared.states, counts=False)
        if now >= shared.next_counts_at:
            median_s = shared.dispatcher.service_time.median_s
            shared.next_counts_at = now + median_s / VECTORS_PER_SERVICE_TIME
            shared.octets = vector_of(shared.states, counts=True)
        return shared.octets

    def _send(self, rows_by_peer: dict[str, list[tuple[str, int, bytes, bool]]]) -> int:
        size = 0
        refused = False
        for peer_id, rows in rows_by_peer.items():
            message = InFlightVectors(self.load, rows)
            if self._network.send(peer_id, message, Traffic.MEASURING):
                size += MESSAGE_OVERHEAD_BYTES
                size += sum(len(row[0]) + len(row[2]) + ROW_OVERHEAD_BYTES for row in rows)
                continue
            refused = True
            for row in rows:
                self._shared_by_service[row[0]].sent_by_peer.pop(peer_id, None)
        if refused:
            self._backoff_factor = min(self._backoff_factor * 2, MAX_BACKOFF_FACTOR)
        elif rows_by_peer:
            self._backoff_factor = max(self._backoff_factor / 2, 1.0)
        return size

    def _on_vectors(self, sender_id: str, message: InFlightVectors) -> None:
        sender = self._membership.by_id.get(sender_id)
        if sender is None or sender.region != self._membership.own.region:
            return
        self._homes.load_by_id[sender_id] = message.load
        now = asyncio.get_running_loop().time()
        for name, signature, data, partial in message.rows:
            shared = self._shared_by_service.get(name)
            if shared is not None and shared.signature == signature:
                self._apply_vector(shared, sender_id, data, partial, now)

    def _apply_vector(
        self, shared: _SharedService, sender_id: str, data: bytes, partial: bool, now: float
    ) -> None:
        vector = shared.vector_by_peer.get(sender_id)
        if vector is None:
            if len(shared.vector_by_peer) >= MAX_PEERS_PER_SERVICE:
                return
            vector = PeerVector(len(shared.states), shared.signature, now)
            shared.vector_by_peer[sender_id] = vector
        vector.received_at = now
        changed = vector.apply(unpack_changes(data, partial), shared.states)
        shared.dispatcher.on_reported_changes(changed)

    def _expire(self, shared: _SharedService, now: float) -> None:
        for peer_id, vector in list(shared.vector_by_peer.items()):
            if now - vector.received_at > VECTOR_LIFETIME_S:
                del shared.vector_by_peer[peer_id]
                shared.dispatcher.on_reported_changes(vector.withdraw(shared.states))

    def _update_homes(self) -> None:
        """Apply changed homes, a few services per round so as not to block the event loop."""
        version = (self._homes.version, self._homes.counts.version)
        if version != self._applied_version and not self._pending_updates:
            self._applied_version = version
            self._pending_updates = list(self._shared_by_service)
        if not self._pending_updates:
            return
        names = self._pending_updates[-SERVICES_UPDATED_PER_ROUND:]
        del self._pending_updates[-SERVICES_UPDATED_PER_ROUND:]
        for name in names:
            if name in self._shared_by_service:
                self._apply_homes(self._shared_by_service[name])
        self._refresh_co_homes()

    def _refresh_co_homes(self) -> None:
        self._services_with_co_homes = [
            each for each in self._shared_by_service.values() if each.co_homes
        ]

    def _apply_homes(self, shared: _SharedService) -> None:
        own = self._membership.own
        name = shared.dispatcher.service.name
        home_ids = self._homes.home_ids(name, own.region)
        if home_ids == shared.home_ids:
            return
        shared.home_ids = home_ids
        is_home = own.id in home_ids
        shared.co_homes = [each for each in home_ids if each != own.id] if is_home else []
        for peer_id in shared.sent_by_peer.keys() - set(shared.co_homes):
            del shared.sent_by_peer[peer_id]
        self._divide(shared, home_ids)

    def _divide(self, shared: _SharedService, home_ids: list[str]) -> None:
        own = self._membership.own
        by_id = self._membership.by_id
        zone_by_home = {each: by_id[each].availability_zone for each in home_ids if each in by_id}
        local = [each.upstream for each in shared.states if each.local_region]
        owners = owner_by_upstream(shared.dispatcher.service.name, local, zone_by_home)
        for state in shared.states:
            state.owned = owners.get(state.upstream.id) == own.id
            state.preferred = state.owned or self._settings.share_upstreams
            shared.dispatcher.policy.refresh(state)


def create_vector_exchange(
    settings: RoutingSettings,
    membership: MembershipView,
    network: PeerNetwork,
    homes: RendezvousHomes,
) -> VectorExchange:
    """Create an exchange without services."""
    return VectorExchange(settings, membership, network, homes)
