"""Checks a part: bounded unrolling, induction, reachability of moves, and mutants.

Every query goes to one solver thread with a fixed seed and without a time limit, so that the
verdict is the same each time.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import z3

from spec.model import Choices, Guards, State, Step, make_value, show_value

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from spec.model import Part

__all__ = ["Counterexample", "PartReport", "Unrolling", "check_part", "find_counterexample"]

SEED = 7


@dataclass(frozen=True, slots=True)
class Counterexample:
    """A shortest run that breaks an invariant."""

    invariant: str
    moves: list[str]

    def __str__(self) -> str:
        return f"breaks {self.invariant} in {len(self.moves)}: {' > '.join(self.moves)}"


@dataclass(frozen=True, slots=True)
class PartReport:
    """What was found of one part."""

    name: str
    depth: int
    counterexample: Counterexample | None
    not_inductive: Counterexample | None
    moves: int
    unreached_moves: list[str]
    mutant_by_guard: dict[str, Counterexample | None]

    @property
    def mutants_caught(self) -> int:
        """Count the guards whose removal breaks an invariant."""
        return sum(1 for each in self.mutant_by_guard.values() if each)

    @property
    def holds(self) -> bool:
        """Tell whether all claims hold and the part is able to express each failure."""
        return (
            self.counterexample is None
            and self.not_inductive is None
            and not self.unreached_moves
            and self.mutants_caught == len(self.mutant_by_guard)
        )


class Unrolling:
    """The states and moves of a part along a run, as one set of constraints."""

    def __init__(self, part: Part, removed_guard: str | None = None) -> None:
        self.part = part
        self.states = [State(part.kind_by_name, "@0")]
        self.picked_moves: list[z3.ExprRef] = []
        self.steps: list[list[tuple[Step, Choices]]] = []
        self._guards = Guards(removed_guard)
        self.solver = _create_solver()

    def begin_at_start(self) -> None:
        """Let the run begin in the part's first state."""
        first = self.states[0]
        for name, kind in first.kinds():
            self.solver.add(first.by_name[name] == make_value(self.part.start[name], kind))

    def extend(self) -> None:
        """Make the run one move longer."""
        number = len(self.picked_moves)
        here = self.states[-1]
        there = State(self.part.kind_by_name, f"@{number + 1}")
        picked = z3.BitVec(f"move@{number}", len(self.part.moves).bit_length() + 1)
        self.solver.add(z3.ULT(picked, len(self.part.moves)))
        steps = [self._step(here, number, index) for index in range(len(self.part.moves))]
        for index, (each, choices) in enumerate(steps):
            self.solver.add(z3.Implies(picked == index, z3.And(each.when, choices.in_range())))
        for name, kind in here.kinds():
            value = here.by_name[name]
            for index, (each, _) in enumerate(steps):
                if name in each.then:
                    value = z3.If(picked == index, make_value(each.then[name], kind), value)
            self.solver.add(there.by_name[name] == value)
        self.states.append(there)
        self.picked_moves.append(picked)
        self.steps.append(steps)

    def _step(self, here: State, number: int, index: int) -> tuple[Step, Choices]:
        move = self.part.moves[index]
        choices = Choices(f".{move.name}@{number}")
        return move.build(here, choices, self._guards), choices

    def trace(self, model: z3.ModelRef) -> list[str]:
        """Write the moves of a run that the solver found, with what they chose."""
        lines = []
        for picked, steps in zip(self.picked_moves, self.steps, strict=True):
            index = model.eval(picked, model_completion=True).as_long()
            lines.append(self._show(model, index, steps[index][1]))
        return lines

    def _show(self, model: z3.ModelRef, index: int, choices: Choices) -> str:
        shown = [
            f"{name}={show_value(model.eval(variable, model_completion=True), kind)}"
            for name, (variable, kind) in choices.by_name.items()
        ]
        return f"{self.part.moves[index].name}({', '.join(shown)})"


def check_part(part: Part) -> PartReport:
    """Check everything that is claimed of a part."""
    return PartReport(
        name=part.name,
        depth=part.depth,
        counterexample=_prove_bounded(part),
        not_inductive=_prove_by_induction(part),
        moves=len(part.moves),
        unreached_moves=_unreached_moves(part),
        mutant_by_guard={each: find_counterexample(part, each) for each in part.guard_names()},
    )


def find_counterexample(part: Part, removed_guard: str | None = None) -> Counterexample | None:
    """Look for a shortest run up to the part's depth that breaks an invariant."""
    run = Unrolling(part, removed_guard)
    run.begin_at_start()
    for _ in range(part.depth):
        found = _broken(run, run.states[-1], part.invariant_by_name.items())
        if found:
            return found
        run.extend()
    return _broken(run, run.states[-1], part.invariant_by_name.items())


def _prove_bounded(part: Part) -> Counterexample | None:
    return find_counterexample(part)


def _prove_by_induction(part: Part) -> Counterexample | None:
    """Check that one move from any state that fits all claims leads to such a state again."""
    run = Unrolling(part)
    first = run.states[0]
    claims = [*part.invariant_by_name.items(), *part.lemma_by_name.items()]
    run.solver.add(first.in_range(), *[claim(first) for _, claim in claims])
    run.extend()
    return _broken(run, run.states[1], [*claims, ("values_in_range", State.in_range)])


def _unreached_moves(part: Part) -> list[str]:
    """List the moves that no run up to the part's depth can make."""
    run = Unrolling(part)
    run.begin_at_start()
    unreached = set(range(len(part.moves)))
    for _ in range(part.depth):
        run.extend()
        for index in sorted(unreached):
            if run.solver.check(run.picked_moves[-1] == index) == z3.sat:
                unreached.discard(index)
        if not unreached:
            break
    return [part.moves[index].name for index in sorted(unreached)]


def _broken(
    run: Unrolling, state: State, claims: Iterable[tuple[str, Callable[[State], object]]]
) -> Counterexample | None:
    for name, claim in claims:
        run.solver.push()
        run.solver.add(z3.Not(claim(state)))
        verdict = run.solver.check()
        if verdict == z3.unknown:
            raise RuntimeError(f"the solver gave up: {run.solver.reason_unknown()}")
        found = Counterexample(name, run.trace(run.solver.model())) if verdict == z3.sat else None
        run.solver.pop()
        if found:
            return found
    return None


def _create_solver() -> z3.Solver:
    solver = z3.Solver()
    solver.set("random_seed", SEED)
    solver.set("threads", 1)
    return solver
