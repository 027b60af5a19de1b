"""The number of homes of each service in this region, from the call rates that instances report.

Every instance that serves calls of a service reports its rate to one leader, the first of the
service's ranking (see `homes`). The leader sums the rates and sets the number of homes, which grows
at once and shrinks only after demand has stayed low. A new number is flooded over the overlay, and
each instance periodically sends its whole table to a neighbour, so that instances that are not
homes resolve to the same homes. Tables that differ affect only performance.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from math import ceil
from typing import TYPE_CHECKING

from heatherhead.membership.interface import Traffic
from heatherhead.routing.messages import CallRates, HomeCounts

if TYPE_CHECKING:
    from collections.abc import Callable

    from heatherhead.membership.interface import MembershipView, PeerNetwork
    from heatherhead.settings.routing import RoutingSettings

__all__ = ["HomeCountTable", "create_home_counts"]

RATE_LIFETIME_S = 10.0
SHRINK_AFTER_S = 60.0
SHRINK_CAPACITY_FRACTION = 0.8  # of the smaller set's capacity; demand below it is low
SPARE_HOMES = 1
ROWS_PER_MESSAGE = 256
MAX_SERVICES = 10_000


@dataclass(slots=True)
class _HomeCount:
    """A number of homes; the highest version wins."""

    count: int
    version: int


@dataclass(slots=True)
class _Demand:
    """The call rates reported to the leader of a service: rate and time by instance id."""

    rate_by_id: dict[str, tuple[float, float]]
    low_since: float | None = None


class HomeCountTable:
    """The home counts of this region, and the demand of services led by this instance."""

    def __init__(
        self, membership: MembershipView, network: PeerNetwork | None, settings: RoutingSettings
    ) -> None:
        self.leader_of: Callable[[str], str | None] = lambda _service: None
        self.version = 0
        self._membership = membership
        self._network = network
        self._settings = settings
        self._home_count_by_service: dict[str, _HomeCount] = {}
        self._demand_by_service: dict[str, _Demand] = {}
        if network is not None:
            network.subscribe(CallRates, self._on_rates)
            network.subscribe(HomeCounts, self._on_counts)

    def count(self, service: str, region: str) -> int:
        """Return the number of homes of a service in a region."""
        size = self._home_count_by_service.get(service)
        if size is None or region != self._membership.own.region:
            return self._settings.homes_minimum
        return max(size.count, self._settings.homes_minimum)

    def report(self, rate_by_service: dict[str, float]) -> None:
        """Report this instance's calls per second to the leaders of the services."""
        own_id = self._membership.own.id
        rows_by_leader: dict[str, list[tuple[str, float]]] = {}
        for service, rate in rate_by_service.items():
            leader = self.leader_of(service)
            if leader is not None:
                rows_by_leader.setdefault(leader, []).append((service, round(rate, 1)))
        for leader, rows in rows_by_leader.items():
            if leader == own_id:
                self._on_rates(own_id, CallRates(rows))
            elif self._network is not None:
                self._network.send(leader, CallRates(rows), Traffic.MEASURING)

    def resize_led_services(self) -> None:
        """Update and publish the home counts of the services that this instance leads."""
        now = asyncio.get_running_loop().time()
        changed = []
        for service, demand in list(self._demand_by_service.items()):
            if self.leader_of(service) != self._membership.own.id:
                del self._demand_by_service[service]
                continue
            if self._update_count(service, demand, now):
                size = self._home_count_by_service[service]
                changed.append((service, size.count, size.version))
        self._forward(changed, sender_id="")

    def send_table(self, neighbour_id: str) -> None:
        """Send the whole table to a neighbour, for anti-entropy repair."""
        rows = [
            (name, size.count, size.version) for name, size in self._home_count_by_service.items()
        ]
        self._send(neighbour_id, rows)

    def _update_count(self, service: str, demand: _Demand, now: float) -> bool:
        """Adapt the home count to the demand, with hysteresis; return whether it changed."""
        for instance_id, (_, received_at) in list(demand.rate_by_id.items()):
            if now - received_at > RATE_LIFETIME_S:
                del demand.rate_by_id[instance_id]
        rate = sum(each[0] for each in demand.rate_by_id.values())
        current = self.count(service, self._membership.own.region)
        target = self._target_count(rate)
        if target > current:
            demand.low_since = None
            self._set_count(service, target)
            return True
        shrink_target = self._target_count(rate / SHRINK_CAPACITY_FRACTION)
        if shrink_target >= current:
            demand.low_since = None
            return False
        if demand.low_since is None:
            demand.low_since = now
        if now - demand.low_since < SHRINK_AFTER_S:
            return False
        demand.low_since = None
        self._set_count(service, shrink_target)
        return True

    def _target_count(self, rate: float) -> int:
        target = ceil(rate / self._settings.calls_per_home) + SPARE_HOMES
        return min(max(target, self._settings.homes_minimum), self._settings.homes_maximum)

    def _set_count(self, service: str, count: int) -> None:
        size = self._home_count_by_service.get(service)
        self._home_count_by_service[service] = _HomeCount(count, size.version + 1 if size else 1)
        self.version += 1

    def _on_rates(self, sender_id: str, message: CallRates) -> None:
        now = asyncio.get_running_loop().time()
        for service, rate in message.rows:
            demand = self._demand_by_service.get(service)
            if demand is None:
                if len(self._demand_by_service) >= MAX_SERVICES:
                    continue
                demand = self._demand_by_service[service] = _Demand({})
            demand.rate_by_id[sender_id] = (rate, now)

    def _on_counts(self, sender_id: str, message: HomeCounts) -> None:
        if not self._in_own_region(sender_id):
            return
        accepted = []
        for service, count, version in message.rows:
            size = self._home_count_by_service.get(service)
            if size is None and len(self._home_count_by_service) >= MAX_SERVICES:
                continue
            if size is None or (version, count) > (size.version, size.count):
                self._home_count_by_service[service] = _HomeCount(count, version)
                self.version += 1
                accepted.append((service, count, version))
        self._forward(accepted, sender_id)

    def _forward(self, rows: list[tuple[str, int, int]], sender_id: str) -> None:
        if not rows or self._network is None:
            return
        for neighbour_id in self._network.neighbours():
            if neighbour_id != sender_id and self._in_own_region(neighbour_id):
                self._send(neighbour_id, rows)

    def _send(self, neighbour_id: str, rows: list[tuple[str, int, int]]) -> None:
        if self._network is None:
            return
        for start in range(0, len(rows), ROWS_PER_MESSAGE):
            message = HomeCounts(rows[start : start + ROWS_PER_MESSAGE])
            self._network.send(neighbour_id, message, Traffic.CONTROL)

    def _in_own_region(self, instance_id: str) -> bool:
        instance = self._membership.by_id.get(instance_id)
        return instance is not None and instance.region == self._membership.own.region


def create_home_counts(
    membership: MembershipView, network: PeerNetwork | None, settings: RoutingSettings
) -> HomeCountTable:
    """Create a table in which every service has the minimum number of homes."""
    return HomeCountTable(membership, network, settings)
