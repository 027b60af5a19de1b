"""Keeps the replica up to date: from the store, or from a peer that follows the store.

Homes watch the store; the other instances follow a home, so that the number of calls to the store
does not grow with the fleet. An instance whose source fails, or that lags behind a revision
reported by others, fetches the missing changes from a peer and restarts its watch.
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
from heatherhead.store.interface import WatchEvent
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from heatherhead.entry.settings import HostPort
    from heatherhead.fleet.relay import RelayWord
    from heatherhead.fleet.replica import StoreReplica
    from heatherhead.store.interface import Store

__all__ = ["StoreFollower", "create_store_follower"]

FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 0.8  # bounds how late an instance notices that the store answers again
UNSTABLE_S = 3.0  # removals this soon after a failed call may be expired leases
PEER_RETRY_S = 0.3
LAG_S = 0.3  # the store delivers a change to all of its watchers in less
VERIFY_S = 0.7  # detects a stalled watch well before a configuration must be in force
VERIFY_RANK_S = 0.2  # each next home by rank verifies this much later, if no other one did
NO_KEY = "heatherhead/none/"  # no key has this prefix: a listing returns the revision only
CHECK_S = 0.2
RESTART_S = 1.0  # for a watch that lags
PEER_FRESH_S = 1.0  # two relay heartbeats
START_S = 2.5  # an instance that has read the store finds a home to follow by then
START_PEER_S = 2.0  # a standby instance finds a home to follow by then
STANDBY_FRESH_S = 2.0  # enough to drop a silent stream and follow another home


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
        self.stands_by: Callable[[], bool] = lambda: False
        self.on_word: Callable[[RelayWord], None] = lambda _: None
        self._source_watches = False
        self._loop = asyncio.get_running_loop()
        self._store = store
        self._prefix = prefix
        self._replica = replica
        self._verify_rank = verify_rank
        self._peers = peers
        self._loaded = loaded
        self._backoff = create_backoff(FIRST_RETRY_S, LONGEST_RETRY_S)
        self._failed_at = -1e9
        self._failing_since: float | None = None
        self._started_at = self._loop.time()
        self._peer_heard_at = -1e9
        self._verified_at = -1e9
        self._lag = _Lag()
        self._tasks: list[asyncio.Task[None]] = []
        self._watch: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the tasks that keep the replica up to date."""
        self._tasks = [
            self._loop.create_task(self._keep_watch()),
            self._loop.create_task(self._keep_peer()),
            self._loop.create_task(self._keep_verified()),
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
        return self._loop.time() - self._failed_at < UNSTABLE_S

    @property
    def store_ok(self) -> bool:
        """Return whether the store answered the last call."""
        return self._failing_since is None

    def note_store_failure(self, reason: str) -> None:
        """Record a failed call to the store and restart the watch, which may have stalled too."""
        self._note_failure(reason)
        if self._watch is not None:
            self._watch.cancel()

    @property
    def verified_age_s(self) -> float:
        """Return the time since this or another home last requested the store's revision."""
        return self._loop.time() - self._verified_at

    def note_verified(self, age_s: float) -> None:
        """Record that another home requested the store's revision `age_s` ago."""
        self._verified_at = max(self._verified_at, self._loop.time() - age_s)

    def note_revision(self, revision: int) -> None:
        """Record the revision that a peer or the store reports."""
        if revision <= self._replica.revision:
            return
        if self._lag.revision <= self._replica.revision:
            self._lag.since = self._loop.time()
        self._lag.revision = max(self._lag.revision, revision)

    @property
    def watches(self) -> bool:
        """Return whether this instance is one of the store's watchers."""
        return self._verify_rank() is not None

    @property
    def unfollowed_s(self) -> float:
        """Return the time since the last message of a followed peer, or since the start."""
        return self._loop.time() - max(self._peer_heard_at, self._started_at)

    def _waits_for_peer(self) -> bool:
        """Return whether a home that watches the store is followed, or may still be found."""
        if not self.stands_by():
            return False
        if self._source_watches and self.unfollowed_s < STANDBY_FRESH_S:
            return True
        return self._loop.time() < self._started_at + START_PEER_S

    def _lags(self) -> bool:
        lag = self._lag
        allowed_lag_s = LAG_S if self.store_ok else 0.0
        lagging_s = self._loop.time() - lag.since
        return lag.revision > self._replica.revision and lagging_s > allowed_lag_s

    def _wants_store(self) -> bool:
        if not self._loaded():
            # Instances without a configuration that followed each other would all wait forever.
            return not self._waits_for_peer()
        if self._loop.time() < self._started_at + START_S and self._replica.revision:
            return self.watches
        fresh_s = STANDBY_FRESH_S if self.stands_by() else PEER_FRESH_S
        peer_fresh = self._loop.time() - self._peer_heard_at < fresh_s
        return self.watches or not peer_fresh or self._lags()

    def _wants_peer(self) -> bool:
        return not self.watches or self._lags() or not self.store_ok

    async def _keep_watch(self) -> None:
        restarted_at = -1e9
        while True:
            if not self._wants_store():
                await asyncio.sleep(CHECK_S)
                continue
            self._watch = self._loop.create_task(self._follow_store())
            while not self._watch.done():
                await asyncio.wait([self._watch], timeout=CHECK_S)
                if not self._watch.done() and not self._wants_store():
                    log_event("watch_handed_over", revision=self._replica.revision)
                    self._watch.cancel()
                elif (
                    not self._watch.done()
                    and self.store_ok
                    and self._lags()
                    and self._loop.time() - restarted_at > RESTART_S
                ):
                    restarted_at = self._loop.time()
                    log_event("watch_lags", revision=self._replica.revision)
                    self._watch.cancel()
            if not self._watch.cancelled():
                self._watch.result()
            self._watch = None

    async def _follow_store(self) -> None:
        """Read the store, then watch it until the watch fails."""
        try:
            await self._read()
            if not self._wants_store():
                return
            async for event in self._store.watch(self._prefix, self._replica.revision + 1):
                self._note_answer()
                self._replica.apply(event, after_outage=self.after_outage)
        except CompactedError as error:
            log_event("store_history_gone", reason=error.reason)
        except HeatherheadError as error:
            self._note_failure(error.reason)
            await asyncio.sleep(self._backoff.next_s())

    async def _read(self) -> None:
        asked_at = self._loop.time()
        listing = await self._store.read_prefix(self._prefix)
        if isinstance(listing, Err):
            raise listing.err_value
        self._verified_at = max(self._verified_at, asked_at)
        answer = listing.ok_value
        after_outage = self.after_outage
        self._note_answer()
        if answer.revision < self._replica.revision:
            log_event("store_listing_old", revision=answer.revision, held=self._replica.revision)
            return
        events = [
            WatchEvent(item.key, item.value, item.mod_revision) for item in answer.by_key.values()
        ]
        self._replica.apply_listing(events, answer.revision, after_outage=after_outage)
        log_event(
            "store_read", revision=answer.revision, keys=len(events), after_outage=after_outage
        )

    async def _keep_peer(self) -> None:
        number = 0
        while True:
            await asyncio.sleep(CHECK_S)
            peers = self._peers()
            if not self._wants_peer() or not peers:
                continue
            peer = peers[number % len(peers)]
            try:
                async with asyncio.timeout(None if not self.watches else PEER_FRESH_S):
                    await follow_peer(peer, self._replica, self._note_peer, self._note_word)
            except TimeoutError:
                continue  # a watcher fetches only the missing changes
            except RelayError as error:
                log_event("peer_stream_lost", peer=peer, reason=error)
                number += 1
                self._source_watches = False
                await asyncio.sleep(PEER_RETRY_S)

    async def _keep_verified(self) -> None:
        """Request the store's revision periodically: a watch may stall without an error.

        The home of the first rank does so; the others only if it has not reported doing so.
        """
        while True:
            await asyncio.sleep(CHECK_S / 2)
            rank = self._verify_rank()
            if rank is None or not self._replica.revision:
                continue  # the first read returns the revision as well
            if self.verified_age_s < VERIFY_S + rank * VERIFY_RANK_S:
                continue
            asked_at = self._loop.time()
            listing = await self._store.read_prefix(NO_KEY)
            if isinstance(listing, Err):
                self.note_store_failure(listing.err_value.reason)
                await asyncio.sleep(self._backoff.next_s())
                continue
            self._verified_at = asked_at
            self.note_revision(listing.ok_value.revision)

    def _note_peer(self, revision: int) -> None:
        self._peer_heard_at = self._loop.time()
        if revision < self._lag.revision and self._lags():
            raise RelayError(f"the peer holds revision {revision}, others a newer one")

    def _note_word(self, word: RelayWord) -> None:
        self._source_watches = word.watches_store
        self.on_word(word)

    def _note_answer(self) -> None:
        if self._failing_since is not None:
            away_s = self._loop.time() - self._failing_since
            log_event("store_regained", away_s=f"{away_s:.2f}")
            self._failing_since = None
        self._backoff.reset()

    def _note_failure(self, reason: str) -> None:
        self._failed_at = self._loop.time()
        if self._failing_since is None:
            self._failing_since = self._failed_at
            log_event("store_lost", level="WARNING", reason=reason)


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
