"""Answers callers' requests for addresses with the homes of their region.

Only instances that are known to run are named. An instance that knows of no home, as for a moment
after its start, names itself.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from heatherhead.telemetry.bounded_logs import log_routine

if TYPE_CHECKING:
    from heatherhead.entry.settings import HostPort
    from heatherhead.fleet.home_view import HomeView
    from heatherhead.fleet.members import MemberTable

__all__ = ["AddressAnswer", "AddressBook", "create_address_book"]

# Even if an answer is kept for three TTLs, a leaving instance is unused before its grace ends.
ADDRESS_TTL_S = 2.0
OWN_ADDRESS_TTL_S = 0.5  # homes are usually known by then


@dataclass(frozen=True, slots=True)
class AddressAnswer:
    """Where a caller may connect, and for how long it may use that."""

    addresses: list[HostPort]
    ttl_s: float


class AddressBook:
    """Selects the homes that are returned to a caller."""

    def __init__(self, members: MemberTable, homes: HomeView, ttl_max_s: float) -> None:
        self._members = members
        self._homes = homes
        self._ttl_max_s = ttl_max_s

    def answer(self, region: str) -> AddressAnswer | None:
        """Return the addresses for a caller of a region, `None` if none is known to serve it."""
        own = self._members.own
        homes = self._homes.homes()
        if region and region != own.region:
            # The caller got no answer in its own region, so a home of this region is added.
            homes = [*self._homes.heard_homes_of(region), *homes[:1]]
        ttl_s = ADDRESS_TTL_S
        if not homes and self._homes.own_ready:
            homes, ttl_s = [own], OWN_ADDRESS_TTL_S
        log_routine(
            "addresses",
            region=region,
            named=",".join(home.id for home in homes),
            heard_s=f"{max(map(self._homes.heard_age_s, homes), default=0.0):.2f}",
        )
        if not homes:
            return None
        return AddressAnswer([home.callers for home in homes], min(ttl_s, self._ttl_max_s))


def create_address_book(members: MemberTable, homes: HomeView, ttl_max_s: float) -> AddressBook:
    """Create the address book of an instance."""
    return AddressBook(members, homes, ttl_max_s)
