"""The types through which other packages use membership and the peer network."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Protocol, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

__all__ = [
    "Address",
    "Instance",
    "InstanceState",
    "LinkKind",
    "MembershipView",
    "PeerNetwork",
    "Traffic",
    "link_kind",
]

MessageT = TypeVar("MessageT")


class InstanceState(StrEnum):
    """State of an instance in the member table."""

    LIVE = "live"
    SUSPECTED = "suspected"
    LEAVING = "leaving"
    DEAD = "dead"


class LinkKind(StrEnum):
    """Distance between the two ends of a link."""

    ZONE = "zone"
    BETWEEN_ZONES = "between-zones"
    BETWEEN_REGIONS = "between-regions"


class Traffic(StrEnum):
    """Kind of peer traffic; each kind has its own byte budget.

    `CONTROL` is membership and configuration, `MEASURING` is load and upstream state.
    """

    CONTROL = "control"
    MEASURING = "measuring"


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Instance:
    """One instance of the load balancer; each start of its process has a new `incarnation`."""

    id: str
    incarnation: str
    region: str
    availability_zone: str
    callers: Address
    peers: Address
    operators: Address
    state: InstanceState = InstanceState.LIVE


def link_kind(one: Instance, other: Instance) -> LinkKind:
    """Return the kind of link between two instances."""
    if one.region != other.region:
        return LinkKind.BETWEEN_REGIONS
    if one.availability_zone != other.availability_zone:
        return LinkKind.BETWEEN_ZONES
    return LinkKind.ZONE


class MembershipView(Protocol):
    """This instance's view of the fleet; the views of two instances may differ."""

    own: Instance
    by_id: Mapping[str, Instance]

    def live(self) -> list[Instance]:
        """List the instances that may be given to callers, this one included if live."""
        ...

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of the view."""
        ...


class PeerNetwork(Protocol):
    """Sends typed messages to other instances over the peer streams.

    Sending never blocks: a message enters a bounded buffer or is refused.
    """

    def send(self, instance_id: str, message: object, traffic: Traffic) -> bool:
        """Send to one instance; return `False` if budget, buffer or membership forbid it."""
        ...

    def neighbours(self) -> list[str]:
        """List the ids of this instance's overlay neighbours."""
        ...

    def subscribe(
        self, message_type: type[MessageT], handler: Callable[[str, MessageT], None]
    ) -> None:
        """Call `handler(sender_id, message)` for each message of a type."""
        ...
