"""A local replica of the store's keys, filled from the store or from a peer.

Each key is kept at its newest revision, so the same change may arrive from several sources and in
any order, and no key returns to an older revision. Revisions are ranked: those of a store that came
back from a copy are newer than all from before (`heatherhead/store/history.py`).
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from heatherhead.store.history import history_of
from heatherhead.store.interface import WatchEvent

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = ["StoreReplica", "create_store_replica"]

MAX_TOMBSTONES = 2048  # the oldest are discarded first


class StoreReplica:
    """Keys with values and revisions; listeners are called with each change that is new."""

    def __init__(self) -> None:
        self.revision = 0
        self.value_by_key: dict[str, tuple[bytes, int]] = {}
        self._tombstone_revision_by_key: OrderedDict[str, int] = OrderedDict()
        self._discarded_revision = 0  # tombstones up to this revision may be missing
        self._listed_revision = 0  # of the last complete listing; a key not in it had been removed
        self.gap_free = False  # no change up to `revision` is missing
        self.repairs = 0  # how often changes up to a revision that was already held were added
        self.on_restored: Callable[[], None] = lambda: None
        self._listeners: list[Callable[[WatchEvent, bool], None]] = []

    def subscribe(self, listener: Callable[[WatchEvent, bool], None]) -> None:
        """Register `listener(event, after_outage)`, called with each change."""
        self._listeners.append(listener)

    def revision_of(self, key: str) -> int:
        """Return the revision at which a key is held, 0 if it is not held."""
        held = self.value_by_key.get(key)
        return 0 if held is None else held[1]

    def apply(self, event: WatchEvent, *, after_outage: bool = False) -> bool:
        """Apply a change; return whether it was new."""
        late = event.mod_revision < self.revision
        self.revision = max(self.revision, event.mod_revision)
        known = self._tombstone_revision_by_key.get(event.key, self._listed_revision)
        applied = self._apply_newer(event, known, after_outage)
        if applied and late:
            self.repairs += 1
        return applied

    def _apply_newer(self, event: WatchEvent, known: int, after_outage: bool) -> bool:
        """Apply a change of a key that is held at an older revision, or absent since `known`."""
        key, revision = event.key, event.mod_revision
        held = self.value_by_key.get(key)
        if revision <= (known if held is None else held[1]):
            return False
        if event.value is None:
            self.value_by_key.pop(key, None)
            self._add_tombstone(key, revision)
            if held is None:
                return False
        else:
            self.value_by_key[key] = (event.value, revision)
            self._tombstone_revision_by_key.pop(key, None)
        for listener in self._listeners:
            listener(event, after_outage)
        return True

    def apply_listing(
        self,
        events: Iterable[WatchEvent],
        revision: int,
        *,
        after_outage: bool,
        gap_free: bool = False,
    ) -> None:
        """Apply a complete listing as of a revision; keys missing from it were removed by then.

        In a store that came back from a copy they may just not be written again yet, as in one that
        was away. A listing that is `gap_free` (the store's, or a peer's that read it) also adds keys
        that an earlier listing lacked, although they are older than that.
        """
        held = self.revision
        restored = held > 0 and history_of(held) < history_of(revision)
        after_outage = after_outage or restored
        if revision > held:
            self._discarded_revision = revision  # earlier removals may have been missed
        listed = set()
        repaired = bool(held) and gap_free and not self.gap_free
        for event in events:
            listed.add(event.key)
            known = self._tombstone_revision_by_key.get(event.key, self._listed_revision)
            if gap_free and known <= revision:
                known = 0
            if self._apply_newer(event, known, after_outage):
                repaired = repaired or event.mod_revision <= held
        for key, (_, held_revision) in list(self.value_by_key.items()):
            if key in listed or held_revision > revision:
                continue
            if self._apply_newer(WatchEvent(key, None, revision), 0, after_outage):
                repaired = repaired or revision <= held
        self.repairs += repaired
        self.revision = max(held, revision)
        self._listed_revision = max(self._listed_revision, revision)
        if revision >= held:
            self.gap_free = gap_free
        elif not gap_free:
            self.gap_free = False
        if restored:
            self.on_restored()

    def changes_since(self, revision: int) -> tuple[bool, list[WatchEvent]]:
        """List the changes since `revision`; the flag is true if the list is a complete listing."""
        complete = revision < self._discarded_revision or revision == 0
        since = 0 if complete else revision
        events = [
            WatchEvent(key, value, at)
            for key, (value, at) in self.value_by_key.items()
            if at > since
        ]
        if not complete:
            events.extend(
                WatchEvent(key, None, at)
                for key, at in self._tombstone_revision_by_key.items()
                if at > since
            )
        events.sort(key=lambda event: event.mod_revision)
        return complete, events

    def _add_tombstone(self, key: str, revision: int) -> None:
        self._tombstone_revision_by_key.pop(key, None)
        self._tombstone_revision_by_key[key] = revision
        if len(self._tombstone_revision_by_key) > MAX_TOMBSTONES:
            _, discarded = self._tombstone_revision_by_key.popitem(last=False)
            self._discarded_revision = max(self._discarded_revision, discarded)


def create_store_replica() -> StoreReplica:
    """Create an empty replica."""
    return StoreReplica()
