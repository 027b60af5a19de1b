"""Forwards the store's changes to peers, over TCP streams of msgpack.

A follower sends the revision that it holds and receives the changes that it lacks, then each change
as it occurs, and a heartbeat when nothing changes. A replica that may lack changes, and one whose
source has added changes that it had lacked, gets a complete listing. The stream also carries the
`RelayState` of the followed instance each time that it changes, before the changes: standby
instances learn of homes and crashes only from it.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgpack

from heatherhead.fleet.peer_messages import (
    decode_crashes,
    decode_limit,
    encode_crashes,
    encode_limit,
)
from heatherhead.fleet.warmup_messages import decode_warmup, encode_warmup
from heatherhead.store.interface import WatchEvent

if TYPE_CHECKING:
    from collections.abc import Callable

    from heatherhead.dispatch.crashes import CrashReport
    from heatherhead.dispatch.warmup import WarmupRow
    from heatherhead.entry.settings import HostPort
    from heatherhead.fleet.peer_messages import RateLimitRow
    from heatherhead.fleet.replica import StoreReplica

__all__ = ["RelayError", "RelayServer", "RelayState", "create_relay_server", "follow_peer"]

HEARTBEAT_S = 0.5
STREAM_TIMEOUT_S = 1.4  # a stream that misses two heartbeats is closed
CONNECT_TIMEOUT_S = 0.5
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
MAX_REVISION_BYTES = 64
MAX_FOLLOWERS = 256
MAX_CACHED_BATCHES = 8  # most followers are at one of the latest revisions


class RelayError(Exception):
    """The peer can't be followed, or its stream has failed."""


@dataclass(frozen=True, slots=True)
class RelayState:
    """What an instance reports to its followers about itself and its region."""

    region: str
    home_ids: tuple[str, ...]
    watches_store: bool  # it watches the store, and the store answers
    crashes: tuple[CrashReport, ...] = ()
    rate_limits: tuple[RateLimitRow, ...] = ()  # those in force
    gap_free: bool = False  # of its replica; earlier versions don't say so
    warmups: tuple[WarmupRow, ...] = ()  # that answers to health checks told of
    warmup_changes: int = 0  # counted, as the times in `warmups` change always; not sent


class RelayServer:
    """Streams the changes of the replica to followers, each in its own task."""

    def __init__(self, replica: StoreReplica) -> None:
        self._replica = replica
        self._changed = asyncio.Event()
        self._after_outage_by_key: dict[str, bool] = {}
        self._followers = 0
        self._cached_revision = -1  # the replica's revision at which the cached batches end
        self._batch_by_request: dict[tuple[int, bool], bytes] = {}
        # Returns whether missing keys may have expired in an outage.
        self.after_outage: Callable[[], bool] = lambda: False
        self.relay_state: Callable[[], RelayState | None] = lambda: None
        replica.subscribe(self._on_change)

    def _on_change(self, event: WatchEvent, after_outage: bool) -> None:
        self._after_outage_by_key.pop(event.key, None)
        if after_outage and event.value is None:
            self._after_outage_by_key[event.key] = True
        # A late change may be older than the replica's revision, so the cache is invalidated.
        self._cached_revision = -1
        self.notify_followers()

    def notify_followers(self) -> None:
        """Wake the tasks of all followers to send changes immediately."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send a follower the changes after the revision that it holds, until the stream ends."""
        self._followers += 1
        try:
            if self._followers > MAX_FOLLOWERS:
                return
            revision = await asyncio.wait_for(_read_revision(reader), STREAM_TIMEOUT_S)
            sent_state: RelayState | None = None
            sent_repairs = self._replica.repairs
            while True:
                changed = self._changed
                relay_state = self.relay_state()
                if relay_state is not None and relay_state != sent_state:
                    writer.write(_encode_state(relay_state))
                    sent_state = relay_state
                if self._replica.repairs != sent_repairs:
                    revision = 0  # what was added may be older than what the follower holds
                    sent_repairs = self._replica.repairs
                writer.write(self._batch(revision))
                revision = self._replica.revision  # where the batch ends; read before any await
                await asyncio.wait_for(writer.drain(), STREAM_TIMEOUT_S)
                try:
                    await asyncio.wait_for(changed.wait(), HEARTBEAT_S)
                except TimeoutError:
                    continue
        except (
            OSError,
            EOFError,
            TimeoutError,
            ValueError,
            TypeError,
            msgpack.UnpackException,
            asyncio.CancelledError,
        ):
            return
        finally:
            self._followers -= 1
            writer.close()

    def _batch(self, revision: int) -> bytes:
        """Return the packed changes since `revision`, cached for all followers at that revision."""
        if self._cached_revision != self._replica.revision:
            self._cached_revision = self._replica.revision
            self._batch_by_request.clear()
        request = (revision, self.after_outage())
        packed = self._batch_by_request.get(request)
        if packed is None:
            packed = self._pack(*request)
            if len(self._batch_by_request) < MAX_CACHED_BATCHES:
                self._batch_by_request[request] = packed
        return packed

    def _pack(self, revision: int, outage: bool) -> bytes:
        complete, events = self._replica.changes_since(revision)
        if revision >= self._replica.revision:
            complete, events = False, []
        rows = [
            [event.key, event.value, event.mod_revision, event.key in self._after_outage_by_key]
            for event in events
        ]
        packed: bytes = msgpack.packb([complete, self._replica.revision, rows, outage])
        return packed


