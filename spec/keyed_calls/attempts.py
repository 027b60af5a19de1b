"""Moves of attempts on upstreams, and of the end of a call."""

from __future__ import annotations

from z3 import Or

from heatherhead.admission.key_table import KeyState
from heatherhead.calls import AttemptState
from spec.keyed_calls.state import (
    MAX_PENDING,
    MAX_RUNS,
    UpstreamResult,
    latest_attempt_did_not_run,
    owner_is_active,
    part,
)
from spec.model import Choices, Guards, State, Step, conditional, step


@part.move
def begin_attempt(s: State, pick: Choices, guard: Guards) -> Step:
    """Send an attempt to an upstream; any code path of the call may request this at any time."""
    running = s.key.is_(KeyState.RUNNING)
    return step(
        owner_is_active(s),
        guard("ended_run_sends_nothing", running, s.key.is_not(KeyState.ABSENT)),
        guard("unknown_attempt_is_not_repeated", latest_attempt_did_not_run(s)),
        s.pending < MAX_PENDING,
        attempt=AttemptState.UNKNOWN,
        in_flight=True,
        pending=s.pending + 1,
        result=UpstreamResult.NONE,
    )


@part.move
def upstream_runs(s: State, pick: Choices, guard: Guards) -> Step:
    """Run an attempt on the upstream."""
    return step(
        s.pending > 0,
        s.runs < MAX_RUNS,
        pending=s.pending - 1,
        runs=s.runs + 1,
        result=UpstreamResult.RAN,
    )


@part.move
def upstream_refuses(s: State, pick: Choices, guard: Guards) -> Step:
    """Refuse an attempt on the upstream, which guarantees that it did not run."""
    return step(s.pending > 0, pending=s.pending - 1, result=UpstreamResult.REFUSED)


@part.move
def upstream_crashes(s: State, pick: Choices, guard: Guards) -> Step:
    """Crash the upstream, before or after it ran the attempt; its answer is lost."""
    return step(
        Or(s.pending > 0, s.result.is_not(UpstreamResult.NONE)),
        pending=0,
        result=UpstreamResult.NONE,
    )


@part.move
def end_attempt_answered(s: State, pick: Choices, guard: Guards) -> Step:
    """Receive the upstream's answer."""
    return step(
        owner_is_active(s),
        s.in_flight,
        s.result.is_(UpstreamResult.RAN),
        attempt=AttemptState.ANSWERED,
        in_flight=False,
    )


@part.move
def end_attempt_refused(s: State, pick: Choices, guard: Guards) -> Step:
    """Receive the upstream's refusal."""
    return step(
        owner_is_active(s),
        s.in_flight,
        s.result.is_(UpstreamResult.REFUSED),
        attempt=AttemptState.REFUSED,
        in_flight=False,
    )


@part.move
def end_attempt_unknown(s: State, pick: Choices, guard: Guards) -> Step:
    """Lose the connection or time out; the upstream may still run the attempt."""
    return step(owner_is_active(s), s.in_flight, in_flight=False)


@part.move
def finish_answered(s: State, pick: Choices, guard: Guards) -> Step:
    """Send the caller the answer, and record it if there is room."""
    kept = pick("kept", bool)
    return step(
        owner_is_active(s),
        s.key.is_(KeyState.RUNNING),
        guard("answered_needs_an_answer", s.attempt.is_(AttemptState.ANSWERED)),
        key=conditional(kept, KeyState.RECORDED, KeyState.RAN),
        told_ran=True,
        waiting=False,
    )


@part.move
def finish_unknown(s: State, pick: Choices, guard: Guards) -> Step:
    """Report to the caller that the outcome is unknown."""
    return step(
        owner_is_active(s), s.key.is_(KeyState.RUNNING), key=KeyState.UNKNOWN, waiting=False
    )


@part.move
def finish_not_run(s: State, pick: Choices, guard: Guards) -> Step:
    """Report to the caller that the call was not run, and close the key."""
    return step(
        owner_is_active(s),
        s.key.is_(KeyState.RUNNING),
        guard("not_run_needs_sure_attempts", latest_attempt_did_not_run(s)),
        key=guard("not_run_closes_key", KeyState.CLOSED, KeyState.ABSENT),
        told_not_run=True,
        waiting=False,
    )
