"""Admission queue: orders the calls that wait for a slot and rejects those that are infeasible.

Pure earliest-deadline-first order fails under overload (bursts of 1.5 to 1.7 times the normal
load), because every call ends just late. So calls that can still meet their latency target go
first, by priority and then by target; late calls get the remaining slots.

Callers that were rejected, or whose instance died, retry with less time left. The time that they
have already waited is subtracted from their latency target. Most of them then count as late, so
that many retries at once don't make first requests late. A call is rejected as soon as it is known
to be infeasible, not when its client timeout has passed.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from asyncio import Future
    from collections.abc import Collection

    from heatherhead.dispatch.demand import Demand

__all__ = [
    "AdmissionQueue",
    "ArrivalRate",
    "CapacityEstimate",
    "WaitingCall",
    "is_feasible",
    "wait_s",
]

SERVICE_TIME_P90_FACTOR = 1.5  # times the expected service time; nine in ten calls end within that
ARRIVALS_WINDOW_S = 1.0  # bursts last for seconds
MAX_ARRIVALS = 4096  # in `ARRIVALS_WINDOW_S`; more than an instance can handle
MIN_CALLS_PER_S = 0.01  # a service that serves less is as good as down
ON_TIME_ARRIVALS_SHARE = 0.85  # of first requests; these precede late calls, the rest become late
MIN_LATE_CALLS_SHARE = 0.05  # of the slots; left for late calls at any arrival rate
MAX_WAITING_CALLS = 512  # of one service, and with the same regions; more could not be served before their client timeouts


@dataclass(slots=True, eq=False)
class WaitingCall:
    """One waiting call; `future` receives its slot or a `Rejection`."""

    demand: Demand
    avoid: Collection[str]
    future: Future[Any]
    queued_at: float


class ArrivalRate:
    """Rate of first requests: calls whose caller has not waited in an earlier request."""

    def __init__(self) -> None:
        self._times: deque[float] = deque(maxlen=MAX_ARRIVALS)

    def copy(self) -> ArrivalRate:
        """Return a copy that shares no state."""
        copied = ArrivalRate()
        copied._times.extend(self._times)
        return copied

    def record(self, now: float) -> None:
        """Record the arrival of a call."""
        self._times.append(now)

    def per_s(self, now: float) -> float:
        """Return the arrivals per second over the window."""
        while self._times and self._times[0] < now - ARRIVALS_WINDOW_S:
            self._times.popleft()
        return len(self._times) / ARRIVALS_WINDOW_S


@dataclass(frozen=True, slots=True)
class CapacityEstimate:
    """What an instance can serve of one service, its share of rate limits included."""

    slots: float  # of normal speed, of upstreams that name no limit
    limited_calls_per_s: float = 0.0  # of those that name one
    permits: int = 0  # held or requested, for the calls that are next
    pause_s: float = 0.0  # until an upstream takes calls again

    def calls_per_s(self, work_s: float) -> float:
        """Return the calls a second that take `work_s` each at normal speed."""
        return max(self.slots / work_s + self.limited_calls_per_s, MIN_CALLS_PER_S)


def wait_s(
    ahead: int, demand: Demand, capacity: CapacityEstimate, arrivals_per_s: float, now: float
) -> float:
    """Estimate how long a call waits behind `ahead` others while all slots are in use.

    `arrivals_per_s` is the rate of first requests. A late call gets only the slots that calls on
    time leave free.
    """
    slots_per_s = capacity.calls_per_s(demand.work_s)
    if _is_late(demand, now):
        slots_per_s = max(
            slots_per_s - ON_TIME_ARRIVALS_SHARE * arrivals_per_s,
            MIN_LATE_CALLS_SHARE * slots_per_s,
        )
    return (ahead + 1) / slots_per_s


class AdmissionQueue:
    """The waiting calls of one service."""

    def __init__(self) -> None:
        self.calls: list[WaitingCall] = []
        self.restricted = 0  # calls that may run in some regions only

    def __len__(self) -> int:
        return len(self.calls)

    def is_full(self, demand: Demand) -> bool:
        """Return whether no more calls with the same allowed regions may wait."""
        if len(self.calls) < MAX_WAITING_CALLS:
            return False
        same = sum(each.demand.regions == demand.regions for each in self.calls)
        return same >= MAX_WAITING_CALLS

    def add(self, call: WaitingCall) -> None:
        """Add a call."""
        self.calls.append(call)
        self.restricted += call.demand.regions is not None

    def discard(self, call: WaitingCall) -> None:
        """Remove a call if it is waiting."""
        if call in self.calls:
            self.calls.remove(call)
            self.restricted -= call.demand.regions is not None

    def ahead_of(self, demand: Demand, now: float) -> int:
        """Count the calls that precede a new call."""
        rank = _rank(demand, now)
        return sum(1 for each in self.calls if _rank(each.demand, now) <= rank)

    def preceding(self, demand: Demand, now: float) -> list[WaitingCall]:
        """List the calls that precede a new call, in no particular order."""
        rank = _rank(demand, now)
        return [each for each in self.calls if _rank(each.demand, now) <= rank]

    def in_order(self, now: float) -> list[WaitingCall]:
        """List the calls, the next one to be placed first."""
        return sorted(self.calls, key=lambda call: _rank(call.demand, now))

    def infeasible(
        self, now: float, capacity: CapacityEstimate, arrivals_per_s: float
    ) -> list[WaitingCall]:
        """List the calls that can no longer be answered before their callers give up.

        They include calls that more urgent ones have moved too far back.
        """
        return [
            call
            for ahead, call in enumerate(self.in_order(now))
            if not is_feasible(ahead, call.demand, capacity, arrivals_per_s, now)
        ]


def is_feasible(
    ahead: int,
    demand: Demand,
    capacity: CapacityEstimate,
    arrivals_per_s: float,
    now: float,
) -> bool:
    """Return whether a call behind `ahead` others can be answered before its client timeout."""
    if now > demand.start_by or now + capacity.pause_s + demand.proven_work_s > demand.give_up_at:
        return False
    if ahead < capacity.permits:
        return now + demand.proven_work_s <= demand.give_up_at
    waiting_s = wait_s(ahead, demand, capacity, arrivals_per_s, now)
    return now + waiting_s + demand.proven_work_s <= demand.give_up_at


def _is_late(demand: Demand, now: float) -> bool:
    return SERVICE_TIME_P90_FACTOR * demand.work_s > demand.time_to_target(now)


def _rank(demand: Demand, now: float) -> tuple[bool, int, int, float]:
    late = _is_late(demand, now)
    due_at = demand.give_up_at if late else demand.target_at - demand.waited_before_s
    return late, demand.customer_priority, demand.priority, due_at
