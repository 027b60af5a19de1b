"""Orders the calls that wait for a slot, and tells which of them can't be served in time.

Load pattern answered: bursts of 1.5 to 1.7 times the usual load. In order of deadline alone every
call would end just late, so calls that can still be answered within their target go first, by
priority and then by target; the late ones take what is left.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from asyncio import Future
    from collections.abc import Collection

    from heatherhead.dispatch.demand import Demand

__all__ = ["WaitingCall", "WaitingCalls", "wait_s"]

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

    def ahead_of(self, demand: Demand) -> int:
        """Count the calls that go before a newcomer."""
        return sum(1 for each in self.calls if each.demand.priority <= demand.priority)

    def in_order(self, now: float) -> list[WaitingCall]:
        """List the calls, the next one first."""
        return sorted(self.calls, key=lambda call: _rank(call, now))

    def hopeless(self, now: float) -> list[WaitingCall]:
        """List the calls whose work can no longer end before they are given up."""
        return [call for call in self.calls if now + call.demand.work_s > call.demand.give_up_at]


def _rank(call: WaitingCall, now: float) -> tuple[bool, int, float]:
    demand = call.demand
    late = now + demand.work_s > demand.target_at
    return late, demand.priority, demand.give_up_at if late else demand.target_at
