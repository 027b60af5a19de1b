"""Peer streams in memory, with latency, loss, partitions, pauses and crashes."""

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
UPKEEP_S = 0.25


class FakeHub:
    """Joins the fake streams of all instances of a test."""

    def __init__(self) -> None:
        self.links_by_id: dict[str, FakeLinks] = {}
        self.bytes_by_pair: dict[tuple[str, str], int] = defaultdict(int)
        self.loses: Callable[[str, str, object], bool] = lambda *_: False
        self._cut: set[frozenset[str]] = set()
        self._waiting_by_paused: dict[str, list[Callable[[], None]]] = {}

    def create_links(self, table: MemberTable) -> FakeLinks:
        """Create the streams of an instance; a former process of the same id is gone."""
        self.crash(table.own_id)
        links = self.links_by_id[table.own_id] = FakeLinks(self, table)
        return links

    def crash(self, instance_id: str) -> None:
        """End an instance; its peers see their streams end."""
        gone = self.links_by_id.pop(instance_id, None)
        if gone is None:
            return
        gone.is_up = False
        for peer_id in list(gone.open):
            self._unlink(gone, peer_id)

    def cut(self, ones: Iterable[str], others: Iterable[str]) -> None:
        """Let nothing pass between two groups, without telling either."""
        others = list(others)
        self._cut.update(frozenset((one, other)) for one in ones for other in others)

    def heal(self) -> None:
        """Join all again; streams that were cut have ended."""
        pairs, self._cut = self._cut, set()
        for pair in sorted(pairs, key=sorted):
            one, other = sorted(pair)
            links = self.links_by_id.get(one)
            if links is not None and other in links.open:
                self._unlink(links, other)

    def pause(self, instance_id: str) -> None:
        """Keep what arrives at an instance until it resumes."""
        self._waiting_by_paused[instance_id] = []

    def resume(self, instance_id: str) -> None:
        """Deliver what has arrived meanwhile."""
        for deliver in self._waiting_by_paused.pop(instance_id, []):
            deliver()

    def is_cut(self, one: str, other: str) -> bool:
        """Tell whether nothing passes between two instances."""
        return frozenset((one, other)) in self._cut

    def deliver(self, sender: FakeLinks, receiver_id: str, data: bytes) -> None:
        """Hand a message over after the latency, unless something is in its way."""
        self.bytes_by_pair[sender.own_id, receiver_id] += len(data)
        loop = asyncio.get_running_loop()
        loop.call_later(LATENCY_S, self._arrive, sender, receiver_id, data)

    def _arrive(self, sender: FakeLinks, receiver_id: str, data: bytes) -> None:
        receiver = self.links_by_id.get(receiver_id)
        if receiver is None or sender.own_id not in receiver.open:
            return
        if self.is_cut(sender.own_id, receiver_id):
            return
        waiting = self._waiting_by_paused.get(receiver_id)
        if waiting is not None:
            waiting.append(lambda: receiver.receive(sender.own_id, data))
        else:
            receiver.receive(sender.own_id, data)

    def connect(self, dialer: FakeLinks, peer_id: str) -> None:
        """Open a stream, or tell the dialer that none could be."""
        peer = self.links_by_id.get(peer_id)
        is_silent = self.is_cut(dialer.own_id, peer_id) or peer_id in self._waiting_by_paused
        delay_s = CONNECT_TIMEOUT_S if is_silent else LATENCY_S
        is_possible = peer is not None and not is_silent
        asyncio.get_running_loop().call_later(
            delay_s, dialer.connected if is_possible else dialer.refused, peer_id
        )

    def _unlink(self, one: FakeLinks, other_id: str) -> None:
        one.lose(other_id)
        other = self.links_by_id.get(other_id)
        if other is not None:
            other.lose(one.own_id)


