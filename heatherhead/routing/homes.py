"""The home instances of each service in each region."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from heatherhead.routing.interface import Home
from heatherhead.routing.rendezvous import score

if TYPE_CHECKING:
    from collections.abc import Callable

    from heatherhead.membership.interface import Instance, MembershipView

__all__ = ["RendezvousHomes", "create_home_sets"]


class RendezvousHomes:
    """Homes by rendezvous over the live instances, taken from the zones in turn.

    Rankings are cached until the view of the instances changes.
    """

    def __init__(
        self,
        membership: MembershipView,
        count: Callable[[str, str], int],
        weight: Callable[[str, str], float],
    ) -> None:
        self._membership = membership
        self._count = count
        self._weight = weight
        self._ranking_by_key: dict[tuple[str, str], list[Instance]] = {}
        self._live_by_region: dict[str, list[Instance]] | None = None
        membership.subscribe(self._forget)

    def homes(self, service: str, region: str) -> list[Home]:
        """List the homes of a service in a region, best first."""
        ranking = self.ranking(service, region)
        chosen = ranking[: self._count(service, region)]
        return [Home(each, self._weight(service, each.id)) for each in chosen]

    def home_ids(self, service: str, region: str) -> list[str]:
        """List the ids of the homes, best first."""
        return [each.id for each in self.ranking(service, region)[: self._count(service, region)]]

    def ranking(self, service: str, region: str) -> list[Instance]:
        """Rank the live instances of a region for a service, zones in turn."""
        key = (service, region)
        ranking = self._ranking_by_key.get(key)
        if ranking is None:
            ranking = _spread(service, self._live(region))
            self._ranking_by_key[key] = ranking
        return ranking

    def _live(self, region: str) -> list[Instance]:
        if self._live_by_region is None:
            self._live_by_region = {}
            for each in self._membership.live():
                self._live_by_region.setdefault(each.region, []).append(each)
        return self._live_by_region.get(region, [])

    def _forget(self) -> None:
        self._ranking_by_key.clear()
        self._live_by_region = None


def _spread(service: str, instances: list[Instance]) -> list[Instance]:
    """Order instances by score, taking the best of each availability zone in turn."""
    by_zone: dict[str, list[tuple[float, str, Instance]]] = {}
    for each in instances:
        zone = by_zone.setdefault(each.availability_zone, [])
        zone.append((score(service, each.id), each.id, each))
    queues = []
    for zone, scored in by_zone.items():
        scored.sort(key=lambda item: item[:2], reverse=True)
        queues.append((score(service, zone), deque(item[2] for item in scored)))
    queues.sort(key=lambda item: item[0], reverse=True)
    ordered: list[Instance] = []
    while queues:
        for _, queue in queues:
            ordered.append(queue.popleft())
        queues = [item for item in queues if item[1]]
    return ordered


def _two_homes(_service: str, _region: str) -> int:
    return 2


def _equal_weight(_service: str, _instance_id: str) -> float:
    return 1.0


def create_home_sets(
    membership: MembershipView,
    count: Callable[[str, str], int] = _two_homes,
    weight: Callable[[str, str], float] = _equal_weight,
) -> RendezvousHomes:
    """Create home sets; `count` sizes them and `weight` weighs a home in the answers."""
    return RendezvousHomes(membership, count, weight)
