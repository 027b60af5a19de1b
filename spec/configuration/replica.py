"""Moves of the instances that replicate the configuration."""

from __future__ import annotations

from typing import Any

from z3 import And, If, Not, Or

from spec.configuration.state import MAX_REVISION, part
from spec.model import BoundedInt, Choices, Guards, State, Step, step

__all__: list[str] = []


def _maximum(one: Any, other: Any) -> Any:
    return If(one > other, one, other)


@part.move
def deliver(s: State, pick: Choices, guard: Guards) -> Step:
    """Deliver a document by watch, overlay or repair; it may be an old one."""
    revision = pick("revision", BoundedInt(MAX_REVISION))
    return step(
        revision >= 1,
        Or(revision <= s.applied, And(s.store_up, revision <= s.revision)),
        guard("revision_never_goes_down", revision > s.applied),
        applied=revision,
        highest_applied=_maximum(s.highest_applied, revision),
    )


@part.move
def catch_up(s: State, pick: Choices, guard: Guards) -> Step:
    """Repair the lagging instance from the one that does not lag."""
    revision = pick("revision", BoundedInt(MAX_REVISION))
    return step(revision > s.lagging, revision <= s.applied, lagging=revision)


@part.move
def start_instance(s: State, pick: Choices, guard: Guards) -> Step:
    """Start or restart an instance without any configuration."""
    return step(
        new_starts=True,
        new_is_whole=False,
        new_applied=0,
        new_heard=0,
        new_serves=False,
        in_force_at_start=s.lagging,
    )


@part.move
def hear_revision(s: State, pick: Choices, guard: Guards) -> Step:
    """Learn from a peer which revision the peer has in force."""
    return step(s.new_starts, new_heard=_maximum(s.new_heard, s.applied))


@part.move
def take_snapshot(s: State, pick: Choices, guard: Guards) -> Step:
    """Apply a peer's complete snapshot, made after this instance requested it."""
    revision = pick("revision", BoundedInt(MAX_REVISION))
    applied = guard("snapshot_lowers_nothing", _maximum(s.new_applied, revision), revision)
    return step(
        s.new_starts,
        revision >= 1,
        revision <= s.applied,
        guard("snapshot_answers_this_process", revision >= s.in_force_at_start),
        new_is_whole=True,
        new_applied=applied,
        new_reverted=Or(s.new_reverted, applied < s.new_applied),
        new_heard=_maximum(s.new_heard, revision),
    )


@part.move
def take_record(s: State, pick: Choices, guard: Guards) -> Step:
    """Apply one document from the overlay, while others may still be missing."""
    revision = pick("revision", BoundedInt(MAX_REVISION))
    return step(
        s.new_starts,
        revision <= s.applied,
        revision > s.new_applied,
        new_applied=revision,
        new_heard=_maximum(s.new_heard, revision),
    )


@part.move
def read_store(s: State, pick: Choices, guard: Guards) -> Step:
    """Read the complete configuration from the store, if it is reachable."""
    return step(
        s.new_starts,
        s.store_up,
        new_is_whole=True,
        new_applied=s.revision,
        new_heard=_maximum(s.new_heard, s.revision),
    )


@part.move
def serve(s: State, pick: Choices, guard: Guards) -> Step:
    """Start to offer addresses."""
    return step(
        s.new_starts,
        Not(s.new_serves),
        guard("serves_only_with_snapshot", s.new_is_whole),
        guard("serves_only_at_highest_heard", s.new_applied >= s.new_heard),
        new_serves=True,
        served_below_heard=Or(s.served_below_heard, s.new_applied < s.new_heard),
    )
