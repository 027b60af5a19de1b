"""Tests of `heatherhead.fleet`: replica, homes, peer messages, relay and store follower."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Any

import msgpack
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from heatherhead.dispatch.contention import ContentionEvidence
from heatherhead.dispatch.crashes import CrashedStart, CrashReport
from heatherhead.entry.settings import HostPort
from heatherhead.fleet import store_follower
from heatherhead.fleet.announcement import create_announcement
from heatherhead.fleet.home_view import create_home_view
from heatherhead.fleet.homes import (
    CALLS_PER_S_PER_HOME,
    MIN_HOMES_PER_REGION,
    choose_homes,
    home_count,
    rank_members,
)
from heatherhead.fleet.members import MEMBER_PREFIX, Member, create_member_table, decode_member
from heatherhead.fleet.peer_messages import (
    CallCounts,
    ContentionReport,
    CrashNotice,
    HomeStatus,
    LeaveNotice,
    LoadReport,
    decode_message,
    encode_message,
)
from heatherhead.fleet.relay import RelayError, create_relay_server, follow_peer
from heatherhead.fleet.replica import create_store_replica
from heatherhead.fleet.store_follower import create_store_follower
from heatherhead.store.history import ranked_revision
from heatherhead.store.interface import WatchEvent
from heatherhead.store.memory import MemoryStore, create_memory_store
from heatherhead.tests.base import run_with_paused_clock

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from heatherhead.fleet.peer_messages import PeerMessage
    from heatherhead.fleet.relay import RelayState
    from heatherhead.fleet.replica import StoreReplica


def _member(name: str, zone: str = "z1", region: str = "r1", **sizes: float) -> Member:
    cores, mbps = sizes.get("cores", 1.0), sizes.get("mbps", 1000.0)
    return Member(name, "boot", zone, region, HostPort("10.0.0.1", 80), 7200, cores, mbps)


def _event(key: str, value: bytes | None, revision: int) -> WatchEvent:
    return WatchEvent(key, value, revision)


def test_replica_never_returns_to_an_older_revision_whatever_the_order() -> None:
    replica = create_store_replica()
    assert replica.apply(_event("k", b"new", 9))
    assert not replica.apply(_event("k", b"old", 5))
    assert replica.apply(_event("k", None, 10))
    assert not replica.apply(_event("k", b"new", 9))
    assert replica.value_by_key == {}
    assert replica.revision == 10


def test_listing_removes_missing_keys_but_no_newer_ones() -> None:
    replica = create_store_replica()
    replica.apply(_event("gone", b"x", 3))
    replica.apply(_event("newer", b"x", 8))
    replica.apply_listing([_event("kept", b"x", 2)], 7, after_outage=False)
    assert set(replica.value_by_key) == {"kept", "newer"}


def test_peer_receives_missing_changes_with_removals() -> None:
    replica = create_store_replica()
    for revision, key in enumerate(("a", "b", "c"), 1):
        replica.apply(_event(key, b"x", revision))
    replica.apply(_event("b", None, 4))
    complete, events = replica.changes_since(2)
    assert not complete
    assert [(event.key, event.value) for event in events] == [("c", b"x"), ("b", None)]
    assert replica.changes_since(0)[0]


def test_homes_are_the_best_of_each_zone_and_large_ones_go_first() -> None:
    members = [_member(f"small{n}", f"z{n % 2}", cores=0.4, mbps=10) for n in range(40)]
    members += [_member(f"large{n}", f"z{n % 2}") for n in range(4)]
    ranked = rank_members(members, "r1")
    assert {ranked[0].availability_zone, ranked[1].availability_zone} == {"z0", "z1"}
    assert all(each.id.startswith("large") for each in ranked[:2])
    homes = choose_homes(members, "r1", {ranked[0].id}, 3)
    assert ranked[0] not in homes
    assert len(homes) == 3


def test_restart_keeps_the_rank_of_an_instance() -> None:
    members = [_member(f"m{n}") for n in range(9)]
    restarted = [
        Member(each.id, "later", *[getattr(each, name) for name in Member.__slots__[2:]])
        for each in members
    ]
    assert [each.id for each in rank_members(members, "r1")] == [
        each.id for each in rank_members(restarted, "r1")
    ]


def test_silent_home_is_replaced_until_it_sends_a_status_again() -> None:
    now = [100.0]
    own = _member("own")
    members = create_member_table(own)
    for n in range(6):
        members.put(_member(f"m{n}"), 1)
    view = create_home_view(members, lambda: now[0])
    view.own_ready = True
    for each in members.by_id:
        if each != "own":
            view.apply_status(HomeStatus(each, "boot", True, 1, 0.0, True), "10.0.0.1")
    first = [home.id for home in view.homes()]
    assert len(first) == MIN_HOMES_PER_REGION
    silent = next(each for each in first if each != "own")
    for _ in range(20):
        now[0] += 0.1
        for each in members.by_id:
            if each not in (silent, "own"):
                view.apply_status(HomeStatus(each, "boot", True, 1, 0.0, True), "10.0.0.1")
        view.homes()
    assert silent not in [home.id for home in view.homes()]
    view.apply_status(HomeStatus(silent, "boot", True, 1, 0.0, True), "10.0.0.1")
    assert [home.id for home in view.homes()] == first


def test_leaving_home_is_excluded_until_it_restarts() -> None:
    now = [100.0]
    members = create_member_table(_member("own"))
    members.put(_member("m1"), 1)
    view = create_home_view(members, lambda: now[0])
    view.own_ready = True
    view.apply_status(HomeStatus("m1", "boot", True, 1, 0.0, True), "10.0.0.1")
    view.apply_leave(LeaveNotice("m1", "boot"))
    assert [home.id for home in view.homes()] == ["own"]
    view.apply_status(HomeStatus("m1", "later", True, 1, 0.0, True), "10.0.0.1")
    assert {home.id for home in view.homes()} == {"own", "m1"}


def test_source_that_reaches_the_store_is_followed_first() -> None:
    members = create_member_table(_member("own"))
    view = create_home_view(members, lambda: 100.0)
    view.apply_status(HomeStatus("cut", "b", True, 90, 0.0, False), "10.0.0.2")
    view.apply_status(HomeStatus("old", "b", True, 50, 0.0, True), "10.0.0.3")
    view.apply_status(HomeStatus("new", "b", True, 80, 0.0, True), "10.0.0.4")
    assert view.source_hosts() == ["10.0.0.4", "10.0.0.3", "10.0.0.2"]


@pytest.mark.parametrize(
    "message",
    [
        HomeStatus("a", "boot", True, 7, 0.25, False, 90),
        LoadReport("a", (("u1", 2, 0, 4, 1.5, 0.02), ("u2", 0, 0, 4, None, 0.0))),
        CallCounts("a", False, {"u1": 2}),
        CrashNotice("a", CrashReport(2**63, 3)),
        CrashNotice(
            "a", CrashReport(2**63, 3, (CrashedStart("u1 7", 0.2), CrashedStart("u2 7", 0)))
        ),
        ContentionReport("a", {"stock": ContentionEvidence(9.5, 4.0, 3.25, 10.0, 5.125)}),
        LeaveNotice("a", "boot"),
    ],
)
def test_messages_are_decoded_as_encoded(message: PeerMessage) -> None:
    assert decode_message(encode_message(message)) == message


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\x93\x01\x00\xa1a", b"\x94\x09\x00\xa1a\xc0"])
def test_invalid_datagram_is_not_decoded(data: bytes) -> None:
    assert decode_message(data) is None


_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=6) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=12,
)


@given(kind=st.integers(-1, 7), fields=st.lists(_VALUES, max_size=8))
@example(kind=4, fields=[True, 5])
@example(kind=1, fields=[])
@example(kind=0, fields=["i", True, math.inf, 0, True, 0])
def test_malformed_datagram_of_a_known_kind_is_unreadable(kind: int, fields: list[object]) -> None:
    """A datagram whose fields had another type or number raised out of the socket's callback."""
    message = decode_message(msgpack.packb([1, kind, "sender", *fields]))
    if isinstance(message, HomeStatus):
        assert math.isfinite(message.verified_age_s)


