"""Holds the entries of upstreams, newest revision first, and keeps lapsed ones for a while.

Entries lapse while the store is away, though their upstreams live. Such an entry is kept for
`LAPSE_GRACE_S` after the store is back, in which a live upstream announces itself again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from heatherhead.registry.entries import UpstreamEntry

__all__ = ["LAPSE_GRACE_S", "UpstreamRegistry", "create_upstream_registry"]

LAPSE_GRACE_S = 2.0  # a live upstream's entry is back this soon after an outage (platform)
MAX_TOMBSTONES = 4096  # removed ids whose revision is remembered


class UpstreamRegistry:
    """Entries by id; listeners hear (previous, current) of each change."""

    def __init__(self) -> None:
        self.by_id: dict[str, UpstreamEntry] = {}
        self._lapses_at_by_id: dict[str, float] = {}
        self._removed_revision_by_id: dict[str, int] = {}
        self._listeners: list[Callable[[UpstreamEntry | None, UpstreamEntry | None], None]] = []

    def subscribe(
        self, listener: Callable[[UpstreamEntry | None, UpstreamEntry | None], None]
    ) -> None:
        """Call `listener(previous, current)` with each change; None stands for no entry."""
        self._listeners.append(listener)

    def put(self, entry: UpstreamEntry) -> bool:
        """Take an entry; one that is older than what is known is left out."""
        held = self.by_id.get(entry.id)
        known = held.revision if held else self._removed_revision_by_id.get(entry.id, 0)
        if entry.revision <= known:
            return False
        self.by_id[entry.id] = entry
        self._lapses_at_by_id.pop(entry.id, None)
        self._removed_revision_by_id.pop(entry.id, None)
        self._tell(held, entry)
        return True

    def remove(self, upstream_id: str, revision: int, lapses_at: float | None = None) -> bool:
        """Drop an entry, at once or at `lapses_at` unless it is announced again before."""
        held = self.by_id.get(upstream_id)
        if held is None or held.revision > revision:
            return False
        if lapses_at is not None:
            self._lapses_at_by_id.setdefault(upstream_id, lapses_at)
            return False
        self._drop(held, revision)
        return True

    def expire(self, now: float) -> list[str]:
        """Drop the entries whose grace is over; tell their ids."""
        due = [each for each, at in self._lapses_at_by_id.items() if at <= now]
        for upstream_id in due:
            del self._lapses_at_by_id[upstream_id]
            held = self.by_id.get(upstream_id)
            if held is not None:
                self._drop(held, held.revision)
        return due

    def _drop(self, held: UpstreamEntry, revision: int) -> None:
        del self.by_id[held.id]
        self._lapses_at_by_id.pop(held.id, None)
        if len(self._removed_revision_by_id) >= MAX_TOMBSTONES:
            self._removed_revision_by_id.pop(next(iter(self._removed_revision_by_id)))
        self._removed_revision_by_id[held.id] = max(revision, held.revision)
        self._tell(held, None)

    def _tell(self, previous: UpstreamEntry | None, current: UpstreamEntry | None) -> None:
        for listener in self._listeners:
            listener(previous, current)


def create_upstream_registry() -> UpstreamRegistry:
    """Create an empty registry."""
    return UpstreamRegistry()
