"""Moves of callers, the network, the clock and the owner's process."""

from __future__ import annotations

from z3 import Not, Or

from heatherhead.admission.key_table import KeyState
from heatherhead.calls import AttemptState
from spec.keyed_calls.state import MAX_INCARNATION, RETENTION_OVER, VALID, owner_acts, part
from spec.model import Choices, Count, Guards, State, Step, step


@part.move
def send(s: State, pick: Choices, guard: Guards) -> Step:
    """Send the call, or send it again; its copies may arrive late and more than once."""
    other = pick("other", bool)
    return step(sent_first=Or(s.sent_first, Not(other)), sent_other=Or(s.sent_other, other))


@part.move
def advance_clock(s: State, pick: Choices, guard: Guards) -> Step:
    """Let time pass, also while the owner is paused."""
    return step(s.clock < RETENTION_OVER, clock=s.clock + 1)


@part.move
def pause_owner(s: State, pick: Choices, guard: Guards) -> Step:
    """Stop the owner without its knowing."""
    return step(owner_acts(s), paused=True)


@part.move
def resume_owner(s: State, pick: Choices, guard: Guards) -> Step:
    """Let the owner go on where it stood."""
    return step(s.owner_up, s.paused, paused=False)


@part.move
def crash_owner(s: State, pick: Choices, guard: Guards) -> Step:
    """End the owner and its table; what it sent stays sent."""
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
    """Start a new process under the owner's name and address, with a clock of its own."""
    return step(
        Not(s.owner_up),
        s.incarnation < MAX_INCARNATION,
        owner_up=True,
        incarnation=guard("incarnation_is_new", s.incarnation + 1, s.incarnation),
        clock=pick("clock", Count(RETENTION_OVER)),
    )


@part.move
def fill_table(s: State, pick: Choices, guard: Guards) -> Step:
    """Let other keys take the last free entry."""
    return step(owner_acts(s), Not(s.table_full), table_full=True)


@part.move
def free_table(s: State, pick: Choices, guard: Guards) -> Step:
    """Let other keys leave the table."""
    return step(owner_acts(s), s.table_full, table_full=False)