@given(st.binary(max_size=64))
@example(b"\x91" * 600)
def test_bytes_that_are_no_message_are_unreadable(data: bytes) -> None:
    decode_message(data)


def test_member_is_decoded_as_encoded_and_another_version_is_not_decoded() -> None:
    member = _member("m")
    assert decode_member(member.encode()) == member
    assert decode_member(b"\x93\x01\x02\x03") is None


def test_follower_of_a_relay_receives_the_listing_then_each_change() -> None:
    async def main() -> None:
        source, copy = create_store_replica(), create_store_replica()
        source.apply(_event("a", b"1", 1))
        server = await asyncio.start_server(create_relay_server(source).serve, "127.0.0.1", 0)
        address = HostPort(*server.sockets[0].getsockname())
        changed = asyncio.Event()
        task = asyncio.create_task(follow_peer(address, copy, lambda _: changed.set()))
        async with asyncio.timeout(10):
            while copy.value_by_key.keys() != {"a"}:
                changed.clear()
                await changed.wait()
            source.apply(_event("a", None, 2))
            source.apply(_event("b", b"2", 3))
            while copy.value_by_key.keys() != {"b"}:
                changed.clear()
                await changed.wait()
        assert copy.revision == 3
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        server.close()

    asyncio.run(main())


def test_unreachable_peer_raises_relay_error() -> None:
    async def main() -> None:
        with pytest.raises(RelayError):
            await follow_peer(HostPort("127.0.0.1", 1), create_store_replica(), lambda _: None)

    asyncio.run(main())


