"""State of keyed calls, and conditions that several moves share."""

from __future__ import annotations

from enum import StrEnum
from typing import Any

from z3 import And, If, Not, Or

from heatherhead.admission.key_table import KeyState
from heatherhead.calls import AttemptState
from spec.model import BoundedInt, Choices, Guards, Part, State

__all__ = [
    "EXPIRED",
    "MAX_INCARNATION",
    "MAX_PENDING",
    "MAX_RUNS",
    "RETENTION_OVER",
    "VALID",
    "Receiver",
    "Request",
    "UpstreamResult",
    "copy_may_arrive",
    "clock_has_shown_reading",
    "owner_is_active",
    "owner_recognizes_grant",
    "part",
    "latest_attempt_did_not_run",
    "table_time",
]


class UpstreamResult(StrEnum):
    """What the upstream did with the latest attempt."""

    NONE = "none"
    RAN = "ran"
    REFUSED = "refused"


class Request(StrEnum):
    """Two requests that a caller may send with the same key."""

    FIRST = "first"
    OTHER = "other"


class Receiver(StrEnum):
    """Which instance handles a copy of the call."""

    OWNER = "owner"
    OTHER = "other"


# Phases of a clock relative to the grant: valid, expired, retention of its keys over.
VALID, EXPIRED, RETENTION_OVER = range(3)

MAX_RUNS = 2
MAX_PENDING = 2
MAX_INCARNATION = 2

part = Part(
    name="keyed_calls",
    depth=13,
    kind_by_name={
        # callers and network
        "sent_first": bool,
        "sent_other": bool,
        "told_not_run": bool,
        "told_ran": bool,
        "wrong_answer": bool,
        # owner process; `noted` is the latest time that the key table has used
        "owner_up": bool,
        "paused": bool,
        "incarnation": BoundedInt(MAX_INCARNATION),
        "clock": BoundedInt(RETENTION_OVER),
        "noted": BoundedInt(RETENTION_OVER),
        # key table
        "key": KeyState,
        "request": Request,
        "grant_closed": bool,
        "table_full": bool,
        "waiting": bool,
        # the latest attempt of the call
        "attempt": AttemptState,
        "in_flight": bool,
        # upstreams
        "pending": BoundedInt(MAX_PENDING),
        "result": UpstreamResult,
        "runs": BoundedInt(MAX_RUNS),
    },
    initial_values={
        "sent_first": False,
        "sent_other": False,
        "told_not_run": False,
        "told_ran": False,
        "wrong_answer": False,
        "owner_up": True,
        "paused": False,
        "incarnation": 0,
        "clock": VALID,
        "noted": VALID,
        "key": KeyState.ABSENT,
        "request": Request.FIRST,
        "grant_closed": False,
        "table_full": False,
        "waiting": False,
        "attempt": AttemptState.NOT_SENT,
        "in_flight": False,
        "pending": 0,
        "result": UpstreamResult.NONE,
        "runs": 0,
    },
)


def copy_may_arrive(s: State, request: Any) -> Any:
    """Return the condition that a copy with this request may arrive at an instance now."""
    first = And(request.is_(Request.FIRST), s.sent_first)
    return Or(first, And(request.is_(Request.OTHER), s.sent_other))


def owner_is_active(s: State) -> Any:
    """Return the condition that the owner is up and not paused."""
    return And(s.owner_up, Not(s.paused))


def owner_recognizes_grant(s: State, guard: Guards) -> Any:
    """Return the condition that the owner accepts the grant as one that it issued."""
    return And(owner_is_active(s), guard("incarnation_is_checked", s.incarnation == 0))


def table_time(s: State, pick: Choices, guard: Guards) -> Any:
    """Return the time that the key table uses.

    The clock may have been read before a pause; the table uses the latest reading that it has seen.
    """
    reading = pick("reading", BoundedInt(RETENTION_OVER))
    return guard("clock_never_goes_back", If(s.noted > reading, s.noted, reading), reading)


def clock_has_shown_reading(s: State, pick: Choices) -> Any:
    """Return the condition that the owner's clock has shown the reading."""
    return pick("reading", BoundedInt(RETENTION_OVER)) <= s.clock


def latest_attempt_did_not_run(s: State) -> Any:
    """Return the condition that the latest attempt surely did not run."""
    return s.attempt.is_(AttemptState.NOT_SENT, AttemptState.REFUSED)
