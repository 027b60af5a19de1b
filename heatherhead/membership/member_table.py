"""The table of known instances, and the order that decides which report is newer."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, replace
from functools import reduce
from hashlib import blake2b
from operator import xor
from typing import TYPE_CHECKING

from heatherhead.membership.interface import Instance, InstanceState

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["MEMBER_BUCKETS", "Member", "MemberTable", "create_member_table"]

MEMBER_BUCKETS = 32
MAX_MEMBERS = 8_192

_STATE_RANK = {
    InstanceState.LIVE: 0,
    InstanceState.LEAVING: 1,
    InstanceState.SUSPECTED: 2,
    InstanceState.DEAD: 3,
}


@dataclass(frozen=True, slots=True)
class Member:
    """An instance as reported at one sequence number.

    Only the instance itself raises its sequence, for example to refute a report; its peers can
    only report a worse state at the same sequence. Sequence 0 marks an entry that comes from the
    instance list alone, as no peer has connected to the instance yet.
    """

    instance: Instance
    sequence: int

    @property
    def id(self) -> str:
        """Return the instance's id."""
        return self.instance.id

    @property
    def state(self) -> InstanceState:
        """Return the instance's state."""
        return self.instance.state

    def is_newer_than(self, other: Member) -> bool:
        """Return whether this report replaces another of the same instance."""
        return self._order > other._order

    @property
    def _order(self) -> tuple[int, int, str]:
        return self.sequence, _STATE_RANK[self.instance.state], self.instance.incarnation


class MemberTable:
    """Merges reports; the same reports in any order give the same table."""

    def __init__(self, own: Instance) -> None:
        self.own_id = own.id
        self.by_id: dict[str, Member] = {own.id: Member(own, 1)}
        self.hashes = [0] * MEMBER_BUCKETS
        self._listeners: list[Callable[[Member], None]] = []
        self._removal_listeners: list[Callable[[str], None]] = []
        self._toggle_hash(self.own)

    @property
    def own(self) -> Member:
        """Return this instance's own entry."""
        return self.by_id[self.own_id]

    def merge(self, report: Member) -> bool:
        """Apply a report if it is newer; return whether the table changed.

        A report about this instance is refuted with a higher sequence. A leaving state of the
        current incarnation is adopted instead, because it comes from the platform's list.
        """
        if report.id == self.own_id:
            return self._refute(report)
        held = self.by_id.get(report.id)
        if held is not None and not report.is_newer_than(held):
            return False
        if held is None and len(self.by_id) >= MAX_MEMBERS:
            return False
        self._store(report)
        return True

    def report_state(self, instance_id: str, state: InstanceState) -> bool:
        """Set the state of another instance at its current sequence; return whether it changed."""
        held = self.by_id.get(instance_id)
        if held is None or instance_id == self.own_id:
            return False
        return self.merge(Member(replace(held.instance, state=state), held.sequence))

    def set_own(self, own: Instance) -> None:
        """Change this instance's own entry."""
        self._store(Member(own, self.own.sequence + 1))

    def remove(self, instance_id: str) -> None:
        """Remove an entry."""
        member = self.by_id.pop(instance_id, None)
        if member is None:
            return
        self._toggle_hash(member)
        for listener in self._removal_listeners:
            listener(instance_id)

    def members_in_buckets(self, numbers: set[int]) -> list[Member]:
        """List the entries of the given buckets, without those of sequence 0."""
        return [
            each for each in self.by_id.values() if each.sequence and _bucket(each.id) in numbers
        ]

    @property
    def total_hash(self) -> int:
        """Return one hash over all entries, without those of sequence 0."""
        return reduce(xor, self.hashes)

    def subscribe(self, listener: Callable[[Member], None]) -> None:
        """Call `listener` with each changed entry."""
        self._listeners.append(listener)

    def on_removed(self, listener: Callable[[str], None]) -> None:
        """Call `listener` with the id of each removed entry."""
        self._removal_listeners.append(listener)

    def _refute(self, report: Member) -> bool:
        is_own_entry = report.instance == self.own.instance
        if report.sequence < self.own.sequence or (
            is_own_entry and report.sequence == self.own.sequence
        ):
            return False
        is_leaving = report.state is InstanceState.LEAVING
        if is_leaving and report.instance.incarnation == self.own.instance.incarnation:
            self._store(Member(report.instance, report.sequence + 1))
        else:
            self._store(Member(self.own.instance, report.sequence + 1))
        return True

    def _store(self, member: Member) -> None:
        held = self.by_id.get(member.id)
        if held is not None:
            self._toggle_hash(held)
        self.by_id[member.id] = member
        self._toggle_hash(member)
        for listener in self._listeners:
            listener(member)

    def _toggle_hash(self, member: Member) -> None:
        if member.sequence:
            self.hashes[_bucket(member.id)] ^= _hash(member)


def _bucket(instance_id: str) -> int:
    return zlib.crc32(instance_id.encode()) % MEMBER_BUCKETS


def _hash(member: Member) -> int:
    instance = member.instance
    text = f"{instance.id}\0{instance.incarnation}\0{member.sequence}\0{instance.state}"
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def create_member_table(own: Instance) -> MemberTable:
    """Create a table with this instance as its only entry."""
    return MemberTable(own)
