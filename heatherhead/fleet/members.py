"""The instances that serve callers, as they announced themselves in the store."""

from __future__ import annotations

import math
from dataclasses import dataclass
from ipaddress import IPv4Address
from typing import TYPE_CHECKING

import msgpack

from heatherhead.entry.settings import HostPort
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from heatherhead.entry.settings import EntrySettings

__all__ = ["MEMBER_PREFIX", "Member", "MemberTable", "create_member_table", "own_member"]

MEMBER_PREFIX = "heatherhead/instances/"
MAX_PORT = 65_535


@dataclass(frozen=True, slots=True)
class Member:
    """One instance; `incarnation` distinguishes its restarts."""

    id: str
    incarnation: str
    availability_zone: str
    region: str
    callers: HostPort
    peer_port: int
    cpu_cores: float
    link_mbps: float
    ready: bool = True

    @property
    def peer_address(self) -> HostPort:
        """Return the address for datagrams and relay streams."""
        return HostPort(self.callers.host, self.peer_port)

    def encode(self) -> bytes:
        """Encode the announcement for the store."""
        packed: bytes = msgpack.packb(
            [
                self.id,
                self.incarnation,
                self.availability_zone,
                self.region,
                self.callers.host,
                self.callers.port,
                self.peer_port,
                self.cpu_cores,
                self.link_mbps,
                self.ready,
            ]
        )
        return packed


def decode_member(value: bytes) -> Member | None:
    """Decode an announcement; None for one in another version's format."""
    try:
        row = msgpack.unpackb(value)
        name, incarnation, zone, region, host, port, peer_port, cores, mbps, ready = row
        return Member(
            str(name),
            str(incarnation),
            str(zone),
            str(region),
            HostPort(str(IPv4Address(host)), _port(port)),
            _port(peer_port),
            _positive(cores),
            _positive(mbps),
            bool(ready),
        )
    except (ValueError, TypeError, ArithmeticError, LookupError, msgpack.UnpackException) as error:
        log_event("member_refused", reason=type(error).__name__)
        return None


def _port(number: int) -> int:
    if not 0 < int(number) <= MAX_PORT:
        raise ValueError(f"{int(number)} is no port")
    return int(number)


def _positive(number: float) -> float:
    if not 0.0 < float(number) < math.inf:
        raise ValueError("it is no positive number")
    return float(number)


class MemberTable:
    """Members by id, each as of the newest revision of its key."""

    def __init__(self, own: Member) -> None:
        self.own = own
        self.by_id: dict[str, Member] = {own.id: own}
        self._revision_by_id: dict[str, int] = {}

    @property
    def own_listed(self) -> bool:
        """Return whether this instance is among the members, so that it may be a home."""
        return self.own.id in self.by_id

    def add_own(self) -> None:
        """Add this instance to the members."""
        self.by_id[self.own.id] = self.own

    def remove_own(self) -> None:
        """Remove this instance from the members: it is on standby."""
        self.by_id.pop(self.own.id, None)

    def put(self, member: Member, revision: int) -> None:
        """Apply an announcement; this instance's own entry is not replaced."""
        if member.id == self.own.id or revision < self._revision_by_id.get(member.id, 0):
            return
        self._revision_by_id[member.id] = revision
        self.by_id[member.id] = member

    def remove(self, member_id: str, revision: int) -> None:
        """Remove an instance whose announcement was removed."""
        if member_id == self.own.id or revision < self._revision_by_id.get(member_id, 0):
            return
        self._revision_by_id[member_id] = revision
        self.by_id.pop(member_id, None)


def own_member(settings: EntrySettings, incarnation: str) -> Member:
    """Return the member that describes this instance."""
    return Member(
        settings.instance,
        incarnation,
        settings.availability_zone,
        settings.region,
        settings.callers,
        settings.peer_port,
        settings.cpu_cores,
        settings.link_mbps,
    )


def create_member_table(own: Member) -> MemberTable:
    """Create a table that holds this instance."""
    return MemberTable(own)
