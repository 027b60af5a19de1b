"""What is claimed of keyed calls, and facts that make the claims inductive."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from z3 import And, Implies, Not, Or

from heatherhead.admission.key_table import KeyState
from heatherhead.calls import AttemptState
from spec.keyed_calls.state import EXPIRED, RETENTION_OVER, UpstreamResult, part, surely_not_run

if TYPE_CHECKING:
    from spec.model import State


@part.invariant
def runs_at_most_once(s: State) -> Any:
    """Claim that no upstream runs the call of a key twice."""
    return s.runs <= 1


@part.invariant
def not_run_is_told_truly(s: State) -> Any:
    """Claim that a key told as not run did not run, and never runs afterwards."""
    return Implies(s.told_not_run, s.runs == 0)


@part.invariant
def ran_is_told_truly(s: State) -> Any:
    """Claim that a key told as run did run."""
    return Implies(s.told_ran, s.runs >= 1)


@part.invariant
def answer_is_of_its_request(s: State) -> Any:
    """Claim that no caller gets the recorded answer to another request."""
    return Not(s.wrong_answer)


def _own(s: State) -> Any:
    """Say that the process that issued the grant is up."""
    return And(s.owner_up, s.incarnation == 0)


@part.lemma
def a_run_is_sent_once(s: State) -> Any:
    """State that an attempt is either still to be run or has been run."""
    return s.runs + s.pending <= 1


@part.lemma
def a_key_without_attempt_has_not_run(s: State) -> Any:
    """State that nothing was sent before the key began, nor for one that was closed."""
    untouched = Or(
        And(s.key.is_(KeyState.ABSENT), s.noted < RETENTION_OVER),
        And(s.key.is_(KeyState.RUNNING), surely_not_run(s)),
        s.key.is_(KeyState.CLOSED),
    )
    return Implies(And(_own(s), untouched), And(s.runs == 0, s.pending == 0))


@part.lemma
def not_run_stays_true(s: State) -> Any:
    """State what keeps a key from running after it was told as not run."""
    stopped = Or(
        Not(_own(s)),
        s.key.is_(KeyState.CLOSED),
        And(s.key.is_(KeyState.ABSENT), Or(s.grant_closed, s.noted >= EXPIRED)),
    )
    return Implies(s.told_not_run, And(s.runs == 0, s.pending == 0, stopped))


@part.lemma
def answers_mean_runs(s: State) -> Any:
    """State that what the owner took for an answer is one."""
    answered = Or(
        And(s.attempt.is_(AttemptState.ANSWERED), s.key.is_(KeyState.RUNNING)),
        s.key.is_(KeyState.RECORDED, KeyState.RAN),
        s.result.is_(UpstreamResult.RAN),
    )
    return Implies(answered, s.runs >= 1)


@part.lemma
def an_earlier_process_knows_nothing(s: State) -> Any:
    """State that a process without the grant's secret holds none of its keys."""
    return Implies(Not(_own(s)), And(s.key.is_(KeyState.ABSENT), Not(s.in_flight)))


@part.lemma
def refused_attempts_did_not_run(s: State) -> Any:
    """State that after a refusal of the attempt in flight nothing is left to run."""
    refused = And(s.in_flight, s.result.is_(UpstreamResult.REFUSED))
    return Implies(refused, And(s.runs == 0, s.pending == 0))
