"""Encoding of in-flight vectors, which co-homes of a service exchange.

An octet for each upstream holds the calls in flight and a flag, which is set if the upstream is
reserved for suspect calls.
"""

from __future__ import annotations

from hashlib import blake2b
from struct import Struct
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from heatherhead.routing.upstream_state import UpstreamState

__all__ = ["PeerVector", "pack_changes", "signature_of", "unpack_changes", "vector_of"]

COUNT_MASK = 0x7F
RESERVED_FLAG = 0x80
_CHANGE = Struct(">HB")


def signature_of(upstream_ids: Iterable[str]) -> int:
    """Hash a list of upstream ids; vectors are valid only between homes with equal lists."""
    digest = blake2b("\0".join(upstream_ids).encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big")


def pack_changes(before: bytes, after: bytes) -> tuple[bytes, bool]:
    """Pack a complete vector, or only its changes if shorter; the flag is set for changes."""
    if len(before) != len(after):
        return after, False
    changes = [index for index, octet in enumerate(after) if octet != before[index]]
    if len(changes) * _CHANGE.size >= len(after):
        return after, False
    return b"".join(_CHANGE.pack(index, after[index]) for index in changes), True


def unpack_changes(data: bytes, partial: bool) -> Iterator[tuple[int, int]]:
    """Iterate over the indexes and octets of a packed vector; ignores an incomplete change."""
    if not partial:
        return enumerate(data)
    complete_bytes = len(data) - len(data) % _CHANGE.size
    return _CHANGE.iter_unpack(data[:complete_bytes])  # type: ignore[return-value]


class PeerVector:
    """The last vector received from a co-home, which is counted in the upstreams' states."""

    __slots__ = ("received_at", "octets", "signature")

    def __init__(self, size: int, signature: int, now: float) -> None:
        self.octets = bytearray(size)
        self.signature = signature
        self.received_at = now

    def apply(
        self, changes: Iterable[tuple[int, int]], states: list[UpstreamState]
    ) -> list[UpstreamState]:
        """Apply new octets; return the states whose sums changed."""
        changed = []
        for index, octet in changes:
            if index >= len(self.octets) or self.octets[index] == octet:
                continue
            _add(states[index], self.octets[index], -1)
            _add(states[index], octet, 1)
            self.octets[index] = octet
            changed.append(states[index])
        return changed

    def withdraw(self, states: list[UpstreamState]) -> list[UpstreamState]:
        """Subtract the complete vector from the sums; return the states that changed."""
        return self.apply([(index, 0) for index in range(len(self.octets))], states)


def _add(state: UpstreamState, octet: int, sign: int) -> None:
    state.reported_in_flight += sign * (octet & COUNT_MASK)
    state.reported_reservations += sign * bool(octet & RESERVED_FLAG)


def vector_of(states: Iterable[UpstreamState], *, counts: bool) -> bytes:
    """Pack the vector of a list of upstreams, with zero for the calls in flight unless `counts`."""
    return bytes(
        (min(len(each.slot_by_serial), COUNT_MASK) if counts else 0)
        | (RESERVED_FLAG if each.reserved else 0)
        for each in states
    )
