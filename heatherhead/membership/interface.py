"""Instances and the network between them, as the other packages see them."""

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
    """What is known of an instance."""

    LIVE = "live"
    SUSPECTED = "suspected"
    LEAVING = "leaving"
    DEAD = "dead"


class LinkKind(StrEnum):
    """How far apart two ends of a link are."""

    ZONE = "zone"
    BETWEEN_ZONES = "between-zones"
    BETWEEN_REGIONS = "between-regions"


class Traffic(StrEnum):
    """What a message is for; each kind has a byte budget of its own."""

    CONTROL = "control"
    MEASURING = "measuring"


@dataclass(frozen=True, slots=True)
class Address:
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Instance:
    """One entry instance; `incarnation` changes with each start of its process."""

    id: str
    incarnation: str
    region: str
    availability_zone: str
    callers: Address
    peers: Address
    operators: Address
    state: InstanceState = InstanceState.LIVE


def link_kind(one: Instance, other: Instance) -> LinkKind:
    """Tell what kind of link joins two instances."""
    if one.region != other.region:
        return LinkKind.BETWEEN_REGIONS
    if one.availability_zone != other.availability_zone:
        return LinkKind.BETWEEN_ZONES
    return LinkKind.ZONE


class MembershipView(Protocol):
    """This instance's view of all instances; views of two instances may differ."""

    own: Instance
    by_id: Mapping[str, Instance]

    def live(self) -> list[Instance]:
        """List the instances that may be given to callers, this one included if live."""
        ...

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of the view."""
        ...


class PeerNetwork(Protocol):
    """Typed messages to other instances over the peer streams.

    Sending never waits: a message goes into a bounded buffer, or is refused.
    """

    def send(self, instance_id: str, message: object, traffic: Traffic) -> bool:
        """Send to one instance; `False` if budget, buffer or membership forbid it."""
        ...

    def neighbours(self) -> list[str]:
        """List the ids of this instance's overlay neighbours."""
        ...

    def subscribe(
        self, message_type: type[MessageT], handler: Callable[[str, MessageT], None]
    ) -> None:
        """Call `handler(sender_id, message)` for each message of a type."""
        ...
