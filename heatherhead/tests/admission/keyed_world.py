"""Two instances, an upstream and callers around the real grants and key tables, for tests.

Names of moves and states are those of `spec.keyed_calls`. `moves_made` counts what was met.
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
    """One start of an instance."""

    def __init__(self, instance_id: str, incarnation: int) -> None:
        self.incarnation = incarnation
        self.issuer = create_grant_issuer(instance_id, f"i{incarnation}", LIFETIME_S)
        self.table: KeyTable = create_key_table(self.issuer, LIMITS)
        self.up = True
        self.paused = False

    @property
    def acts(self) -> bool:
        """Tell whether the process does anything."""
        return self.up and not self.paused


@dataclass(slots=True)
class Order:
    """One key of a caller, and what really became of it."""

    number: int
    key: str
    runs: int = 0
    told_not_run: bool = False
    told_ran: bool = False


@dataclass(slots=True)
class Attempt:
    """One attempt at the upstream; `result` is None while it is pending."""

    order: Order
    pending: bool = True
    result: AttemptState | None = None


@dataclass(slots=True)
class Run:
    """A run of a key as the process sees it, also after its end."""

    process: Process
    key_run: KeyRun
    order: Order
    request: int
    attempt: Attempt | None = None
    ended: bool = False


@dataclass(slots=True)
class Arrival:
    """A copy of a call at an instance that has read its clock."""

    instance_id: str
    order: Order
    request: int
    reading: float


@dataclass(slots=True)
class Waiter:
    """A resend that waits for the end of a run."""

    order: Order
    request: int
    task: asyncio.Task[KeyEnd]


@dataclass(slots=True)
class World:
    """Everything that a state machine moves."""

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
        """Cancel what still waits."""
        for waiter in self.waiters:
            waiter.task.cancel()
        self.turn()
        self.loop.close()

    def turn(self) -> None:
        """Let waiting tasks go on."""
        for _ in range(3):
            self.loop.run_until_complete(asyncio.sleep(0))

    def made(self, move: str) -> None:
        """Note a move."""
        self.moves_made[move] += 1

    def handle(self, arrival: Arrival, *, reachable: bool) -> None:
        """Let an instance handle a copy, as the callers' side does."""
        process = self.process_by_id[arrival.instance_id]
        order = arrival.order
        key = parse_key(order.key).unwrap()
        verified = process.issuer.verify(key.grant)
        if isinstance(verified, Ok):
            self._begin(process, arrival, verified.ok_value, key.caller_id)
            return
        assert verified.err_value is not GrantProblem.FORGED
        if verified.err_value is GrantProblem.OTHER_INCARNATION:
            self.made("refuse_incarnation")
            return
        owner = self.process_by_id[key.grant.instance_id]
        if not (reachable and owner.acts):
            self.made("refuse_unreachable")
            return
        passed_on = Arrival(key.grant.instance_id, order, arrival.request, self.now)
        self.handle(passed_on, reachable=reachable)

    def refuse_early(self, instance_id: str, order: Order, request: int) -> None:
        """Refuse a copy before its key is looked at; the owner closes the key if it can."""
        self.made("refuse_early")
        process = self.process_by_id[instance_id]
        key = parse_key(order.key).unwrap()
        verified = process.issuer.verify(key.grant)
        if isinstance(verified, Err):
            return
        begun = process.table.begin(verified.ok_value, key.caller_id, request, self.now)
        if isinstance(begun, Ok) and isinstance(begun.ok_value, KeyRun):
            self.tell(order, begun.ok_value.finish_not_run(), request)

    def _begin(self, process: Process, arrival: Arrival, grant: Grant, caller_id: str) -> None:
        before = self.states(process)
        order, request = arrival.order, arrival.request
        begun = process.table.begin(grant, caller_id, request, arrival.reading)
        self._note_housekeeping(process, before)
        if isinstance(begun, Err):
            self.made(_move_by_error[type(begun.err_value)])
            self._tell_outcome(order, begun.err_value.outcome)
            return
        found = begun.ok_value
        if isinstance(found, KeyRun):
            self.made("begin")
            self.runs.append(Run(process, found, order, request))
        elif isinstance(found, KeyWait):
            self.made("wait_for_run")
            task = self.loop.create_task(process.table.wait(found))
            self.waiters.append(Waiter(order, request, task))
            self.turn()
        else:
            self.made("tell_end")
            self.tell(order, found, request)

    def finish(self, run: Run, end: KeyEnd) -> None:
        """Tell the caller of a run and all waiters how it ended."""
        run.ended = True
        self.tell(run.order, end, run.request)
        self.turn()
        for waiter in [each for each in self.waiters if each.task.done()]:
            self.waiters.remove(waiter)
            self.tell(waiter.order, waiter.task.result(), waiter.request)

    def answer_of(self, run: Run) -> RecordedAnswer:
        """Make the upstream's answer, which names its order and request."""
        return RecordedAnswer(200, (), f"{run.order.number:>12}{run.request:>12}".encode())

    def tell(self, order: Order, end: KeyEnd, request: int) -> None:
        """Tell a caller the end of its call."""
        error = end.error()
        if error is not None:
            self._tell_outcome(order, error.outcome)
            return
        assert end.answer is not None
        order.told_ran = True
        if end.answer.body != f"{order.number:>12}{request:>12}".encode():
            self.wrong_answers += 1

    def _tell_outcome(self, order: Order, outcome: ReportedOutcome) -> None:
        order.told_not_run |= outcome is ReportedOutcome.NOT_RUN
        order.told_ran |= outcome is ReportedOutcome.RAN

    def states(self, process: Process) -> dict[str, KeyState]:
        """Copy the states of a table's keys."""
        return {name: each.state for name, each in process.table._entry_by_name.items()}

    def _note_housekeeping(self, process: Process, before: dict[str, KeyState]) -> None:
        after = self.states(process)
        if any(name not in after for name in before):
            self.made("sweep")
            if len(before) == MAX_ENTRIES:
                self.made("free_table")
        if len(after) == MAX_ENTRIES and len(before) < MAX_ENTRIES:
            self.made("fill_table")

    def note_eviction(self, process: Process, before: dict[str, KeyState]) -> None:
        """Note answers that made room for another."""
        after = self.states(process)
        recorded = [name for name, state in before.items() if state is KeyState.RECORDED]
        if any(after.get(name) is KeyState.RAN for name in recorded):
            self.made("evict_answer")
