"""The configuration of one instance: from store and peers into the replica."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err

from heatherhead.configuration.editor import create_editor
from heatherhead.configuration.record_table import create_record_table
from heatherhead.configuration.store_watcher import create_store_watcher
from heatherhead.exceptions import SettingsError

if TYPE_CHECKING:
    from result import Result

    from heatherhead.configuration.interface import AppliedRevision
    from heatherhead.configuration.model import ServiceRecord
    from heatherhead.configuration.replica import Replica
    from heatherhead.configuration.schema import ServiceSchema
    from heatherhead.exceptions import HeatherheadError
    from heatherhead.membership import Membership
    from heatherhead.settings import Settings
    from heatherhead.store.interface import Store

__all__ = ["ConfigurationService", "create_configuration"]

SETTINGS_CHANGE_ID = "settings"


class ConfigurationService:
    """Keeps the replica up to date; implements `ConfigurationEditor` and `ConfigurationStatus`.

    `ready` is set once the replica is as new as any snapshot this instance has heard of; no
    address is offered to callers before.
    """

    def __init__(
        self, settings: Settings, store: Store, replica: Replica, membership: Membership
    ) -> None:
        self.ready = asyncio.Event()
        self._settings = settings
        self._membership = membership
        self._table = create_record_table(replica)
        self._editor = create_editor(store, settings.store.prefix, replica, self._table.take_in)
        self._watcher = create_store_watcher(store, settings.store.prefix, self._table)
        self._table.on_applied(lambda _: self.ready.set())
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Begin to follow store and peers; `ready` tells when the replica can be used."""
        if not self._settings.store.urls:
            await self._put_settings_services()
        self._tasks.append(asyncio.create_task(self._watcher.run()))

    async def stop(self) -> None:
        """Stop following; the replica stays as it is."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    async def put(
        self, service: ServiceSchema, expected_revision: int, change_id: str
    ) -> Result[ServiceRecord, HeatherheadError]:
        """Create (`expected_revision` 0) or replace a service."""
        return await self._editor.put(service, expected_revision, change_id)

    async def delete(
        self, name: str, expected_revision: int, change_id: str
    ) -> Result[ServiceRecord, HeatherheadError]:
        """Delete a service; its tombstone keeps the revision."""
        return await self._editor.delete(name, expected_revision, change_id)

    def applied(self) -> list[AppliedRevision]:
        """List what each known instance has in force."""
        return []

    def missing(self, revision: int) -> list[str]:
        """List the live instances that do not have `revision` in force yet."""
        return []

    async def _put_settings_services(self) -> None:
        for service in self._settings.services:
            answer = await self._editor.put(service, 0, SETTINGS_CHANGE_ID)
            if isinstance(answer, Err):
                raise answer.err_value


def create_configuration(
    settings: Settings, store: Store, replica: Replica, membership: Membership
) -> ConfigurationService:
    """Create the configuration of an instance.

    Raises `SettingsError` for an embedded store beside other instances: each would have its own.
    """
    if settings.membership.instance_list_url and not settings.store.urls:
        raise SettingsError(
            "store.urls",
            "several instances need the platform's store",
            remedy="name the store's URLs, or leave out membership.instance_list_url",
        )
    return ConfigurationService(settings, store, replica, membership)
