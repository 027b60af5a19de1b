"""Invariants of the configuration, and the lemmas that make them inductive."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from z3 import And, Implies, Not, Or

from spec.configuration.editor import may_replace
from spec.configuration.state import HAS_CHANGE, IS_WHOLE, REVISIONS, WRITE_SENT, fact_at, part
from spec.model import Guards

if TYPE_CHECKING:
    from spec.model import State

__all__: list[str] = []


@part.invariant
def change_is_applied_once(s: State) -> Any:
    """A change takes effect at most once, however often it is requested."""
    return s.times_applied <= 1


@part.invariant
def accepted_is_told_truly(s: State) -> Any:
    """A change that was reported as accepted took effect."""
    return Implies(s.told_accepted, s.times_applied >= 1)


@part.invariant
def conflict_is_told_truly(s: State) -> Any:
    """A change that was reported as a conflict did not take effect, and never will."""
    return Implies(s.told_conflict, s.times_applied == 0)


@part.invariant
def applied_revision_never_reverts(s: State) -> Any:
    """No instance reverts to an earlier revision."""
    return And(s.applied == s.highest_applied, Not(s.new_reverted))


@part.invariant
def new_instance_serves_what_was_in_force(s: State) -> Any:
    """A new instance serves nothing older than the revision in force everywhere at its start."""
    return Implies(s.new_serves, s.new_applied >= s.in_force_at_start)


@part.invariant
def new_instance_begins_at_the_highest_heard(s: State) -> Any:
    """No instance starts to serve while it knows of a newer revision."""
    return Not(s.served_below_heard)


@part.lemma
def documents_exist_up_to_the_revision(s: State) -> Any:
    """No state refers to a revision that does not exist yet."""
    bounds = [each <= s.revision for each in (s.applied, s.new_applied, s.applied_at)]
    held = Implies(s.editing, s.held <= s.revision)
    sent = [Implies(s.by_name[f"{WRITE_SENT}_{each}"], each <= s.revision) for each in REVISIONS]
    lagging = And(s.in_force_at_start <= s.lagging, s.lagging <= s.applied)
    return And(s.present == (s.revision > 0), *bounds, *sent, lagging, held)


@part.lemma
def editor_holds_what_was(s: State) -> Any:
    """After a fresh read, no write was sent to replace a revision newer than the one read."""
    sent = [Implies(s.by_name[f"{WRITE_SENT}_{each}"], each <= s.held) for each in REVISIONS]
    return And(Implies(And(s.editing, s.is_fresh), And(*sent)), Implies(s.editing, s.asked))


@part.lemma
def writes_replace_what_they_may(s: State) -> Any:
    """Writes were only sent to replace revisions that the change may replace."""
    guard = Guards()
    return And(
        [
            Implies(
                s.by_name[f"{WRITE_SENT}_{each}"],
                And(
                    s.asked,
                    may_replace(s, s.held * 0 + each, guard),
                    Not(fact_at(s, HAS_CHANGE, each)),
                ),
            )
            for each in REVISIONS
        ]
    )


@part.lemma
def history_remembers_or_says_so(s: State) -> Any:
    """A document after the change either names it or marks its history as incomplete."""
    applied = s.times_applied == 1
    facts = []
    for each in REVISIONS:
        has_change = s.by_name[f"{HAS_CHANGE}_{each}"]
        is_whole = s.by_name[f"{IS_WHOLE}_{each}"]
        later = And(applied, s.applied_at <= each, each <= s.revision)
        facts.append(Implies(later, Or(has_change, Not(is_whole))))
        facts.append(Implies(has_change, And(applied, s.applied_at <= each)))
        facts.append(Implies(And(applied, s.by_name[f"{WRITE_SENT}_{each}"]), each < s.applied_at))
    return And(*facts, Implies(applied, And(s.expected < s.applied_at, s.asked)))


@part.lemma
def overtaken_change_can_not_return(s: State) -> Any:
    """After a reported conflict, no write that was sent can match the stored revision."""
    sent = [Implies(s.by_name[f"{WRITE_SENT}_{each}"], each < s.revision) for each in REVISIONS]
    ended = And(s.asked, Not(s.editing), s.times_applied == 0)
    return Implies(s.told_conflict, And(ended, *sent))


@part.lemma
def change_replaced_what_it_was_sent_for(s: State) -> Any:
    """The write that took effect was sent to replace the preceding revision."""
    sent = fact_at(s, WRITE_SENT, s.applied_at - 1)
    return Implies(s.times_applied == 1, And(s.applied_at >= 1, sent))


@part.lemma
def whole_instance_holds_what_was_in_force(s: State) -> Any:
    """A complete snapshot is no older than the revision in force at the start of the instance."""
    return Implies(s.new_is_whole, s.new_applied >= s.in_force_at_start)
