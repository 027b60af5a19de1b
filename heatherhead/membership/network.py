"""The peer network over TCP: streams to overlay neighbours and, on demand, to other instances."""

from __future__ import annotations

import asyncio
from collections import defaultdict, deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from heatherhead.exceptions import PeerProtocolError
from heatherhead.membership.byte_budget import create_byte_budget
from heatherhead.membership.connection import PeerConnection, frame
from heatherhead.membership.dialer import create_dialer, greet
from heatherhead.membership.interface import Traffic, link_kind
from heatherhead.membership.member_messages import Heartbeat
from heatherhead.membership.messages import encode
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    import ssl
    from collections.abc import Callable, Iterable

    from heatherhead.membership.interface import Instance
    from heatherhead.membership.member_table import Member, MemberTable
    from heatherhead.settings.membership import MembershipSettings

__all__ = ["Network", "TlsContexts", "create_network"]

UPKEEP_INTERVAL_S = 0.25
HIGHER_ID_DIAL_DELAY_S = 0.25  # the lower id dials first; the higher id only if no stream is open
NEIGHBOUR_TTL_HEARTBEATS = 5  # without one for this long, the peer no longer counts this instance
MAX_PENDING_GREETINGS = 64
MAX_QUEUED_MESSAGES = 64  # per instance, while its stream is being opened
MAX_QUEUED_INSTANCES = 256


@dataclass(frozen=True, slots=True)
class TlsContexts:
    """The TLS contexts for accepted and for dialled streams."""

    server: ssl.SSLContext
    client: ssl.SSLContext


