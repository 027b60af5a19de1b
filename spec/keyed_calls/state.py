"""State of keyed calls, and conditions that several moves share."""

from __future__ import annotations

from enum import StrEnum
from typing import Any

from z3 import And, If, Not, Or

from heatherhead.admission.key_table import KeyState
from heatherhead.calls import AttemptState
from spec.model import Choices, Count, Guards, Part, State

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
    "arrived",
    "clock_showed",
    "owner_acts",
    "owner_vouches",
    "part",
    "surely_not_run",
    "table_time",
]


class UpstreamResult(StrEnum):
    """What the upstream did with the attempt that was sent last."""

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


# Where a clock stands against the grant.
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
        # owner process; `noted` is the latest time that the key table has gone by
        "owner_up": bool,
        "paused": bool,
        "incarnation": Count(MAX_INCARNATION),
        "clock": Count(RETENTION_OVER),
        "noted": Count(RETENTION_OVER),
        # key table
        "key": KeyState,
        "request": Request,
        "grant_closed": bool,
        "table_full": bool,
        "waiting": bool,
        # the latest attempt of the run
        "attempt": AttemptState,
        "in_flight": bool,
        # upstreams
        "pending": Count(MAX_PENDING),
        "result": UpstreamResult,
        "runs": Count(MAX_RUNS),
    },
    start={
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


def arrived(s: State, request: Any) -> Any:
    """Say that a copy with this request can be at an instance now."""
    first = And(request.is_(Request.FIRST), s.sent_first)
    return Or(first, And(request.is_(Request.OTHER), s.sent_other))


def owner_acts(s: State) -> Any:
    """Say that the owner is up and not paused."""
    return And(s.owner_up, Not(s.paused))


def owner_vouches(s: State, guard: Guards) -> Any:
    """Say that the owner takes the grant for one of its own."""
    return And(owner_acts(s), guard("incarnation_is_checked", s.incarnation == 0))


def table_time(s: State, pick: Choices, guard: Guards) -> Any:
    """Give the time that the key table goes by.

    The reading of the clock may be older than a pause; the table takes the latest it has seen.
    """
    reading = pick("reading", Count(RETENTION_OVER))
    return guard("clock_never_goes_back", If(s.noted > reading, s.noted, reading), reading)


def clock_showed(s: State, pick: Choices) -> Any:
    """Say that the reading is one that the owner's clock has shown."""
    return pick("reading", Count(RETENTION_OVER)) <= s.clock


def surely_not_run(s: State) -> Any:
    """Say that the latest attempt of the run was not run."""
    return s.attempt.is_(AttemptState.NOT_SENT, AttemptState.REFUSED)
