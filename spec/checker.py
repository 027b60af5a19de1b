"""Checks a part by bounded model checking, induction, reachability of its moves, and mutants.

Every query runs on one solver thread with a fixed random seed and without a time limit, so that
the result is the same on every run.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import z3

from spec.model import Choices, Guards, State, Step, format_value, make_value

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from spec.model import Part

__all__ = ["Counterexample", "PartReport", "Unrolling", "check_part", "find_counterexample"]

RANDOM_SEED = 7


@dataclass(frozen=True, slots=True)
class Counterexample:
    """A trace that violates an invariant, a shortest one if it begins in the initial state."""

    invariant: str
    moves: list[str]

    def __str__(self) -> str:
        return f"breaks {self.invariant} in {len(self.moves)}: {' > '.join(self.moves)}"


@dataclass(frozen=True, slots=True)
class PartReport:
    """The results of all checks of one part."""

    name: str
    depth: int
    counterexample: Counterexample | None
    induction_counterexample: Counterexample | None
    moves: int
    unreached_moves: list[str]
    mutant_by_guard: dict[str, Counterexample | None]

    @property
    def mutants_caught(self) -> int:
        """Count the guards whose removal violates an invariant."""
        return sum(1 for each in self.mutant_by_guard.values() if each)

    @property
    def holds(self) -> bool:
        """Return whether all invariants hold, each move is reachable and each mutant is caught."""
        return (
            self.counterexample is None
            and self.induction_counterexample is None
            and not self.unreached_moves
            and self.mutants_caught == len(self.mutant_by_guard)
        )


class Unrolling:
    """The states and moves along a trace of a part, as one set of solver constraints."""

    def __init__(self, part: Part, removed_guard: str | None = None) -> None:
        self.part = part
        self.states = [State(part.kind_by_name, "@0")]
        self.picked_moves: list[z3.ExprRef] = []
        self.steps: list[list[tuple[Step, Choices]]] = []
        self._guards = Guards(removed_guard)
        self.solver = _create_solver()

    def constrain_to_initial_state(self) -> None:
        """Constrain the first state of the trace to the part's initial values."""
        initial = self.states[0]
        for name, kind in initial.kinds():
            self.solver.add(
                initial.by_name[name] == make_value(self.part.initial_values[name], kind)
            )

    def extend(self) -> None:
        """Extend the trace by one move."""
        number = len(self.picked_moves)
        current = self.states[-1]
        following = State(self.part.kind_by_name, f"@{number + 1}")
        picked = z3.BitVec(f"move@{number}", len(self.part.moves).bit_length() + 1)
        self.solver.add(z3.ULT(picked, len(self.part.moves)))
        steps = [self._build_step(current, number, index) for index in range(len(self.part.moves))]
        for index, (each, choices) in enumerate(steps):
            self.solver.add(z3.Implies(picked == index, z3.And(each.condition, choices.in_range())))
        for name, kind in current.kinds():
            value = current.by_name[name]
            for index, (each, _) in enumerate(steps):
                if name in each.updates:
                    value = z3.If(picked == index, make_value(each.updates[name], kind), value)
            self.solver.add(following.by_name[name] == value)
        self.states.append(following)
        self.picked_moves.append(picked)
        self.steps.append(steps)

    def _build_step(self, current: State, number: int, index: int) -> tuple[Step, Choices]:
        move = self.part.moves[index]
        choices = Choices(f".{move.name}@{number}")
        return move.build(current, choices, self._guards), choices

    def trace(self, model: z3.ModelRef) -> list[str]:
        """List the moves of the trace that the solver found, with their choices."""
        lines = []
        for picked, steps in zip(self.picked_moves, self.steps, strict=True):
            index = model.eval(picked, model_completion=True).as_long()
            lines.append(self._format_move(model, index, steps[index][1]))
        return lines

    def _format_move(self, model: z3.ModelRef, index: int, choices: Choices) -> str:
        chosen_values = [
            f"{name}={format_value(model.eval(variable, model_completion=True), kind)}"
            for name, (variable, kind) in choices.by_name.items()
        ]
        return f"{self.part.moves[index].name}({', '.join(chosen_values)})"


def check_part(part: Part) -> PartReport:
    """Run all checks on a part."""
    return PartReport(
        name=part.name,
        depth=part.depth,
        counterexample=_check_bounded(part),
        induction_counterexample=_check_by_induction(part),
        moves=len(part.moves),
        unreached_moves=_unreached_moves(part),
        mutant_by_guard={each: find_counterexample(part, each) for each in part.guard_names()},
    )


def find_counterexample(part: Part, removed_guard: str | None = None) -> Counterexample | None:
    """Search for a shortest trace, up to the part's depth, that violates an invariant."""
    unrolling = Unrolling(part, removed_guard)
    unrolling.constrain_to_initial_state()
    for _ in range(part.depth):
        found = _find_violation(unrolling, unrolling.states[-1], part.invariant_by_name.items())
        if found:
            return found
        unrolling.extend()
    return _find_violation(unrolling, unrolling.states[-1], part.invariant_by_name.items())


def _check_bounded(part: Part) -> Counterexample | None:
    return find_counterexample(part)


def _check_by_induction(part: Part) -> Counterexample | None:
    """Check that no move leads out of the states that satisfy all invariants and lemmas."""
    unrolling = Unrolling(part)
    initial = unrolling.states[0]
    properties = [*part.invariant_by_name.items(), *part.lemma_by_name.items()]
    unrolling.solver.add(initial.in_range(), *[holds_in(initial) for _, holds_in in properties])
    unrolling.extend()
    return _find_violation(
        unrolling, unrolling.states[1], [*properties, ("values_in_range", State.in_range)]
    )


def _unreached_moves(part: Part) -> list[str]:
    """List the moves that no trace up to the part's depth contains."""
    unrolling = Unrolling(part)
    unrolling.constrain_to_initial_state()
    unreached = set(range(len(part.moves)))
    for _ in range(part.depth):
        unrolling.extend()
        for index in sorted(unreached):
            if unrolling.solver.check(unrolling.picked_moves[-1] == index) == z3.sat:
                unreached.discard(index)
        if not unreached:
            break
    return [part.moves[index].name for index in sorted(unreached)]


def _find_violation(
    unrolling: Unrolling, state: State, properties: Iterable[tuple[str, Callable[[State], object]]]
) -> Counterexample | None:
    for name, holds_in in properties:
        unrolling.solver.push()
        unrolling.solver.add(z3.Not(holds_in(state)))
        result = unrolling.solver.check()
        if result == z3.unknown:
            raise RuntimeError(f"the solver found no result: {unrolling.solver.reason_unknown()}")
        found = (
            Counterexample(name, unrolling.trace(unrolling.solver.model()))
            if result == z3.sat
            else None
        )
        unrolling.solver.pop()
        if found:
            return found
    return None


def _create_solver() -> z3.Solver:
    solver = z3.Solver()
    solver.set("random_seed", RANDOM_SEED)
    solver.set("threads", 1)
    return solver