async def _read_revision(reader: asyncio.StreamReader) -> int:
    """Read the revision that a follower holds, which may come in parts.

    Raises `EOFError`, or `ValueError`, `TypeError` or `UnpackException` if it is malformed.
    """
    unpacker = msgpack.Unpacker(max_buffer_size=MAX_REVISION_BYTES)
    while True:
        data = await reader.read(MAX_REVISION_BYTES)
        if not data:
            raise EOFError
        unpacker.feed(data)
        for revision in unpacker:
            return int(revision)


async def follow_peer(
    address: HostPort,
    replica: StoreReplica,
    on_batch: Callable[[int], None],
    on_relay_state: Callable[[RelayState], None] = lambda _: None,
) -> None:
    """Apply a peer's changes until its stream ends or times out; raises `RelayError`."""
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(address.host, address.port)
    except (OSError, TimeoutError) as error:
        raise RelayError(f"can't connect: {error!r}") from error
    try:
        writer.write(msgpack.packb(replica.revision if replica.gap_free else 0))
        gap_free = False
        unpacker = msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES)
        while True:
            # Unlike `wait_for` of Python 3.11, this loses no cancellation when the peer closes.
            async with asyncio.timeout(STREAM_TIMEOUT_S):
                data = await reader.read(65536)
            if not data:
                raise RelayError("the peer closed the stream")
            unpacker.feed(data)
            for message in unpacker:
                if isinstance(message, dict):
                    relay_state = _decode_state(message)
                    gap_free = relay_state.gap_free
                    on_relay_state(relay_state)
                    continue
                _apply_batch(message, replica, gap_free=gap_free)
                on_batch(message[1])
    except (
        OSError,
        TimeoutError,
        ValueError,
        TypeError,
        AttributeError,
        LookupError,
        ArithmeticError,
        msgpack.UnpackException,
    ) as error:
        raise RelayError(f"stream lost: {error!r}") from error
    finally:
        writer.close()


def _apply_batch(batch: list[Any], replica: StoreReplica, *, gap_free: bool) -> None:
    complete, revision, rows, outage = batch
    if complete:
        events = [WatchEvent(key, value, at) for key, value, at, _ in rows]
        replica.apply_listing(events, revision, after_outage=outage, gap_free=gap_free)
        return
    if revision > replica.revision:
        replica.gap_free = replica.gap_free and gap_free
    for key, value, at, after_outage in rows:
        replica.apply(WatchEvent(key, value, at), after_outage=after_outage)
    replica.revision = max(replica.revision, revision)


def _encode_state(state: RelayState) -> bytes:
    """Pack a state; earlier versions read the key `word` only."""
    counts = [[report.fingerprint, report.crashes] for report in state.crashes]
    word = [state.region, state.home_ids, state.watches_store, counts]
    limits = [encode_limit(row) for row in state.rate_limits]
    message = {"word": word, "limits": limits, "gap_free": state.gap_free}
    if state.crashes:
        message["crashes"] = [encode_crashes(report) for report in state.crashes]
    if state.warmups:
        message["warmups"] = [encode_warmup(row) for row in state.warmups]
    packed: bytes = msgpack.packb(message)
    return packed


def _decode_state(message: dict[str, Any]) -> RelayState:
    region, home_ids, watches_store, counts = message["word"]
    return RelayState(
        str(region),
        tuple(str(each) for each in home_ids),
        bool(watches_store),
        tuple(decode_crashes(row) for row in message.get("crashes", counts)),
        tuple(decode_limit(row) for row in message.get("limits", ())),
        bool(message.get("gap_free", False)),
        tuple(decode_warmup(row) for row in message.get("warmups", ())),
    )


def create_relay_server(replica: StoreReplica) -> RelayServer:
    """Create the server that streams a replica to followers."""
    return RelayServer(replica)
