"""The language of the specification: state variables, moves, guards and invariants.

A part is a transition system. Its state is a set of named variables; a move has a condition
(`when`) and new values for some variables (`then`), and leaves the others alone. Whatever the
network, the clock or a failing process may do is a move as well. A guard is a condition or value
of the protocol that the checker can take out to see what it is good for.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Any

import z3

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["TIME", "Choices", "Count", "Guards", "Move", "Part", "State", "Step", "choose", "step"]

SIGN_BITS = 2  # keeps the signed comparisons of bit vectors in order


@dataclass(frozen=True, slots=True)
class Count:
    """The kind of a small number from 0 to `top`."""

    top: int


class _Time:
    """The kind of an unbounded number."""


TIME = _Time()
Kind = type[bool] | type[Enum] | Count | _Time


def make_variable(name: str, kind: Kind) -> z3.ExprRef:
    """Make a solver variable of a kind."""
    if kind is bool:
        return z3.Bool(name)
    if kind is TIME:
        return z3.Int(name)
    return z3.BitVec(name, _top(kind).bit_length() + SIGN_BITS)


def make_value(value: Any, kind: Kind) -> Any:
    """Turn a member of an enumeration, a number or a truth value into the solver's terms."""
    if isinstance(value, z3.ExprRef):
        return value
    if isinstance(value, Term):
        return value.variable
    if isinstance(value, _Choice):
        return z3.If(value.when, make_value(value.one, kind), make_value(value.other, kind))
    if isinstance(value, Enum):
        value = list(type(value)).index(value)
    if kind is bool:
        return z3.BoolVal(value)
    if kind is TIME:
        return z3.IntVal(value)
    return z3.BitVecVal(value, _top(kind).bit_length() + SIGN_BITS)


def show_value(value: z3.ExprRef, kind: Kind) -> str:
    """Write a value of a counterexample with the names of the specification."""
    if isinstance(kind, type) and issubclass(kind, Enum):
        return str(list(kind)[value.as_long()].value)
    return str(value).lower()


def in_range(variable: z3.ExprRef, kind: Kind) -> z3.BoolRef:
    """Say that a variable holds a value of its kind."""
    if kind is bool or kind is TIME:
        return z3.BoolVal(True)
    return z3.And(variable >= 0, variable <= _top(kind))


def _top(kind: Any) -> int:
    return kind.top if isinstance(kind, Count) else len(kind) - 1


@dataclass(frozen=True, slots=True)
class _Choice:
    when: z3.BoolRef
    one: Any
    other: Any


def choose(when: Any, one: Any, other: Any) -> Any:
    """Give `one` if `when` holds, else `other`; both may be members of an enumeration."""
    return _Choice(when, one, other)


class Term:
    """A variable of an enumeration, comparable with the members of the enumeration."""

    def __init__(self, variable: z3.ExprRef, kind: Kind) -> None:
        self.variable = variable
        self._kind = kind

    def is_(self, *members: Enum) -> z3.BoolRef:
        """Say that the variable is one of `members`."""
        return z3.Or([self.variable == make_value(each, self._kind) for each in members])

    def is_not(self, *members: Enum) -> z3.BoolRef:
        """Say that the variable is none of `members`."""
        return z3.Not(self.is_(*members))


class State:
    """The variables of a part at one step; enumerations read as `Term`."""

    def __init__(self, kind_by_name: dict[str, Kind], suffix: str) -> None:
        self.kind_by_name = kind_by_name
        self.by_name = {
            name: make_variable(f"{name}{suffix}", kind) for name, kind in kind_by_name.items()
        }

    def __getattr__(self, name: str) -> Any:
        kind = self.kind_by_name[name]
        variable = self.by_name[name]
        return Term(variable, kind) if isinstance(kind, type) and kind is not bool else variable

    def in_range(self) -> z3.BoolRef:
        """Say that all variables hold values of their kinds."""
        return z3.And([in_range(self.by_name[each], kind) for each, kind in self.kinds()])

    def kinds(self) -> list[tuple[str, Kind]]:
        """List names and kinds."""
        return list(self.kind_by_name.items())


class Choices:
    """What one move leaves open; the solver picks it."""

    def __init__(self, suffix: str) -> None:
        self._suffix = suffix
        self.by_name: dict[str, tuple[z3.ExprRef, Kind]] = {}

    def __call__(self, name: str, kind: Kind) -> Any:
        """Name something that the move leaves open."""
        variable = make_variable(f"{name}{self._suffix}", kind)
        self.by_name[name] = (variable, kind)
        return Term(variable, kind) if isinstance(kind, type) and kind is not bool else variable

    def in_range(self) -> z3.BoolRef:
        """Say that all choices are values of their kinds."""
        return z3.And([in_range(variable, kind) for variable, kind in self.by_name.values()])


class Guards:
    """The guards of the protocol, of which one may be taken out."""

    def __init__(self, removed: str | None = None) -> None:
        self.removed = removed
        self.names: dict[str, None] = {}

    def __call__(self, name: str, kept: Any, without: Any = True) -> Any:
        """Give `kept`, or `without` if this guard is taken out."""
        self.names[name] = None
        return without if name == self.removed else kept


@dataclass(frozen=True, slots=True)
class Step:
    """A move's condition and the values that it sets."""

    when: z3.BoolRef
    then: dict[str, Any]


def step(*when: Any, **then: Any) -> Step:
    """Describe a move: all of `when` must hold, and `then` are the new values."""
    return Step(
        z3.And([z3.BoolVal(each) if isinstance(each, bool) else each for each in when]), then
    )


@dataclass(frozen=True, slots=True)
class Move:
    """A named move."""

    name: str
    build: Callable[[State, Choices, Guards], Step]


@dataclass(slots=True)
class Part:
    """One part of the specification.

    `depth` bounds the unrolling. Facts that are `lemmas` are no claims of their own; they make the
    invariants provable by induction, so that they hold at every depth.
    """

    name: str
    depth: int
    kind_by_name: dict[str, Kind]
    start: dict[str, Any]
    moves: list[Move] = field(default_factory=list)
    invariant_by_name: dict[str, Callable[[State], Any]] = field(default_factory=dict)
    lemma_by_name: dict[str, Callable[[State], Any]] = field(default_factory=dict)

    def move(self, function: Callable[[State, Choices, Guards], Step]) -> Any:
        """Register a move under the name of its function."""
        self.moves.append(Move(function.__name__, function))
        return function

    def invariant(self, function: Callable[[State], Any]) -> Any:
        """Register a claim that holds in every state."""
        self.invariant_by_name[function.__name__] = function
        return function

    def lemma(self, function: Callable[[State], Any]) -> Any:
        """Register a fact that helps to prove the invariants."""
        self.lemma_by_name[function.__name__] = function
        return function

    def guard_names(self) -> list[str]:
        """List the guards in the order of the moves."""
        guards = Guards()
        state = State(self.kind_by_name, "")
        for each in self.moves:
            each.build(state, Choices(""), guards)
        return list(guards.names)