class FakeLinks:
    """The streams of one instance; implements `PeerLinks`."""

    def __init__(self, hub: FakeHub, table: MemberTable) -> None:
        self.own_id = table.own_id
        self.open: dict[str, float] = {}
        self.is_up = True
        self._hub = hub
        self._table = table
        self._wanted: set[str] = set()
        self._dialling: set[str] = set()
        self._waiting_by_id: dict[str, list[bytes]] = defaultdict(list)
        self._handlers_by_type: dict[type, list[Callable[[str, Any], None]]] = defaultdict(list)
        self._greeting: list[Callable[[Member], None]] = []
        self._lost: list[Callable[[str], None]] = []
        self._unreachable: list[Callable[[str], None]] = []

    async def start(self) -> int:
        """Begin the upkeep of wanted streams."""
        self._keep_up()
        return self._table.own.instance.peers.port

    async def stop(self) -> None:
        """End all streams."""
        if self._hub.links_by_id.get(self.own_id) is self:
            self._hub.crash(self.own_id)

    def send(self, instance_id: str, message: object, traffic: Traffic) -> bool:
        """Send to a linked or known instance."""
        if not self.is_up:
            return False
        data = encode(message)
        if instance_id in self.open:
            if not self._hub.loses(self.own_id, instance_id, message):
                self._hub.deliver(self, instance_id, data)
            return True
        if instance_id not in self._table.by_id or instance_id == self.own_id:
            return False
        self._waiting_by_id[instance_id].append(data)
        self._dial(instance_id)
        return True

    def neighbours(self) -> list[str]:
        """List the linked instances that either end wants."""
        return [
            each
            for each in self.open
            if each in self._wanted or self._hub.links_by_id[each].is_own_neighbour(self.own_id)
        ]

    def connected_ids(self) -> list[str]:
        """List the linked instances."""
        return list(self.open)

    def is_own_neighbour(self, instance_id: str) -> bool:
        """Tell whether a stream is kept up."""
        return instance_id in self._wanted

    def last_received_at(self, instance_id: str) -> float | None:
        """Return when an instance last sent anything."""
        return self.open.get(instance_id)

    def subscribe(self, message_type: type, handler: Callable[[str, Any], None]) -> None:
        """Call `handler` for each message of a type."""
        self._handlers_by_type[message_type].append(handler)

    def set_neighbours(self, neighbours: Iterable[Instance]) -> None:
        """Choose the streams that are kept up."""
        self._wanted = {each.id for each in neighbours}

    def try_connect(self, instance: Instance) -> None:
        """Try once to open a stream."""
        self._dial(instance.id)

    def disconnect(self, instance_id: str) -> None:
        """Break a stream."""
        if instance_id in self.open:
            self._hub._unlink(self, instance_id)

    def on_greeting(self, listener: Callable[[Member], None]) -> None:
        """Call `listener` with each peer of a new stream."""
        self._greeting.append(listener)

    def on_lost(self, listener: Callable[[str], None]) -> None:
        """Call `listener` with each peer whose stream has ended."""
        self._lost.append(listener)

    def on_unreachable(self, listener: Callable[[str], None]) -> None:
        """Call `listener` with each peer that could not be connected to."""
        self._unreachable.append(listener)

    def receive(self, sender_id: str, data: bytes) -> None:
        """Take a message in."""
        if sender_id not in self.open or not self.is_up:
            return
        self.open[sender_id] = asyncio.get_running_loop().time()
        message = decode(data)
        for handler in self._handlers_by_type[type(message)]:
            handler(sender_id, message)

    def connected(self, peer_id: str) -> None:
        """Finish an attempt that succeeded."""
        self._dialling.discard(peer_id)
        peer = self._hub.links_by_id.get(peer_id)
        if peer is None or not self.is_up or self._hub.is_cut(self.own_id, peer_id):
            self.refused(peer_id)
            return
        if peer_id not in self.open:
            own, other = self._table.own, peer._table.own
            self._greet(other)
            peer._greet(own)
        for data in self._waiting_by_id.pop(peer_id, []):
            self._hub.deliver(self, peer_id, data)

    def refused(self, peer_id: str) -> None:
        """Finish an attempt that failed."""
        self._dialling.discard(peer_id)
        self._waiting_by_id.pop(peer_id, None)
        if self.is_up:
            for listener in self._unreachable:
                listener(peer_id)

    def lose(self, peer_id: str) -> None:
        """Note the end of a stream."""
        if self.open.pop(peer_id, None) is not None and self.is_up:
            for listener in self._lost:
                listener(peer_id)

    def _greet(self, peer: Member) -> None:
        self.open[peer.id] = asyncio.get_running_loop().time()
        for listener in self._greeting:
            listener(peer)

    def _dial(self, peer_id: str) -> None:
        if peer_id not in self._dialling and peer_id not in self.open:
            self._dialling.add(peer_id)
            self._hub.connect(self, peer_id)

    def _keep_up(self) -> None:
        if not self.is_up:
            return
        for peer_id in sorted(self._wanted):
            self._dial(peer_id)
        asyncio.get_running_loop().call_later(UPKEEP_S, self._keep_up)


def create_fake_hub() -> FakeHub:
    """Create a hub without instances."""
    return FakeHub()
