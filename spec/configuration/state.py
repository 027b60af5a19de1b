"""State of the configuration, and conditions that several moves share."""

from __future__ import annotations

from typing import Any

from z3 import And, BoolVal, If, Or

from spec.model import BoundedInt, Part, State

__all__ = ["MAX_REVISION", "REVISIONS", "fact_at", "part", "set_facts_at_next", "stored_revision"]

MAX_REVISION = 4
REVISIONS = range(MAX_REVISION + 1)

# Facts of each revision of the document; revision 0 stands for an absent document.
IS_TOMBSTONE = "is_tombstone"
HAS_CHANGE = "has_change"  # the change is the document's last one or in its history
IS_WHOLE = "is_whole"  # the history is complete as far as the change is concerned
WRITE_SENT = "write_sent"  # a write of the change was sent to replace this revision

part = Part(
    name="configuration",
    depth=9,
    kind_by_name={
        # the store
        "store_up": bool,
        "present": bool,
        "revision": BoundedInt(MAX_REVISION),
        "times_applied": BoundedInt(2),
        "applied_at": BoundedInt(MAX_REVISION),
        # the editor of the change
        "asked": bool,
        "editing": bool,
        "expected": BoundedInt(MAX_REVISION),
        "held": BoundedInt(MAX_REVISION),
        "is_fresh": bool,
        "told_accepted": bool,
        "told_conflict": bool,
        # an instance in service, one that lags behind it, and one that starts
        "applied": BoundedInt(MAX_REVISION),
        "highest_applied": BoundedInt(MAX_REVISION),
        "lagging": BoundedInt(MAX_REVISION),
        "new_starts": bool,
        "new_is_whole": bool,
        "new_applied": BoundedInt(MAX_REVISION),
        "new_heard": BoundedInt(MAX_REVISION),
        "new_serves": bool,
        "in_force_at_start": BoundedInt(MAX_REVISION),
        "served_below_heard": bool,
        "new_reverted": bool,
    },
    initial_values={
        "store_up": True,
        "present": False,
        "revision": 0,
        "times_applied": 0,
        "applied_at": 0,
        "asked": False,
        "editing": False,
        "expected": 0,
        "held": 0,
        "is_fresh": False,
        "told_accepted": False,
        "told_conflict": False,
        "applied": 0,
        "highest_applied": 0,
        "lagging": 0,
        "new_starts": False,
        "new_is_whole": False,
        "new_applied": 0,
        "new_heard": 0,
        "new_serves": False,
        "in_force_at_start": 0,
        "served_below_heard": False,
        "new_reverted": False,
    },
)
for _fact in (IS_TOMBSTONE, HAS_CHANGE, IS_WHOLE, WRITE_SENT):
    for _revision in REVISIONS:
        part.kind_by_name[f"{_fact}_{_revision}"] = bool
        part.initial_values[f"{_fact}_{_revision}"] = _fact == IS_WHOLE and _revision == 0


def fact_at(s: State, fact: str, revision: Any) -> Any:
    """Return a fact of a revision."""
    return Or([And(revision == each, s.by_name[f"{fact}_{each}"]) for each in REVISIONS])


def set_fact_at(s: State, fact: str, revision: Any, value: Any) -> dict[str, Any]:
    """Return the updates of a move that set a fact of a revision."""
    if isinstance(value, bool):
        value = BoolVal(value)
    names = {each: f"{fact}_{each}" for each in REVISIONS}
    return {name: If(revision == each, value, s.by_name[name]) for each, name in names.items()}


def set_facts_at_next(s: State, **value_by_fact: Any) -> dict[str, Any]:
    """Return the updates of a move that set facts of the next revision."""
    values: dict[str, Any] = {}
    for fact, value in value_by_fact.items():
        values |= set_fact_at(s, fact, s.revision + 1, value)
    return values


def stored_revision(s: State) -> Any:
    """Return the revision that the store compares with; 0 for an absent document."""
    return If(s.present, s.revision, 0)