class _StalledWatchStore(MemoryStore):
    """A store whose first watch stalls: it delivers no change."""

    def __init__(self) -> None:
        super().__init__()
        self.watches = 0

    async def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Iterate over changes, except that the first watch blocks forever."""
        self.watches += 1
        if self.watches == 1:
            await asyncio.Event().wait()
        async for event in super().watch(prefix, from_revision):
            yield event


def test_stalled_watch_is_detected_within_two_seconds() -> None:
    async def main() -> None:
        store = _StalledWatchStore()
        replica = create_store_replica()
        follower = create_store_follower(store, "", replica, lambda: 0, list, lambda: True)
        follower.start()
        await asyncio.sleep(5.0)
        await store.compare_and_swap("op/config", 0, b"7")
        await asyncio.sleep(2.0)
        assert replica.value_by_key["op/config"][0] == b"7"
        await follower.stop()

    run_with_paused_clock(main())


def test_only_the_home_of_first_rank_requests_the_revision() -> None:
    class Counted(MemoryStore):
        reads = 0

        async def read_prefix(self, prefix: str, **named: bool):  # type: ignore[no-untyped-def]
            self.reads += prefix == store_follower.EMPTY_PREFIX
            return await super().read_prefix(prefix, **named)

    async def main() -> None:
        store = Counted()
        followers = [
            create_store_follower(
                store, "", create_store_replica(), lambda rank=rank: rank, list, lambda: True
            )
            for rank in range(3)
        ]
        for follower in followers:
            follower.start()
        for _ in range(40):
            await asyncio.sleep(0.25)
            age_s = min(each.verified_age_s for each in followers)
            for follower in followers:
                follower.record_verified(age_s)
        # Each requests it once at the start, before it knows of the others' requests.
        assert store.reads <= 10.0 / store_follower.VERIFY_INTERVAL_S + len(followers)
        for follower in followers:
            await follower.stop()

    run_with_paused_clock(main())


def test_removals_shortly_after_a_failure_count_as_after_an_outage() -> None:
    async def main() -> None:
        store = create_memory_store()
        follower = create_store_follower(
            store, "", create_store_replica(), lambda: 0, list, lambda: True
        )
        assert not follower.after_outage
        follower.record_store_failure("refused")
        assert follower.after_outage
        assert not follower.store_ok
        await asyncio.sleep(store_follower.AFTER_OUTAGE_S + 0.1)
        assert not follower.after_outage

    run_with_paused_clock(main())


class _WatchCountingStore(MemoryStore):
    """Counts watches."""

    def __init__(self) -> None:
        super().__init__()
        self.watches = 0

    async def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Iterate over changes."""
        self.watches += 1
        async for event in super().watch(prefix, from_revision):
            yield event


def test_non_home_reads_the_store_once_and_waits_for_a_home_to_follow() -> None:
    async def main() -> None:
        store = _WatchCountingStore()
        await store.compare_and_swap("op/config", 0, b"7")
        replica = create_store_replica()
        follower = create_store_follower(store, "", replica, lambda: None, list, lambda: True)
        follower.start()
        await asyncio.sleep(store_follower.FIND_HOME_TIMEOUT_S - 0.5)
        assert replica.value_by_key["op/config"][0] == b"7"
        assert store.watches == 0
        await asyncio.sleep(1.0)
        assert store.watches == 1  # no home was found, so it watches the store itself
        await follower.stop()

    run_with_paused_clock(main())


def test_small_instance_is_no_home_while_its_zone_has_a_large_one() -> None:
    for draw in range(50):
        members = [_member(f"small{draw}-{n}", cores=0.43, mbps=10) for n in range(16)]
        members += [_member(f"large{draw}-{n}", cores=2.15, mbps=200) for n in range(2)]
        ranked = rank_members(members, "r1")
        assert all(each.id.startswith("large") for each in ranked[:2])


