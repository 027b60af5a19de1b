"""Simulation of two instances, an upstream and callers around the real grants and key tables.

The names of the moves are those of `spec.keyed_calls`. `moves_made` counts the moves of a run, so
that a test can check that all of them occurred.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from result import Err, Ok

from heatherhead.admission.grants import GrantProblem, create_grant_issuer, parse_key
from heatherhead.admission.key_errors import (
    GrantClosedError,
    GrantExpiredError,
    KeyedCallError,
    KeyForgottenError,
    KeyMismatchError,
    KeyTableFullError,
)
from heatherhead.admission.key_table import (
    KeyEnd,
    KeyRun,
    KeyState,
    KeyTableLimits,
    KeyWait,
    RecordedAnswer,
    create_key_table,
)
from heatherhead.exceptions import ReportedOutcome
from heatherhead.tests.base import PausedClockLoop

if TYPE_CHECKING:
    from heatherhead.admission.grants import Grant
    from heatherhead.admission.key_table import KeyTable
    from heatherhead.calls import AttemptState

__all__ = ["Attempt", "Order", "Process", "Run", "World"]

LIFETIME_S = 30.0
RETENTION_S = 60.0
MAX_ENTRIES = 3
ANSWER_BYTES = 512 + 24
LIMITS = KeyTableLimits(MAX_ENTRIES, ANSWER_BYTES, ANSWER_BYTES, RETENTION_S)

_move_by_error: dict[type[KeyedCallError], str] = {
    GrantClosedError: "refuse_closed",
    GrantExpiredError: "refuse_expired",
    KeyForgottenError: "refuse_forgotten",
    KeyMismatchError: "refuse_mismatch",
    KeyTableFullError: "refuse_full",
}


class Process:
    """One incarnation of an instance."""

    def __init__(self, instance_id: str, incarnation: int) -> None:
        self.incarnation = incarnation
        self.issuer = create_grant_issuer(instance_id, f"i{incarnation}", LIFETIME_S)
        self.table: KeyTable = create_key_table(self.issuer, LIMITS)
        self.up = True
        self.paused = False

    @property
    def is_active(self) -> bool:
        """Return whether the process is up and not paused."""
        return self.up and not self.paused


@dataclass(slots=True)
class Order:
    """One key of a caller, with how often it really ran and what was reported."""

    number: int
    key: str
    runs: int = 0
    reported_not_run: bool = False
    reported_ran: bool = False


@dataclass(slots=True)
class Attempt:
    """One attempt at the upstream; `result` is None while it is pending."""

    order: Order
    pending: bool = True
    result: AttemptState | None = None


@dataclass(slots=True)
class Run:
    """The process's state of one keyed call; kept after the call has ended."""

    process: Process
    key_run: KeyRun
    order: Order
    request: int
    attempt: Attempt | None = None
    ended: bool = False


@dataclass(slots=True)
class Arrival:
    """A copy of a call that has arrived at an instance, with the clock reading at that moment."""

    instance_id: str
    order: Order
    request: int
    reading: float


@dataclass(slots=True)
class Waiter:
    """A resend that waits for the result of a call in progress."""

    order: Order
    request: int
    task: asyncio.Task[KeyEnd]


