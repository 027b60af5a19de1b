"""Registry of upstream entries, ordered by revision, with a grace period for expired entries.

During an outage of the store, entries expire although their upstreams are alive. Such an entry is
kept for `EXPIRY_GRACE_S` after the store is back, so that a live upstream can announce itself
again.

A store that came back from a copy may hold the earlier entry of an upstream that has reported to be
draining, or that has left. Such an entry is of the same start of the upstream, with a lower or the
same sequence, and does not bring it back.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.store.history import history_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from heatherhead.registry.entries import UpstreamEntry

__all__ = ["EXPIRY_GRACE_S", "UpstreamRegistry", "create_upstream_registry"]

EXPIRY_GRACE_S = 2.0  # the platform restores the entry of a live upstream within this time
MAX_TOMBSTONES = 4096  # removed ids whose revision is kept, so that no stale source restores them


class UpstreamRegistry:
    """Upstream entries by id; listeners are called with each change."""

    def __init__(self) -> None:
        self.by_id: dict[str, UpstreamEntry] = {}
        self._expires_at_by_id: dict[str, float] = {}
        self._removed_revision_by_id: dict[str, int] = {}
        self._left_by_id: dict[str, UpstreamEntry] = (
            {}
        )  # the last entry of those that did not expire
        self._listeners: list[Callable[[UpstreamEntry | None, UpstreamEntry | None], None]] = []

    def subscribe(
        self, listener: Callable[[UpstreamEntry | None, UpstreamEntry | None], None]
    ) -> None:
        """Call `listener(previous, current)` on each change; None means that there is no entry."""
        self._listeners.append(listener)

    def put(self, entry: UpstreamEntry) -> bool:
        """Add or replace an entry; return False if it is not newer than the known one."""
        held = self.by_id.get(entry.id)
        known = held.revision if held else self._removed_revision_by_id.get(entry.id, 0)
        if entry.revision <= known or self._is_copy(entry, held):
            return False
        self.by_id[entry.id] = entry
        self._expires_at_by_id.pop(entry.id, None)
        self._removed_revision_by_id.pop(entry.id, None)
        self._left_by_id.pop(entry.id, None)
        self._notify(held, entry)
        return True

    def _is_copy(self, entry: UpstreamEntry, held: UpstreamEntry | None) -> bool:
        """Return whether an entry in a restored store is older than what was known before."""
        known = held or self._left_by_id.get(entry.id)
        if known is None or not entry.started_ms or not entry.same_start(known):
            return False
        if history_of(entry.revision) == history_of(known.revision):
            return False
        if held is None:
            return entry.sequence <= known.sequence
        return entry.sequence < known.sequence

    def remove(self, upstream_id: str, revision: int, expires_at: float | None = None) -> bool:
        """Remove an entry at once, or at `expires_at` unless it is announced again before.

        Return whether it was removed at once; an entry newer than `revision` stays.
        """
        held = self.by_id.get(upstream_id)
        if held is None or held.revision > revision:
            return False
        if expires_at is not None:
            self._expires_at_by_id.setdefault(upstream_id, expires_at)
            return False
        self._discard(held, revision)
        return True

    def expire(self, now: float) -> list[str]:
        """Remove the entries whose grace period has ended; return their ids."""
        due = [each for each, at in self._expires_at_by_id.items() if at <= now]
        for upstream_id in due:
            del self._expires_at_by_id[upstream_id]
            held = self.by_id.get(upstream_id)
            if held is not None:
                self._discard(held, held.revision)
                self._left_by_id.pop(upstream_id, None)
        return due

    def _discard(self, held: UpstreamEntry, revision: int) -> None:
        del self.by_id[held.id]
        self._expires_at_by_id.pop(held.id, None)
        if len(self._removed_revision_by_id) >= MAX_TOMBSTONES:
            oldest = next(iter(self._removed_revision_by_id))
            del self._removed_revision_by_id[oldest]
            self._left_by_id.pop(oldest, None)
        self._removed_revision_by_id[held.id] = max(revision, held.revision)
        self._left_by_id[held.id] = held
        self._notify(held, None)

    def _notify(self, previous: UpstreamEntry | None, current: UpstreamEntry | None) -> None:
        for listener in self._listeners:
            listener(previous, current)


def create_upstream_registry() -> UpstreamRegistry:
    """Create an empty registry."""
    return UpstreamRegistry()
