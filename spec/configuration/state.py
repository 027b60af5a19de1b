"""State of the configuration, and conditions that several moves share."""

from __future__ import annotations

from typing import Any

from z3 import And, BoolVal, If, Or

from spec.model import Count, Part, State

__all__ = ["MAX_REVISION", "REVISIONS", "at", "at_next", "part", "stored_revision"]

MAX_REVISION = 4
REVISIONS = range(MAX_REVISION + 1)

# Facts of each revision of the document; revision 0 is its absence.
IS_TOMBSTONE = "is_tombstone"
HAS_CHANGE = "has_change"  # the change is the document's last one or in its history
IS_WHOLE = "is_whole"  # the history has forgotten nothing that matters here
WRITE_SENT = "write_sent"  # a write of the change was sent, to replace this revision

part = Part(
    name="configuration",
    depth=9,
    kind_by_name={
        # the store
        "store_up": bool,
        "present": bool,
        "revision": Count(MAX_REVISION),
        "times_applied": Count(2),
        "applied_at": Count(MAX_REVISION),
        # the editor of the change
        "asked": bool,
        "editing": bool,
        "expected": Count(MAX_REVISION),
        "held": Count(MAX_REVISION),
        "is_fresh": bool,
        "told_accepted": bool,
        "told_conflict": bool,
        # an instance in service, one that lags behind it, and one that starts
        "applied": Count(MAX_REVISION),
        "highest_applied": Count(MAX_REVISION),
        "lagging": Count(MAX_REVISION),
        "new_starts": bool,
        "new_is_whole": bool,
        "new_applied": Count(MAX_REVISION),
        "new_heard": Count(MAX_REVISION),
        "new_serves": bool,
        "in_force_at_start": Count(MAX_REVISION),
        "served_below_heard": bool,
        "new_reverted": bool,
    },
    start={
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
        part.start[f"{_fact}_{_revision}"] = _fact == IS_WHOLE and _revision == 0


def at(s: State, fact: str, revision: Any) -> Any:
    """Read a fact of a revision."""
    return Or([And(revision == each, s.by_name[f"{fact}_{each}"]) for each in REVISIONS])


def set_at(s: State, fact: str, revision: Any, value: Any) -> dict[str, Any]:
    """Set a fact of a revision; for use in the new values of a move."""
    if isinstance(value, bool):
        value = BoolVal(value)
    names = {each: f"{fact}_{each}" for each in REVISIONS}
    return {name: If(revision == each, value, s.by_name[name]) for each, name in names.items()}


def at_next(s: State, **value_by_fact: Any) -> dict[str, Any]:
    """Set facts of the revision that comes next."""
    values: dict[str, Any] = {}
    for fact, value in value_by_fact.items():
        values |= set_at(s, fact, s.revision + 1, value)
    return values


def stored_revision(s: State) -> Any:
    """Give the revision that the store compares with; 0 for an absent key."""
    return If(s.present, s.revision, 0)
