"""Forwards the store's changes to peers, over TCP streams of msgpack.

A follower sends the revision that it holds and receives the changes that it lacks, then each change
as it occurs, and a heartbeat when nothing changes. The stream also carries the `RelayWord` of the
followed instance each time that it changes: standby instances learn of homes and crashes only by it.
"""

from __future__ import annotations

import asyncio
from dataclasses import astuple, dataclass
from typing import TYPE_CHECKING, Any

import msgpack

from heatherhead.store.interface import WatchEvent

if TYPE_CHECKING:
    from collections.abc import Callable

    from heatherhead.entry.settings import HostPort
    from heatherhead.fleet.replica import StoreReplica

__all__ = ["RelayError", "RelayServer", "RelayWord", "create_relay_server", "follow_peer"]

HEARTBEAT_S = 0.5
SILENCE_S = 1.4  # a stream that misses two heartbeats is closed
CONNECT_TIMEOUT_S = 0.5
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
MAX_FOLLOWERS = 256
MAX_PACKED = 8  # most followers are at one of the latest revisions


class RelayError(Exception):
    """The peer can't be followed, or its stream has failed."""


@dataclass(frozen=True, slots=True)
class RelayWord:
    """What an instance reports to its followers about itself and its region."""

    region: str
    home_ids: tuple[str, ...]
    watches_store: bool  # it watches the store, and the store answers
    crashes_by_request: tuple[tuple[int, int], ...] = ()  # fingerprints with their counts


class RelayServer:
    """Streams the changes of the replica to followers, each in its own task."""

    def __init__(self, replica: StoreReplica) -> None:
        self._replica = replica
        self._changed = asyncio.Event()
        self._outage_at_by_key: dict[str, bool] = {}
        self._followers = 0
        self._packed_at = -1  # the replica's revision at which the cached batches end
        self._packed_by_asked: dict[tuple[int, bool], bytes] = {}
        self.after_outage: Callable[[], bool] = (
            lambda: False
        )  # whether missing keys may have expired in an outage
        self.word: Callable[[], RelayWord | None] = lambda: None
        replica.subscribe(self._on_change)

    def _on_change(self, event: WatchEvent, after_outage: bool) -> None:
        self._outage_at_by_key.pop(event.key, None)
        if after_outage and event.value is None:
            self._outage_at_by_key[event.key] = True
        self._packed_at = -1  # invalidates: a late change may be older than the replica's revision
        self.wake()

    def wake(self) -> None:
        """Wake the tasks of all followers to send changes immediately."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one follower."""
        self._followers += 1
        try:
            if self._followers > MAX_FOLLOWERS:
                return
            unpacker = msgpack.Unpacker()
            unpacker.feed(await asyncio.wait_for(reader.read(64), SILENCE_S))
            revision = int(next(iter(unpacker)))
            told: RelayWord | None = None
            while True:
                changed = self._changed
                writer.write(self._batch(revision))
                revision = self._replica.revision  # where the batch ends; read before any await
                word = self.word()
                if word is not None and word != told:
                    writer.write(msgpack.packb({"word": astuple(word)}))
                    told = word
                await asyncio.wait_for(writer.drain(), SILENCE_S)
                try:
                    await asyncio.wait_for(changed.wait(), HEARTBEAT_S)
                except TimeoutError:
                    continue
        except (OSError, TimeoutError, ValueError, StopIteration, asyncio.CancelledError):
            return
        finally:
            self._followers -= 1
            writer.close()

    def _batch(self, revision: int) -> bytes:
        """Return the packed changes since `revision`, cached for all followers at that revision."""
        if self._packed_at != self._replica.revision:
            self._packed_at = self._replica.revision
            self._packed_by_asked.clear()
        asked = (revision, self.after_outage())
        packed = self._packed_by_asked.get(asked)
        if packed is None:
            packed = self._pack(*asked)
            if len(self._packed_by_asked) < MAX_PACKED:
                self._packed_by_asked[asked] = packed
        return packed

    def _pack(self, revision: int, outage: bool) -> bytes:
        whole, events = self._replica.changes_since(revision)
        if revision >= self._replica.revision:
            whole, events = False, []
        rows = [
            [event.key, event.value, event.mod_revision, event.key in self._outage_at_by_key]
            for event in events
        ]
        packed: bytes = msgpack.packb([whole, self._replica.revision, rows, outage])
        return packed


async def follow_peer(
    address: HostPort,
    replica: StoreReplica,
    on_batch: Callable[[int], None],
    on_word: Callable[[RelayWord], None] = lambda _: None,
) -> None:
    """Apply a peer's changes until its stream ends or times out; raises `RelayError`."""
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(address.host, address.port)
    except (OSError, TimeoutError) as error:
        raise RelayError(f"can't connect: {error!r}") from error
    try:
        writer.write(msgpack.packb(replica.revision))
        unpacker = msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES)
        while True:
            data = await asyncio.wait_for(reader.read(65536), SILENCE_S)
            if not data:
                raise RelayError("the peer closed the stream")
            unpacker.feed(data)
            for message in unpacker:
                if isinstance(message, dict):
                    on_word(_decode_word(message["word"]))
                    continue
                _take_batch(message, replica)
                on_batch(message[1])
    except (
        OSError,
        TimeoutError,
        ValueError,
        TypeError,
        KeyError,
        msgpack.UnpackException,
    ) as error:
        raise RelayError(f"stream lost: {error!r}") from error
    finally:
        writer.close()


def _take_batch(batch: list[Any], replica: StoreReplica) -> None:
    whole, revision, rows, outage = batch
    if whole:
        events = [WatchEvent(key, value, at) for key, value, at, _ in rows]
        replica.apply_listing(events, revision, after_outage=outage)
        return
    for key, value, at, after_outage in rows:
        replica.apply(WatchEvent(key, value, at), after_outage=after_outage)
    replica.revision = max(replica.revision, revision)


def _decode_word(row: list[Any]) -> RelayWord:
    region, home_ids, watches_store, crashes = row
    return RelayWord(
        str(region),
        tuple(str(each) for each in home_ids),
        bool(watches_store),
        tuple((int(fingerprint), int(count)) for fingerprint, count in crashes),
    )


def create_relay_server(replica: StoreReplica) -> RelayServer:
    """Create the server that streams a replica to followers."""
    return RelayServer(replica)
