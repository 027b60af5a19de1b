"""Leaving of an entry instance: callers keep address answers, and others learn late.

The instance is named in answers of its own and of other instances. A caller counts an answer's
lifetime from its receipt, which comes up to `TRANSIT` after the answer was made, and connects at
any time until then. Other instances learn within `LEARN` that the instance leaves; the environment
keeps this bound, and nothing is claimed of a partition that lasts longer.
"""

from __future__ import annotations

from typing import Any

from z3 import And, If, Implies, Not, Or

from heatherhead.membership.interface import InstanceState
from spec.model import TIME, Choices, Count, Guards, Part, State, Step, step

__all__ = ["part"]

LIFETIME = 2
TRANSIT = 1
LEARN = 1
MAX_CALLS = 2

part = Part(
    name="leaving_instances",
    depth=10,
    kind_by_name={
        "time": TIME,
        "instance": InstanceState,
        "leaving_since": TIME,
        "others_know": bool,
        "usable_until": TIME,
        "calls": Count(MAX_CALLS),
        "cut": bool,
        "found_gone": bool,
    },
    start={
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


def _answered(s: State) -> Any:
    """Give until when callers use answers, an answer made now included."""
    until = s.time + LIFETIME + TRANSIT
    return If(s.usable_until > until, s.usable_until, until)


@part.move
def advance_clock(s: State, pick: Choices, guard: Guards) -> Step:
    """Let a tick pass; other instances learn in time that the instance leaves."""
    overdue = And(s.instance.is_not(InstanceState.LIVE), s.time >= s.leaving_since + LEARN)
    return step(Or(s.others_know, Not(overdue)), time=s.time + 1)


@part.move
def answer_addresses(s: State, pick: Choices, guard: Guards) -> Step:
    """Name the instance in an address answer of its own."""
    serving = s.instance.is_(InstanceState.LIVE)
    present = s.instance.is_(InstanceState.LIVE, InstanceState.LEAVING)
    return step(
        present,
        guard("leaving_instance_is_not_in_answers", serving),
        usable_until=_answered(s),
    )


@part.move
def answer_addresses_elsewhere(s: State, pick: Choices, guard: Guards) -> Step:
    """Name the instance in an address answer of another instance."""
    return step(
        guard("others_leave_it_out_once_they_know", Not(s.others_know)), usable_until=_answered(s)
    )


@part.move
def begin_leaving(s: State, pick: Choices, guard: Guards) -> Step:
    """Tell the instance to leave."""
    return step(
        s.instance.is_(InstanceState.LIVE), instance=InstanceState.LEAVING, leaving_since=s.time
    )


@part.move
def others_learn(s: State, pick: Choices, guard: Guards) -> Step:
    """Let the other instances learn of it."""
    return step(s.instance.is_not(InstanceState.LIVE), Not(s.others_know), others_know=True)


@part.move
def begin_call(s: State, pick: Choices, guard: Guards) -> Step:
    """Let a caller connect by an answer that it still keeps."""
    present = s.instance.is_not(InstanceState.DEAD)
    return step(
        s.time < s.usable_until,
        s.calls < MAX_CALLS,
        calls=If(present, s.calls + 1, s.calls),
        found_gone=Or(s.found_gone, Not(present)),
    )


@part.move
def end_call(s: State, pick: Choices, guard: Guards) -> Step:
    """Finish a call."""
    return step(s.calls > 0, calls=s.calls - 1)


@part.move
def exit_process(s: State, pick: Choices, guard: Guards) -> Step:
    """Exit once given answers have run out and the last call has ended."""
    learn = guard("exit_waits_until_others_know", LEARN, 0)
    transit = guard("exit_waits_for_transit", TRANSIT, 0)
    run_out = s.time >= s.leaving_since + learn + LIFETIME + transit
    return step(
        s.instance.is_(InstanceState.LEAVING),
        guard("exit_waits_for_answers", run_out),
        guard("exit_waits_for_calls", s.calls == 0),
        instance=InstanceState.DEAD,
        cut=Or(s.cut, s.calls > 0),
        calls=0,
    )


@part.invariant
def no_call_is_cut_off(s: State) -> Any:
    """Claim that leaving ends no call in progress."""
    return Not(s.cut)


@part.invariant
def no_kept_answer_leads_nowhere(s: State) -> Any:
    """Claim that a caller finds the instance for as long as it keeps an answer."""
    return Not(s.found_gone)


@part.lemma
def answers_end_with_the_leaving(s: State) -> Any:
    """State when the last answer that names a leaving instance was made at the latest."""
    left = s.instance.is_not(InstanceState.LIVE)
    last_made = If(s.others_know, s.leaving_since + LEARN, s.time)
    return And(
        s.usable_until <= s.time + LIFETIME + TRANSIT,
        Implies(left, s.leaving_since <= s.time),
        Implies(And(left, Not(s.others_know)), s.time <= s.leaving_since + LEARN),
        Implies(left, s.usable_until <= last_made + LIFETIME + TRANSIT),
        Implies(s.others_know, left),
    )


@part.lemma
def exit_comes_after_all_answers(s: State) -> Any:
    """State that no answer is usable once the instance is gone."""
    gone = s.instance.is_(InstanceState.DEAD)
    over = And(s.others_know, s.usable_until <= s.time, s.calls == 0)
    return Implies(gone, over)
