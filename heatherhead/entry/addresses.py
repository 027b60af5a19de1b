"""Tells callers which instances to use."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from heatherhead.entry.settings import HostPort
    from heatherhead.fleet.members import MemberTable

__all__ = ["AddressBook", "create_address_book"]

TTL_S = 2.0  # an instance that leaves is out of use within its grace, also where kept three times


class AddressBook:
    """Answers with the instances of the caller's region."""

    def __init__(self, members: MemberTable, ttl_max_s: float) -> None:
        self._members = members
        self.ttl_s = min(TTL_S, ttl_max_s)

    def addresses(self, region: str, zone: str) -> list[HostPort]:
        """List the addresses for a caller."""
        members = [each for each in self._members.by_id.values() if each.ready]
        near = [each for each in members if each.region == region]
        return [each.callers for each in near or members]


def create_address_book(members: MemberTable, ttl_max_s: float) -> AddressBook:
    """Create the address book of an instance."""
    return AddressBook(members, ttl_max_s)
