"""Chooses the homes of a region: the few instances to which its callers are sent.

A few instances that see all calls of a region count the calls at its upstreams nearly exactly, read
the upstreams' loads once for all instances, and keep few connections. Address answers spread the
callers over them. Any other instance still serves the calls that reach it, so differing views of
the homes cost performance only.

The ranking is weighted rendezvous hashing (Thaler and Ravishankar, 1998), best of each zone first.
"""

from __future__ import annotations

import hashlib
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from heatherhead.fleet.members import Member

__all__ = [
    "MIN_HOMES_PER_REGION",
    "choose_homes",
    "hash_of",
    "home_count",
    "rank_members",
    "relative_size",
]

CALLS_PER_S_PER_HOME = 150  # at 1.4 ms of CPU a call, half of an instance's 0.43 of a core
SHRINK_LOAD_FRACTION = 0.6  # of the capacity with one home less; hysteresis against load swings
# More would contend for the same slots; a lost home is replaced by the next one within a second.
MIN_HOMES_PER_REGION = 2
FULL_SIZE_CPU_CORES = 1.0  # larger instances are not preferred any further
FULL_SIZE_LINK_MBPS = 50.0  # enough for the uploads of a region
SIZE_WEIGHT_EXPONENT = 8  # at half the size, 1/256: rarely a home beside larger instances
HASH_RANGE = 2.0**64


def rank_members(members: Iterable[Member], region: str) -> list[Member]:
    """Rank a region's members: the best of each zone first, then the second best of each."""
    by_zone: dict[str, list[Member]] = {}
    for member in members:
        if member.region == region:
            by_zone.setdefault(member.availability_zone, []).append(member)
    for zone_members in by_zone.values():
        zone_members.sort(key=_rendezvous_score, reverse=True)
    ranked = []
    depth = max((len(each) for each in by_zone.values()), default=0)
    for position in range(depth):
        row_members = [each[position] for each in by_zone.values() if position < len(each)]
        ranked.extend(sorted(row_members, key=_rendezvous_score, reverse=True))
    return ranked


def choose_homes(
    members: Iterable[Member], region: str, unusable: Collection[str], count: int
) -> list[Member]:
    """Return the first `count` members of a region's ranking that are not `unusable`."""
    ranked = [each for each in rank_members(members, region) if each.id not in unusable]
    return ranked[:count]


def home_count(current_count: int, zones: int, calls_per_s: float) -> int:
    """Return the number of homes for a load; it grows immediately and shrinks one by one."""
    minimum = max(MIN_HOMES_PER_REGION, zones)
    needed = max(minimum, math.ceil(calls_per_s / CALLS_PER_S_PER_HOME))
    if needed >= current_count:
        return needed
    if calls_per_s < SHRINK_LOAD_FRACTION * (current_count - 1) * CALLS_PER_S_PER_HOME:
        return max(minimum, current_count - 1)
    return max(minimum, current_count)


def hash_of(text: str) -> int:
    """Return a hash below `HASH_RANGE`, the same on every instance."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def relative_size(member: Member) -> float:
    """Return the relative size of an instance, 1.0 for a full-size one."""
    return min(1.0, member.cpu_cores / FULL_SIZE_CPU_CORES, member.link_mbps / FULL_SIZE_LINK_MBPS)


def _rendezvous_score(member: Member) -> float:
    uniform = (hash_of(member.id) + 1) / (HASH_RANGE + 2)
    return -(relative_size(member) ** SIZE_WEIGHT_EXPONENT) / math.log(uniform)
