"""Moves of the store, of the editor that carries out the change, and of other changes."""

from __future__ import annotations

from typing import Any

from z3 import And, BoolVal, If, Not, Or

from spec.configuration.state import (
    HAS_CHANGE,
    IS_TOMBSTONE,
    IS_WHOLE,
    MAX_REVISION,
    WRITE_SENT,
    fact_at,
    part,
    set_fact_at,
    set_facts_at_next,
    stored_revision,
)
from spec.model import BoundedInt, Choices, Guards, State, Step, step

__all__ = ["may_replace"]


def may_replace(s: State, revision: Any, guard: Guards) -> Any:
    """Return the condition that the change may replace a revision.

    That is the expected revision or, for a change that expects none, a tombstone whose history is
    complete.
    """
    history_is_complete = guard(
        "forgetful_tombstone_is_not_replaced", fact_at(s, IS_WHOLE, revision)
    )
    replaces_tombstone = And(
        s.expected == 0, fact_at(s, IS_TOMBSTONE, revision), history_is_complete
    )
    return Or(s.expected == revision, replaces_tombstone)


@part.move
def stop_store(s: State, pick: Choices, guard: Guards) -> Step:
    """Make the store unreachable."""
    return step(s.store_up, store_up=False)


@part.move
def start_store(s: State, pick: Choices, guard: Guards) -> Step:
    """Make the store reachable again, with all its data."""
    return step(Not(s.store_up), store_up=True)


@part.move
def ask(s: State, pick: Choices, guard: Guards) -> Step:
    """Request the change, with an expected revision that the operator has seen."""
    expected = pick("expected", BoundedInt(MAX_REVISION))
    held = pick("held", BoundedInt(MAX_REVISION))
    return step(
        Not(s.asked),
        expected <= s.revision,
        held <= s.revision,
        asked=True,
        editing=True,
        expected=expected,
        held=held,
        is_fresh=False,
    )


@part.move
def ask_again(s: State, pick: Choices, guard: Guards) -> Step:
    """Request the same change at any instance, which may hold an older revision."""
    held = pick("held", BoundedInt(MAX_REVISION))
    return step(s.editing, held <= s.revision, held=held, is_fresh=False)


@part.move
def read_back(s: State, pick: Choices, guard: Guards) -> Step:
    """Read the document from the store."""
    return step(s.editing, s.store_up, held=stored_revision(s), is_fresh=True)


@part.move
def send_write(s: State, pick: Choices, guard: Guards) -> Step:
    """Send a compare-and-swap of the change against the held revision."""
    return step(
        s.editing,
        guard("change_id_is_looked_for", Not(fact_at(s, HAS_CHANGE, s.held))),
        guard("attempts_keep_expected_revision", may_replace(s, s.held, guard)),
        **set_fact_at(s, WRITE_SENT, s.held, True),
    )


@part.move
def write_takes_effect(s: State, pick: Choices, guard: Guards) -> Step:
    """Apply a write that was sent, however late; its reply may be lost."""
    replaced = pick("replaced", BoundedInt(MAX_REVISION))
    return step(
        s.store_up,
        s.revision < MAX_REVISION,
        s.times_applied < 2,
        fact_at(s, WRITE_SENT, replaced),
        guard("store_compares_revision", replaced == stored_revision(s)),
        present=True,
        revision=s.revision + 1,
        times_applied=s.times_applied + 1,
        applied_at=s.revision + 1,
        **set_facts_at_next(
            s, is_tombstone=False, has_change=True, is_whole=fact_at(s, IS_WHOLE, s.revision)
        ),
    )


@part.move
def tell_accepted(s: State, pick: Choices, guard: Guards) -> Step:
    """Report that the change took effect, by the store's reply or by its id in the document."""
    return step(s.editing, fact_at(s, HAS_CHANGE, s.held), told_accepted=True, editing=False)


@part.move
def tell_conflict(s: State, pick: Choices, guard: Guards) -> Step:
    """Report that another change came first, so that this one never takes effect."""
    return step(
        s.editing,
        guard("conflict_needs_fresh_read", s.is_fresh),
        guard("change_id_is_looked_for", Not(fact_at(s, HAS_CHANGE, s.held))),
        Not(may_replace(s, s.held, guard)),
        guard("forgetful_history_is_no_conflict", fact_at(s, IS_WHOLE, s.held)),
        told_conflict=True,
        editing=False,
    )


@part.move
def other_put(s: State, pick: Choices, guard: Guards) -> Step:
    """Apply another operator's change."""
    forgets = pick("forgets", bool)
    return step(
        s.store_up,
        s.revision < MAX_REVISION,
        present=True,
        revision=s.revision + 1,
        **_facts_after_other_change(s, guard, forgets, is_tombstone=False),
    )


@part.move
def other_delete(s: State, pick: Choices, guard: Guards) -> Step:
    """Apply another operator's deletion of the service."""
    forgets = pick("forgets", bool)
    return step(
        s.store_up,
        s.present,
        s.revision < MAX_REVISION,
        present=guard("deletion_leaves_tombstone", True, False),
        revision=s.revision + 1,
        **_facts_after_other_change(s, guard, forgets, is_tombstone=True),
    )


def _facts_after_other_change(
    s: State, guard: Guards, forgets: Any, *, is_tombstone: bool
) -> dict[str, Any]:
    """Return the facts of a document after another change, whose bounded history may overflow."""
    carried = And(fact_at(s, HAS_CHANGE, s.revision), Not(forgets))
    history_is_complete = And(fact_at(s, IS_WHOLE, s.revision), Not(forgets))
    return set_facts_at_next(
        s,
        is_tombstone=is_tombstone,
        has_change=guard("document_names_earlier_changes", carried, BoolVal(False)),
        is_whole=If(s.revision == 0, True, history_is_complete),
    )
