"""A fleet of configurations in one process, over fake streams and one store in memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.configuration.replica import create_replica
from heatherhead.configuration.schema import ServiceSchema
from heatherhead.configuration.service import ConfigurationService, create_configuration
from heatherhead.settings import Settings
from heatherhead.store.memory import create_memory_store
from heatherhead.tests.faulty_store import FaultyStore, create_faulty_store
from heatherhead.tests.membership.fleet import create_member_fleet, places, wait_until

if TYPE_CHECKING:
    from heatherhead.configuration.replica import Replica

__all__ = ["ConfigurationFleet", "create_configuration_fleet", "service"]


class ConfigurationFleet:
    """Starts, crashes and parts the configurations of several instances."""

    def __init__(self) -> None:
        self.members = create_member_fleet()
        self.store = create_memory_store()
        self.configuration_by_id: dict[str, ConfigurationService] = {}
        self.replica_by_id: dict[str, Replica] = {}
        self.way_by_id: dict[str, FaultyStore] = {}
        self.is_store_down = False
        self.reverts: list[str] = []
        self._settings = Settings.model_validate(
            {"store": {"urls": ["http://127.0.0.1:1"]}},
        )

    async def start(self, instance_id: str, region: str, zone: str) -> ConfigurationService:
        """Start an instance or a new process of a known one."""
        membership = await self.members.start(instance_id, region, zone)
        way = self.way_by_id[instance_id] = create_faulty_store(self.store)
        way.is_down = self.is_store_down
        replica = self.replica_by_id[instance_id] = create_replica()
        self._watch_for_reverts(instance_id, replica)
        configuration = create_configuration(self._settings, way, replica, membership)
        self.configuration_by_id[instance_id] = configuration
        await configuration.start()
        return configuration

    async def start_all(self, regions: int, zones: int, per_zone: int) -> list[str]:
        """Start a fleet and wait until all are ready."""
        for instance_id, region, zone in places(regions, zones, per_zone):
            await self.start(instance_id, region, zone)
        ids = list(self.configuration_by_id)
        await wait_until(lambda: self.members.all_see(ids) and all(map(self.is_ready, ids)))
        return ids

    async def crash(self, instance_id: str) -> None:
        """End an instance without a word."""
        self.members.hub.crash(instance_id)
        await self.configuration_by_id.pop(instance_id).stop()
        await self.members.crash(instance_id)
        del self.way_by_id[instance_id], self.replica_by_id[instance_id]

    def set_store_down(self, is_down: bool) -> None:
        """Switch the store off or on for all instances."""
        self.is_store_down = is_down
        for way in self.way_by_id.values():
            way.is_down = is_down

    def is_ready(self, instance_id: str) -> bool:
        """Tell whether an instance would offer addresses."""
        return self.configuration_by_id[instance_id].ready.is_set()

    def all_at(self, name: str, revision: int) -> bool:
        """Tell whether all instances have a service at a revision."""
        records = [each.by_name.get(name) for each in self.replica_by_id.values()]
        return all(each is not None and each.revision == revision for each in records)

    def store_calls(self) -> int:
        """Count the calls of all instances to the store."""
        return sum(way.calls for way in self.way_by_id.values())

    async def stop(self) -> None:
        """Stop all instances."""
        for configuration in self.configuration_by_id.values():
            await configuration.stop()
        await self.members.stop()

    def _watch_for_reverts(self, instance_id: str, replica: Replica) -> None:
        """Note each record that comes in force after a newer one of its service."""
        highest: dict[str, int] = {}

        def check(record: object) -> None:
            name, revision = record.name, record.revision  # type: ignore[attr-defined]
            if revision <= highest.get(name, 0):
                self.reverts.append(f"{instance_id} {name} {revision}")
            highest[name] = revision

        replica.subscribe(check)


def service(name: str, queue_limit: int = 100) -> ServiceSchema:
    """Create a service whose queue limit tells its versions apart."""
    return ServiceSchema(name=name, queue_limit=queue_limit)


def create_configuration_fleet() -> ConfigurationFleet:
    """Create a fleet without instances."""
    return ConfigurationFleet()
