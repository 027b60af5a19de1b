"""A fleet of configurations in one process, over fake streams and one in-memory store."""

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
    """Starts, crashes and inspects several configurations and injects store faults."""

    def __init__(self) -> None:
        self.members = create_member_fleet()
        self.store = create_memory_store()
        self.configuration_by_id: dict[str, ConfigurationService] = {}
        self.replica_by_id: dict[str, Replica] = {}
        self.faulty_store_by_id: dict[str, FaultyStore] = {}
        self.is_store_down = False
        self.reverts: list[str] = []
        self._settings = Settings.model_validate(
            {"store": {"urls": ["http://127.0.0.1:1"]}},
        )

    async def start(self, instance_id: str, region: str, zone: str) -> ConfigurationService:
        """Start an instance, or a new process of a known one."""
        membership = await self.members.start(instance_id, region, zone)
        faulty_store = self.faulty_store_by_id[instance_id] = create_faulty_store(self.store)
        faulty_store.is_down = self.is_store_down
        replica = self.replica_by_id[instance_id] = create_replica()
        self._watch_for_reverts(instance_id, replica)
        configuration = create_configuration(self._settings, faulty_store, replica, membership)
        self.configuration_by_id[instance_id] = configuration
        await configuration.start()
        return configuration

    async def start_all(self, regions: int, zones: int, per_zone: int) -> list[str]:
        """Start a fleet and wait until all instances are ready; return the ids."""
        for instance_id, region, zone in places(regions, zones, per_zone):
            await self.start(instance_id, region, zone)
        ids = list(self.configuration_by_id)
        await wait_until(lambda: self.members.all_see(ids) and all(map(self.is_ready, ids)))
        return ids

    async def crash(self, instance_id: str) -> None:
        """Stop an instance without announcing it."""
        self.members.hub.crash(instance_id)
        await self.configuration_by_id.pop(instance_id).stop()
        await self.members.crash(instance_id)
        del self.faulty_store_by_id[instance_id], self.replica_by_id[instance_id]

    def set_store_down(self, is_down: bool) -> None:
        """Make the store unavailable or available to all instances."""
        self.is_store_down = is_down
        for faulty_store in self.faulty_store_by_id.values():
            faulty_store.is_down = is_down

    def is_ready(self, instance_id: str) -> bool:
        """Return whether an instance is ready to offer addresses."""
        return self.configuration_by_id[instance_id].ready.is_set()

    def all_at(self, name: str, revision: int) -> bool:
        """Return whether all replicas hold a service at a revision."""
        records = [each.by_name.get(name) for each in self.replica_by_id.values()]
        return all(each is not None and each.revision == revision for each in records)

    def store_calls(self) -> int:
        """Count the calls of all instances to the store."""
        return sum(faulty_store.calls for faulty_store in self.faulty_store_by_id.values())

    async def stop(self) -> None:
        """Stop all instances."""
        for configuration in self.configuration_by_id.values():
            await configuration.stop()
        await self.members.stop()

    def _watch_for_reverts(self, instance_id: str, replica: Replica) -> None:
        """Record each record that is applied after a newer one of the same service."""
        highest: dict[str, int] = {}

        def check(record: object) -> None:
            name, revision = record.name, record.revision  # type: ignore[attr-defined]
            if revision <= highest.get(name, 0):
                self.reverts.append(f"{instance_id} {name} {revision}")
            highest[name] = revision

        replica.subscribe(check)


def service(name: str, queue_limit: int = 100) -> ServiceSchema:
    """Create a service; tests vary the queue limit to distinguish its versions."""
    return ServiceSchema(name=name, queue_limit=queue_limit)


def create_configuration_fleet() -> ConfigurationFleet:
    """Create a fleet without instances."""
    return ConfigurationFleet()
