"""Gives the calls of one service to its upstreams, each as late as possible."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from itertools import count
from typing import TYPE_CHECKING

from result import Err, Ok

from heatherhead.admission.queue import QueueEntry, create_call_queue
from heatherhead.calls import AttemptResult, AttemptState
from heatherhead.exceptions import (
    CallRefusedError,
    DeadlineUnreachableError,
    NoUpstreamError,
    QueueFullError,
)
from heatherhead.routing.evidence import create_evidence
from heatherhead.routing.policies import create_policy
from heatherhead.routing.service_time import create_service_time
from heatherhead.routing.upstream_state import create_upstream_state
from heatherhead.telemetry.interface import HistogramKind

if TYPE_CHECKING:
    from random import Random

    from result import Result

    from heatherhead.calls import Call
    from heatherhead.configuration.model import Service, Upstream
    from heatherhead.membership.interface import Instance
    from heatherhead.routing.upstream_state import UpstreamState
    from heatherhead.settings.routing import RoutingSettings
    from heatherhead.telemetry.interface import Telemetry

__all__ = ["Dispatcher", "RoutedSlot", "create_dispatcher"]

MAX_SET_ASIDE = 16
NOT_SENT = AttemptResult(AttemptState.NOT_SENT, cancelled=True)


@dataclass(slots=True, eq=False)
class RoutedSlot:
    """A slot of an upstream that one attempt holds."""

    upstream: Upstream
    started_at: float
    state: UpstreamState
    serial: int
    call: Call
    dispatcher: Dispatcher
    aged: bool = False
    finished: bool = False

    def finish(self, result: AttemptResult) -> None:
        """Give the slot back; a second time has no effect."""
        if not self.finished:
            self.finished = True
            self.dispatcher.finish(self, result)


class Dispatcher:
    """The queue, the upstreams and the evidence of one service."""

    def __init__(
        self,
        service: Service,
        own: Instance,
        settings: RoutingSettings,
        telemetry: Telemetry,
        rng: Random,
    ) -> None:
        self.service = service
        self.settings = settings
        self.state_by_id: dict[str, UpstreamState] = {}
        self.policy = create_policy(settings.policy, rng)
        self.service_time = create_service_time()
        self.evidence = create_evidence(settings, self.policy, self.service_time, self.state_by_id)
        self.queue = create_call_queue(service.queue_limit, _weights(service))
        self.rate = 0.0
        self.calls_seen = 0
        self._own = own
        self._telemetry = telemetry
        self._loop = asyncio.get_running_loop()
        self._serial = count(1)
        self._oldest: deque[RoutedSlot] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._take_upstreams(service, cold=False)

    async def acquire(
        self, call: Call, avoid: frozenset[str]
    ) -> Result[RoutedSlot, CallRefusedError]:
        """Wait for a slot; see `Router.acquire`."""
        now = self._loop.time()
        self.calls_seen += 1
        refusal = self._refusal_on_arrival(call, now)
        if refusal is not None:
            return Err(refusal)
        if not self.queue or self._local_is_too_late(call, now):
            state = self._choose(call, avoid, now)
            if state is not None:
                return Ok(self._start(state, call, now))
        return await self._wait(call, avoid, now)

    def try_acquire(self, call: Call, avoid: frozenset[str]) -> RoutedSlot | None:
        """Take a free slot unless calls wait for one."""
        now = self._loop.time()
        if self.queue or self._too_late(call, now):
            return None
        self._watch(now)
        state = self.policy.choose(avoid)
        return self._start(state, call, now) if state is not None else None

    def finish(self, slot: RoutedSlot, result: AttemptResult) -> None:
        """Take back a slot with what the attempt showed."""
        now = self._loop.time()
        state = slot.state
        state.started_by_serial.pop(slot.serial, None)
        if slot.aged:
            state.aged -= 1
        self.evidence.finished(slot, result, now)
        self.policy.refresh(state)
        if self.queue:
            self.dispatch()

    def update(self, service: Service) -> None:
        """Take a new configuration; calls in flight on dropped upstreams run on."""
        self.service = service
        self.queue.limit = service.queue_limit
        self.queue.weight_by_class = _weights(service)
        self._take_upstreams(service, cold=True)
        self.dispatch()

    def others_changed(self, states: list[UpstreamState]) -> None:
        """Take in what co-homes told of upstreams."""
        for state in states:
            self.policy.refresh(state)
        if states and self.queue:
            self.dispatch()

    def close(self) -> None:
        """Refuse all waiting calls of a service that is no more."""
        if self._timer is not None:
            self._timer.cancel()
        for entry in self.queue.drain():
            _refuse(entry, self._no_upstream())

    def dispatch(self) -> None:
        """Give waiting calls to free slots, in the order of the queue."""
        now = self._loop.time()
        self._watch(now)
        for entry in self.queue.take_expired(now):
            _refuse(entry, _unreachable())
        set_aside: list[QueueEntry] = []
        while len(set_aside) < MAX_SET_ASIDE and (entry := self.queue.pop()) is not None:
            if entry.future.done():
                continue
            if self._too_late(entry.call, now):
                _refuse(entry, _unreachable())
                continue
            state = self._choose(entry.call, entry.avoid, now)
            if state is not None:
                entry.future.set_result(Ok(self._start(state, entry.call, now)))
                continue
            set_aside.append(entry)
            if not entry.avoid:
                break
        for entry in set_aside:
            self.queue.put_back(entry)
        self._arm(now)

    def hedge_delay_s(self) -> float | None:
        """Say how long an attempt runs before a hedge is worth sending."""
        usual = self.service_time.usual_s
        if not usual or len(self.state_by_id) < 2:
            return None
        return self.evidence.threshold_s(self.settings.hedge_factor)

    def _take_upstreams(self, service: Service, *, cold: bool) -> None:
        by_id = {each.id: each for each in service.upstreams}
        for upstream_id in list(self.state_by_id):
            if upstream_id not in by_id:
                state = self.state_by_id.pop(upstream_id)
                self.policy.forget(state)
                state.removed = True
        for upstream in service.upstreams:
            state = self.state_by_id.get(upstream.id)
            if state is None or _moved(state.upstream, upstream):
                if state is not None:
                    self.policy.forget(state)
                    state.removed = True
                state = create_upstream_state(upstream, self._own, cold=cold)
                self.state_by_id[upstream.id] = state
            elif state.upstream != upstream:
                state.upstream = upstream
                state.limit.resize(upstream.slots)
            self.policy.refresh(state)

    def _choose(self, call: Call, avoid: frozenset[str], now: float) -> UpstreamState | None:
        self._watch(now)
        state = self.policy.choose(avoid)
        if state is None and self._local_is_too_late(call, now):
            state = self.policy.choose(avoid, anywhere=True)
        return state

    def _watch(self, now: float) -> None:
        """Mark upstreams whose oldest call is far over the usual time, and end pauses."""
        self.evidence.end_pauses(now)
        after_s = self.evidence.slow_after_s
        oldest = self._oldest
        while oldest and (
            oldest[0].finished or (after_s and oldest[0].started_at + after_s <= now)
        ):
            slot = oldest.popleft()
            if not slot.finished:
                slot.aged = True
                slot.state.aged += 1
                self.evidence.overdue(slot, now)

    def _start(self, state: UpstreamState, call: Call, now: float) -> RoutedSlot:
        slot = RoutedSlot(state.upstream, now, state, next(self._serial), call, self)
        state.started_by_serial[slot.serial] = now
        self._oldest.append(slot)
        self.policy.refresh(state)
        return slot

    async def _wait(
        self, call: Call, avoid: frozenset[str], now: float
    ) -> Result[RoutedSlot, CallRefusedError]:
        future: asyncio.Future[Result[RoutedSlot, CallRefusedError]] = self._loop.create_future()
        entry = QueueEntry(call, avoid, future, now)
        evicted = self.queue.push(entry)
        if evicted is not None:
            _refuse(evicted, _queue_full(self.service))
        self._arm(now)
        try:
            answer = await future
        except asyncio.CancelledError:
            self._abandon(entry)
            raise
        return self._recheck(answer, call, now)

    def _recheck(
        self, answer: Result[RoutedSlot, CallRefusedError], call: Call, queued_at: float
    ) -> Result[RoutedSlot, CallRefusedError]:
        """Refuse a slot that came before the deadline but is taken up after it."""
        now = self._loop.time()
        self._telemetry.observe(
            call.service, call.call_class, HistogramKind.QUEUE_WAIT, now - queued_at
        )
        if isinstance(answer, Ok) and now >= call.deadline:
            answer.ok_value.finish(NOT_SENT)
            return Err(_unreachable())
        return answer

    def _abandon(self, entry: QueueEntry) -> None:
        self.queue.discard(entry)
        if entry.future.done() and not entry.future.cancelled():
            answer = entry.future.result()
            if isinstance(answer, Ok):
                answer.ok_value.finish(NOT_SENT)

    def _refusal_on_arrival(self, call: Call, now: float) -> CallRefusedError | None:
        if not self.state_by_id:
            return self._no_upstream()
        if self._too_late(call, now):
            return _unreachable()
        return None

    def _too_late(self, call: Call, now: float) -> bool:
        return now + self.service_time.fast_s >= call.deadline

    def _local_is_too_late(self, call: Call, now: float) -> bool:
        """Tell whether the local region can't answer in time, or has no upstream at all."""
        if not self.evidence.any_local_usable():
            return True
        wait_s = self.service_time.usual_s * (1 + len(self.queue) / self.evidence.local_slots())
        return now + wait_s + self.service_time.usual_s >= call.deadline

    def _arm(self, now: float) -> None:
        """Wake up for the first waiting deadline, end of a pause or overdue call."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        wake_at = self.queue.next_deadline()
        if wake_at is None:
            return
        for other in (self.evidence.next_pause_end(), self._next_overdue()):
            if other is not None:
                wake_at = min(wake_at, other)
        self._timer = self._loop.call_at(max(wake_at, now), self.dispatch)

    def _next_overdue(self) -> float | None:
        after_s = self.evidence.slow_after_s
        return self._oldest[0].started_at + after_s if self._oldest and after_s else None

    def _no_upstream(self) -> NoUpstreamError:
        return NoUpstreamError(
            f"service {self.service.name} has no upstream",
            remedy="add upstreams to the service, or ask again later",
        )


def _weights(service: Service) -> dict[str, float]:
    return {each.name: float(each.weight) for each in service.classes}


def _moved(one: Upstream, other: Upstream) -> bool:
    return (one.host, one.port) != (other.host, other.port)


def _refuse(entry: QueueEntry, error: CallRefusedError) -> None:
    if not entry.future.done():
        entry.future.set_result(Err(error))


def _unreachable() -> DeadlineUnreachableError:
    return DeadlineUnreachableError(
        "the call can't be answered before its deadline",
        remedy="allow it more time, or send it again when the load is lower",
    )


def _queue_full(service: Service) -> QueueFullError:
    return QueueFullError(
        f"{service.queue_limit} calls of service {service.name} wait already",
        remedy="send it again after a pause, or raise the service's queue_limit",
    )


def create_dispatcher(
    service: Service,
    own: Instance,
    settings: RoutingSettings,
    telemetry: Telemetry,
    rng: Random,
) -> Dispatcher:
    """Create the dispatcher of a service on the running loop."""
    return Dispatcher(service, own, settings, telemetry, rng)
