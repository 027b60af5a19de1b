"""The sparse overlay: which instances hold a permanent stream to each other.

Each instance computes its neighbours from its own view. Within a region every instance is on
three rings. The first is ordered by zone, which gives cheap links and a path through the instances
of each zone. The other two are in independent hash orders; their links between zones keep the
region connected when a zone or a rack fails. Each pair of regions is connected by
`LINKS_PER_REGION_PAIR` links, whose ends are in different zones where a region has several.
"""

from __future__ import annotations

from collections import defaultdict
from functools import lru_cache
from hashlib import blake2b
from itertools import chain, zip_longest
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from heatherhead.membership.interface import Instance

__all__ = ["LINKS_PER_REGION_PAIR", "overlay_neighbours"]

LINKS_PER_REGION_PAIR = 2
HASH_CACHE_ENTRIES = 16_384


def overlay_neighbours(own: Instance, members: Iterable[Instance]) -> list[str]:
    """List the ids of `own`'s neighbours among all members, sorted."""
    by_region: dict[str, list[Instance]] = defaultdict(list)
    for each in members:
        if each.id != own.id:
            by_region[each.region].append(each)
    by_region[own.region].append(own)
    chosen = set(_ring_neighbours(own, by_region[own.region]))
    chosen.update(_cross_region_neighbours(own, by_region))
    return sorted(chosen)


def _ring_neighbours(own: Instance, region: list[Instance]) -> Iterable[str]:
    for order in (_zone_order, _first_order, _second_order):
        ring = sorted(region, key=order)
        position = ring.index(own)
        for neighbour in (ring[position - 1], ring[(position + 1) % len(ring)]):
            if neighbour.id != own.id:
                yield neighbour.id


def _cross_region_neighbours(own: Instance, by_region: dict[str, list[Instance]]) -> Iterable[str]:
    regions = sorted(by_region)
    for other in regions:
        if other == own.region:
            continue
        own_gateways = _gateways(own.region, other, by_region, regions)
        if own.id not in own_gateways:
            continue
        other_gateways = _gateways(other, own.region, by_region, regions)
        for own_gateway, other_gateway in zip(own_gateways, other_gateways, strict=True):
            if own_gateway == own.id:
                yield other_gateway


def _gateways(
    region: str, other: str, by_region: dict[str, list[Instance]], regions: list[str]
) -> list[str]:
    """List the instances of `region` that hold its links to `other`, alternating between zones."""
    ranked = _interleave_zones(by_region[region])
    first = [each for each in regions if each != region].index(other) * LINKS_PER_REGION_PAIR
    return [ranked[(first + number) % len(ranked)].id for number in range(LINKS_PER_REGION_PAIR)]


def _interleave_zones(region: list[Instance]) -> list[Instance]:
    by_zone: dict[str, list[Instance]] = defaultdict(list)
    for each in sorted(region, key=_gateway_order):
        by_zone[each.availability_zone].append(each)
    rounds = zip_longest(*(by_zone[zone] for zone in sorted(by_zone)))
    return [each for each in chain.from_iterable(rounds) if each is not None]


def _zone_order(instance: Instance) -> tuple[str, int]:
    return instance.availability_zone, _hash("zone", instance.id)


def _first_order(instance: Instance) -> int:
    return _hash("first", instance.id)


def _second_order(instance: Instance) -> int:
    return _hash("second", instance.id)


def _gateway_order(instance: Instance) -> int:
    return _hash("gateway", instance.id)


@lru_cache(maxsize=HASH_CACHE_ENTRIES)
def _hash(order: str, instance_id: str) -> int:
    digest = blake2b(f"{order}\0{instance_id}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
