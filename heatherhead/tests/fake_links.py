"""In-memory peer streams with latency, message loss, partitions, pauses and crashes."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from typing import TYPE_CHECKING, Any

from heatherhead.membership.messages import decode, encode

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from heatherhead.membership.interface import Instance, Traffic
    from heatherhead.membership.member_table import Member, MemberTable

__all__ = ["FakeHub", "FakeLinks", "create_fake_hub"]

LATENCY_S = 0.01
CONNECT_TIMEOUT_S = 2.0
RECONNECT_INTERVAL_S = 0.25


class FakeHub:
    """Connects the fake streams of all instances of a test.

    `is_lost` decides whether a message from a sender to a receiver is lost.
    """

    def __init__(self) -> None:
        self.links_by_id: dict[str, FakeLinks] = {}
        self.bytes_by_pair: dict[tuple[str, str], int] = defaultdict(int)
        self.is_lost: Callable[[str, str, object], bool] = lambda *_: False
        self._partitioned_pairs: set[frozenset[str]] = set()
        self._queue_by_paused_id: dict[str, list[Callable[[], None]]] = {}

    def create_links(self, table: MemberTable) -> FakeLinks:
        """Create the streams of an instance; a previous process with the same id crashes."""
        self.crash(table.own_id)
        links = self.links_by_id[table.own_id] = FakeLinks(self, table)
        return links

    def crash(self, instance_id: str) -> None:
        """Crash an instance; its peers see their streams end."""
        crashed = self.links_by_id.pop(instance_id, None)
        if crashed is None:
            return
        crashed.is_up = False
        for peer_id in list(crashed.last_received_at_by_id):
            self._disconnect_pair(crashed, peer_id)

    def cut(self, ones: Iterable[str], others: Iterable[str]) -> None:
        """Partition two groups: messages between them are lost, and their streams stay open."""
        others = list(others)
        self._partitioned_pairs.update(frozenset((one, other)) for one in ones for other in others)

    def heal(self) -> None:
        """End all partitions; streams that crossed one are closed."""
        pairs, self._partitioned_pairs = self._partitioned_pairs, set()
        for pair in sorted(pairs, key=sorted):
            one, other = sorted(pair)
            links = self.links_by_id.get(one)
            if links is not None and other in links.last_received_at_by_id:
                self._disconnect_pair(links, other)

    def pause(self, instance_id: str) -> None:
        """Queue the messages that arrive at an instance until it resumes."""
        self._queue_by_paused_id[instance_id] = []

    def resume(self, instance_id: str) -> None:
        """Deliver the messages that arrived during the pause."""
        for deliver in self._queue_by_paused_id.pop(instance_id, []):
            deliver()

    def is_partitioned(self, one: str, other: str) -> bool:
        """Return whether a partition separates two instances."""
        return frozenset((one, other)) in self._partitioned_pairs

    def deliver(self, sender: FakeLinks, receiver_id: str, data: bytes) -> None:
        """Deliver a message after the latency, unless a crash or partition prevents it."""
        self.bytes_by_pair[sender.own_id, receiver_id] += len(data)
        loop = asyncio.get_running_loop()
        loop.call_later(LATENCY_S, self._on_arrival, sender, receiver_id, data)

    def _on_arrival(self, sender: FakeLinks, receiver_id: str, data: bytes) -> None:
        receiver = self.links_by_id.get(receiver_id)
        if receiver is None or sender.own_id not in receiver.last_received_at_by_id:
            return
        if self.is_partitioned(sender.own_id, receiver_id):
            return
        waiting = self._queue_by_paused_id.get(receiver_id)
        if waiting is not None:
            waiting.append(lambda: receiver.receive(sender.own_id, data))
        else:
            receiver.receive(sender.own_id, data)

    def connect(self, dialer: FakeLinks, peer_id: str) -> None:
        """Open a stream, or report to the dialer that it failed."""
        peer = self.links_by_id.get(peer_id)
        is_unreachable = (
            self.is_partitioned(dialer.own_id, peer_id) or peer_id in self._queue_by_paused_id
        )
        delay_s = CONNECT_TIMEOUT_S if is_unreachable else LATENCY_S
        is_possible = peer is not None and not is_unreachable
        asyncio.get_running_loop().call_later(
            delay_s, dialer.on_connected if is_possible else dialer.on_refused, peer_id
        )

    def _disconnect_pair(self, one: FakeLinks, other_id: str) -> None:
        one.on_disconnected(other_id)
        other = self.links_by_id.get(other_id)
        if other is not None:
            other.on_disconnected(one.own_id)


class FakeLinks:
    """The streams of one instance; implements `PeerLinks`."""

    def __init__(self, hub: FakeHub, table: MemberTable) -> None:
        self.own_id = table.own_id
        self.last_received_at_by_id: dict[str, float] = {}
        self.is_up = True
        self._hub = hub
        self._table = table
        self._neighbour_ids: set[str] = set()
        self._dialling: set[str] = set()
        self._unsent_by_id: dict[str, list[bytes]] = defaultdict(list)
        self._handlers_by_type: dict[type, list[Callable[[str, Any], None]]] = defaultdict(list)
        self._greeting_listeners: list[Callable[[Member], None]] = []
        self._lost_listeners: list[Callable[[str], None]] = []
        self._unreachable_listeners: list[Callable[[str], None]] = []

    async def start(self) -> int:
        """Start to maintain the streams to neighbours."""
        self._maintain_streams()
        return self._table.own.instance.peers.port

    async def stop(self) -> None:
        """End all streams."""
        if self._hub.links_by_id.get(self.own_id) is self:
            self._hub.crash(self.own_id)

    def send(self, instance_id: str, message: object, traffic: Traffic) -> bool:
        """Send to an instance that is connected or known; return whether it could be sent."""
        if not self.is_up:
            return False
        data = encode(message)
        if instance_id in self.last_received_at_by_id:
            if not self._hub.is_lost(self.own_id, instance_id, message):
                self._hub.deliver(self, instance_id, data)
            return True
        if instance_id not in self._table.by_id or instance_id == self.own_id:
            return False
        self._unsent_by_id[instance_id].append(data)
        self._dial(instance_id)
        return True

    def neighbours(self) -> list[str]:
        """List the connected instances that are a neighbour for either end."""
        return [
            each
            for each in self.last_received_at_by_id
            if each in self._neighbour_ids
            or self._hub.links_by_id[each].is_own_neighbour(self.own_id)
        ]

    def connected_ids(self) -> list[str]:
        """List the connected instances."""
        return list(self.last_received_at_by_id)

    def is_own_neighbour(self, instance_id: str) -> bool:
        """Return whether a stream to an instance is maintained."""
        return instance_id in self._neighbour_ids

    def last_received_at(self, instance_id: str) -> float | None:
        """Return when a message of an instance was last received."""
        return self.last_received_at_by_id.get(instance_id)

    def subscribe(self, message_type: type, handler: Callable[[str, Any], None]) -> None:
        """Call `handler` for each message of a type."""
        self._handlers_by_type[message_type].append(handler)

    def set_neighbours(self, neighbours: Iterable[Instance]) -> None:
        """Set the neighbours to which streams are maintained."""
        self._neighbour_ids = {each.id for each in neighbours}

    def try_connect(self, instance: Instance) -> None:
        """Try once to open a stream."""
        self._dial(instance.id)

    def disconnect(self, instance_id: str) -> None:
        """Close a stream."""
        if instance_id in self.last_received_at_by_id:
            self._hub._disconnect_pair(self, instance_id)

    def on_greeting(self, listener: Callable[[Member], None]) -> None:
        """Call `listener` with the peer of each new stream."""
        self._greeting_listeners.append(listener)

    def on_lost(self, listener: Callable[[str], None]) -> None:
        """Call `listener` with the id of each peer whose stream has ended."""
        self._lost_listeners.append(listener)

    def on_unreachable(self, listener: Callable[[str], None]) -> None:
        """Call `listener` with the id of each peer to which no stream could be opened."""
        self._unreachable_listeners.append(listener)

    def receive(self, sender_id: str, data: bytes) -> None:
        """Pass a received message to the handlers of its type."""
        if sender_id not in self.last_received_at_by_id or not self.is_up:
            return
        self.last_received_at_by_id[sender_id] = asyncio.get_running_loop().time()
        message = decode(data)
        for handler in self._handlers_by_type[type(message)]:
            handler(sender_id, message)

    def on_connected(self, peer_id: str) -> None:
        """Handle a connection attempt that succeeded."""
        self._dialling.discard(peer_id)
        peer = self._hub.links_by_id.get(peer_id)
        if peer is None or not self.is_up or self._hub.is_partitioned(self.own_id, peer_id):
            self.on_refused(peer_id)
            return
        if peer_id not in self.last_received_at_by_id:
            own, other = self._table.own, peer._table.own
            self._add_stream(other)
            peer._add_stream(own)
        for data in self._unsent_by_id.pop(peer_id, []):
            self._hub.deliver(self, peer_id, data)

    def on_refused(self, peer_id: str) -> None:
        """Handle a connection attempt that failed."""
        self._dialling.discard(peer_id)
        self._unsent_by_id.pop(peer_id, None)
        if self.is_up:
            for listener in self._unreachable_listeners:
                listener(peer_id)

    def on_disconnected(self, peer_id: str) -> None:
        """Handle the end of a stream."""
        if self.last_received_at_by_id.pop(peer_id, None) is not None and self.is_up:
            for listener in self._lost_listeners:
                listener(peer_id)

    def _add_stream(self, peer: Member) -> None:
        self.last_received_at_by_id[peer.id] = asyncio.get_running_loop().time()
        for listener in self._greeting_listeners:
            listener(peer)

    def _dial(self, peer_id: str) -> None:
        if peer_id not in self._dialling and peer_id not in self.last_received_at_by_id:
            self._dialling.add(peer_id)
            self._hub.connect(self, peer_id)

    def _maintain_streams(self) -> None:
        if not self.is_up:
            return
        for peer_id in sorted(self._neighbour_ids):
            self._dial(peer_id)
        asyncio.get_running_loop().call_later(RECONNECT_INTERVAL_S, self._maintain_streams)


def create_fake_hub() -> FakeHub:
    """Create a hub without instances."""
    return FakeHub()
