"""The peer messages of membership."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from heatherhead.exceptions import PeerProtocolError
from heatherhead.membership.interface import Address, Instance, InstanceState
from heatherhead.membership.member_table import Member
from heatherhead.membership.messages import peer_message

__all__ = [
    "IndirectProbeAnswer",
    "IndirectProbeRequest",
    "Greeting",
    "Heartbeat",
    "MemberHashes",
    "MemberReports",
    "Ping",
    "Pong",
    "pack_member",
    "unpack_member",
]


@peer_message(1)
@dataclass(frozen=True, slots=True)
class Greeting:
    """The first message from each end of a stream: protocol version and the sender's entry."""

    version: int
    member: list[Any]


@peer_message(2)
@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A heartbeat; `is_neighbour` is true if the receiver is an overlay neighbour of the sender."""

    is_neighbour: bool
    members_hash: int


@peer_message(3)
@dataclass(frozen=True, slots=True)
class MemberReports:
    """Entries of the sender's table that the receiver may lack."""

    members: list[list[Any]]


@peer_message(4)
@dataclass(frozen=True, slots=True)
class MemberHashes:
    """Hashes of the sender's table by bucket; the receiver sends its entries where they differ."""

    hashes: list[int]
    is_answer: bool


@peer_message(5)
@dataclass(frozen=True, slots=True)
class IndirectProbeRequest:
    """Requests an indirect probe: whether a silent instance answers the receiver."""

    instance_id: str
    sequence: int


@peer_message(6)
@dataclass(frozen=True, slots=True)
class IndirectProbeAnswer:
    """Reports the result of an indirect probe."""

    instance_id: str
    sequence: int
    answered: bool


@peer_message(7)
@dataclass(frozen=True, slots=True)
class Ping:
    """Asks for a `Pong`."""


@peer_message(8)
@dataclass(frozen=True, slots=True)
class Pong:
    """Answers a `Ping`."""


def pack_member(member: Member) -> list[Any]:
    """Convert an entry into a list of plain values."""
    each = member.instance
    return [
        each.id,
        each.incarnation,
        member.sequence,
        each.state.value,
        each.region,
        each.availability_zone,
        *_pack_address(each.callers),
        *_pack_address(each.peers),
        *_pack_address(each.operators),
    ]


def unpack_member(values: list[Any]) -> Member:
    """Convert plain values into an entry; raises `PeerProtocolError` if they are malformed."""
    try:
        instance_id, incarnation, sequence, state, region, zone, *addresses = values
        callers, peers, operators = (
            Address(str(addresses[start]), int(addresses[start + 1])) for start in (0, 2, 4)
        )
        texts = [str(each)[:64] for each in (instance_id, incarnation, region, zone)]
        instance = Instance(*texts, callers, peers, operators, InstanceState(state))
        return Member(instance, int(sequence))
    except (ValueError, TypeError, IndexError) as error:
        raise PeerProtocolError(
            f"unreadable report of an instance: {error}", remedy="run the same release everywhere"
        ) from error


def _pack_address(address: Address) -> tuple[str, int]:
    return address.host, address.port
