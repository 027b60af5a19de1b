"""Moves of the key table when a copy of the call arrives, and its housekeeping."""

from __future__ import annotations

from z3 import And, If, Not, Or

from heatherhead.admission.key_table import KeyState
from heatherhead.calls import AttemptState
from spec.keyed_calls.state import (
    EXPIRED,
    MAX_PENDING,
    RETENTION_OVER,
    VALID,
    Receiver,
    Request,
    arrived,
    clock_showed,
    owner_acts,
    owner_vouches,
    part,
    table_time,
)
from spec.model import Choices, Guards, State, Step, choose, step


@part.move
def begin(s: State, pick: Choices, guard: Guards) -> Step:
    """Begin to run the key of a copy that arrived."""
    request = pick("request", Request)
    at_owner = pick("receiver", Receiver).is_(Receiver.OWNER)
    time = table_time(s, pick, guard)
    absent = s.key.is_(KeyState.ABSENT)
    return step(
        arrived(s, request),
        guard("only_owner_begins", at_owner),
        owner_vouches(s, guard),
        guard("present_key_is_not_begun", absent, s.key.is_not(KeyState.RUNNING)),
        clock_showed(s, pick),
        guard("expired_grant_begins_nothing", time == VALID),
        guard("closed_grant_begins_nothing", Not(s.grant_closed)),
        Not(s.table_full),
        s.pending < MAX_PENDING,
        noted=time,
        key=choose(at_owner, KeyState.RUNNING, s.key),
        request=choose(at_owner, request, s.request),
        attempt=choose(at_owner, AttemptState.NOT_SENT, s.attempt),
        in_flight=And(s.in_flight, Not(at_owner)),
        pending=If(at_owner, s.pending, s.pending + 1),
    )


@part.move
def refuse_expired(s: State, pick: Choices, guard: Guards) -> Step:
    """Tell that an absent key of an expired grant was not run."""
    time = table_time(s, pick, guard)
    return step(
        arrived(s, pick("request", Request)),
        owner_vouches(s, guard),
        s.key.is_(KeyState.ABSENT),
        clock_showed(s, pick),
        time == EXPIRED,
        noted=time,
        told_not_run=True,
    )


@part.move
def refuse_closed(s: State, pick: Choices, guard: Guards) -> Step:
    """Tell that an absent key below the closed watermark was not run."""
    time = table_time(s, pick, guard)
    return step(
        arrived(s, pick("request", Request)),
        owner_vouches(s, guard),
        s.key.is_(KeyState.ABSENT),
        clock_showed(s, pick),
        time == VALID,
        s.grant_closed,
        noted=time,
        told_not_run=True,
    )


@part.move
def refuse_full(s: State, pick: Choices, guard: Guards) -> Step:
    """Tell that an absent key was not run for want of an entry, and close all grants so far."""
    time = table_time(s, pick, guard)
    return step(
        arrived(s, pick("request", Request)),
        owner_vouches(s, guard),
        s.key.is_(KeyState.ABSENT),
        clock_showed(s, pick),
        time == VALID,
        Not(s.grant_closed),
        s.table_full,
        noted=time,
        grant_closed=guard("full_table_closes_grants", True, s.grant_closed),
        told_not_run=True,
    )


@part.move
def refuse_forgotten(s: State, pick: Choices, guard: Guards) -> Step:
    """Tell that it is not known whether an absent key ran, since its retention is over."""
    time = table_time(s, pick, guard)
    return step(
        arrived(s, pick("request", Request)),
        owner_vouches(s, guard),
        s.key.is_(KeyState.ABSENT),
        clock_showed(s, pick),
        time == RETENTION_OVER,
        noted=time,
        told_not_run=guard("forgotten_key_is_unknown", s.told_not_run, True),
    )


@part.move
def refuse_incarnation(s: State, pick: Choices, guard: Guards) -> Step:
    """Tell that it is not known whether a key of an earlier process ran."""
    return step(
        arrived(s, pick("request", Request)),
        owner_acts(s),
        s.incarnation != 0,
        told_not_run=guard("other_incarnation_is_unknown", s.told_not_run, True),
    )


@part.move
def refuse_early(s: State, pick: Choices, guard: Guards) -> Step:
    """Refuse a copy, at any instance, before the key table has seen its key.

    The owner may say not-run only by `begin` and `finish_not_run`.
    """
    return step(
        arrived(s, pick("request", Request)),
        told_not_run=guard("early_refusal_is_unknown", s.told_not_run, True),
    )


@part.move
def refuse_unreachable(s: State, pick: Choices, guard: Guards) -> Step:
    """Tell, at an instance that can't reach the owner, that the outcome is not known."""
    return step(
        arrived(s, pick("request", Request)),
        told_not_run=guard("unreachable_owner_is_unknown", s.told_not_run, True),
    )


@part.move
def refuse_mismatch(s: State, pick: Choices, guard: Guards) -> Step:
    """Refuse another request under a key that is taken."""
    request = pick("request", Request)
    return step(
        arrived(s, request),
        owner_vouches(s, guard),
        s.key.is_not(KeyState.ABSENT),
        request.variable != s.request.variable,
        told_not_run=guard("mismatch_is_unknown", s.told_not_run, True),
    )


@part.move
def wait_for_run(s: State, pick: Choices, guard: Guards) -> Step:
    """Let a resend wait for the end of the run."""
    request = pick("request", Request)
    return step(
        arrived(s, request),
        owner_vouches(s, guard),
        s.key.is_(KeyState.RUNNING),
        request.variable == s.request.variable,
        waiting=True,
    )


@part.move
def give_up_wait(s: State, pick: Choices, guard: Guards) -> Step:
    """Let a waiting resend go away."""
    return step(
        owner_acts(s),
        s.waiting,
        waiting=False,
        key=guard("waiter_leaves_run_alone", s.key, KeyState.ABSENT),
    )


@part.move
def tell_end(s: State, pick: Choices, guard: Guards) -> Step:
    """Tell a resend how the run ended."""
    request = pick("request", Request)
    same = request.variable == s.request.variable
    return step(
        arrived(s, request),
        owner_vouches(s, guard),
        s.key.is_not(KeyState.ABSENT, KeyState.RUNNING),
        guard("request_is_compared", same),
        told_not_run=Or(s.told_not_run, s.key.is_(KeyState.CLOSED)),
        told_ran=Or(s.told_ran, s.key.is_(KeyState.RECORDED, KeyState.RAN)),
        wrong_answer=Or(s.wrong_answer, And(s.key.is_(KeyState.RECORDED), Not(same))),
    )


@part.move
def evict_answer(s: State, pick: Choices, guard: Guards) -> Step:
    """Drop a recorded answer to make room for another."""
    return step(
        owner_acts(s),
        s.key.is_(KeyState.RECORDED),
        key=guard("eviction_keeps_key", KeyState.RAN, KeyState.ABSENT),
    )


@part.move
def sweep(s: State, pick: Choices, guard: Guards) -> Step:
    """Remove an entry whose retention is over, in the course of a call with any key."""
    time = table_time(s, pick, guard)
    return step(
        owner_acts(s),
        s.key.is_not(KeyState.ABSENT, KeyState.RUNNING),
        clock_showed(s, pick),
        guard("entry_outlives_retention", time == RETENTION_OVER, time >= EXPIRED),
        noted=time,
        key=KeyState.ABSENT,
    )
