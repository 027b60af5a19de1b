"""Stateful test of grants, key tables and attempts, with the moves of `spec.keyed_calls`."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from hypothesis.stateful import run_state_machine_as_test as run_machine

from heatherhead.calls import AttemptState
from heatherhead.tests.admission.keyed_world import Arrival, Attempt, Order, Process, Run, World
from spec.keyed_calls import part

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from typing import TypeVar

    ItemT = TypeVar("ItemT")

EXAMPLES = 400
STEPS = 80

RECENT_ORDERS = 3

PICK = st.integers(0, 5)
RARELY = st.integers(0, 9).map(lambda number: number == 7)
SOMETIMES = st.integers(0, 2).map(lambda number: number == 1)
INSTANCE = st.sampled_from(["entry-1", "entry-1", "entry-2"])
REQUEST = st.sampled_from([1, 1, 1, 2])
SECONDS = st.sampled_from([31.0, 62.0, 95.0])

all_moves_made: Counter[str] = Counter()


def choose_item(items: Sequence[ItemT], pick: int) -> ItemT | None:
    """Return the item at index `pick`, modulo the length, or None if there are no items."""
    return items[pick % len(items)] if items else None


class KeyedCallsMachine(RuleBasedStateMachine):
    """Two instances, an upstream and callers, under crashes, pauses, losses and resends."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World()
        for _ in range(3):
            self.ask_address_at("entry-1")

    def teardown(self) -> None:
        self.world.close()
        all_moves_made.update(self.world.moves_made)

    # Callers, network, clock and processes

    @rule(instance_id=INSTANCE, asks=RARELY)
    def ask_address(self, instance_id: str, asks: bool) -> None:
        if asks:
            self.ask_address_at(instance_id)

    def ask_address_at(self, instance_id: str) -> None:
        process = self.world.process_by_id[instance_id]
        if process.is_active:
            number = len(self.world.orders)
            grant = process.issuer.issue(self.world.now)
            self.world.orders.append(Order(number, f"{grant}.order-{number}"))

    @rule(instance_id=INSTANCE, pick=PICK, request=REQUEST, late=st.booleans())
    def send(self, instance_id: str, pick: int, request: int, late: bool) -> None:
        self.send_at(instance_id, pick, request, late=late)

    def send_at(self, instance_id: str, pick: int, request: int, *, late: bool) -> None:
        order = choose_item(self.world.orders[-RECENT_ORDERS:], pick)
        if order and self.world.process_by_id[instance_id].is_active:
            self.world.record_move("send")
            arrival = Arrival(instance_id, order, request, self.world.now)
            self.world.arrivals.append(arrival)
            if not late:
                self.world.handle(arrival, reachable=True)

    @precondition(lambda self: self.world.arrivals)
    @rule(pick=PICK, stays=st.booleans(), reachable=st.booleans())
    def handle_late(self, pick: int, stays: bool, reachable: bool) -> None:
        arrival = choose_item(self.world.arrivals, pick)
        assert arrival is not None
        if not self.world.process_by_id[arrival.instance_id].is_active:
            return
        if not stays:
            self.world.arrivals.remove(arrival)
        self.world.handle(arrival, reachable=reachable)

    @rule(instance_id=INSTANCE, pick=PICK, request=REQUEST, early=RARELY)
    def refuse_early(self, instance_id: str, pick: int, request: int, early: bool) -> None:
        order = choose_item(self.world.orders[-RECENT_ORDERS:], pick)
        if order and early and self.world.process_by_id[instance_id].is_active:
            self.world.refuse_early(instance_id, order, request)

    @rule(seconds=SECONDS, jumps=RARELY)
    def advance_clock(self, seconds: float, jumps: bool) -> None:
        self.world.record_move("advance_clock")
        self.world.now += seconds if jumps else 0.1

    @rule(instance_id=INSTANCE, pauses=RARELY)
    def pause_owner(self, instance_id: str, pauses: bool) -> None:
        process = self.world.process_by_id[instance_id]
        if process.is_active and pauses:
            self.world.record_move("pause_owner")
            process.paused = True

    @rule(instance_id=INSTANCE)
    def resume_owner(self, instance_id: str) -> None:
        process = self.world.process_by_id[instance_id]
        if process.up and process.paused:
            self.world.record_move("resume_owner")
            process.paused = False

    @rule(instance_id=INSTANCE, dies=RARELY)
    def crash_owner(self, instance_id: str, dies: bool) -> None:
        process = self.world.process_by_id[instance_id]
        if process.up and dies:
            self.world.record_move("crash_owner")
            process.up = False

    @rule(instance_id=INSTANCE)
    def restart_owner(self, instance_id: str) -> None:
        process = self.world.process_by_id[instance_id]
        if not process.up:
            self.world.record_move("restart_owner")
            self.world.process_by_id[instance_id] = Process(instance_id, process.incarnation + 1)

    @precondition(lambda self: self.world.waiters)
    @rule(pick=PICK)
    def give_up_wait(self, pick: int) -> None:
        waiter = choose_item(self.world.waiters, pick)
        if waiter:
            self.world.record_move("give_up_wait")
            waiter.task.cancel()
            self.world.waiters.remove(waiter)
            self.world.run_ready_tasks()

    # Attempts

    @precondition(lambda self: self.world.runs)
    @rule(pick=PICK, of_any_run=SOMETIMES)
    def begin_attempt(self, pick: int, of_any_run: bool) -> None:
        run = choose_item(self.world.runs if of_any_run else self._open_runs(), pick)
        if run:
            self.begin_attempt_of(run)

    def begin_attempt_of(self, run: Run) -> None:
        if run.process.is_active and run.key_run.begin_attempt():
            self.world.record_move("begin_attempt")
            run.attempt = Attempt(run.order)
            self.world.attempts.append(run.attempt)

    @precondition(lambda self: any(each.pending for each in self.world.attempts))
    @rule(pick=PICK)
    def upstream_runs(self, pick: int) -> None:
        self.run_attempt(choose_item([each for each in self.world.attempts if each.pending], pick))

    def run_attempt(self, attempt: Attempt | None) -> None:
        if attempt:
            self.world.record_move("upstream_runs")
            attempt.pending = False
            attempt.order.runs += 1
            attempt.result = AttemptState.ANSWERED

    @precondition(lambda self: any(each.pending for each in self.world.attempts))
    @rule(pick=PICK)
    def upstream_refuses(self, pick: int) -> None:
        self.refuse_attempt(
            choose_item([each for each in self.world.attempts if each.pending], pick)
        )

    def refuse_attempt(self, attempt: Attempt | None) -> None:
        if attempt:
            self.world.record_move("upstream_refuses")
            attempt.pending = False
            attempt.result = AttemptState.REFUSED

    @precondition(lambda self: self.world.attempts)
    @rule(dies=RARELY)
    def upstream_crashes(self, dies: bool) -> None:
        if dies:
            self.world.record_move("upstream_crashes")
            for attempt in self.world.attempts:
                attempt.pending = False
                attempt.result = None

    @precondition(lambda self: self.world.attempts)
    @rule(pick=PICK, lost=RARELY)
    def end_attempt(self, pick: int, lost: bool) -> None:
        run = choose_item([each for each in self.world.runs if each.attempt], pick)
        if run and run.process.is_active:
            self.end_attempt_of(run, lost=lost)

    def end_attempt_of(self, run: Run, *, lost: bool) -> None:
        assert run.attempt is not None
        state = AttemptState.UNKNOWN if lost else run.attempt.result
        if state is not None:
            self.world.record_move(f"end_attempt_{state.value}")
            run.key_run.end_attempt(state)
            run.attempt = None if state is not AttemptState.ANSWERED else run.attempt

    # Ends of calls

    @rule(pick=PICK)
    def serve_refused(self, pick: int) -> None:
        self.serve(pick, AttemptState.REFUSED)

    @rule(pick=PICK)
    def serve_lost(self, pick: int) -> None:
        self.serve(pick, AttemptState.UNKNOWN)

    @rule(pick=PICK)
    def serve_answered(self, pick: int) -> None:
        self.serve(pick, AttemptState.ANSWERED)

    @precondition(lambda self: self.world.arrivals)
    @rule(pick=PICK)
    def serve_late(self, pick: int) -> None:
        arrival = choose_item(self.world.arrivals, pick)
        assert arrival is not None
        if self.world.process_by_id[arrival.instance_id].is_active:
            known = len(self.world.runs)
            self.world.handle(arrival, reachable=True)
            self.end_new_run(known, AttemptState.ANSWERED)

    def serve(self, pick: int, end: AttemptState) -> None:
        """Make all moves of a call whose only attempt ends in the given state."""
        known = len(self.world.runs)
        self.send_at("entry-1", pick, 1, late=False)
        self.end_new_run(known, end)

    def end_new_run(self, known: int, end: AttemptState) -> None:
        if len(self.world.runs) == known:
            return
        run = self.world.runs[-1]
        self.begin_attempt_of(run)
        if end is AttemptState.REFUSED:
            self.refuse_attempt(run.attempt)
            self.end_attempt_of(run, lost=False)
            self._finish("finish_not_run", run, run.key_run.finish_not_run)
            return
        self.run_attempt(run.attempt)
        self.end_attempt_of(run, lost=end is AttemptState.UNKNOWN)
        if end is AttemptState.UNKNOWN:
            self._finish("finish_unknown", run, run.key_run.finish_unknown)
        else:
            self.finish_answered_of(run, kept=True)

    @precondition(lambda self: any(self._has_answer(each) for each in self._open_runs()))
    @rule(pick=PICK, kept=st.booleans())
    def finish_answered(self, pick: int, kept: bool) -> None:
        answered = [each for each in self._open_runs() if self._has_answer(each)]
        run = choose_item(answered, pick)
        if run:
            self.finish_answered_of(run, kept=kept)

    def finish_answered_of(self, run: Run, *, kept: bool) -> None:
        before = self.world.states(run.process)
        answer = self.world.answer_of(run) if kept else None
        self._finish("finish_answered", run, lambda: run.key_run.finish_answered(answer))
        self.world.record_eviction(run.process, before)

    @precondition(lambda self: self._open_runs())
    @rule(pick=PICK, lost=SOMETIMES)
    def finish_unknown(self, pick: int, lost: bool) -> None:
        run = choose_item(self._open_runs(), pick)
        if run and lost:
            self._finish("finish_unknown", run, run.key_run.finish_unknown)

    @precondition(lambda self: self._open_runs())
    @rule(pick=PICK, refused=SOMETIMES)
    def finish_not_run(self, pick: int, refused: bool) -> None:
        run = choose_item(self._open_runs(), pick)
        if run and refused:
            self._finish("finish_not_run", run, run.key_run.finish_not_run)

    def _open_runs(self) -> list[Run]:
        return [each for each in self.world.runs if each.process.is_active and not each.ended]

    def _has_answer(self, run: Run) -> bool:
        return run.attempt is not None and run.attempt.result is AttemptState.ANSWERED

    def _finish(self, move: str, run: Run, finish: Callable) -> None:  # type: ignore[type-arg]
        self.world.record_move(move)
        self.world.finish(run, finish())

    # Invariants of the specification

    @invariant()
    def runs_at_most_once(self) -> None:
        assert all(order.runs <= 1 for order in self.world.orders)

    @invariant()
    def reported_not_run_is_true(self) -> None:
        assert not any(order.reported_not_run and order.runs for order in self.world.orders)

    @invariant()
    def reported_ran_is_true(self) -> None:
        assert all(order.runs for order in self.world.orders if order.reported_ran)

    @invariant()
    def answer_is_of_its_request(self) -> None:
        assert self.world.wrong_answers == 0

    @invariant()
    def table_stays_within_its_bounds(self) -> None:
        for process in self.world.process_by_id.values():
            assert len(process.table) <= process.table.limits.max_entries
            assert process.table.recorded_bytes <= process.table.limits.max_recorded_bytes


def test_invariants_of_the_specification_hold_and_every_move_is_made() -> None:
    all_moves_made.clear()
    run_machine(
        KeyedCallsMachine, settings=settings(max_examples=EXAMPLES, stateful_step_count=STEPS)
    )
    assert set(all_moves_made) == {move.name for move in part.moves}
