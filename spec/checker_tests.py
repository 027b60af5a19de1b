"""Tests of the checker: violated invariants, guards without effect and unreachable moves."""

from __future__ import annotations

from enum import StrEnum
from typing import Any

from z3 import Not, Or

from spec.checker import check_part
from spec.model import UNBOUNDED_INT, Choices, Guards, Part, State, Step, step


class Light(StrEnum):
    """State of a traffic light."""

    RED = "red"
    GREEN = "green"


def traffic_lights(*, waits_for_red: bool = True, guard_matters: bool = True) -> Part:
    """Create a part with two lights, one of which may turn green only while the other is red."""
    part = Part(
        "crossing",
        6,
        {"north": Light, "east": Light, "turns": UNBOUNDED_INT},
        {"north": Light.RED, "east": Light.RED, "turns": 0},
    )

    @part.move
    def turn_north(s: State, pick: Choices, guard: Guards) -> Step:
        other_is_red = s.east.is_(Light.RED) if waits_for_red else True
        allowed = guard("other_is_red", other_is_red)
        return step(allowed, north=Light.GREEN, turns=s.turns + 1)

    @part.move
    def turn_east(s: State, pick: Choices, guard: Guards) -> Step:
        at_most_one_turn = guard("never_twice", s.turns < 1) if not guard_matters else True
        return step(s.north.is_(Light.RED), at_most_one_turn, east=Light.GREEN, turns=s.turns + 1)

    @part.move
    def turn_back(s: State, pick: Choices, guard: Guards) -> Step:
        return step(s.turns > 2, north=Light.RED, east=Light.RED)

    @part.invariant
    def one_is_red(s: State) -> Any:
        return Or(Not(s.north.is_(Light.GREEN)), s.east.is_(Light.RED))

    return part


def test_a_correct_part_holds_and_its_mutant_is_caught() -> None:
    report = check_part(traffic_lights())
    assert report.holds
    assert report.mutants_caught == 1
    assert str(report.mutant_by_guard["other_is_red"]) == (
        "breaks one_is_red in 2: turn_east() > turn_north()"
    )


def test_a_violated_invariant_gives_a_shortest_counterexample() -> None:
    report = check_part(traffic_lights(waits_for_red=False))
    assert not report.holds
    assert report.counterexample is not None
    assert report.counterexample.moves == ["turn_east()", "turn_north()"]


def test_a_guard_whose_removal_breaks_nothing_is_reported() -> None:
    report = check_part(traffic_lights(guard_matters=False))
    assert report.mutant_by_guard["never_twice"] is None
    assert not report.holds


def test_an_unreachable_move_is_reported() -> None:
    part = traffic_lights()
    part.depth = 2
    report = check_part(part)
    assert report.unreached_moves == ["turn_back"]
    assert not report.holds


def test_an_invariant_that_holds_only_up_to_the_depth_is_not_proved() -> None:
    part = traffic_lights()
    part.invariant_by_name["few_turns"] = lambda s: s.turns < 10
    report = check_part(part)
    assert report.counterexample is None
    assert report.induction_counterexample is not None
    assert not report.holds
