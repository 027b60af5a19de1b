"""What is claimed of the configuration, and facts that make the claims inductive."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from z3 import And, Implies, Not, Or

from spec.configuration.editor import may_replace
from spec.configuration.state import HAS_CHANGE, IS_WHOLE, REVISIONS, WRITE_SENT, at, part
from spec.model import Guards

if TYPE_CHECKING:
    from spec.model import State

__all__: list[str] = []


@part.invariant
def change_is_applied_once(s: State) -> Any:
    """Claim that a change takes effect at most once, however often it is asked for."""
    return s.times_applied <= 1


@part.invariant
def accepted_is_told_truly(s: State) -> Any:
    """Claim that a change told as accepted took effect."""
    return Implies(s.told_accepted, s.times_applied >= 1)


@part.invariant
def conflict_is_told_truly(s: State) -> Any:
    """Claim that a change told as overtaken did not take effect, and never does."""
    return Implies(s.told_conflict, s.times_applied == 0)


@part.invariant
def applied_revision_never_reverts(s: State) -> Any:
    """Claim that no instance goes back to an earlier revision."""
    return And(s.applied == s.highest_applied, Not(s.new_reverted))


@part.invariant
def new_instance_serves_what_was_in_force(s: State) -> Any:
    """Claim that a new instance serves with nothing older than was in force everywhere."""
    return Implies(s.new_serves, s.new_applied >= s.in_force_at_start)


@part.invariant
def new_instance_begins_at_the_highest_heard(s: State) -> Any:
    """Claim that no instance begins to serve while it knows of a newer revision."""
    return Not(s.served_below_heard)


@part.lemma
def documents_exist_up_to_the_revision(s: State) -> Any:
    """State that nothing is known of revisions that are not there yet."""
    bounds = [each <= s.revision for each in (s.applied, s.new_applied, s.applied_at)]
    held = Implies(s.editing, s.held <= s.revision)
    sent = [Implies(s.by_name[f"{WRITE_SENT}_{each}"], each <= s.revision) for each in REVISIONS]
    lagging = And(s.in_force_at_start <= s.lagging, s.lagging <= s.applied)
    return And(s.present == (s.revision > 0), *bounds, *sent, lagging, held)


@part.lemma
def editor_holds_what_was(s: State) -> Any:
    """State that an editor that read the store writes over nothing newer than it read."""
    sent = [Implies(s.by_name[f"{WRITE_SENT}_{each}"], each <= s.held) for each in REVISIONS]
    return And(Implies(And(s.editing, s.is_fresh), And(*sent)), Implies(s.editing, s.asked))


@part.lemma
def writes_replace_what_they_may(s: State) -> Any:
    """State that a write was only sent in place of a revision that it may replace."""
    guard = Guards()
    return And(
        [
            Implies(
                s.by_name[f"{WRITE_SENT}_{each}"],
                And(
                    s.asked, may_replace(s, s.held * 0 + each, guard), Not(at(s, HAS_CHANGE, each))
                ),
            )
            for each in REVISIONS
        ]
    )


@part.lemma
def history_remembers_or_says_so(s: State) -> Any:
    """State that a document after the change names it or admits that it forgets."""
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
    """State that after a conflict no write can match the stored revision any more."""
    sent = [Implies(s.by_name[f"{WRITE_SENT}_{each}"], each < s.revision) for each in REVISIONS]
    ended = And(s.asked, Not(s.editing), s.times_applied == 0)
    return Implies(s.told_conflict, And(ended, *sent))


@part.lemma
def change_replaced_what_it_was_sent_for(s: State) -> Any:
    """State that the write that took effect was sent in place of the revision before."""
    sent = at(s, WRITE_SENT, s.applied_at - 1)
    return Implies(s.times_applied == 1, And(s.applied_at >= 1, sent))


@part.lemma
def whole_instance_holds_what_was_in_force(s: State) -> Any:
    """State that a snapshot is no older than what was in force when it was asked for."""
    return Implies(s.new_is_whole, s.new_applied >= s.in_force_at_start)
