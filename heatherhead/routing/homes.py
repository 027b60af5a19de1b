"""The home instances of each service in each region.

For each service, the live instances of a region are ranked by rendezvous hashing, the best of each
availability zone in turn; the first ones are the homes. An instance that joins or leaves affects
only the services that rank it among their homes. Rankings are cached, and a change of the
membership view discards only those that it may affect.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from heatherhead.routing.home_counts import create_home_counts
from heatherhead.routing.interface import Home
from heatherhead.routing.rendezvous import score
from heatherhead.settings.routing import RoutingSettings

if TYPE_CHECKING:
    from heatherhead.membership.interface import MembershipView, PeerNetwork
    from heatherhead.routing.home_counts import HomeCountTable

__all__ = ["RendezvousHomes", "create_home_sets"]

MIN_RANKED = 8
MAX_CHANGES_EXAMINED = 4  # beyond it, ranking anew on demand is cheaper than checking each
MIN_WEIGHT = 0.5
MAX_WEIGHT = 2.0


class RendezvousHomes:
    """Implements `HomeSets` over this instance's membership view."""

    def __init__(self, membership: MembershipView, counts: HomeCountTable) -> None:
        self.counts = counts
        self.load_by_id: dict[str, float] = {}
        self.version = 0
        self._membership = membership
        self._ranking_by_key: dict[tuple[str, str], list[str]] = {}
        self._zone_by_id_by_region: dict[str, dict[str, str]] = {}
        self._stale = True
        membership.subscribe(self._on_view_changed)
        counts.leader_of = self.leader

    def homes(self, service: str, region: str) -> list[Home]:
        """List the homes of a service in a region, best first."""
        by_id = self._membership.by_id
        ids = self.home_ids(service, region)
        mean_load = sum(self.load_by_id.get(each, 0.0) for each in ids) / max(1, len(ids))
        return [Home(by_id[each], self._weight(each, mean_load)) for each in ids if each in by_id]

    def home_ids(self, service: str, region: str) -> list[str]:
        """List the ids of the homes, best first."""
        count = self.counts.count(service, region)
        return self._ranking(service, region, count)[:count]

    def leader(self, service: str) -> str | None:
        """Return the instance of this region that decides how many homes a service has."""
        ranking = self._ranking(service, self._membership.own.region, 1)
        return ranking[0] if ranking else None

    def _weight(self, instance_id: str, mean_load: float) -> float:
        load = self.load_by_id.get(instance_id, 0.0)
        if load <= 0 or mean_load <= 0:
            return 1.0
        return min(max(mean_load / load, MIN_WEIGHT), MAX_WEIGHT)

    def _ranking(self, service: str, region: str, count: int) -> list[str]:
        if self._stale:
            self._apply_view()
        key = (service, region)
        zone_by_id = self._zone_by_id_by_region.get(region, {})
        ranking = self._ranking_by_key.get(key)
        if ranking is None or len(ranking) < min(count, len(zone_by_id)):
            ranking = _rank(service, zone_by_id)[: max(count, MIN_RANKED)]
            self._ranking_by_key[key] = ranking
        return ranking

    def _on_view_changed(self) -> None:
        self._stale = True
        self.version += 1

    def _apply_view(self) -> None:
        """Apply the membership view and discard the rankings that its changes may affect."""
        self._stale = False
        before = self._zone_by_id_by_region
        after: dict[str, dict[str, str]] = {}
        for each in self._membership.live():
            after.setdefault(each.region, {})[each.id] = each.availability_zone
        self._zone_by_id_by_region = after
        for region in before.keys() | after.keys():
            changed = set(before.get(region, {}).items()) ^ set(after.get(region, {}).items())
            if len(changed) > MAX_CHANGES_EXAMINED:
                self._drop_all(region)
            elif changed:
                self._drop_affected(region, changed)
        for instance_id in self.load_by_id.keys() - self._membership.by_id.keys():
            del self.load_by_id[instance_id]

    def _drop_all(self, region: str) -> None:
        for key in [each for each in self._ranking_by_key if each[1] == region]:
            del self._ranking_by_key[key]

    def _drop_affected(self, region: str, changed: set[tuple[str, str]]) -> None:
        zone_by_id = self._zone_by_id_by_region.get(region, {})
        for key in [each for each in self._ranking_by_key if each[1] == region]:
            ranking = self._ranking_by_key[key]
            if any(_may_affect(key[0], ranking, zone_by_id, *each) for each in changed):
                del self._ranking_by_key[key]


def _may_affect(
    service: str, ranking: list[str], zone_by_id: dict[str, str], instance_id: str, zone: str
) -> bool:
    """Return whether an instance that joined or left may affect a ranking."""
    if instance_id in ranking:
        return True
    same_zone = [each for each in ranking if zone_by_id.get(each) == zone]
    if not same_zone:
        return True
    return score(service, instance_id) > score(service, same_zone[-1])


def _rank(service: str, zone_by_id: dict[str, str]) -> list[str]:
    """Order instances by score, taking the best of each availability zone in turn."""
    by_zone: dict[str, list[tuple[float, str]]] = {}
    for instance_id, zone in zone_by_id.items():
        by_zone.setdefault(zone, []).append((score(service, instance_id), instance_id))
    zones = sorted(by_zone, key=lambda zone: score(service, zone), reverse=True)
    queues = [deque(sorted(by_zone[zone], reverse=True)) for zone in zones]
    ordered: list[str] = []
    while queues:
        ordered.extend(queue.popleft()[1] for queue in queues)
        queues = [queue for queue in queues if queue]
    return ordered


def create_home_sets(
    membership: MembershipView,
    network: PeerNetwork | None = None,
    settings: RoutingSettings | None = None,
) -> RendezvousHomes:
    """Create home sets; without a network they stay at the configured minimum size."""
    counts = create_home_counts(membership, network, settings or RoutingSettings())
    return RendezvousHomes(membership, counts)
