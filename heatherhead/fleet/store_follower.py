"""Follows the store: reads all there is, then watches, and reads again after each gap."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from result import Err

from heatherhead.backoff import create_backoff
from heatherhead.exceptions import HeatherheadError
from heatherhead.store.errors import CompactedError
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from heatherhead.store.interface import KeyValue, Store, WatchEvent

__all__ = ["StoreFollower", "StoreView", "create_store_follower"]

FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 1.0  # the store is back for all instances within about that
UNSTABLE_S = 3.0  # after a failed call the store's removals may be lapses


class StoreView(Protocol):
    """Takes in what the store holds."""

    def take_listing(
        self, by_key: dict[str, KeyValue], revision: int, *, after_outage: bool
    ) -> None:
        """Take in all keys, as of a revision."""
        ...

    def take_event(self, event: WatchEvent, *, after_outage: bool) -> None:
        """Take in one change."""
        ...


@dataclass(slots=True)
class FollowerState:
    """How fresh the view of the store is."""

    revision: int = 0
    answered_at: float | None = None
    failing_since: float | None = None


class StoreFollower:
    """Keeps a view of the keys below a prefix."""

    def __init__(self, store: Store, prefix: str, view: StoreView) -> None:
        self._loop = asyncio.get_running_loop()
        self._store = store
        self._prefix = prefix
        self._view = view
        self._backoff = create_backoff(FIRST_RETRY_S, LONGEST_RETRY_S)
        self._failed_at = -1e9
        self.state = FollowerState()
        self._task: asyncio.Task[None] | None = None
        self.loaded = asyncio.Event()

    def start(self) -> None:
        """Begin to follow."""
        self._task = self._loop.create_task(self._follow())

    async def stop(self) -> None:
        """Stop following."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    @property
    def after_outage(self) -> bool:
        """Tell whether the store failed a moment ago, so that entries may have lapsed."""
        return self._loop.time() - self._failed_at < UNSTABLE_S

    async def _follow(self) -> None:
        while True:
            try:
                await self._read()
                await self._watch()
            except CompactedError as error:
                log_event("store_history_gone", reason=error.reason)
            except HeatherheadError as error:
                self._note_failure(error)
                await asyncio.sleep(self._backoff.next_s())

    async def _read(self) -> None:
        listing = await self._store.read_prefix(self._prefix)
        if isinstance(listing, Err):
            raise listing.err_value
        answer = listing.ok_value
        after_outage = self.after_outage
        self._note_answer()
        if answer.revision < self.state.revision:
            log_event("store_listing_old", revision=answer.revision, held=self.state.revision)
            return
        self.state.revision = answer.revision
        self._view.take_listing(answer.by_key, answer.revision, after_outage=after_outage)
        self.loaded.set()

    async def _watch(self) -> None:
        async for event in self._store.watch(self._prefix, self.state.revision + 1):
            self._note_answer()
            self.state.revision = max(self.state.revision, event.mod_revision)
            self._view.take_event(event, after_outage=self.after_outage)

    def _note_answer(self) -> None:
        self.state.answered_at = self._loop.time()
        if self.state.failing_since is not None:
            log_event(
                "store_regained",
                away_s=f"{self._loop.time() - self.state.failing_since:.2f}",
            )
            self.state.failing_since = None
        self._backoff.reset()

    def _note_failure(self, error: HeatherheadError) -> None:
        self._failed_at = self._loop.time()
        if self.state.failing_since is None:
            self.state.failing_since = self._failed_at
            log_event("store_lost", level="WARNING", reason=error.reason)


def create_store_follower(store: Store, prefix: str, view: StoreView) -> StoreFollower:
    """Create a follower; must be called inside the running loop."""
    return StoreFollower(store, prefix, view)
