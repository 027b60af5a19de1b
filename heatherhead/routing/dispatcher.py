"""Dispatches the calls of one service to its upstreams by late binding.

A call waits in the admission queue until a slot is free, and only then gets its upstream.
"""

from __future__ import annotations

import asyncio
import math
from collections import deque
from itertools import count
from typing import TYPE_CHECKING

from result import Err, Ok

from heatherhead.admission.queue import QueueEntry, create_call_queue
from heatherhead.calls import AttemptResult, AttemptState
from heatherhead.routing.evidence import create_evidence
from heatherhead.routing.isolation import create_isolation
from heatherhead.routing.policies import create_policy
from heatherhead.routing.quarantine import create_quarantine
from heatherhead.routing.refusals import (
    deadline_unreachable,
    no_upstream,
    queue_full,
    refuse,
)
from heatherhead.routing.service_time import create_service_time
from heatherhead.routing.slot import RoutedSlot
from heatherhead.routing.upstream_state import sync_upstreams

if TYPE_CHECKING:
    from random import Random

    from result import Result

    from heatherhead.calls import Call
    from heatherhead.configuration.model import Service
    from heatherhead.exceptions import CallRefusedError
    from heatherhead.membership.interface import Instance
    from heatherhead.routing.upstream_state import UpstreamState
    from heatherhead.settings.routing import RoutingSettings
    from heatherhead.telemetry.interface import Telemetry

__all__ = ["Dispatcher", "create_dispatcher"]

MAX_SKIPPED_CALLS = 16  # per dispatch: calls that avoid every upstream with a free slot
SERVICE_TIME_TTL_S = 1.0  # without an attempt for that long, a call tests the service time
NOT_SENT = AttemptResult(AttemptState.NOT_SENT, cancelled=True)


