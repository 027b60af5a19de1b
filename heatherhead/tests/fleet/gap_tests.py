"""Tests of replicas that lack changes up to the revision that they hold.

Instances of earlier versions may have such a gap, and pass it on to those that follow them.
"""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from functools import partial
from typing import TYPE_CHECKING, Any

import msgpack
import pytest
from result import Ok

from heatherhead.entry.settings import HostPort
from heatherhead.fleet.relay import RelayState, create_relay_server, follow_peer
from heatherhead.fleet.replica import create_store_replica
from heatherhead.fleet.store_follower import create_store_follower
from heatherhead.store.interface import KeyValue, RangeAnswer, WatchEvent
from heatherhead.store.memory import MemoryStore
from heatherhead.tests.base import run_with_paused_clock

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from result import Result

    from heatherhead.exceptions import HeatherheadError
    from heatherhead.fleet.replica import StoreReplica

WITHIN_S = 10.0
EARLIER_STATE = {"word": ["r1", [], True, []], "limits": []}  # as earlier versions pack it


def _event(key: str, value: bytes | None, revision: int) -> WatchEvent:
    return WatchEvent(key, value, revision)


def _values(replica: StoreReplica) -> dict[str, bytes]:
    return {key: value for key, (value, _) in replica.value_by_key.items()}


def _replica_of(values: dict[str, int], revision: int) -> StoreReplica:
    """Return a replica that has read the store: keys with their revisions, as values too."""
    replica = create_store_replica()
    events = [_event(key, str(at).encode(), at) for key, at in values.items()]
    replica.apply_listing(events, revision, after_outage=False, gap_free=True)
    return replica


def _replica_with_gap() -> StoreReplica:
    """Return a replica that lacks the changes at revisions 5 (a key) and 6 (a new key)."""
    replica = create_store_replica()
    for key, revision in (("a", 1), ("gone", 2), ("b", 8)):
        replica.apply(_event(key, str(revision).encode(), revision))
    return replica


TRUE_KEYS = {"a": 5, "new": 6, "b": 8}
TRUE_VALUES = {"a": b"5", "new": b"6", "b": b"8"}


@asynccontextmanager
async def _followed(source: StoreReplica, copy: StoreReplica) -> AsyncIterator[None]:
    """Let a replica follow another one."""
    relay = create_relay_server(source)
    relay.relay_state = lambda: RelayState("r1", (), True, gap_free=source.gap_free)
    server = await asyncio.start_server(relay.serve, "127.0.0.1", 0)
    address = HostPort(*server.sockets[0].getsockname())
    task = asyncio.create_task(follow_peer(address, copy, lambda _: None))
    try:
        yield
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        server.close()


async def _until_true(copy: StoreReplica) -> None:
    async with asyncio.timeout(WITHIN_S):
        while _values(copy) != TRUE_VALUES:
            await asyncio.sleep(0.01)


def test_gap_of_an_earlier_source_ends_when_one_without_a_gap_is_followed() -> None:
    """The follower asked only for what was newer than the revision that it had taken over."""

    async def main() -> None:
        copy = create_store_replica()
        async with _followed(_replica_with_gap(), copy):
            while copy.revision < 8:
                await asyncio.sleep(0.01)
        assert not copy.gap_free
        async with _followed(_replica_of(TRUE_KEYS, 8), copy):
            await _until_true(copy)
        assert copy.gap_free

    asyncio.run(main())


def test_followers_get_what_a_reading_of_the_store_has_added_below_their_revision() -> None:
    """They were sent only what was newer than their revision, and kept the gap."""

    async def main() -> None:
        source, copy = _replica_with_gap(), create_store_replica()
        async with _followed(source, copy):
            while copy.revision < 8:
                await asyncio.sleep(0.01)
            events = [_event(key, str(at).encode(), at) for key, at in TRUE_KEYS.items()]
            source.apply_listing(events, 8, after_outage=False, gap_free=True)
            await _until_true(copy)
        assert copy.gap_free

    asyncio.run(main())


def test_key_that_a_peer_s_listing_lacked_is_added_by_a_reading_of_the_store() -> None:
    replica = create_store_replica()
    replica.apply_listing([_event("a", b"1", 1)], 9, after_outage=False)
    assert not replica.apply(_event("new", b"6", 6))
    replica.apply_listing([_event("a", b"5", 5)], 9, after_outage=False)
    events = [_event(key, str(at).encode(), at) for key, at in TRUE_KEYS.items()]
    replica.apply_listing(events, 9, after_outage=False, gap_free=True)
    assert _values(replica) == TRUE_VALUES


def test_removal_after_a_reading_of_the_store_is_not_undone_by_it() -> None:
    replica = _replica_of({"a": 1}, 5)
    replica.apply(_event("a", None, 7))
    replica.apply_listing([_event("a", b"1", 1)], 6, after_outage=False, gap_free=True)
    assert _values(replica) == {}


