"""Leaving of an entry instance while callers cache address answers and peers learn of it late.

The instance is named in its own address answers and in those of other instances. A caller counts
an answer's lifetime from its receipt, up to `MAX_TRANSIT_TICKS` after the answer was made, and may
connect at any time until the answer expires. Other instances learn that the instance leaves within
`MAX_DISSEMINATION_TICKS`. The environment keeps this bound; partitions that last longer are not
covered.
"""

from __future__ import annotations

from typing import Any

from z3 import And, If, Implies, Not, Or

from heatherhead.membership.interface import InstanceState
from spec.model import UNBOUNDED_INT, BoundedInt, Choices, Guards, Part, State, Step, step

__all__ = ["part"]

ANSWER_TTL_TICKS = 2
MAX_TRANSIT_TICKS = 1
MAX_DISSEMINATION_TICKS = 1
MAX_CALLS = 2

part = Part(
    name="leaving_instances",
    depth=10,
    kind_by_name={
        "time": UNBOUNDED_INT,
        "instance": InstanceState,
        "leaving_since": UNBOUNDED_INT,
        "others_know": bool,
        "usable_until": UNBOUNDED_INT,
        "calls": BoundedInt(MAX_CALLS),
        "cut": bool,
        "found_gone": bool,
    },
    initial_values={
        "time": 0,
        "instance": InstanceState.LIVE,
        "leaving_since": 0,
        "others_know": False,
        "usable_until": 0,
        "calls": 0,
        "cut": False,
        "found_gone": False,
    },
)


def _usable_until_with_new_answer(s: State) -> Any:
    """Return when the last address answer expires, counting one made now."""
    until = s.time + ANSWER_TTL_TICKS + MAX_TRANSIT_TICKS
    return If(s.usable_until > until, s.usable_until, until)


@part.move
def advance_clock(s: State, pick: Choices, guard: Guards) -> Step:
    """Advance time by a tick; other instances learn of the leaving within the bound."""
    overdue = And(
        s.instance.is_not(InstanceState.LIVE), s.time >= s.leaving_since + MAX_DISSEMINATION_TICKS
    )
    return step(Or(s.others_know, Not(overdue)), time=s.time + 1)


@part.move
def answer_addresses(s: State, pick: Choices, guard: Guards) -> Step:
    """Name the instance in one of its own address answers."""
    serving = s.instance.is_(InstanceState.LIVE)
    present = s.instance.is_(InstanceState.LIVE, InstanceState.LEAVING)
    return step(
        present,
        guard("leaving_instance_is_not_in_answers", serving),
        usable_until=_usable_until_with_new_answer(s),
    )


@part.move
def answer_addresses_elsewhere(s: State, pick: Choices, guard: Guards) -> Step:
    """Name the instance in an address answer of another instance."""
    return step(
        guard("others_leave_it_out_once_they_know", Not(s.others_know)),
        usable_until=_usable_until_with_new_answer(s),
    )


@part.move
def begin_leaving(s: State, pick: Choices, guard: Guards) -> Step:
    """Start the leaving of the instance."""
    return step(
        s.instance.is_(InstanceState.LIVE), instance=InstanceState.LEAVING, leaving_since=s.time
    )


@part.move
def others_learn(s: State, pick: Choices, guard: Guards) -> Step:
    """Inform the other instances that the instance leaves."""
    return step(s.instance.is_not(InstanceState.LIVE), Not(s.others_know), others_know=True)


@part.move
def begin_call(s: State, pick: Choices, guard: Guards) -> Step:
    """Connect a caller by an address answer that it still caches."""
    present = s.instance.is_not(InstanceState.DEAD)
    return step(
        s.time < s.usable_until,
        s.calls < MAX_CALLS,
        calls=If(present, s.calls + 1, s.calls),
        found_gone=Or(s.found_gone, Not(present)),
    )


@part.move
def end_call(s: State, pick: Choices, guard: Guards) -> Step:
    """End a call."""
    return step(s.calls > 0, calls=s.calls - 1)


@part.move
def exit_process(s: State, pick: Choices, guard: Guards) -> Step:
    """Exit once all address answers have expired and the last call has ended."""
    dissemination = guard("exit_waits_until_others_know", MAX_DISSEMINATION_TICKS, 0)
    transit = guard("exit_waits_for_transit", MAX_TRANSIT_TICKS, 0)
    answers_expired = s.time >= s.leaving_since + dissemination + ANSWER_TTL_TICKS + transit
    return step(
        s.instance.is_(InstanceState.LEAVING),
        guard("exit_waits_for_answers", answers_expired),
        guard("exit_waits_for_calls", s.calls == 0),
        instance=InstanceState.DEAD,
        cut=Or(s.cut, s.calls > 0),
        calls=0,
    )


@part.invariant
def no_call_is_cut_off(s: State) -> Any:
    """Leaving does not abort a call in progress."""
    return Not(s.cut)


@part.invariant
def no_kept_answer_leads_nowhere(s: State) -> Any:
    """A caller can reach the instance as long as its cached answer is valid."""
    return Not(s.found_gone)


@part.lemma
def answers_end_with_the_leaving(s: State) -> Any:
    """The last answer with a leaving instance was made within `MAX_DISSEMINATION_TICKS`."""
    left = s.instance.is_not(InstanceState.LIVE)
    last_made = If(s.others_know, s.leaving_since + MAX_DISSEMINATION_TICKS, s.time)
    return And(
        s.usable_until <= s.time + ANSWER_TTL_TICKS + MAX_TRANSIT_TICKS,
        Implies(left, s.leaving_since <= s.time),
        Implies(And(left, Not(s.others_know)), s.time <= s.leaving_since + MAX_DISSEMINATION_TICKS),
        Implies(left, s.usable_until <= last_made + ANSWER_TTL_TICKS + MAX_TRANSIT_TICKS),
        Implies(s.others_know, left),
    )


@part.lemma
def exit_comes_after_all_answers(s: State) -> Any:
    """No address answer is usable after the instance has exited."""
    gone = s.instance.is_(InstanceState.DEAD)
    no_more_use = And(s.others_know, s.usable_until <= s.time, s.calls == 0)
    return Implies(gone, no_more_use)