def test_home_count_grows_immediately_with_the_load_and_shrinks_one_by_one() -> None:
    assert home_count(MIN_HOMES_PER_REGION, 2, 100.0) == MIN_HOMES_PER_REGION
    assert home_count(3, 5, 100.0) == 5
    assert home_count(3, 2, 10.5 * CALLS_PER_S_PER_HOME) == 11
    assert home_count(11, 2, 8.0 * CALLS_PER_S_PER_HOME) == 11
    assert home_count(11, 2, 5.0 * CALLS_PER_S_PER_HOME) == 10
    assert home_count(MIN_HOMES_PER_REGION + 1, 2, 0.0) == MIN_HOMES_PER_REGION


def test_instance_without_a_configuration_watches_the_store_even_if_a_peer_streams(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All instances start before the first configuration is written, and none is a home yet.

    If each trusted a peer without a configuration, none would watch the store.
    """

    async def follow_empty_peer(
        _address: HostPort,
        _replica: StoreReplica,
        on_batch: Callable[[int], None],
        _on_relay_state: Callable[[RelayState], None],
    ) -> None:
        while True:
            on_batch(0)
            await asyncio.sleep(0.5)

    async def main() -> None:
        store = create_memory_store()
        replica = create_store_replica()
        follower = create_store_follower(
            store,
            "",
            replica,
            lambda: None,
            lambda: [HostPort("10.0.0.2", 7200)],
            lambda: "op/config" in replica.value_by_key,
        )
        follower.start()
        await asyncio.sleep(store_follower.FIND_HOME_TIMEOUT_S + 1.0)
        await store.compare_and_swap("op/config", 0, b"7")
        await asyncio.sleep(1.0)
        assert "op/config" in replica.value_by_key
        await follower.stop()

    monkeypatch.setattr(store_follower, "follow_peer", follow_empty_peer)
    run_with_paused_clock(main())


class _CountingStore(MemoryStore):
    """Counts writes and reads."""

    def __init__(self) -> None:
        super().__init__()
        self.writes = self.readings = 0

    async def compare_and_swap(self, *arguments: Any, **named: Any) -> Any:
        """Count a write."""
        self.writes += 1
        return await super().compare_and_swap(*arguments, **named)

    async def read_prefix(self, prefix: str, *, stale: bool = False) -> Any:
        """Count a read."""
        self.readings += 1
        return await super().read_prefix(prefix, stale=stale)


def test_restarted_instance_replaces_its_announcement_in_one_write() -> None:
    """After a power loss all instances write at the same time, so each call to the store counts."""

    async def main() -> None:
        store = _CountingStore()
        member = _member("m")
        await store.compare_and_swap(MEMBER_PREFIX + "m", 0, b"of an earlier start")
        store.writes = 0
        replica = create_store_replica()
        listing = (await store.read_prefix("")).ok_value
        for item in listing.by_key.values():
            replica.apply(_event(item.key, item.value, item.mod_revision))
        announcement = create_announcement(
            store, member, lambda: False, lambda _: None, replica.revision_of
        )
        announcement.start()
        await asyncio.sleep(1.0)
        held = (await store.read_prefix(MEMBER_PREFIX)).ok_value.by_key[MEMBER_PREFIX + "m"]
        assert decode_member(held.value) == member
        assert store.writes == 1
        await announcement.leave()

    run_with_paused_clock(main())


def test_first_read_counts_as_a_request_for_the_revision() -> None:
    async def main() -> None:
        store = _CountingStore()
        await store.compare_and_swap("op/config", 0, b"7")
        replica = create_store_replica()
        follower = create_store_follower(store, "", replica, lambda: 0, list, lambda: True)
        follower.start()
        await asyncio.sleep(store_follower.VERIFY_INTERVAL_S / 2)
        assert store.readings == 1
        await asyncio.sleep(store_follower.VERIFY_INTERVAL_S)
        assert store.readings == 2
        await follower.stop()

    run_with_paused_clock(main())


def test_change_is_packed_once_for_all_followers(monkeypatch: pytest.MonkeyPatch) -> None:
    """A change goes to a hundred followers of two watchers, so it is not packed for each."""

    async def main() -> None:
        replica = create_store_replica()
        relay = create_relay_server(replica)
        replica.apply(_event("k", b"1", 1))
        requested = []
        changes_since = replica.changes_since
        monkeypatch.setattr(
            replica, "changes_since", lambda at: requested.append(at) or changes_since(at)
        )
        server = await asyncio.start_server(relay.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        replicas = [create_store_replica() for _ in range(20)]
        address = HostPort("127.0.0.1", port)
        tasks = [
            asyncio.create_task(follow_peer(address, each, lambda _: None)) for each in replicas
        ]
        async with asyncio.timeout(20):
            while any(each.revision < 1 for each in replicas):
                await asyncio.sleep(0.01)
            requested.clear()
            replica.apply(_event("k", b"2", 2))
            while any(each.revision < 2 for each in replicas):
                await asyncio.sleep(0.01)
        assert all(each.value_by_key["k"][0] == b"2" for each in replicas)
        assert requested.count(1) == 1
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        server.close()

    asyncio.run(main())


def test_change_that_occurs_while_a_batch_is_sent_is_not_skipped() -> None:
    """A change that occurs while `drain` waits must still be sent.

    When it was skipped, a follower missed that an upstream was draining and used it for 13 s.
    """

    async def main() -> None:
        replica = create_store_replica()
        relay = create_relay_server(replica)
        replica.apply(_event("first", b"x", 1))
        reader = asyncio.StreamReader()
        reader.feed_data(msgpack.packb(0))
        writer = _SlowWriter(lambda: replica.apply(_event("meanwhile", b"x", 2)))
        serving = asyncio.create_task(relay.serve(reader, writer))  # type: ignore[arg-type]
        await asyncio.sleep(1.5)
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)
        assert writer.keys() == ["first", "meanwhile"]

    run_with_paused_clock(main())


class _SlowWriter:
    """A stream whose first `drain` is slow and runs `meanwhile` before it returns."""

    def __init__(self, meanwhile: Callable[[], object]) -> None:
        self._meanwhile: Callable[[], object] | None = meanwhile
        self._unpacker = msgpack.Unpacker()

    def write(self, data: bytes) -> None:
        """Collect the messages."""
        self._unpacker.feed(data)

    async def drain(self) -> None:
        """Wait, and run `meanwhile` at the first call."""
        await asyncio.sleep(0.1)
        if self._meanwhile is not None:
            self._meanwhile()
            self._meanwhile = None

    def close(self) -> None:
        """Do nothing."""

    def keys(self) -> list[str]:
        """List the keys that were sent, in order."""
        return [row[0] for _, _, rows, _ in self._unpacker for row in rows]


def test_restarted_relay_sends_a_complete_listing_to_cover_earlier_removals() -> None:
    """An upstream leaves while a home restarts, and the home's followers return to it.

    The restarted relay has no tombstone for the upstream, so changes alone would keep it.
    """
    started = create_store_replica()
    started.apply_listing([_event("stays", b"x", 2)], 9, after_outage=False)
    complete, events = started.changes_since(5)
    assert complete
    assert [event.key for event in events] == ["stays"]
    started.apply(_event("later", b"x", 10))
    assert not started.changes_since(9)[0]
    follower = create_store_replica()
    for key, revision in (("left", 1), ("stays", 2), ("other", 5)):
        follower.apply(_event(key, b"x", revision))
    _, listing = started.changes_since(follower.revision)
    follower.apply_listing(listing, started.revision, after_outage=False)
    assert set(follower.value_by_key) == {"stays", "later"}


@pytest.mark.parametrize("outage", [False, True])
def test_follower_is_sent_whether_missing_keys_may_have_expired(outage: bool) -> None:
    async def main() -> None:
        replica = create_store_replica()
        replica.apply_listing([_event("stays", b"x", 2)], 9, after_outage=False)
        relay = create_relay_server(replica)
        relay.after_outage = lambda: outage
        server = await asyncio.start_server(relay.serve, "127.0.0.1", 0)
        address = HostPort("127.0.0.1", server.sockets[0].getsockname()[1])
        follower = create_store_replica()
        follower.apply(_event("left", b"x", 1))
        removals = []
        follower.subscribe(lambda event, after_outage: removals.append((event.key, after_outage)))
        task = asyncio.create_task(follow_peer(address, follower, lambda _: None))
        async with asyncio.timeout(20):
            while follower.revision < 9:
                await asyncio.sleep(0.01)
        assert ("left", outage) in removals
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        server.close()

    asyncio.run(main())


def test_change_of_a_lost_history_does_not_bring_back_a_key_that_the_listing_lacks() -> None:
    replica = create_store_replica()
    lost, restored = ranked_revision(1, 9), ranked_revision(2, 5)
    replica.apply_listing([_event("a", b"old", ranked_revision(1, 4))], lost, after_outage=False)
    replica.apply_listing([_event("a", b"new", ranked_revision(2, 3))], restored, after_outage=True)
    assert not replica.apply(_event("b", b"late", ranked_revision(1, 8)))
    assert not replica.apply(_event("a", b"late", ranked_revision(1, 8)))
    assert replica.apply(_event("b", b"again", ranked_revision(2, 6)))
    assert {key: value for key, (value, _) in replica.value_by_key.items()} == {
        "a": b"new",
        "b": b"again",
    }
