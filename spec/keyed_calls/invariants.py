"""Invariants of keyed calls, and the lemmas that make them inductive."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from z3 import And, Implies, Not, Or

from heatherhead.admission.key_table import KeyState
from heatherhead.calls import AttemptState
from spec.keyed_calls.state import (
    EXPIRED,
    RETENTION_OVER,
    UpstreamResult,
    latest_attempt_did_not_run,
    part,
)

if TYPE_CHECKING:
    from spec.model import State


@part.invariant
def runs_at_most_once(s: State) -> Any:
    """Upstreams run the call of a key at most once."""
    return s.runs <= 1


@part.invariant
def not_run_is_told_truly(s: State) -> Any:
    """A key that was reported as not run did not run, and never runs afterwards."""
    return Implies(s.told_not_run, s.runs == 0)


@part.invariant
def ran_is_told_truly(s: State) -> Any:
    """A key that was reported as run did run."""
    return Implies(s.told_ran, s.runs >= 1)


@part.invariant
def answer_is_of_its_request(s: State) -> Any:
    """No caller gets the recorded answer to another request."""
    return Not(s.wrong_answer)


def _issuing_process_is_up(s: State) -> Any:
    """Return the condition that the process that issued the grant is up."""
    return And(s.owner_up, s.incarnation == 0)


@part.lemma
def a_run_is_sent_once(s: State) -> Any:
    """At most one attempt is pending or has run."""
    return s.runs + s.pending <= 1


@part.lemma
def a_key_without_attempt_has_not_run(s: State) -> Any:
    """Nothing ran or is pending for a key that is closed or has no attempt that may have run.

    This includes an absent key until its retention is over.
    """
    has_not_run = Or(
        And(s.key.is_(KeyState.ABSENT), s.noted < RETENTION_OVER),
        And(s.key.is_(KeyState.RUNNING), latest_attempt_did_not_run(s)),
        s.key.is_(KeyState.CLOSED),
    )
    return Implies(And(_issuing_process_is_up(s), has_not_run), And(s.runs == 0, s.pending == 0))


@part.lemma
def not_run_stays_true(s: State) -> Any:
    """A key that was reported as not run has no attempt, run or pending, and cannot start one."""
    cannot_run = Or(
        Not(_issuing_process_is_up(s)),
        s.key.is_(KeyState.CLOSED),
        And(s.key.is_(KeyState.ABSENT), Or(s.grant_closed, s.noted >= EXPIRED)),
    )
    return Implies(s.told_not_run, And(s.runs == 0, s.pending == 0, cannot_run))


@part.lemma
def answers_mean_runs(s: State) -> Any:
    """What the owner treats as an answer comes from an attempt that ran."""
    answered = Or(
        And(s.attempt.is_(AttemptState.ANSWERED), s.key.is_(KeyState.RUNNING)),
        s.key.is_(KeyState.RECORDED, KeyState.RAN),
        s.result.is_(UpstreamResult.RAN),
    )
    return Implies(answered, s.runs >= 1)


@part.lemma
def an_earlier_process_knows_nothing(s: State) -> Any:
    """A process without the grant's secret holds none of its keys."""
    return Implies(
        Not(_issuing_process_is_up(s)), And(s.key.is_(KeyState.ABSENT), Not(s.in_flight))
    )


@part.lemma
def refused_attempts_did_not_run(s: State) -> Any:
    """After a refusal of the attempt in flight, nothing has run and nothing is pending."""
    refused = And(s.in_flight, s.result.is_(UpstreamResult.REFUSED))
    return Implies(refused, And(s.runs == 0, s.pending == 0))
