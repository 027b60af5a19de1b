"""Answers callers' requests for addresses with the homes of their region."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from heatherhead.entry.settings import HostPort
    from heatherhead.fleet.home_view import HomeView
    from heatherhead.fleet.members import MemberTable

__all__ = ["AddressBook", "create_address_book"]

# Even if an answer is kept for three TTLs, a leaving instance is unused before its grace ends.
ADDRESS_TTL_S = 2.0


class AddressBook:
    """Selects the homes that are returned to a caller."""

    def __init__(self, members: MemberTable, homes: HomeView, ttl_max_s: float) -> None:
        self._members = members
        self._homes = homes
        self.ttl_s = min(ADDRESS_TTL_S, ttl_max_s)

    def addresses(self, region: str) -> list[HostPort]:
        """List the addresses for a caller of a region; there is at least one."""
        own = self._members.own
        if region == own.region or not region:
            homes = self._homes.homes()
        else:
            # The caller got no answer in its own region, so a home of this region is added.
            homes = [*self._homes.remote_homes(region), *self._homes.homes()[:1]]
        return [home.callers for home in homes] or [own.callers]


def create_address_book(members: MemberTable, homes: HomeView, ttl_max_s: float) -> AddressBook:
    """Create the address book of an instance."""
    return AddressBook(members, homes, ttl_max_s)