@dataclass(slots=True)
class World:
    """The whole state of the simulation."""

    now: float = 1_000.0
    process_by_id: dict[str, Process] = field(default_factory=dict)
    orders: list[Order] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    waiters: list[Waiter] = field(default_factory=list)
    wrong_answers: int = 0
    moves_made: Counter[str] = field(default_factory=Counter)
    loop: PausedClockLoop = field(default_factory=PausedClockLoop)

    def __post_init__(self) -> None:
        self.process_by_id = {each: Process(each, 1) for each in ("entry-1", "entry-2")}

    def close(self) -> None:
        """Cancel the waiting tasks and close the loop."""
        for waiter in self.waiters:
            waiter.task.cancel()
        self.run_ready_tasks()
        self.loop.close()

    def run_ready_tasks(self) -> None:
        """Run the tasks that are ready."""
        for _ in range(3):
            self.loop.run_until_complete(asyncio.sleep(0))

    def record_move(self, move: str) -> None:
        """Count a move."""
        self.moves_made[move] += 1

    def handle(self, arrival: Arrival, *, reachable: bool) -> None:
        """Handle a copy at its instance, following the logic of `heatherhead.callers`."""
        process = self.process_by_id[arrival.instance_id]
        order = arrival.order
        key = parse_key(order.key).unwrap()
        verified = process.issuer.verify(key.grant)
        if isinstance(verified, Ok):
            self._begin(process, arrival, verified.ok_value, key.caller_id)
            return
        assert verified.err_value is not GrantProblem.FORGED
        if verified.err_value is GrantProblem.OTHER_INCARNATION:
            self.record_move("refuse_incarnation")
            return
        owner = self.process_by_id[key.grant.instance_id]
        if not (reachable and owner.is_active):
            self.record_move("refuse_unreachable")
            return
        forwarded = Arrival(key.grant.instance_id, order, arrival.request, self.now)
        self.handle(forwarded, reachable=reachable)

    def refuse_early(self, instance_id: str, order: Order, request: int) -> None:
        """Refuse a copy before its key is looked up; the owner closes the key if it can."""
        self.record_move("refuse_early")
        process = self.process_by_id[instance_id]
        key = parse_key(order.key).unwrap()
        verified = process.issuer.verify(key.grant)
        if isinstance(verified, Err):
            return
        begun = process.table.begin(verified.ok_value, key.caller_id, request, self.now)
        if isinstance(begun, Ok) and isinstance(begun.ok_value, KeyRun):
            self.report_result(order, begun.ok_value.finish_not_run(), request)

    def _begin(self, process: Process, arrival: Arrival, grant: Grant, caller_id: str) -> None:
        before = self.states(process)
        order, request = arrival.order, arrival.request
        begun = process.table.begin(grant, caller_id, request, arrival.reading)
        self._record_housekeeping(process, before)
        if isinstance(begun, Err):
            self.record_move(_move_by_error[type(begun.err_value)])
            self._record_reported_outcome(order, begun.err_value.outcome)
            return
        found = begun.ok_value
        if isinstance(found, KeyRun):
            self.record_move("begin")
            self.runs.append(Run(process, found, order, request))
        elif isinstance(found, KeyWait):
            self.record_move("wait_for_run")
            task = self.loop.create_task(process.table.wait(found))
            self.waiters.append(Waiter(order, request, task))
            self.run_ready_tasks()
        else:
            self.record_move("tell_end")
            self.report_result(order, found, request)

    def finish(self, run: Run, end: KeyEnd) -> None:
        """Report the result of a call to its caller and to all waiters."""
        run.ended = True
        self.report_result(run.order, end, run.request)
        self.run_ready_tasks()
        for waiter in [each for each in self.waiters if each.task.done()]:
            self.waiters.remove(waiter)
            self.report_result(waiter.order, waiter.task.result(), waiter.request)

    def answer_of(self, run: Run) -> RecordedAnswer:
        """Return the upstream's answer, whose body identifies the order and the request."""
        return RecordedAnswer(200, (), f"{run.order.number:>12}{run.request:>12}".encode())

    def report_result(self, order: Order, end: KeyEnd, request: int) -> None:
        """Report the result of a call to its caller."""
        error = end.error()
        if error is not None:
            self._record_reported_outcome(order, error.outcome)
            return
        assert end.answer is not None
        order.reported_ran = True
        if end.answer.body != f"{order.number:>12}{request:>12}".encode():
            self.wrong_answers += 1

    def _record_reported_outcome(self, order: Order, outcome: ReportedOutcome) -> None:
        order.reported_not_run |= outcome is ReportedOutcome.NOT_RUN
        order.reported_ran |= outcome is ReportedOutcome.RAN

    def states(self, process: Process) -> dict[str, KeyState]:
        """Return the states of the keys in a process's table."""
        return {name: each.state for name, each in process.table._entry_by_name.items()}

    def _record_housekeeping(self, process: Process, before: dict[str, KeyState]) -> None:
        after = self.states(process)
        if any(name not in after for name in before):
            self.record_move("sweep")
            if len(before) == MAX_ENTRIES:
                self.record_move("free_table")
        if len(after) == MAX_ENTRIES and len(before) < MAX_ENTRIES:
            self.record_move("fill_table")

    def record_eviction(self, process: Process, before: dict[str, KeyState]) -> None:
        """Record the move if answers were evicted."""
        after = self.states(process)
        recorded = [name for name, state in before.items() if state is KeyState.RECORDED]
        if any(after.get(name) is KeyState.RAN for name in recorded):
            self.record_move("evict_answer")
