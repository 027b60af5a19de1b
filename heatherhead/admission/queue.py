"""The bounded admission queue of one service: weighted fair, then earliest-deadline-first.

Classes share the queue by weight, and so do the tenants of a class, by start-time fair queueing
(Goyal, Vin and Cheng, 1996). Within a tenant the order is earliest-deadline-first. When the queue
is full, a call of a tenant with a smaller share evicts one of the tenant with the largest share.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from itertools import count
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from asyncio import Future
    from collections.abc import Mapping

    from heatherhead.calls import Call

__all__ = ["CallQueue", "QueueEntry", "create_call_queue"]

MIN_STALE_ENTRIES = 32  # fewer stale entries are left in the heap


@dataclass(slots=True, eq=False)
class QueueEntry:
    """One waiting call; `future` resolves to its slot or to the error that rejects it."""

    call: Call
    avoid: frozenset[str]
    future: Future[Any]
    queued_at: float
    waiting: bool = False


@dataclass(slots=True, eq=False)
class _Flow:
    """A flow of fair queueing: the waiting calls of one tenant, or the tenants of one class."""

    key: str
    weight: float
    start_tag: float = 0.0
    size: int = 0
    scheduled: bool = False
    by_deadline: list[tuple[float, int, QueueEntry]] = field(default_factory=list)
    tenants: _FairScheduler | None = None


class _FairScheduler:
    """Start-time fair queueing over flows with weights."""

    def __init__(self) -> None:
        self.by_key: dict[str, _Flow] = {}
        self._order: list[tuple[float, int, _Flow]] = []
        self._serial = count()
        self._virtual_time = 0.0

    def flow(self, key: str, weight: float) -> _Flow:
        """Return the flow of a key, creating it if it is absent."""
        flow = self.by_key.get(key)
        if flow is None:
            flow = self.by_key[key] = _Flow(key, weight)
        return flow

    def schedule(self, flow: _Flow) -> None:
        """Schedule a flow that has waiting calls."""
        if flow.scheduled:
            return
        flow.scheduled = True
        flow.start_tag = max(flow.start_tag, self._virtual_time)
        heappush(self._order, (flow.start_tag, next(self._serial), flow))

    def dequeue(self) -> _Flow | None:
        """Remove and return the next flow, charging it for one call."""
        while self._order:
            start_tag, _, flow = heappop(self._order)
            flow.scheduled = False
            if flow.size:
                self._virtual_time = start_tag
                flow.start_tag = start_tag + 1.0 / flow.weight
                return flow
            self.by_key.pop(flow.key, None)
        return None

    def reschedule(self, flow: _Flow) -> None:
        """Schedule a dequeued flow again, or remove it if it has no waiting calls."""
        if flow.size:
            self.schedule(flow)
        elif not flow.scheduled:
            self.by_key.pop(flow.key, None)


class CallQueue:
    """The bounded admission queue of one service."""

    def __init__(self, limit: int, weight_by_class: Mapping[str, float]) -> None:
        self.limit = limit
        self.weight_by_class = weight_by_class
        self._classes = _FairScheduler()
        self._deadlines: list[tuple[float, int, QueueEntry]] = []
        self._serial = count()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, entry: QueueEntry) -> QueueEntry | None:
        """Add an entry; if the queue is full, return the one to reject, which may be `entry`."""
        evicted = self._make_room(entry) if self._size >= self.limit else None
        if evicted is not entry:
            self._insert(entry)
        return evicted

    def pop(self) -> QueueEntry | None:
        """Remove and return the next entry, or `None` if the queue is empty."""
        call_class = self._classes.dequeue()
        if call_class is None:
            return None
        assert call_class.tenants is not None
        tenant = call_class.tenants.dequeue()
        assert tenant is not None
        entry = _pop_earliest(tenant.by_deadline)
        assert entry is not None
        self._detach(entry, call_class, tenant)
        call_class.tenants.reschedule(tenant)
        self._classes.reschedule(call_class)
        return entry

    def reinsert(self, entry: QueueEntry) -> None:
        """Insert an entry again that was popped and got no upstream; the limit is not checked."""
        self._insert(entry)

    def discard(self, entry: QueueEntry) -> None:
        """Remove an entry, if it is still waiting."""
        if not entry.waiting:
            return
        call_class = self._classes.by_key[entry.call.call_class]
        assert call_class.tenants is not None
        tenant = call_class.tenants.by_key[entry.call.tenant]
        self._detach(entry, call_class, tenant)
        _compact(tenant.by_deadline, tenant.size)
        _compact(self._deadlines, self._size)

    def next_deadline(self) -> float | None:
        """Return the earliest deadline of all waiting calls, or `None` if there are none."""
        while self._deadlines and not self._deadlines[0][2].waiting:
            heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else None

    def remove_expired(self, now: float) -> list[QueueEntry]:
        """Remove and return the entries whose deadline has passed."""
        expired = []
        while (deadline := self.next_deadline()) is not None and deadline <= now:
            entry = self._deadlines[0][2]
            self.discard(entry)
            expired.append(entry)
        return expired

    def drain(self) -> list[QueueEntry]:
        """Remove and return all entries, in queue order."""
        entries = []
        while (entry := self.pop()) is not None:
            entries.append(entry)
        return entries

    def _insert(self, entry: QueueEntry) -> None:
        call = entry.call
        call_class = self._classes.flow(
            call.call_class, self.weight_by_class.get(call.call_class, 1.0)
        )
        if call_class.tenants is None:
            call_class.tenants = _FairScheduler()
        tenant = call_class.tenants.flow(call.tenant, self.weight_by_class.get(call.tenant, 1.0))
        item = (call.deadline, next(self._serial), entry)
        heappush(tenant.by_deadline, item)
        heappush(self._deadlines, item)
        entry.waiting = True
        self._size += 1
        call_class.size += 1
        tenant.size += 1
        call_class.tenants.schedule(tenant)
        self._classes.schedule(call_class)

    def _detach(self, entry: QueueEntry, call_class: _Flow, tenant: _Flow) -> None:
        entry.waiting = False
        self._size -= 1
        call_class.size -= 1
        tenant.size -= 1

    def _make_room(self, entry: QueueEntry) -> QueueEntry:
        """Evict from the tenant with the largest weighted share, or reject the new entry.

        The new entry is rejected if its own tenant would then have at least that share.
        """
        largest = max(
            (
                tenant
                for call_class in self._classes.by_key.values()
                if call_class.tenants is not None
                for tenant in call_class.tenants.by_key.values()
            ),
            key=lambda tenant: tenant.size / tenant.weight,
        )
        own_class = self._classes.by_key.get(entry.call.call_class)
        own = own_class.tenants.by_key.get(entry.call.tenant) if own_class else None
        own_load = (own.size + 1) / own.weight if own else 1.0
        if own is largest or own_load >= largest.size / largest.weight:
            return entry
        last = max(item for item in largest.by_deadline if item[2].waiting)[2]
        self.discard(last)
        return last


def _pop_earliest(by_deadline: list[tuple[float, int, QueueEntry]]) -> QueueEntry | None:
    while by_deadline:
        entry = heappop(by_deadline)[2]
        if entry.waiting:
            return entry
    return None


def _compact(by_deadline: list[tuple[float, int, QueueEntry]], live: int) -> None:
    """Remove stale heap items once they outnumber those of waiting entries."""
    if len(by_deadline) > 2 * live + MIN_STALE_ENTRIES:
        by_deadline[:] = [item for item in by_deadline if item[2].waiting]
        heapify(by_deadline)


def create_call_queue(limit: int, weight_by_class: Mapping[str, float]) -> CallQueue:
    """Create an empty queue with room for `limit` calls."""
    return CallQueue(limit, weight_by_class)
