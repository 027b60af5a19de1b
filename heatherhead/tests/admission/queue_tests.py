"""Tests of `heatherhead.admission.queue`."""

from __future__ import annotations

from asyncio import Future
from collections import Counter
from unittest.mock import Mock

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from heatherhead.admission.queue import CallQueue, QueueEntry, create_call_queue
from heatherhead.calls import Call

LIMIT = 8


def _entry(deadline: float = 1.0, call_class: str = "default", tenant: str = "") -> QueueEntry:
    call = Call("orders", "GET", "/", 0.0, deadline, True, call_class, tenant)
    return QueueEntry(call, frozenset(), Mock(Future), 0.0)


def _pop_classes(queue: CallQueue, count: int) -> Counter[str]:
    entries = [queue.pop() for _ in range(count)]
    return Counter(entry.call.call_class for entry in entries if entry)


def test_order_within_a_tenant_is_earliest_deadline_first() -> None:
    queue = create_call_queue(LIMIT, {})
    for deadline in (3.0, 1.0, 2.0):
        queue.push(_entry(deadline))
    deadlines = [entry.call.deadline for entry in queue.drain()]
    assert deadlines == [1.0, 2.0, 3.0]


def test_classes_share_the_queue_by_weight() -> None:
    queue = create_call_queue(100, {"gold": 3.0, "bulk": 1.0})
    for _ in range(40):
        queue.push(_entry(1.0, "bulk"))
        queue.push(_entry(2.0, "gold"))
    assert _pop_classes(queue, 40) == {"gold": 30, "bulk": 10}


def test_share_of_a_class_does_not_grow_with_its_tenants() -> None:
    queue = create_call_queue(100, {})
    for number in range(20):
        queue.push(_entry(1.0, "crowd", f"tenant-{number}"))
        queue.push(_entry(2.0, "single"))
    assert _pop_classes(queue, 20) == {"crowd": 10, "single": 10}


def test_full_queue_evicts_from_the_largest_tenant_for_a_smaller_one() -> None:
    queue = create_call_queue(LIMIT, {})
    noisy = [_entry(float(number), tenant="noisy") for number in range(LIMIT)]
    for entry in noisy:
        assert queue.push(entry) is None
    one_more = _entry(0.0, tenant="noisy")
    assert queue.push(one_more) is one_more
    quiet = _entry(99.0, tenant="quiet")
    assert queue.push(quiet) is noisy[-1]
    assert len(queue) == LIMIT
    assert quiet in queue.drain()


def test_expired_entries_are_removed() -> None:
    queue = create_call_queue(LIMIT, {})
    late, soon = _entry(5.0), _entry(1.0)
    queue.push(late)
    queue.push(soon)
    assert queue.next_deadline() == 1.0
    assert queue.take_expired(1.0) == [soon]
    assert queue.drain() == [late]


class QueueMachine(RuleBasedStateMachine):
    """Compares the queue with a model: a list of the entries that should be waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = create_call_queue(LIMIT, {"a": 2.0})
        self.waiting: list[QueueEntry] = []

    @rule(
        deadline=st.floats(0, 10),
        call_class=st.sampled_from("abc"),
        tenant=st.sampled_from(["x", "y"]),
    )
    def push(self, deadline: float, call_class: str, tenant: str) -> None:
        entry = _entry(deadline, call_class, tenant)
        evicted = self.queue.push(entry)
        assert (evicted is None) == (len(self.waiting) < LIMIT)
        self.waiting.append(entry)
        if evicted is not None:
            self.waiting.remove(evicted)

    @rule(put_back=st.booleans())
    def pop(self, put_back: bool) -> None:
        entry = self.queue.pop()
        assert (entry is None) == (not self.waiting)
        if entry is None:
            return
        tenant_deadlines = [
            each.call.deadline
            for each in self.waiting
            if (each.call.call_class, each.call.tenant)
            == (entry.call.call_class, entry.call.tenant)
        ]
        assert entry.call.deadline == min(tenant_deadlines)
        if put_back:
            self.queue.put_back(entry)
        else:
            self.waiting.remove(entry)

    @rule(index=st.integers(0, LIMIT))
    def discard(self, index: int) -> None:
        if index < len(self.waiting):
            self.queue.discard(self.waiting.pop(index))

    @rule(now=st.floats(0, 10))
    def expire(self, now: float) -> None:
        expired = self.queue.take_expired(now)
        assert sorted(map(id, expired)) == sorted(
            id(each) for each in self.waiting if each.call.deadline <= now
        )
        self.waiting = [each for each in self.waiting if each not in expired]

    @invariant()
    def counts_waiting_entries(self) -> None:
        assert len(self.queue) == len(self.waiting)


TestQueueMachine = QueueMachine.TestCase
