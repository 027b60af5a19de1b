"""Tests of standby instances: candidacy, reported homes and crashes, and use of the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from heatherhead.dispatch.crashes import (
    CRASH_RECORD_TTL_S,
    CrashedStart,
    CrashReport,
    ReportEffect,
    create_crash_table,
)
from heatherhead.entry.settings import HostPort
from heatherhead.fleet import candidacy, store_follower
from heatherhead.fleet.candidacy import create_candidacy
from heatherhead.fleet.home_view import create_home_view
from heatherhead.fleet.members import Member, create_member_table
from heatherhead.fleet.relay import RelayState, create_relay_server, follow_peer
from heatherhead.fleet.replica import create_store_replica
from heatherhead.fleet.store_follower import create_store_follower
from heatherhead.store.interface import WatchEvent
from heatherhead.store.memory import MemoryStore
from heatherhead.tests.base import run_with_paused_clock

if TYPE_CHECKING:
    from collections.abc import Callable

    from heatherhead.fleet.candidacy import Candidacy
    from heatherhead.fleet.members import MemberTable
    from heatherhead.fleet.replica import StoreReplica

TIMEOUT_S = 20.0  # ends a test that hangs
ZONES = ("a", "b", "c")


def _member(name: str, zone: str, *, large: bool) -> Member:
    cores, mbps = (2.15, 200.0) if large else (0.43, 20.0)
    return Member(name, "boot", zone, "r", HostPort("10.0.0.1", 80), 7200, cores, mbps)


class _Region:
    """Simulated instances of a region; all see each announcement half a second later."""

    def __init__(self, large_per_zone: int, small_per_zone: int) -> None:
        self.now = 100.0
        self.peer_silence_s = 0.0
        members = [
            _member(f"{'large' if large else 'small'}-{zone}{n}", zone, large=large)
            for zone in ZONES
            for large, count in ((True, large_per_zone), (False, small_per_zone))
            for n in range(count)
        ]
        self.tables = [create_member_table(member) for member in members]
        self.candidacies = [self._create(table) for table in self.tables]
        self.lost: set[str] = set()

    def _create(self, table: MemberTable) -> Candidacy:
        return create_candidacy(
            table, lambda: self.now, lambda: False, lambda: self.peer_silence_s, lambda: len(ZONES)
        )

    @property
    def announced(self) -> list[str]:
        """List the candidates that are not lost."""
        return [
            table.own.id
            for table in self.tables
            if table.own_listed and table.own.id not in self.lost
        ]

    def pass_time(self, seconds: float) -> None:
        """Check all candidacies every half second, and deliver announcements after each check."""
        for _ in range(int(seconds / 0.5)):
            self.now += 0.5
            for table, each in zip(self.tables, self.candidacies, strict=True):
                if table.own.id not in self.lost:
                    each.check(members_known=True)
            listed = [table.own for table in self.tables if table.own_listed]
            for table in self.tables:
                for member in listed:
                    table.put(member, int(self.now * 10))


def test_only_large_instances_of_a_large_region_announce_themselves() -> None:
    region = _Region(large_per_zone=3, small_per_zone=32)
    region.pass_time(5.0)
    assert region.announced == [each for each in region.announced if each.startswith("large")]
    assert len(region.announced) == 9


def test_small_instances_become_candidates_where_too_few_exist() -> None:
    region = _Region(large_per_zone=0, small_per_zone=35)
    region.pass_time(5.0)
    wanted = candidacy.CANDIDATES_PER_HOME * len(ZONES)
    assert len(region.announced) >= wanted
    # Some check at the same moment and don't see each other; most remain on standby.
    assert len(region.announced) <= len(region.tables) * 0.6


def test_small_instances_become_candidates_when_no_home_is_left_to_follow() -> None:
    region = _Region(large_per_zone=1, small_per_zone=5)
    region.pass_time(5.0)
    region.lost = {table.own.id for table in region.tables if table.own_listed}
    survivors = len(region.tables) - len(region.lost)
    region.pass_time(1.0)
    assert not region.announced
    region.peer_silence_s = candidacy.HOMES_LOST_AFTER_S + 0.1
    region.pass_time(1.0)
    assert len(region.announced) == survivors


def test_instance_whose_earlier_start_is_announced_is_a_candidate_at_once() -> None:
    table = create_member_table(_member("small", "a", large=False))
    candidate = create_candidacy(table, lambda: 100.0, lambda: True, lambda: 0.0, lambda: 3)
    assert not table.own_listed
    assert not candidate.check(members_known=False)
    assert candidate.check(members_known=True)
    assert table.own_listed


def test_standby_instance_answers_with_reported_homes() -> None:
    table = create_member_table(_member("own", "a", large=False))
    table.remove_own()
    for n in range(4):
        table.put(_member(f"large{n}", ZONES[n % 3], large=True), 1)
    view = create_home_view(table, lambda: 100.0)
    view.own_ready = True
    view.apply_reported_homes("r", ("large3", "large1", "gone"))
    assert [home.id for home in view.homes()] == ["large3", "large1"]
    view.apply_reported_homes("another", ("large0",))
    assert [home.id for home in view.homes()] == ["large3", "large1"]
    assert not view.is_home()
    assert len(view.candidate_hosts()) == 4


def test_provisional_members_are_followed_and_not_named_until_members_are_known() -> None:
    table = create_member_table(_member("own", "a", large=False))
    table.remove_own()
    view = create_home_view(table, lambda: 100.0)
    view.provisional_members = [_member("left-long-ago", "a", large=True)]
    assert view.homes() == []
    assert view.candidate_hosts() == ["10.0.0.1"]
    view.apply_reported_homes("r", ("left-long-ago",))
    assert [home.id for home in view.homes()] == ["left-long-ago"]
    table.put(_member("large", "b", large=True), 1)
    view.apply_reported_homes("r", ("large",))
    assert [home.id for home in view.homes()] == ["large"]


def test_followers_receive_homes_and_crashes_immediately() -> None:
    async def main() -> None:
        replica = create_store_replica()
        replica.apply(WatchEvent("k", b"x", 1))
        relay = create_relay_server(replica)
        first, second = (
            RelayState("r", ("h1", "h2"), True),
            RelayState("r", ("h1",), True, (CrashReport(2**63, 3, (CrashedStart("u1 7", 0.2),)),)),
        )
        relay_state = [first]
        relay.relay_state = lambda: relay_state[0]
        server = await asyncio.start_server(relay.serve, "127.0.0.1", 0)
        address = HostPort(*server.sockets[0].getsockname())
        received: asyncio.Queue[RelayState] = asyncio.Queue()
        task = asyncio.create_task(
            follow_peer(address, create_store_replica(), lambda _: None, received.put_nowait)
        )
        async with asyncio.timeout(TIMEOUT_S):
            assert await received.get() == first
            relay_state[0] = second
            relay.notify_followers()
            assert await received.get() == second
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        server.close()

    asyncio.run(main())


def test_reported_crashes_are_new_only_if_their_count_is_higher() -> None:
    """Reports of instances of earlier versions, which name no upstreams."""
    table = create_crash_table()
    assert table.apply_report(CrashReport(7, 1), 100.0) is ReportEffect.CHANGED
    assert table.apply_report(CrashReport(7, 1), 100.0) is ReportEffect.NONE
    assert table.apply_report(CrashReport(7, 3), 100.0) is ReportEffect.CHANGED
    assert table.apply_report(CrashReport(7, 3), 101.0) is ReportEffect.NONE
    assert table.recent(101.0) == (CrashReport(7, 3),)
    assert table.recent(1000.0) == ()
    ended_at = 100.0 + CRASH_RECORD_TTL_S
    assert (
        table.apply_report(CrashReport(7, 3), ended_at) is ReportEffect.CHANGED
    )  # the quarantine has ended


def test_request_crashes_three_more_upstreams_each_time_its_quarantine_ends() -> None:
    """The end of a quarantine forgot the crashes, though nothing had answered the request."""
    table = create_crash_table()
    table.apply_report(CrashReport(7, 3), 100.0)
    ended_at = 100.0 + CRASH_RECORD_TTL_S
    assert table.quarantined(7, ended_at - 0.1)
    assert not table.quarantined(7, ended_at)
    table.record_crash(7, "u4 1", ended_at, ended_at)
    assert table.quarantined(7, ended_at)
    assert table.record_answer(7, ended_at)
    assert not table.quarantined(7, ended_at)
    table.record_crash(8, "u1 1", 100.0, 100.0)
    # Too few crashes for a quarantine are forgotten.
    assert table.apply_report(CrashReport(8, 1), ended_at) is ReportEffect.CHANGED


class _CountingStore(MemoryStore):
    """Counts reads."""

    calls = 0

    async def read_prefix(self, prefix: str, *, stale: bool = False):  # type: ignore[no-untyped-def]
        """Count a read."""
        self.calls += 1
        return await super().read_prefix(prefix, stale=stale)


@pytest.mark.parametrize("watches", [True, False])
def test_standby_instance_reads_the_store_only_if_its_home_does_not(
    watches: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Hundreds of instances start before the first configuration is written.

    While their home watches the store, they must not read it as well.
    """

    async def follow_home(
        _address: HostPort,
        _replica: StoreReplica,
        on_batch: Callable[[int], None],
        on_relay_state: Callable[[RelayState], None],
    ) -> None:
        on_relay_state(RelayState("r", ("h1",), watches))
        while True:
            on_batch(0)
            await asyncio.sleep(0.5)

    async def main() -> None:
        store = _CountingStore()
        follower = create_store_follower(
            store,
            "",
            create_store_replica(),
            lambda: None,
            lambda: [HostPort("10.0.0.2", 7200)],
            lambda: False,
        )
        follower.is_standby = lambda: True
        follower.start()
        await asyncio.sleep(store_follower.STANDBY_FIND_HOME_TIMEOUT_S - 0.2)
        assert store.calls == 0
        await asyncio.sleep(5.0)
        assert (store.calls == 0) is watches
        await follower.stop()

    monkeypatch.setattr(store_follower, "follow_peer", follow_home)
    run_with_paused_clock(main())


