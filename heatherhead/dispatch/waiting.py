"""Orders the calls that wait for a slot, and tells which of them can't be served in time.

Load pattern answered: bursts of 1.5 to 1.7 times the usual load. In order of deadline alone every
call would end just late, so calls that can still be answered within their target go first, by
priority and then by target; the late ones take what is left. Callers that were turned away, or whose
instance died, come back with less time; what they waited before counts, so that a crowd of them does
not make those late that come for the first time.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from asyncio import Future
    from collections.abc import Collection

    from heatherhead.dispatch.demand import Demand

__all__ = ["WaitingCall", "WaitingCalls", "wait_s"]

DOUBT = 1.5  # estimates of a wait swing by that much with the upstreams' speeds
MAX_WAITING = 512  # calls of one service; more could not be served within any deadline


@dataclass(slots=True, eq=False)
class WaitingCall:
    """One waiting call; `future` gets its slot or its refusal."""

    demand: Demand
    avoid: Collection[str]
    future: Future[Any]
    queued_at: float


def wait_s(waiting: int, slots: float, work_s: float) -> float:
    """Estimate how long a call waits behind `waiting` others for one of `slots` busy slots."""
    return (waiting + 1) * work_s / max(slots, 0.5)


class WaitingCalls:
    """The waiting calls of one service."""

    def __init__(self) -> None:
        self.calls: list[WaitingCall] = []

    def __len__(self) -> int:
        return len(self.calls)

    @property
    def full(self) -> bool:
        """Tell whether no more calls may wait."""
        return len(self.calls) >= MAX_WAITING

    def add(self, call: WaitingCall) -> None:
        """Let a call wait."""
        self.calls.append(call)

    def discard(self, call: WaitingCall) -> None:
        """Forget a call that no longer waits."""
        if call in self.calls:
            self.calls.remove(call)

    def ahead_of(self, demand: Demand, now: float) -> int:
        """Count the calls that go before a newcomer."""
        rank = _rank(demand, now)
        return sum(1 for each in self.calls if _rank(each.demand, now) <= rank)

    def in_order(self, now: float) -> list[WaitingCall]:
        """List the calls, the next one first."""
        return sorted(self.calls, key=lambda call: _rank(call.demand, now))

    def hopeless(self, now: float, slots: float) -> list[WaitingCall]:
        """List the calls whose work can no longer end before they are given up.

        Those are also calls that others, more urgent ones, have pushed too far back.
        """
        found = []
        for ahead, call in enumerate(self.in_order(now)):
            demand = call.demand
            left_s = demand.give_up_at - demand.work_s - now
            if left_s < 0 or wait_s(ahead, slots, demand.work_s) > DOUBT * left_s + demand.work_s:
                found.append(call)
        return found


def _rank(demand: Demand, now: float) -> tuple[bool, int, float]:
    target_at = demand.target_at - demand.waited_before_s
    late = now + demand.work_s > target_at
    return late, demand.priority, demand.give_up_at if late else target_at