class Network:
    """Implements `PeerLinks` over TCP and charges each frame to its byte budget."""

    def __init__(
        self, settings: MembershipSettings, table: MemberTable, tls: TlsContexts | None
    ) -> None:
        self.budget = create_byte_budget(
            settings.control_budget, settings.measuring_budget, settings.budget_burst_s
        )
        self._settings = settings
        self._neighbour_ttl_s = NEIGHBOUR_TTL_HEARTBEATS * settings.heartbeat_ms / 1000
        self._table = table
        self._tls = tls
        self._dialer = create_dialer(
            lambda: table.own,
            tls.client if tls else None,
            self._add_connection,
            self._on_dial_failed,
        )
        self._connection_by_id: dict[str, PeerConnection] = {}
        self._neighbour_since_by_id: dict[str, float] = {}
        self._queue_by_id: dict[str, deque[bytes]] = {}
        self._handlers_by_type: dict[type, list[Callable[[str, Any], None]]] = defaultdict(list)
        self._greeting_listeners: list[Callable[[Member], None]] = []
        self._lost_listeners: list[Callable[[str], None]] = []
        self._unreachable_listeners: list[Callable[[str], None]] = []
        self._pending_greetings = 0
        self._readers: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._upkeep: asyncio.Task[None] | None = None

    async def start(self) -> int:
        """Listen for peers; return the port."""
        listen = self._settings.listen
        self._server = await asyncio.start_server(
            self._accept, listen.host, listen.port, ssl=self._tls.server if self._tls else None
        )
        self._upkeep = asyncio.create_task(self._run_upkeep())
        return int(self._server.sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Close all streams."""
        if self._server is not None:
            self._server.close()
        if self._upkeep is not None:
            self._upkeep.cancel()
        await self._dialer.close()
        for connection in list(self._connection_by_id.values()):
            connection.close()
        tasks = list(self._readers)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def send(self, instance_id: str, message: object, traffic: Traffic) -> bool:
        """Send to one instance; return `False` if budget, buffer or membership forbid it."""
        data = frame(encode(message))
        connection = self._connection_by_id.get(instance_id)
        if connection is None:
            return self._send_on_demand(instance_id, data, traffic)
        if not connection.has_room_for(len(data), self._settings.buffer_kb * 1024):
            return False
        kind = link_kind(self._table.own.instance, connection.peer.instance)
        if isinstance(message, Heartbeat):
            self.budget.charge_unconditionally(kind, len(data))
        elif self.budget.try_take(traffic, kind, len(data)):
            connection.used_at = asyncio.get_running_loop().time()
        else:
            return False
        connection.write(data)
        return True

    def neighbours(self) -> list[str]:
        """List the connected instances that either end counts as its overlay neighbour."""
        return [
            instance_id
            for instance_id, connection in self._connection_by_id.items()
            if instance_id in self._neighbour_since_by_id or connection.is_neighbour_of_peer
        ]

    def connected_ids(self) -> list[str]:
        """List the ids of the instances with an open stream."""
        return list(self._connection_by_id)

    def is_own_neighbour(self, instance_id: str) -> bool:
        """Return whether an instance is one of the overlay neighbours set here."""
        return instance_id in self._neighbour_since_by_id

    def last_received_at(self, instance_id: str) -> float | None:
        """Return the time of the last message from an instance; `None` without an open stream."""
        connection = self._connection_by_id.get(instance_id)
        return connection.received_at if connection else None

    def subscribe(self, message_type: type, handler: Callable[[str, Any], None]) -> None:
        """Call `handler(sender_id, message)` for each message of a type."""
        self._handlers_by_type[message_type].append(handler)

    def set_neighbours(self, neighbours: Iterable[Instance]) -> None:
        """Set the overlay neighbours, to which streams are kept open."""
        now = asyncio.get_running_loop().time()
        since_by_id = {
            each.id: self._neighbour_since_by_id.get(each.id, now) for each in neighbours
        }
        for instance_id in since_by_id.keys() - self._neighbour_since_by_id.keys():
            self._dialer.reset_backoff(instance_id)
        self._neighbour_since_by_id = since_by_id
        self._dial_neighbours()

    def try_connect(self, instance: Instance) -> None:
        """Try once to open a stream to an instance, regardless of its state and backoff."""
        if instance.id not in self._connection_by_id:
            self._dialer.dial(instance, despite_backoff=True)

    def disconnect(self, instance_id: str) -> None:
        """Abort the stream to an instance, if one is open."""
        connection = self._connection_by_id.get(instance_id)
        if connection is not None:
            connection.abort()

    def on_greeting(self, listener: Callable[[Member], None]) -> None:
        """Call `listener` with each peer after the greeting on a new stream."""
        self._greeting_listeners.append(listener)

    def on_lost(self, listener: Callable[[str], None]) -> None:
        """Call `listener` with the id of each peer whose last stream has ended."""
        self._lost_listeners.append(listener)

    def on_unreachable(self, listener: Callable[[str], None]) -> None:
        """Call `listener` with the instance id after each failed attempt to connect."""
        self._unreachable_listeners.append(listener)

    def _send_on_demand(self, instance_id: str, data: bytes, traffic: Traffic) -> bool:
        member = self._table.by_id.get(instance_id)
        if member is None or instance_id == self._table.own_id or self._is_full:
            return False
        if len(self._queue_by_id) >= MAX_QUEUED_INSTANCES:
            return False
        queue = self._queue_by_id.get(instance_id, deque())
        if len(queue) >= MAX_QUEUED_MESSAGES:
            return False
        kind = link_kind(self._table.own.instance, member.instance)
        if not self._dialer.dial(member.instance):
            return False
        if not self.budget.try_take(traffic, kind, len(data)):
            return False
        queue.append(data)
        self._queue_by_id[instance_id] = queue
        return True

    @property
    def _is_full(self) -> bool:
        open_streams = len(self._connection_by_id) + self._dialer.attempts
        return open_streams >= self._settings.max_connections

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        is_at_connection_limit = len(self._connection_by_id) >= self._settings.max_connections
        if is_at_connection_limit or self._pending_greetings >= MAX_PENDING_GREETINGS:
            writer.close()
            return
        self._pending_greetings += 1
        try:
            peer = await greet(reader, writer, self._table.own)
        except (OSError, EOFError, TimeoutError, PeerProtocolError) as error:
            log_event("peer_refused", level="WARNING", reason=str(error))
            writer.close()
            return
        finally:
            self._pending_greetings -= 1
        self._add_connection(PeerConnection(peer, peer.id, reader, writer))

    def _add_connection(self, connection: PeerConnection) -> None:
        """Register a stream; if two are open to one instance, both ends keep the same one."""
        peer = connection.peer
        held = self._connection_by_id.get(peer.id)
        if held is None or not _keeps_held(held, connection):
            self._connection_by_id[peer.id] = connection
        if held is not None:
            (held if self._connection_by_id[peer.id] is connection else connection).close()
        reading = asyncio.create_task(self._read(connection))
        self._readers.add(reading)
        reading.add_done_callback(self._readers.discard)
        for listener in self._greeting_listeners:
            listener(peer)
        for data in self._queue_by_id.pop(peer.id, ()):
            connection.write(data)

    async def _read(self, connection: PeerConnection) -> None:
        peer = connection.peer
        kind = link_kind(self._table.own.instance, peer.instance)

        def handle(message: object | None, size: int) -> None:
            self.budget.record_received(kind, size)
            connection.received_at = asyncio.get_running_loop().time()
            if isinstance(message, Heartbeat):
                neighbour_ttl_s = self._neighbour_ttl_s if message.is_neighbour else 0.0
                connection.neighbour_until = connection.received_at + neighbour_ttl_s
            else:
                connection.used_at = connection.received_at
            for handler in self._handlers_by_type[type(message)]:
                handler(peer.id, message)

        try:
            await connection.read_all(handle)
        except PeerProtocolError as error:
            log_event("peer_stream_broken", level="WARNING", instance=peer.id, reason=str(error))
            connection.abort()
        finally:
            self._remove_connection(connection)

    def _remove_connection(self, connection: PeerConnection) -> None:
        connection.close()
        peer_id = connection.peer.id
        if self._connection_by_id.get(peer_id) is connection:
            del self._connection_by_id[peer_id]
            for listener in self._lost_listeners:
                listener(peer_id)

    def _on_dial_failed(self, instance_id: str) -> None:
        lost = self._queue_by_id.pop(instance_id, None)
        if lost:
            log_event("peer_messages_lost", instance=instance_id, count=len(lost))
        for listener in self._unreachable_listeners:
            listener(instance_id)

    async def _run_upkeep(self) -> None:
        while True:
            await asyncio.sleep(UPKEEP_INTERVAL_S)
            self._dial_neighbours()
            self._close_idle()

    def _dial_neighbours(self) -> None:
        now = asyncio.get_running_loop().time()
        for instance_id, since in self._neighbour_since_by_id.items():
            if instance_id in self._connection_by_id:
                continue
            member = self._table.by_id.get(instance_id)
            dials_first = self._table.own_id < instance_id
            if member and (dials_first or now - since >= HIGHER_ID_DIAL_DELAY_S):
                self._dialer.dial(member.instance)

    def _close_idle(self) -> None:
        now = asyncio.get_running_loop().time()
        for instance_id, connection in list(self._connection_by_id.items()):
            is_neighbour = self.is_own_neighbour(instance_id) or connection.is_neighbour_of_peer
            if not is_neighbour and now - connection.used_at > self._settings.idle_close_s:
                connection.close()


def _keeps_held(held: PeerConnection, other: PeerConnection) -> bool:
    """Return whether `held` is kept: same incarnation as `other` and dialled by a lower id."""
    if held.peer.instance.incarnation != other.peer.instance.incarnation:
        return False
    return held.dialer_id < other.dialer_id


def create_network(
    settings: MembershipSettings, table: MemberTable, tls: TlsContexts | None = None
) -> Network:
    """Create the peer network of an instance; it listens once started."""
    return Network(settings, table, tls)