class _SlowlyReadStore(MemoryStore):
    """A store whose listing is taken before `meanwhile` runs and answered after it."""

    def __init__(self, replica: StoreReplica) -> None:
        super().__init__()
        self._replica = replica

    async def read_prefix(
        self, prefix: str, *, stale: bool = False
    ) -> Result[RangeAnswer, HeatherheadError]:
        """Return the listing, after a peer with a gap has raised the replica's revision."""
        by_key = {each: KeyValue(each, b"1", 1) for each in ("a", "gone")}
        self._replica.apply(_event("b", b"8", 8))
        self._replica.gap_free = False
        return Ok(RangeAnswer(4, by_key))

    async def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Iterate over the changes that the peer lacked, and wait."""
        changes = [_event("a", b"5", 5), _event("new", b"6", 6), _event("gone", None, 7)]
        for event in changes:
            if event.mod_revision >= from_revision:
                yield event
        await asyncio.Event().wait()


def test_revision_of_a_peer_does_not_hide_changes_behind_a_reading_of_the_store() -> None:
    """The listing was dropped as an old one, and the watch went on from the peer's revision."""

    async def main() -> None:
        replica = create_store_replica()
        store = _SlowlyReadStore(replica)
        follower = create_store_follower(store, "", replica, lambda: 0, list, lambda: True)
        follower.start()
        await asyncio.sleep(0.5)
        await follower.stop()
        assert _values(replica) == TRUE_VALUES
        assert replica.repairs

    run_with_paused_clock(main())


def test_follower_stays_with_a_source_that_may_lack_changes_beside_one_that_does_not() -> None:
    """During an upgrade it took over the gaps of an earlier version's home."""

    async def main() -> None:
        addresses, servers, followed = [], [], []
        for source in (_replica_with_gap(), _replica_of(TRUE_KEYS, 8)):
            relay = create_relay_server(source)
            gap_free = source.gap_free
            relay.relay_state = partial(RelayState, "r1", (), True, gap_free=gap_free)
            server = await asyncio.start_server(relay.serve, "127.0.0.1", 0)
            servers.append(server)
            addresses.append(HostPort(*server.sockets[0].getsockname()))
        copy = create_store_replica()
        follower = create_store_follower(
            MemoryStore(), "", copy, lambda: None, lambda: addresses, lambda: True
        )
        follower.on_relay_state = lambda state: followed.append(state.gap_free)
        follower.start()
        await _until_true(copy)
        assert followed == [False, True]
        addresses.pop()
        servers.pop().close()
        await asyncio.sleep(0.5)
        await follower.stop()
        for server in servers:
            server.close()

    asyncio.run(main())


@pytest.mark.parametrize("gap_free", [False, True])
def test_state_is_readable_by_earlier_versions_and_theirs_here(gap_free: bool) -> None:
    async def main() -> None:
        reader, writer = asyncio.StreamReader(), _Writer()
        reader.feed_data(msgpack.packb(0))
        source = _replica_of({"a": 1}, 3) if gap_free else _replica_with_gap()
        relay = create_relay_server(source)
        relay.relay_state = lambda: RelayState("r1", ("h",), True, gap_free=source.gap_free)
        serving = asyncio.create_task(relay.serve(reader, writer))  # type: ignore[arg-type]
        await asyncio.sleep(0.1)
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)
        state, batch = writer.messages
        assert state["word"] == ["r1", ["h"], True, []]
        assert state["gap_free"] is gap_free
        complete, revision, rows, _ = batch
        assert (complete, revision) == (True, source.revision)
        assert max(row[2] for row in rows) <= revision

    run_with_paused_clock(main())


class _Writer:
    """A stream that collects the messages."""

    def __init__(self) -> None:
        self.messages: list[Any] = []
        self._unpacker = msgpack.Unpacker()

    def write(self, data: bytes) -> None:
        """Collect the messages."""
        self._unpacker.feed(data)
        self.messages += list(self._unpacker)

    async def drain(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


def test_follower_takes_a_source_that_does_not_say_so_for_one_with_gaps() -> None:
    async def main() -> None:
        received = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read(64)
            writer.write(msgpack.packb(EARLIER_STATE))
            writer.write(msgpack.packb([True, 8, [["a", b"1", 1, False]], False]))
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        copy = create_store_replica()
        address = HostPort(*server.sockets[0].getsockname())
        task = asyncio.create_task(follow_peer(address, copy, lambda _: received.set()))
        await asyncio.wait_for(received.wait(), WITHIN_S)
        assert (copy.revision, copy.gap_free) == (8, False)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        server.close()
        await asyncio.sleep(0.05)  # for `serve` to end

    asyncio.run(main())
