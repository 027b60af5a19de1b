"""Moves of callers, the network, the clock and the owner's process."""

from __future__ import annotations

from z3 import Not, Or

from heatherhead.admission.key_table import KeyState
from heatherhead.calls import AttemptState
from spec.keyed_calls.state import MAX_INCARNATION, RETENTION_OVER, VALID, owner_is_active, part
from spec.model import BoundedInt, Choices, Guards, State, Step, step


@part.move
def send(s: State, pick: Choices, guard: Guards) -> Step:
    """Send or resend the call; its copies may arrive late and more than once."""
    other = pick("other", bool)
    return step(sent_first=Or(s.sent_first, Not(other)), sent_other=Or(s.sent_other, other))


@part.move
def advance_clock(s: State, pick: Choices, guard: Guards) -> Step:
    """Advance the clock, also while the owner is paused."""
    return step(s.clock < RETENTION_OVER, clock=s.clock + 1)


@part.move
def pause_owner(s: State, pick: Choices, guard: Guards) -> Step:
    """Pause the owner without its noticing."""
    return step(owner_is_active(s), paused=True)


@part.move
def resume_owner(s: State, pick: Choices, guard: Guards) -> Step:
    """Resume the owner where it was paused."""
    return step(s.owner_up, s.paused, paused=False)


@part.move
def crash_owner(s: State, pick: Choices, guard: Guards) -> Step:
    """Crash the owner and lose its table; attempts that it sent are still pending."""
    return step(
        s.owner_up,
        owner_up=False,
        paused=False,
        noted=VALID,
        key=KeyState.ABSENT,
        grant_closed=False,
        table_full=False,
        waiting=False,
        attempt=AttemptState.NOT_SENT,
        in_flight=False,
    )


@part.move
def restart_owner(s: State, pick: Choices, guard: Guards) -> Step:
    """Start a new process under the owner's name and address, with its own clock."""
    return step(
        Not(s.owner_up),
        s.incarnation < MAX_INCARNATION,
        owner_up=True,
        incarnation=guard("incarnation_is_new", s.incarnation + 1, s.incarnation),
        clock=pick("clock", BoundedInt(RETENTION_OVER)),
    )


@part.move
def fill_table(s: State, pick: Choices, guard: Guards) -> Step:
    """Fill the last free entry of the table with other keys."""
    return step(owner_is_active(s), Not(s.table_full), table_full=True)


@part.move
def free_table(s: State, pick: Choices, guard: Guards) -> Step:
    """Remove other keys from the table."""
    return step(owner_is_active(s), s.table_full, table_full=False)