class Dispatcher:
    """Admission queue, upstream states and outlier detection of one service."""

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
        self.evidence = create_evidence(
            settings, self.policy, self.service_time, self.state_by_id, telemetry
        )
        self.queue = create_call_queue(service.queue_limit, _weights(service))
        self.quarantine = create_quarantine(service.name, settings)
        self.isolation = create_isolation(settings, self.policy.refresh)
        self.smoothed_rate = 0.0
        self.calls_in_interval = 0
        self._own = own
        self._loop = asyncio.get_running_loop()
        self._serial = count(1)
        self._in_flight_by_age: deque[RoutedSlot] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._started_at = -math.inf  # the last attempt
        self._sync_upstreams(service, cold=False)

    async def acquire(
        self, call: Call, avoid: frozenset[str]
    ) -> Result[RoutedSlot, CallRefusedError]:
        """Wait for a slot; see `Router.acquire`."""
        now = self._loop.time()
        self.calls_in_interval += 1
        refusal = self._refusal_on_arrival(call, now)
        if refusal is not None:
            return Err(refusal)
        if self.quarantine and self.quarantine.is_suspect(call):
            return await self._wait_isolated(call, avoid, now)
        if not self.queue or self._local_region_is_too_late(call, now):
            state = self._choose(call, avoid, now)
            if state is not None:
                return Ok(self._start(state, call, now))
        if now + self._expected_wait_s(now) + self.service_time.median_s >= call.deadline:
            return Err(deadline_unreachable())
        return await self._wait(call, avoid, now)

    def try_acquire(self, call: Call, avoid: frozenset[str]) -> RoutedSlot | None:
        """Return a free slot, or `None` if there is none or calls wait for one."""
        now = self._loop.time()
        if self.queue or now + self.service_time.median_s >= call.deadline:
            return None
        if self.quarantine and self.quarantine.is_suspect(call):
            return None
        self._update_slowness(now)
        state = self.policy.choose(avoid)
        return self._start(state, call, now) if state is not None else None

    def finish(self, slot: RoutedSlot, result: AttemptResult) -> None:
        """Release a slot and record the result of its attempt."""
        now = self._loop.time()
        state = slot.state
        state.slot_by_serial.pop(slot.serial, None)
        if slot.is_overdue:
            state.overdue_calls -= 1
        if slot.tests_service_time and result.state is AttemptState.ANSWERED:
            self.service_time.restart()
            self.evidence.min_remaining_s = 0.0
        self.evidence.on_attempt_finished(slot, result, now)
        self.quarantine.on_attempt_ended(slot, result)
        self.policy.refresh(state)
        if self.queue or self.isolation.reserved is not None:
            self.dispatch()

    def update(self, service: Service) -> None:
        """Apply a new configuration; calls in flight on removed upstreams run on."""
        self.service = service
        self.queue.limit = service.queue_limit
        self.queue.weight_by_class = _weights(service)
        self._sync_upstreams(service, cold=True)
        self.dispatch()

    def on_reported_changes(self, states: list[UpstreamState]) -> None:
        """Reorder the upstreams whose state changed through reports of co-homes."""
        for state in states:
            self.policy.refresh(state)
        if states and self.queue:
            self.dispatch()

    def close(self) -> None:
        """Refuse all waiting calls because the service was removed or the router closes."""
        if self._timer is not None:
            self._timer.cancel()
        for entry in (*self.queue.drain(), *self.isolation.drain()):
            refuse(entry, no_upstream(self.service))

    def dispatch(self) -> None:
        """Assign waiting calls to free slots in the queue's order."""
        now = self._loop.time()
        self._update_slowness(now)
        for entry in self.queue.remove_expired(now):
            refuse(entry, deadline_unreachable())
        self._start_suspect(now)
        skipped: list[QueueEntry] = []
        while len(skipped) < MAX_SKIPPED_CALLS and (entry := self.queue.pop()) is not None:
            if entry.future.done():
                continue
            if now + self.evidence.min_remaining_s >= entry.call.deadline:
                refuse(entry, deadline_unreachable())
                continue
            state = self._choose(entry.call, entry.avoid, now)
            if state is not None:
                entry.future.set_result(Ok(self._start(state, entry.call, now)))
                continue
            skipped.append(entry)
            if not entry.avoid:
                break
        for entry in skipped:
            self.queue.reinsert(entry)
        self._schedule_wakeup(now)

    def hedge_delay_s(self, call: Call) -> float | None:
        """Return the age in seconds of an attempt at which a hedge is sent; `None` for no hedge."""
        if self.quarantine and self.quarantine.is_suspect(call):
            return None
        median_s = self.service_time.median_s
        if not median_s or len(self.state_by_id) < 2:
            return None
        settings = self.settings
        return self.evidence.threshold_s(settings.hedge_factor, settings.hedge_high_factor)

    def _sync_upstreams(self, service: Service, *, cold: bool) -> None:
        self.evidence.invalidate_slot_count()
        for state in sync_upstreams(self.state_by_id, service, self._own, cold=cold):
            self.policy.remove(state)
        for state in self.state_by_id.values():
            self.policy.refresh(state)

    def _choose(self, call: Call, avoid: frozenset[str], now: float) -> UpstreamState | None:
        self._update_slowness(now)
        state = self.policy.choose(avoid)
        if state is None and self._local_region_is_too_late(call, now):
            state = self.policy.choose(avoid, anywhere=True)
        return state

    def _update_slowness(self, now: float) -> None:
        """End pauses, and mark upstreams with an overdue call as slow."""
        self.evidence.end_pauses(now)
        after_s = self.evidence.slow_after_s(now)
        oldest = self._in_flight_by_age
        while oldest and (
            oldest[0].finished or (after_s and oldest[0].started_at + after_s <= now)
        ):
            slot = oldest.popleft()
            if not slot.finished:
                slot.is_overdue = True
                slot.state.overdue_calls += 1
                self.evidence.on_overdue(slot, now)

    def _start(self, state: UpstreamState, call: Call, now: float) -> RoutedSlot:
        slot = RoutedSlot(state.upstream, now, state, next(self._serial), call, self)
        slot.tests_service_time = now + self.service_time.median_s >= call.deadline
        self._started_at = now
        state.slot_by_serial[slot.serial] = slot
        self._in_flight_by_age.append(slot)
        self.policy.refresh(state)
        return slot

    async def _wait(
        self, call: Call, avoid: frozenset[str], now: float
    ) -> Result[RoutedSlot, CallRefusedError]:
        future: asyncio.Future[Result[RoutedSlot, CallRefusedError]] = self._loop.create_future()
        entry = QueueEntry(call, avoid, future, now)
        evicted = self.queue.push(entry)
        if evicted is not None:
            refuse(evicted, queue_full(self.service))
        self._schedule_wakeup(now)
        try:
            answer = await future
        except asyncio.CancelledError:
            self._discard_cancelled(entry)
            raise
        return self._recheck(answer, call)

    async def _wait_isolated(
        self, call: Call, avoid: frozenset[str], now: float
    ) -> Result[RoutedSlot, CallRefusedError]:
        entry = QueueEntry(call, avoid, self._loop.create_future(), now)
        if not self.isolation.add(entry):
            return Err(queue_full(self.service))
        self.dispatch()
        try:
            answer = await entry.future
        except asyncio.CancelledError:
            self._discard_cancelled(entry)
            raise
        return self._recheck(answer, call)

    def _start_suspect(self, now: float) -> None:
        """Start the next suspect call once the upstream reserved for it is empty."""
        isolation = self.isolation
        for entry in isolation.remove_expired(now):
            refuse(entry, deadline_unreachable())
        isolation.reserve(self.state_by_id.values(), now, self.service_time.median_s)
        entry_or_none = isolation.pop_ready(now)
        if entry_or_none is not None and isolation.reserved is not None:
            slot = self._start(isolation.reserved, entry_or_none.call, now)
            slot.isolated = True
            if entry_or_none.future.done():
                slot.finish(NOT_SENT)
            else:
                entry_or_none.future.set_result(Ok(slot))
        isolation.release()

    def _recheck(
        self, answer: Result[RoutedSlot, CallRefusedError], call: Call
    ) -> Result[RoutedSlot, CallRefusedError]:
        """Release a slot that was assigned before the deadline but received after it."""
        if isinstance(answer, Ok) and self._loop.time() >= call.deadline:
            answer.ok_value.finish(NOT_SENT)
            return Err(deadline_unreachable())
        return answer

    def _discard_cancelled(self, entry: QueueEntry) -> None:
        self.queue.discard(entry)
        self.isolation.discard(entry)
        if entry.future.done() and not entry.future.cancelled():
            answer = entry.future.result()
            if isinstance(answer, Ok):
                answer.ok_value.finish(NOT_SENT)

    def _refusal_on_arrival(self, call: Call, now: float) -> CallRefusedError | None:
        if not self.state_by_id:
            return no_upstream(self.service)
        if now + self.service_time.median_s >= call.deadline and not self._is_outdated(now):
            return deadline_unreachable()
        return self.quarantine.refusal(call) if self.quarantine else None

    def _is_outdated(self, now: float) -> bool:
        """Return whether no recent attempt supports the service time.

        Otherwise a service time that refuses all calls would never be corrected.
        """
        return now - self._started_at >= SERVICE_TIME_TTL_S

    def _expected_wait_s(self, now: float) -> float:
        """Estimate the wait in seconds of a call that arrives now.

        Includes the part of `min_remaining_s` above the median service time, since `dispatch`
        refuses a waiting call with less time left than `min_remaining_s`.
        """
        waiting = len(self.queue)
        if not waiting:
            return 0.0
        median_s = self.service_time.median_s
        return (
            waiting * median_s / max(1, self.evidence.local_slot_count(now))
            + self.evidence.min_remaining_s
            - median_s
        )

    def _local_region_is_too_late(self, call: Call, now: float) -> bool:
        """Return whether the local region can't answer in time or has no usable upstream."""
        if not self.evidence.local_slot_count(now):
            return True
        median_s = self.service_time.median_s
        return now + self._expected_wait_s(now) + 2 * median_s >= call.deadline

    def _schedule_wakeup(self, now: float) -> None:
        """Schedule the next dispatch: at a deadline, the end of a pause or an overdue call."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        wake_at = _earliest(self.queue.next_deadline(), self.isolation.wake_at())
        if wake_at is None:
            return
        wake_at = _earliest(wake_at, self.evidence.next_pause_end(), self._next_overdue_at(now))
        self._timer = self._loop.call_at(max(wake_at or now, now), self.dispatch)

    def _next_overdue_at(self, now: float) -> float | None:
        after_s = self.evidence.slow_after_s(now)
        return (
            self._in_flight_by_age[0].started_at + after_s
            if self._in_flight_by_age and after_s
            else None
        )


def _earliest(*times: float | None) -> float | None:
    return min((each for each in times if each is not None), default=None)


def _weights(service: Service) -> dict[str, float]:
    return {each.name: float(each.weight) for each in service.classes}


def create_dispatcher(
    service: Service,
    own: Instance,
    settings: RoutingSettings,
    telemetry: Telemetry,
    rng: Random,
) -> Dispatcher:
    """Create the dispatcher of a service on the running loop."""
    return Dispatcher(service, own, settings, telemetry, rng)
