"""Leaving of an upstream: detection, dissemination among the homes, and calls in progress.

One home (near) detects the first sign of leaving: a refusal, a drain status or a closing
connection. Another home (far) represents all others, which learn of it within
`MAX_DISSEMINATION_TICKS` by whichever is quickest: a peer's message, a health check or the
configuration. The environment keeps this bound. Reports and documents from before the sign may
arrive at any time.
"""

from __future__ import annotations

from typing import Any

from z3 import And, If, Implies, Not, Or

from spec.model import UNBOUNDED_INT, BoundedInt, Choices, Guards, Part, State, Step, step

__all__ = ["part"]

MAX_DISSEMINATION_TICKS = 2
MAX_CALLS = 2

part = Part(
    name="leaving_upstreams",
    depth=9,
    kind_by_name={
        "time": UNBOUNDED_INT,
        "leaving": bool,
        "exited": bool,
        # the home that detects the first sign
        "near_knows": bool,
        "near_slots": BoundedInt(MAX_CALLS),
        "near_calls": BoundedInt(MAX_CALLS),
        # another home
        "far_knows": bool,
        "far_slots": BoundedInt(MAX_CALLS),
        "far_calls": BoundedInt(MAX_CALLS),
        # what happened
        "signed_at": UNBOUNDED_INT,
        "sent_after_own_sign": bool,
        "sent_after_spread": bool,
        "cut": bool,
    },
    initial_values={
        "time": 0,
        "leaving": False,
        "exited": False,
        "near_knows": False,
        "near_slots": 0,
        "near_calls": 0,
        "far_knows": False,
        "far_slots": 0,
        "far_calls": 0,
        "signed_at": 0,
        "sent_after_own_sign": False,
        "sent_after_spread": False,
        "cut": False,
    },
)


def _calls_in_progress(s: State) -> Any:
    return Or(s.near_calls > 0, s.far_calls > 0)


def _dissemination_is_over(s: State) -> Any:
    return And(s.near_knows, s.time > s.signed_at + MAX_DISSEMINATION_TICKS)


@part.move
def advance_clock(s: State, pick: Choices, guard: Guards) -> Step:
    """Advance time by a tick; the other home learns of the sign within the bound."""
    due = And(s.near_knows, s.time >= s.signed_at + MAX_DISSEMINATION_TICKS, Not(s.far_knows))
    disseminated_in_time = guard("sign_is_told_to_other_homes", Not(due))
    return step(disseminated_in_time, time=s.time + 1)


@part.move
def begin_leaving(s: State, pick: Choices, guard: Guards) -> Step:
    """Start the leaving of the upstream."""
    return step(Not(s.leaving), leaving=True)


@part.move
def see_sign(s: State, pick: Choices, guard: Guards) -> Step:
    """Detect the first sign of leaving; calls in progress are left alone."""
    return step(
        s.leaving,
        Not(s.near_knows),
        near_knows=True,
        signed_at=s.time,
        cut=Or(s.cut, guard("sign_leaves_calls_alone", False, s.near_calls > 0)),
    )


@part.move
def hear_sign(s: State, pick: Choices, guard: Guards) -> Step:
    """Learn of the sign from the other home; calls in progress are left alone."""
    return step(
        s.near_knows,
        Not(s.far_knows),
        far_knows=True,
        cut=Or(s.cut, guard("sign_leaves_calls_alone", False, s.far_calls > 0)),
    )


@part.move
def hear_old_report(s: State, pick: Choices, guard: Guards) -> Step:
    """Receive a report of good health from before the sign."""
    return step(
        near_knows=s.near_knows,
        far_knows=guard("older_report_does_not_revive", s.far_knows, False),
    )


@part.move
def take_slot_near(s: State, pick: Choices, guard: Guards) -> Step:
    """Assign a free slot of the upstream to a waiting call."""
    return step(Not(s.near_knows), s.near_slots < MAX_CALLS, near_slots=s.near_slots + 1)


@part.move
def take_slot_far(s: State, pick: Choices, guard: Guards) -> Step:
    """Assign a free slot of the upstream to a waiting call at the other home."""
    return step(Not(s.far_knows), s.far_slots < MAX_CALLS, far_slots=s.far_slots + 1)


@part.move
def dispatch_near(s: State, pick: Choices, guard: Guards) -> Step:
    """Send a call to its slot, which may have been assigned before the sign."""
    return step(
        s.near_slots > 0,
        s.near_calls < MAX_CALLS,
        guard("slot_is_checked_at_dispatch", Not(s.near_knows)),
        near_slots=s.near_slots - 1,
        near_calls=If(s.exited, s.near_calls, s.near_calls + 1),
        sent_after_own_sign=Or(s.sent_after_own_sign, s.near_knows),
    )


@part.move
def dispatch_far(s: State, pick: Choices, guard: Guards) -> Step:
    """Send a call to its slot at the other home."""
    return step(
        s.far_slots > 0,
        s.far_calls < MAX_CALLS,
        guard("slot_is_checked_at_dispatch", Not(s.far_knows)),
        far_slots=s.far_slots - 1,
        far_calls=If(s.exited, s.far_calls, s.far_calls + 1),
        sent_after_spread=Or(s.sent_after_spread, _dissemination_is_over(s)),
    )


@part.move
def give_slot_back(s: State, pick: Choices, guard: Guards) -> Step:
    """Release unused slots, so that their calls go to another upstream."""
    return step(Or(s.near_slots > 0, s.far_slots > 0), near_slots=0, far_slots=0)


@part.move
def end_call(s: State, pick: Choices, guard: Guards) -> Step:
    """End a call."""
    near = pick("near", bool)
    return step(
        If(near, s.near_calls > 0, s.far_calls > 0),
        near_calls=If(near, s.near_calls - 1, s.near_calls),
        far_calls=If(near, s.far_calls, s.far_calls - 1),
    )


@part.move
def remove_from_configuration(s: State, pick: Choices, guard: Guards) -> Step:
    """Remove the upstream from the service at all homes."""
    return step(
        Not(s.near_knows),
        leaving=True,
        near_knows=True,
        far_knows=True,
        signed_at=s.time,
        cut=Or(s.cut, guard("removal_leaves_calls_alone", False, _calls_in_progress(s))),
    )


@part.move
def close_connections(s: State, pick: Choices, guard: Guards) -> Step:
    """Close the idle connections to a leaving upstream."""
    return step(
        s.near_knows,
        cut=Or(s.cut, guard("only_idle_connections_are_closed", False, _calls_in_progress(s))),
    )


@part.move
def upstream_exits(s: State, pick: Choices, guard: Guards) -> Step:
    """Exit the upstream once its last call has ended."""
    return step(s.leaving, Not(s.exited), Not(_calls_in_progress(s)), exited=True)


@part.invariant
def no_call_is_cut_off(s: State) -> Any:
    """The leaving of an upstream does not abort a call in progress."""
    return Not(s.cut)


@part.invariant
def no_work_after_own_sign(s: State) -> Any:
    """A home sends no more calls after it has detected the sign itself."""
    return Not(s.sent_after_own_sign)


@part.invariant
def no_work_after_spread(s: State) -> Any:
    """No home sends calls later than `MAX_DISSEMINATION_TICKS` after the first sign."""
    return Not(s.sent_after_spread)


@part.lemma
def sign_spreads_in_time(s: State) -> Any:
    """All homes know of the sign after `MAX_DISSEMINATION_TICKS`."""
    return And(
        Implies(s.near_knows, s.signed_at <= s.time),
        Implies(_dissemination_is_over(s), s.far_knows),
    )