@pytest.mark.parametrize("seed_state", [RelayState("another", ("h9",), True), None])
def test_standby_instance_stays_with_a_seed_that_names_no_homes_of_its_region(
    seed_state: RelayState | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Standby instances of two regions in three named themselves to all callers that asked them."""
    seed, home = HostPort("10.1.0.1", 7200), HostPort("10.2.0.1", 7200)
    peers = [seed]
    followed = []

    async def follow(
        address: HostPort,
        _replica: StoreReplica,
        on_batch: Callable[[int], None],
        on_relay_state: Callable[[RelayState], None],
    ) -> None:
        followed.append(address)
        state = RelayState("r", ("h1",), True) if address == home else seed_state
        if state is not None:
            on_relay_state(state)
        while True:
            on_batch(0)
            await asyncio.sleep(0.5)

    async def main() -> None:
        follower = create_store_follower(
            _CountingStore(), "", create_store_replica(), lambda: None, lambda: peers, lambda: True
        )
        follower.is_standby = lambda: True
        follower.names_own_homes = lambda state: state.region == "r"
        follower.start()
        await asyncio.sleep(1.0)
        assert followed == [seed]  # as long as there is no other
        peers[:] = [home]
        await asyncio.sleep(1.0)
        assert followed == [seed, home]
        await asyncio.sleep(5.0)
        assert followed == [seed, home]
        await follower.stop()

    monkeypatch.setattr(store_follower, "follow_peer", follow)
    run_with_paused_clock(main())
