"""The modeling language of the specification: state variables, moves, guards and invariants.

A part is a transition system. Its state is a set of named variables. A move has a condition under
which it is enabled (`condition`) and new values for some variables (`updates`); it leaves the other
variables unchanged. The network, the clock and failing processes act through moves as well. A
guard is a condition or value of the protocol that the checker can remove (a mutant) to verify that
some invariant depends on it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Any

import z3

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = [
    "UNBOUNDED_INT",
    "BoundedInt",
    "Choices",
    "Guards",
    "Move",
    "Part",
    "State",
    "Step",
    "conditional",
    "step",
]

SIGN_BITS = 2  # keeps z3's signed comparisons of bit vectors correct


@dataclass(frozen=True, slots=True)
class BoundedInt:
    """The kind of an integer from 0 to `maximum`."""

    maximum: int


class _UnboundedInt:
    """The kind of an unbounded integer."""


UNBOUNDED_INT = _UnboundedInt()
Kind = type[bool] | type[Enum] | BoundedInt | _UnboundedInt


def make_variable(name: str, kind: Kind) -> z3.ExprRef:
    """Create a solver variable of a kind."""
    if kind is bool:
        return z3.Bool(name)
    if kind is UNBOUNDED_INT:
        return z3.Int(name)
    return z3.BitVec(name, _maximum_of(kind).bit_length() + SIGN_BITS)


def make_value(value: Any, kind: Kind) -> Any:
    """Convert an enumeration member, a number or a Boolean to a solver expression of a kind."""
    if isinstance(value, z3.ExprRef):
        return value
    if isinstance(value, EnumTerm):
        return value.variable
    if isinstance(value, _Conditional):
        return z3.If(
            value.condition, make_value(value.if_true, kind), make_value(value.if_false, kind)
        )
    if isinstance(value, Enum):
        value = list(type(value)).index(value)
    if kind is bool:
        return z3.BoolVal(value)
    if kind is UNBOUNDED_INT:
        return z3.IntVal(value)
    return z3.BitVecVal(value, _maximum_of(kind).bit_length() + SIGN_BITS)


def format_value(value: z3.ExprRef, kind: Kind) -> str:
    """Format a value of a counterexample with the names of the specification."""
    if isinstance(kind, type) and issubclass(kind, Enum):
        return str(list(kind)[value.as_long()].value)
    return str(value).lower()


def in_range(variable: z3.ExprRef, kind: Kind) -> z3.BoolRef:
    """Return the constraint that a variable holds a value of its kind."""
    if kind is bool or kind is UNBOUNDED_INT:
        return z3.BoolVal(True)
    return z3.And(variable >= 0, variable <= _maximum_of(kind))


def _maximum_of(kind: Any) -> int:
    return kind.maximum if isinstance(kind, BoundedInt) else len(kind) - 1


@dataclass(frozen=True, slots=True)
class _Conditional:
    condition: z3.BoolRef
    if_true: Any
    if_false: Any


def conditional(condition: Any, if_true: Any, if_false: Any) -> Any:
    """Return `if_true` if `condition` holds, else `if_false`.

    Unlike `z3.If`, both values may be members of an enumeration.
    """
    return _Conditional(condition, if_true, if_false)


class EnumTerm:
    """A solver variable of an enumeration, comparable with the members of the enumeration."""

    def __init__(self, variable: z3.ExprRef, kind: Kind) -> None:
        self.variable = variable
        self._kind = kind

    def is_(self, *members: Enum) -> z3.BoolRef:
        """Return the constraint that the variable equals one of `members`."""
        return z3.Or([self.variable == make_value(each, self._kind) for each in members])

    def is_not(self, *members: Enum) -> z3.BoolRef:
        """Return the constraint that the variable equals none of `members`."""
        return z3.Not(self.is_(*members))


class State:
    """The variables of a part at one step of a trace; enumerations are read as `EnumTerm`."""

    def __init__(self, kind_by_name: dict[str, Kind], suffix: str) -> None:
        self.kind_by_name = kind_by_name
        self.by_name = {
            name: make_variable(f"{name}{suffix}", kind) for name, kind in kind_by_name.items()
        }

    def __getattr__(self, name: str) -> Any:
        kind = self.kind_by_name[name]
        variable = self.by_name[name]
        return EnumTerm(variable, kind) if isinstance(kind, type) and kind is not bool else variable

    def in_range(self) -> z3.BoolRef:
        """Return the constraint that all variables hold values of their kinds."""
        return z3.And([in_range(self.by_name[each], kind) for each, kind in self.kinds()])

    def kinds(self) -> list[tuple[str, Kind]]:
        """List the variables' names and kinds."""
        return list(self.kind_by_name.items())


