"""Moves of the key table when a copy of the call arrives, and its eviction and expiry."""

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
    clock_has_shown_reading,
    copy_may_arrive,
    owner_is_active,
    owner_recognizes_grant,
    part,
    table_time,
)
from spec.model import Choices, Guards, State, Step, conditional, step


@part.move
def begin(s: State, pick: Choices, guard: Guards) -> Step:
    """Begin to run the call of the key of a copy that arrived."""
    request = pick("request", Request)
    at_owner = pick("receiver", Receiver).is_(Receiver.OWNER)
    time = table_time(s, pick, guard)
    absent = s.key.is_(KeyState.ABSENT)
    return step(
        copy_may_arrive(s, request),
        guard("only_owner_begins", at_owner),
        owner_recognizes_grant(s, guard),
        guard("present_key_is_not_begun", absent, s.key.is_not(KeyState.RUNNING)),
        clock_has_shown_reading(s, pick),
        guard("expired_grant_begins_nothing", time == VALID),
        guard("closed_grant_begins_nothing", Not(s.grant_closed)),
        Not(s.table_full),
        s.pending < MAX_PENDING,
        noted=time,
        key=conditional(at_owner, KeyState.RUNNING, s.key),
        request=conditional(at_owner, request, s.request),
        attempt=conditional(at_owner, AttemptState.NOT_SENT, s.attempt),
        in_flight=And(s.in_flight, Not(at_owner)),
        pending=If(at_owner, s.pending, s.pending + 1),
    )


@part.move
def refuse_expired(s: State, pick: Choices, guard: Guards) -> Step:
    """Report as not run an absent key whose grant has expired."""
    time = table_time(s, pick, guard)
    return step(
        copy_may_arrive(s, pick("request", Request)),
        owner_recognizes_grant(s, guard),
        s.key.is_(KeyState.ABSENT),
        clock_has_shown_reading(s, pick),
        time == EXPIRED,
        noted=time,
        told_not_run=True,
    )


@part.move
def refuse_closed(s: State, pick: Choices, guard: Guards) -> Step:
    """Report as not run an absent key below the closed watermark."""
    time = table_time(s, pick, guard)
    return step(
        copy_may_arrive(s, pick("request", Request)),
        owner_recognizes_grant(s, guard),
        s.key.is_(KeyState.ABSENT),
        clock_has_shown_reading(s, pick),
        time == VALID,
        s.grant_closed,
        noted=time,
        told_not_run=True,
    )


@part.move
def refuse_full(s: State, pick: Choices, guard: Guards) -> Step:
    """Report as not run an absent key for which the table is full, and close all grants so far."""
    time = table_time(s, pick, guard)
    return step(
        copy_may_arrive(s, pick("request", Request)),
        owner_recognizes_grant(s, guard),
        s.key.is_(KeyState.ABSENT),
        clock_has_shown_reading(s, pick),
        time == VALID,
        Not(s.grant_closed),
        s.table_full,
        noted=time,
        grant_closed=guard("full_table_closes_grants", True, s.grant_closed),
        told_not_run=True,
    )


@part.move
def refuse_forgotten(s: State, pick: Choices, guard: Guards) -> Step:
    """Report as unknown whether an absent key ran, since its retention is over."""
    time = table_time(s, pick, guard)
    return step(
        copy_may_arrive(s, pick("request", Request)),
        owner_recognizes_grant(s, guard),
        s.key.is_(KeyState.ABSENT),
        clock_has_shown_reading(s, pick),
        time == RETENTION_OVER,
        noted=time,
        told_not_run=guard("forgotten_key_is_unknown", s.told_not_run, True),
    )


@part.move
def refuse_incarnation(s: State, pick: Choices, guard: Guards) -> Step:
    """Report as unknown whether a key of an earlier process ran."""
    return step(
        copy_may_arrive(s, pick("request", Request)),
        owner_is_active(s),
        s.incarnation != 0,
        told_not_run=guard("other_incarnation_is_unknown", s.told_not_run, True),
    )


@part.move
def refuse_early(s: State, pick: Choices, guard: Guards) -> Step:
    """Refuse a copy, at any instance, before the key table has seen its key.

    The owner may report not-run only through `begin` and `finish_not_run`.
    """
    return step(
        copy_may_arrive(s, pick("request", Request)),
        told_not_run=guard("early_refusal_is_unknown", s.told_not_run, True),
    )


@part.move
def refuse_unreachable(s: State, pick: Choices, guard: Guards) -> Step:
    """Report the outcome as unknown, at an instance that cannot reach the owner."""
    return step(
        copy_may_arrive(s, pick("request", Request)),
        told_not_run=guard("unreachable_owner_is_unknown", s.told_not_run, True),
    )


@part.move
def refuse_mismatch(s: State, pick: Choices, guard: Guards) -> Step:
    """Refuse a different request under a key that is in use."""
    request = pick("request", Request)
    return step(
        copy_may_arrive(s, request),
        owner_recognizes_grant(s, guard),
        s.key.is_not(KeyState.ABSENT),
        request.variable != s.request.variable,
        told_not_run=guard("mismatch_is_unknown", s.told_not_run, True),
    )


@part.move
def wait_for_run(s: State, pick: Choices, guard: Guards) -> Step:
    """Make a resent copy wait for the end of the call."""
    request = pick("request", Request)
    return step(
        copy_may_arrive(s, request),
        owner_recognizes_grant(s, guard),
        s.key.is_(KeyState.RUNNING),
        request.variable == s.request.variable,
        waiting=True,
    )


@part.move
def give_up_wait(s: State, pick: Choices, guard: Guards) -> Step:
    """Cancel a waiting resent copy, whose caller has gone."""
    return step(
        owner_is_active(s),
        s.waiting,
        waiting=False,
        key=guard("waiter_leaves_run_alone", s.key, KeyState.ABSENT),
    )


@part.move
def tell_end(s: State, pick: Choices, guard: Guards) -> Step:
    """Report to a resent copy how the call ended."""
    request = pick("request", Request)
    same = request.variable == s.request.variable
    return step(
        copy_may_arrive(s, request),
        owner_recognizes_grant(s, guard),
        s.key.is_not(KeyState.ABSENT, KeyState.RUNNING),
        guard("request_is_compared", same),
        told_not_run=Or(s.told_not_run, s.key.is_(KeyState.CLOSED)),
        told_ran=Or(s.told_ran, s.key.is_(KeyState.RECORDED, KeyState.RAN)),
        wrong_answer=Or(s.wrong_answer, And(s.key.is_(KeyState.RECORDED), Not(same))),
    )


@part.move
def evict_answer(s: State, pick: Choices, guard: Guards) -> Step:
    """Evict a recorded answer to make room for another."""
    return step(
        owner_is_active(s),
        s.key.is_(KeyState.RECORDED),
        key=guard("eviction_keeps_key", KeyState.RAN, KeyState.ABSENT),
    )


@part.move
def sweep(s: State, pick: Choices, guard: Guards) -> Step:
    """Remove an entry whose retention is over, while handling a call with any key."""
    time = table_time(s, pick, guard)
    return step(
        owner_is_active(s),
        s.key.is_not(KeyState.ABSENT, KeyState.RUNNING),
        clock_has_shown_reading(s, pick),
        guard("entry_outlives_retention", time == RETENTION_OVER, time >= EXPIRED),
        noted=time,
        key=KeyState.ABSENT,
    )
