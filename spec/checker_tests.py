"""Tests of the checker: it finds a planted fault, and tells a specification that can't fail."""

from __future__ import annotations

from enum import StrEnum
from typing import Any

from z3 import Not, Or

from spec.checker import check_part
from spec.model import TIME, Choices, Guards, Part, State, Step, step


class Light(StrEnum):
    """State of a traffic light."""

    RED = "red"
    GREEN = "green"


def crossing(*, waits_for_red: bool = True, guard_matters: bool = True) -> Part:
    """Make two lights, of which one may turn green only while the other is red."""
    part = Part(
        "crossing",
        6,
        {"north": Light, "east": Light, "turns": TIME},
        {"north": Light.RED, "east": Light.RED, "turns": 0},
    )

    @part.move
    def turn_north(s: State, pick: Choices, guard: Guards) -> Step:
        other_is_red = s.east.is_(Light.RED) if waits_for_red else True
        allowed = guard("other_is_red", other_is_red)
        return step(allowed, north=Light.GREEN, turns=s.turns + 1)

    @part.move
    def turn_east(s: State, pick: Choices, guard: Guards) -> Step:
        never = guard("never_twice", s.turns < 1) if not guard_matters else True
        return step(s.north.is_(Light.RED), never, east=Light.GREEN, turns=s.turns + 1)

    @part.move
    def turn_back(s: State, pick: Choices, guard: Guards) -> Step:
        return step(s.turns > 2, north=Light.RED, east=Light.RED)

    @part.invariant
    def one_is_red(s: State) -> Any:
        return Or(Not(s.north.is_(Light.GREEN)), s.east.is_(Light.RED))

    return part


def test_a_sound_part_holds_and_its_mutant_is_caught() -> None:
    report = check_part(crossing())
    assert report.holds
    assert report.mutants_caught == 1
    assert str(report.mutant_by_guard["other_is_red"]) == (
        "breaks one_is_red in 2: turn_east() > turn_north()"
    )


def test_a_planted_fault_gives_a_shortest_run() -> None:
    report = check_part(crossing(waits_for_red=False))
    assert not report.holds
    assert report.counterexample is not None
    assert report.counterexample.moves == ["turn_east()", "turn_north()"]


def test_a_guard_whose_removal_breaks_nothing_is_told() -> None:
    report = check_part(crossing(guard_matters=False))
    assert report.mutant_by_guard["never_twice"] is None
    assert not report.holds


def test_a_move_that_no_run_makes_is_told() -> None:
    part = crossing()
    part.depth = 2
    report = check_part(part)
    assert report.unreached_moves == ["turn_back"]
    assert not report.holds


def test_a_claim_that_only_holds_for_a_while_is_not_taken_for_proved() -> None:
    part = crossing()
    part.invariant_by_name["few_turns"] = lambda s: s.turns < 10
    report = check_part(part)
    assert report.counterexample is None
    assert report.not_inductive is not None
    assert not report.holds
