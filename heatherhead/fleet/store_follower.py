"""Keeps the replica up to date: from the store, or from a peer that follows the store.

The first homes of each region watch the store; the other instances follow a home, so that the
number of calls to the store does not grow with the fleet. An instance whose source fails, or that
lags behind a revision reported by others, fetches the missing changes from a peer and restarts its
watch.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Err

from heatherhead.backoff import create_backoff
from heatherhead.exceptions import HeatherheadError
from heatherhead.fleet.relay import RelayError, follow_peer
from heatherhead.store.errors import CompactedError
from heatherhead.store.history import history_of, revision_text
from heatherhead.store.interface import WatchEvent
from heatherhead.supervision import run_supervised
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from heatherhead.entry.settings import HostPort
    from heatherhead.fleet.relay import RelayState
    from heatherhead.fleet.replica import StoreReplica
    from heatherhead.store.interface import Store

__all__ = ["StoreFollower", "create_store_follower"]

INITIAL_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.8  # bounds how late an instance notices that the store answers again
AFTER_OUTAGE_S = 3.0  # removals this soon after a failed call may be expired leases
PEER_RETRY_DELAY_S = 0.3
MAX_LAG_S = 0.3  # the store delivers a change to all of its watchers in less
VERIFY_INTERVAL_S = 0.7  # detects a stalled watch well before a configuration must be in force
VERIFY_RANK_DELAY_S = 0.2  # per rank: a home verifies only if those before it did not
EMPTY_PREFIX = "heatherhead/none/"  # no key has this prefix: a listing returns the revision only
CHECK_INTERVAL_S = 0.2
MIN_WATCH_RESTART_INTERVAL_S = 1.0  # for a watch that lags
PEER_TIMEOUT_S = 1.0  # two relay heartbeats
FIND_HOME_TIMEOUT_S = 2.5  # an instance that has read the store finds a home to follow by then
STANDBY_FIND_HOME_TIMEOUT_S = 2.0  # a standby instance finds a home to follow by then
STANDBY_PEER_TIMEOUT_S = 2.0  # enough to drop a silent stream and follow another home


class _BetterSourceError(RelayError):
    """The followed peer may lack changes, and another one may not."""


@dataclass(slots=True)
class _Lag:
    """A newer revision reported by others, and since when this instance has lacked it."""

    revision: int = 0
    since: float = 0.0


class StoreFollower:
    """Keeps a replica of the keys below a prefix."""

    def __init__(
        self,
        store: Store,
        prefix: str,
        replica: StoreReplica,
        verify_rank: Callable[[], int | None],
        peers: Callable[[], list[HostPort]],
        loaded: Callable[[], bool],
    ) -> None:
        self.is_standby: Callable[[], bool] = lambda: False
        self.on_relay_state: Callable[[RelayState], None] = lambda _: None
        self.on_source_lost: Callable[[str], None] = lambda _: None  # called with its host
        # Returns whether a state names the homes of the own region, which standby instances need.
        self.names_own_homes: Callable[[RelayState], bool] = lambda _: True
        self._source_names_homes = False
        self._source: HostPort | None = None
        self._sources_with_gaps: set[HostPort] = set()  # until they are lost
        self._source_watches_store = False
        self._loop = asyncio.get_running_loop()
        self._store = store
        self._prefix = prefix
        self._replica = replica
        self._verify_rank = verify_rank
        self._peers = peers
        self._loaded = loaded
        self._backoff = create_backoff(INITIAL_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
        self._failed_at = -1e9
        self._failing_since: float | None = None
        self._started_at = self._loop.time()
        self._peer_message_at = -1e9
        self._verified_at = -1e9
        self._lag = _Lag()
        self._tasks: list[asyncio.Task[None]] = []
        self._watch: asyncio.Task[None] | None = None
        self._has_read = False  # the running watch has read the store

    def start(self) -> None:
        """Start the tasks that keep the replica up to date."""
        self._tasks = [
            self._loop.create_task(run_supervised("store_watch", self._run_watch)),
            self._loop.create_task(run_supervised("peer_stream", self._run_peer_stream)),
            self._loop.create_task(run_supervised("verification", self._run_verification)),
        ]

    async def stop(self) -> None:
        """Cancel the tasks and wait for their end."""
        tasks = [*self._tasks, *([self._watch] if self._watch else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def after_outage(self) -> bool:
        """Return whether the store failed recently, so that entries may have expired."""
        return self._loop.time() - self._failed_at < AFTER_OUTAGE_S

    @property
    def store_ok(self) -> bool:
        """Return whether the store answered the last call."""
        return self._failing_since is None

    def record_store_failure(self, reason: str) -> None:
        """Record a failed call to the store and restart the watch, which may have stalled too."""
        self._record_failure(reason)
        if self._watch is not None:
            self._watch.cancel()

    @property
    def verified_age_s(self) -> float:
        """Return the time since this or another home last requested the store's revision."""
        return self._loop.time() - self._verified_at

    def record_verified(self, age_s: float) -> None:
        """Record that another home requested the store's revision `age_s` ago."""
        self._verified_at = max(self._verified_at, self._loop.time() - age_s)

    def record_revision(self, revision: int) -> None:
        """Record the revision that a peer or the store reports."""
        if revision <= self._replica.revision:
            return
        if self._lag.revision <= self._replica.revision:
            self._lag.since = self._loop.time()
        self._lag.revision = max(self._lag.revision, revision)

    @property
    def is_watcher(self) -> bool:
        """Return whether this instance is one of the store's watchers."""
        return self._verify_rank() is not None

    @property
    def peer_silence_s(self) -> float:
        """Return the time since the last message of a followed peer, or since the start."""
        return self._loop.time() - max(self._peer_message_at, self._started_at)

    def _may_find_peer(self) -> bool:
        """Return whether a home that watches the store is followed, or may still be found."""
        if not self.is_standby():
            return False
        if self._source_watches_store and self.peer_silence_s < STANDBY_PEER_TIMEOUT_S:
            return True
        return self._loop.time() < self._started_at + STANDBY_FIND_HOME_TIMEOUT_S

    def _lags(self) -> bool:
        lag = self._lag
        allowed_lag_s = MAX_LAG_S if self.store_ok else 0.0
        lagging_s = self._loop.time() - lag.since
        return lag.revision > self._replica.revision and lagging_s > allowed_lag_s

    def _lacks_changes(self) -> bool:
        """Return whether what the replica holds beyond the last reading came with a gap."""
        return self._has_read and not self._replica.gap_free

    def _should_follow_store(self) -> bool:
        if not self._loaded():
            # Instances without a configuration that followed each other would all wait forever.
            return not self._may_find_peer()
        if self._loop.time() < self._started_at + FIND_HOME_TIMEOUT_S and self._replica.revision:
            return self.is_watcher
        timeout_s = STANDBY_PEER_TIMEOUT_S if self.is_standby() else PEER_TIMEOUT_S
        peer_fresh = self._loop.time() - self._peer_message_at < timeout_s
        return self.is_watcher or not peer_fresh or self._lags()

    def _should_follow_peer(self) -> bool:
        return not self.is_watcher or self._lags() or not self.store_ok

    async def _run_watch(self) -> None:
        restarted_at = -1e9
        while True:
            if not self._should_follow_store():
                await asyncio.sleep(CHECK_INTERVAL_S)
                continue
            self._watch = self._loop.create_task(self._follow_store())
            while not self._watch.done():
                await asyncio.wait([self._watch], timeout=CHECK_INTERVAL_S)
                if not self._watch.done() and not self._should_follow_store():
                    log_event("watch_handed_over", revision=revision_text(self._replica.revision))
                    self._watch.cancel()
                elif (
                    not self._watch.done()
                    and self.store_ok
                    and (self._lags() or self._lacks_changes())
                    and self._loop.time() - restarted_at > MIN_WATCH_RESTART_INTERVAL_S
                ):
                    restarted_at = self._loop.time()
                    log_event(
                        "watch_lags",
                        revision=revision_text(self._replica.revision),
                        gap_free=self._replica.gap_free,
                    )
                    self._watch.cancel()
            if not self._watch.cancelled():
                self._watch.result()
            self._watch = None

    async def _follow_store(self) -> None:
        """Read the store, then watch it until the watch fails."""
        self._has_read = False
        try:
            revision = await self._read()
            if not self._should_follow_store():
                return
            self._has_read = True
            async for event in self._store.watch(self._prefix, revision + 1):
                self._record_answer()
                self._replica.apply(event, after_outage=self.after_outage)
        except CompactedError:
            log_event("store_history_gone", revision=revision_text(self._replica.revision))
            await asyncio.sleep(INITIAL_RETRY_DELAY_S)
        except HeatherheadError as error:
            self._record_failure(error.reason)
            await asyncio.sleep(self._backoff.next_delay_s())

    async def _read(self) -> int:
        """Apply a listing of the store; return the revision from which to watch."""
        requested_at = self._loop.time()
        held = self._replica.revision
        listing = await self._store.read_prefix(self._prefix)
        if isinstance(listing, Err):
            raise listing.err_value
        self._verified_at = max(self._verified_at, requested_at)
        answer = listing.ok_value
        self._record_answer()
        # A peer may have brought newer changes since the request, which then came with its gaps.
        if answer.revision < held or _is_of_older_history(answer.revision, self._replica.revision):
            log_event(
                "store_listing_old",
                revision=revision_text(answer.revision),
                held=revision_text(held),
            )
            return self._replica.revision
        if held and history_of(answer.revision) > history_of(held):
            self._failed_at = self._loop.time()
            log_event(
                "store_restored",
                level="WARNING",
                revision=revision_text(answer.revision),
                held=revision_text(held),
            )
        after_outage = self.after_outage
        events = [
            WatchEvent(item.key, item.value, item.mod_revision) for item in answer.by_key.values()
        ]
        repairs = self._replica.repairs
        self._replica.apply_listing(
            events, answer.revision, after_outage=after_outage, gap_free=True
        )
        log_event(
            "store_read",
            revision=revision_text(answer.revision),
            keys=len(events),
            after_outage=after_outage,
            repaired=self._replica.repairs != repairs,
        )
        return answer.revision

    async def _run_peer_stream(self) -> None:
        number = 0
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            peers = self._peers()
            if not self._should_follow_peer() or not peers:
                continue
            preferred = [each for each in peers if each not in self._sources_with_gaps] or peers
            peer = self._source = preferred[number % len(preferred)]
            self._source_names_homes = False
            try:
                async with asyncio.timeout(None if not self.is_watcher else PEER_TIMEOUT_S):
                    await follow_peer(peer, self._replica, self._on_batch, self._handle_relay_state)
            except TimeoutError:
                continue  # a watcher fetches only the missing changes
            except _BetterSourceError as error:
                log_event("peer_stream_left", peer=peer, reason=error)
            except RelayError as error:
                log_event("peer_stream_lost", peer=peer, reason=error)
                number += 1
                self._sources_with_gaps.discard(peer)
                self._source_watches_store = False
                self.on_source_lost(peer.host)
                await asyncio.sleep(PEER_RETRY_DELAY_S)

    async def _run_verification(self) -> None:
        """Request the store's revision periodically: a watch may stall without an error.

        The home of the first rank does so; the others only if it has not reported doing so.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S / 2)
            rank = self._verify_rank()
            if rank is None or not self._replica.revision:
                continue  # the first read returns the revision as well
            if self.verified_age_s < VERIFY_INTERVAL_S + rank * VERIFY_RANK_DELAY_S:
                continue
            requested_at = self._loop.time()
            listing = await self._store.read_prefix(EMPTY_PREFIX)
            if isinstance(listing, Err):
                self.record_store_failure(listing.err_value.reason)
                await asyncio.sleep(self._backoff.next_delay_s())
                continue
            self._verified_at = requested_at
            self.record_revision(listing.ok_value.revision)

    def _on_batch(self, revision: int) -> None:
        self._peer_message_at = self._loop.time()
        if revision < self._lag.revision and self._lags():
            raise RelayError(
                f"the peer holds revision {revision_text(revision)}, others newer ones"
            )
        if self.is_standby() and not self._source_names_homes and self._source not in self._peers():
            raise _BetterSourceError("it names no homes of this region, and another peer may")

    def _handle_relay_state(self, relay_state: RelayState) -> None:
        self._source_watches_store = relay_state.watches_store
        self._source_names_homes = self.names_own_homes(relay_state)
        self.on_relay_state(relay_state)
        assert self._source is not None
        if relay_state.gap_free:
            self._sources_with_gaps.discard(self._source)
            return
        self._sources_with_gaps.add(self._source)
        if not self._sources_with_gaps.issuperset(self._peers()):
            raise _BetterSourceError("it may lack changes, and another peer may not")

    def _record_answer(self) -> None:
        if self._failing_since is not None:
            away_s = self._loop.time() - self._failing_since
            log_event("store_regained", away_s=f"{away_s:.2f}")
            self._failing_since = None
        self._backoff.reset()

    def _record_failure(self, reason: str) -> None:
        self._failed_at = self._loop.time()
        if self._failing_since is None:
            self._failing_since = self._failed_at
            log_event("store_lost", level="WARNING", reason=reason)


def _is_of_older_history(revision: int, other: int) -> bool:
    return history_of(revision) < history_of(other)


def create_store_follower(
    store: Store,
    prefix: str,
    replica: StoreReplica,
    verify_rank: Callable[[], int | None],
    peers: Callable[[], list[HostPort]],
    loaded: Callable[[], bool],
) -> StoreFollower:
    """Create a follower; must be called inside the running loop.

    `verify_rank` returns this instance's rank among the store's watchers, None if it is not one of
    them; `peers` lists the peers to follow; `loaded` returns whether there is a configuration.
    """
    return StoreFollower(store, prefix, replica, verify_rank, peers, loaded)
