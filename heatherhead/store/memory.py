"""In-memory store with the same guarantees as the platform's store."""

from __future__ import annotations

import asyncio
from bisect import bisect_left
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from result import Err, Ok

from heatherhead.store.errors import CompactedError, LeaseExpiredError
from heatherhead.store.interface import KeyValue, RangeAnswer, StoreLease, WatchEvent, WriteAnswer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from result import Result

    from heatherhead.exceptions import HeatherheadError

__all__ = ["MemoryStore", "create_memory_store"]

MAX_EVENTS = 10_000  # older ones are compacted


@dataclass(slots=True)
class _Lease:
    """A lease with the keys that are deleted when it expires."""

    ttl_s: float
    expires_at: float
    keys: set[str] = field(default_factory=set)


class MemoryStore:
    """Holds keys, their history for watches, and leases that expire by the loop clock."""

    def __init__(self) -> None:
        self.by_key: dict[str, KeyValue] = {}
        self.revision = 1
        self.compacted_revision = 0
        self._events: list[WatchEvent] = []
        self._leases_by_id: dict[int, _Lease] = {}
        self._last_lease_id = 0
        self._wakeups: set[asyncio.Event] = set()

    async def read_prefix(
        self, prefix: str, *, stale: bool = False
    ) -> Result[RangeAnswer, HeatherheadError]:
        """Read all keys below a prefix at one revision."""
        self.expire_leases()
        by_key = {key: value for key, value in self.by_key.items() if key.startswith(prefix)}
        return Ok(RangeAnswer(self.revision, by_key))

    async def compare_and_swap(
        self, key: str, expected_revision: int, value: bytes | None, lease_id: int = 0
    ) -> Result[WriteAnswer, HeatherheadError]:
        """Write `value` (or delete, for `None`) if the key is at `expected_revision`."""
        self.expire_leases()
        if lease_id and lease_id not in self._leases_by_id:
            return Err(LeaseExpiredError(lease_id))
        current = self.by_key.get(key)
        current_revision = current.mod_revision if current else 0
        if current_revision != expected_revision:
            return Ok(WriteAnswer(False, self.revision, current))
        if value is None and current is None:
            return Ok(WriteAnswer(True, self.revision))
        self._write([key], value, lease_id)
        return Ok(WriteAnswer(True, self.revision))

    async def grant_lease(self, ttl_s: float) -> Result[StoreLease, HeatherheadError]:
        """Grant a new lease."""
        loop = asyncio.get_running_loop()
        self._last_lease_id += 1
        self._leases_by_id[self._last_lease_id] = _Lease(ttl_s, loop.time() + ttl_s)
        loop.call_later(ttl_s, self.expire_leases)
        return Ok(StoreLease(self._last_lease_id, ttl_s))

    async def renew_lease(self, lease_id: int) -> Result[StoreLease, HeatherheadError]:
        """Renew a lease; the result is `Err` if it has expired."""
        self.expire_leases()
        loop = asyncio.get_running_loop()
        lease = self._leases_by_id.get(lease_id)
        if lease is None:
            return Err(LeaseExpiredError(lease_id))
        lease.expires_at = loop.time() + lease.ttl_s
        loop.call_later(lease.ttl_s, self.expire_leases)
        return Ok(StoreLease(lease_id, lease.ttl_s))

    async def revoke_lease(self, lease_id: int) -> Result[None, HeatherheadError]:
        """Revoke a lease, which deletes the keys attached to it."""
        self.expire_leases()
        if lease_id not in self._leases_by_id:
            return Err(LeaseExpiredError(lease_id))
        self._remove_lease(lease_id)
        return Ok(None)

    async def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Iterate over changes from a revision on; see `Store.watch`."""
        wakeup = asyncio.Event()
        self._wakeups.add(wakeup)
        next_revision = from_revision
        try:
            while True:
                wakeup.clear()
                if next_revision <= self.compacted_revision:
                    raise CompactedError(next_revision)
                for event in self.events_from(next_revision):
                    next_revision = event.mod_revision + 1
                    if event.key.startswith(prefix):
                        yield event
                await wakeup.wait()
        finally:
            self._wakeups.discard(wakeup)

    async def close(self) -> None:
        """Do nothing; the store has no connections."""

    def events_from(self, revision: int) -> list[WatchEvent]:
        """List the changes from a revision on that have not been compacted."""
        first = bisect_left(self._events, revision, key=lambda event: event.mod_revision)
        return self._events[first:]

    def compact(self, revision: int) -> None:
        """Discard the changes up to a revision."""
        self.compacted_revision = max(self.compacted_revision, revision)
        self._events = self.events_from(revision + 1)

    def expire_leases(self) -> None:
        """Remove the leases that have expired, with their keys."""
        now = asyncio.get_running_loop().time()
        expired = [key for key, each in self._leases_by_id.items() if each.expires_at <= now]
        for lease_id in expired:
            self._remove_lease(lease_id)

    def expire_lease(self, lease_id: int) -> None:
        """Expire a lease before its time, as a store may do after an outage."""
        if lease_id in self._leases_by_id:
            self._remove_lease(lease_id)

    def _remove_lease(self, lease_id: int) -> None:
        keys = sorted(self._leases_by_id.pop(lease_id).keys)
        if keys:
            self._write(keys, None, 0)

    def _write(self, keys: list[str], value: bytes | None, lease_id: int) -> None:
        self.revision += 1
        for key in keys:
            for lease in self._leases_by_id.values():
                lease.keys.discard(key)
            if value is None:
                self.by_key.pop(key, None)
            else:
                self.by_key[key] = KeyValue(key, value, self.revision)
            if lease_id:
                self._leases_by_id[lease_id].keys.add(key)
            self._events.append(WatchEvent(key, value, self.revision))
        if len(self._events) > MAX_EVENTS:
            self.compact(self._events[len(self._events) // 2].mod_revision)
        for wakeup in self._wakeups:
            wakeup.set()


def create_memory_store() -> MemoryStore:
    """Create an empty store."""
    return MemoryStore()
