"""Runs suspect calls one at a time, each alone on an upstream reserved for it.

A call is suspect if an upstream died with a call of the same fingerprint in flight, see
`quarantine`.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from heatherhead.admission.queue import QueueEntry
    from heatherhead.routing.upstream_state import UpstreamState
    from heatherhead.settings.routing import RoutingSettings

__all__ = ["Isolation", "create_isolation"]

MAX_WAITING = 64
MIN_GRACE_ROUNDS = 2
MIN_GRACE_SERVICE_TIMES = 2


class Isolation:
    """Queue of the suspects of one service and the upstream that is reserved for them.

    An upstream that this home owns is preferred, so that two homes don't run suspects on the same
    one. It gets no calls for a grace period first, in which the other homes learn of the
    reservation and their calls on it end.
    """

    def __init__(self, settings: RoutingSettings, refresh: Callable[[UpstreamState], None]) -> None:
        self.reserved: UpstreamState | None = None
        self.ready_at = 0.0
        self._min_grace_s = MIN_GRACE_ROUNDS * settings.vector_interval_ms / 1000
        self._waiting: deque[QueueEntry] = deque()
        self._refresh = refresh

    def __bool__(self) -> bool:
        return bool(self._waiting)

    def add(self, entry: QueueEntry) -> bool:
        """Enqueue a suspect; return `False` if the queue is full."""
        if len(self._waiting) >= MAX_WAITING:
            return False
        entry.waiting = True
        self._waiting.append(entry)
        return True

    def discard(self, entry: QueueEntry) -> None:
        """Remove a suspect that no longer waits."""
        if entry in self._waiting:
            self._waiting.remove(entry)

    def remove_expired(self, now: float) -> list[QueueEntry]:
        """Remove the suspects whose deadline has passed."""
        expired = [each for each in self._waiting if each.call.deadline <= now]
        for each in expired:
            self._waiting.remove(each)
        return expired

    def wake_at(self) -> float | None:
        """Return when the queue needs attention next: a deadline or the end of the grace period."""
        if not self._waiting:
            return None
        deadline = min(each.call.deadline for each in self._waiting)
        if self.reserved is None or self.reserved.in_flight:
            return deadline
        return min(deadline, self.ready_at)

    def reserve(self, states: Iterable[UpstreamState], now: float, median_s: float) -> None:
        """Reserve the least busy usable upstream if a suspect waits and none is reserved."""
        if self.reserved is not None or not self._waiting:
            return
        usable = [each for each in states if each.usable and each.local_region]
        own = [each for each in usable if each.owned]
        chosen = min(own or usable, key=lambda each: (each.slow, each.in_flight), default=None)
        if chosen is not None:
            chosen.reserved = True
            self.reserved = chosen
            self.ready_at = now + max(self._min_grace_s, MIN_GRACE_SERVICE_TIMES * median_s)
            self._refresh(chosen)

    def pop_ready(self, now: float) -> QueueEntry | None:
        """Remove and return the next suspect, once the reserved upstream is empty and ready."""
        state = self.reserved
        if state is None or state.in_flight or now < self.ready_at or not self._waiting:
            return None
        return self._waiting.popleft()

    def release(self) -> None:
        """Release the reserved upstream when no suspect needs it."""
        state = self.reserved
        if state is not None and not state.in_flight and not self._waiting:
            state.reserved = False
            self.reserved = None
            self._refresh(state)

    def drain(self) -> list[QueueEntry]:
        """Remove all suspects."""
        entries = list(self._waiting)
        self._waiting.clear()
        return entries


def create_isolation(
    settings: RoutingSettings, refresh: Callable[[UpstreamState], None]
) -> Isolation:
    """Create an isolation without suspects; `refresh` updates the policy after a changed state."""
    return Isolation(settings, refresh)