class Choices:
    """The nondeterministic choices of one move, whose values the solver picks."""

    def __init__(self, suffix: str) -> None:
        self._suffix = suffix
        self.by_name: dict[str, tuple[z3.ExprRef, Kind]] = {}

    def __call__(self, name: str, kind: Kind) -> Any:
        """Declare a nondeterministic choice of a kind and return its variable."""
        variable = make_variable(f"{name}{self._suffix}", kind)
        self.by_name[name] = (variable, kind)
        return EnumTerm(variable, kind) if isinstance(kind, type) and kind is not bool else variable

    def in_range(self) -> z3.BoolRef:
        """Return the constraint that all choices are values of their kinds."""
        return z3.And([in_range(variable, kind) for variable, kind in self.by_name.values()])


class Guards:
    """The guards of the protocol, of which one may be removed to create a mutant."""

    def __init__(self, removed: str | None = None) -> None:
        self.removed = removed
        self.names: dict[str, None] = {}

    def __call__(self, name: str, enabled: Any, disabled: Any = True) -> Any:
        """Return `enabled`, or `disabled` if this guard is the removed one."""
        self.names[name] = None
        return disabled if name == self.removed else enabled


@dataclass(frozen=True, slots=True)
class Step:
    """The condition of a move and the values that it assigns."""

    condition: z3.BoolRef
    updates: dict[str, Any]


def step(*condition: Any, **updates: Any) -> Step:
    """Describe a move: every term of `condition` must hold, and `updates` are the new values."""
    return Step(
        z3.And([z3.BoolVal(each) if isinstance(each, bool) else each for each in condition]),
        updates,
    )


@dataclass(frozen=True, slots=True)
class Move:
    """A named move."""

    name: str
    build: Callable[[State, Choices, Guards], Step]


@dataclass(slots=True)
class Part:
    """One transition system of the specification.

    `depth` bounds the unrolling. The lemmas are auxiliary invariants that make the invariants
    provable by induction, so that they hold at every depth.
    """

    name: str
    depth: int
    kind_by_name: dict[str, Kind]
    initial_values: dict[str, Any]
    moves: list[Move] = field(default_factory=list)
    invariant_by_name: dict[str, Callable[[State], Any]] = field(default_factory=dict)
    lemma_by_name: dict[str, Callable[[State], Any]] = field(default_factory=dict)

    def move(self, function: Callable[[State, Choices, Guards], Step]) -> Any:
        """Register a move under the name of its function."""
        self.moves.append(Move(function.__name__, function))
        return function

    def invariant(self, function: Callable[[State], Any]) -> Any:
        """Register a property that holds in every reachable state."""
        self.invariant_by_name[function.__name__] = function
        return function

    def lemma(self, function: Callable[[State], Any]) -> Any:
        """Register an auxiliary invariant for the proof by induction."""
        self.lemma_by_name[function.__name__] = function
        return function

    def guard_names(self) -> list[str]:
        """List the guards in the order of the moves."""
        guards = Guards()
        state = State(self.kind_by_name, "")
        for each in self.moves:
            each.build(state, Choices(""), guards)
        return list(guards.names)
