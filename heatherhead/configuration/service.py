"""The configuration service of one instance: follows the store and the peers."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from result import Err

from heatherhead.backoff import create_backoff
from heatherhead.configuration.applied_revisions import create_applied_revision_table
from heatherhead.configuration.dissemination import create_dissemination
from heatherhead.configuration.editor import create_editor
from heatherhead.configuration.record_table import create_record_table
from heatherhead.configuration.store_watcher import create_store_watcher
from heatherhead.exceptions import SettingsError
from heatherhead.telemetry.logs import log_event

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
ROLE_CHECK_INTERVAL_S = 1.0
INITIAL_VIEW_WAIT_S = 1.5  # a new instance knows only itself and would assume every role
ROLE_RELEASE_DELAY_S = 5.0  # a watcher continues for this time after losing the role
MIN_PEER_WAIT_S = 3.0  # for a snapshot from the peers, before the store is read
SNAPSHOT_TRANSFER_WAIT_S = 8.0  # for the rest of a peer's snapshot, slow when a whole fleet starts
NEIGHBOUR_DIGEST_WAIT_S = 0.5  # for digests of further neighbours; checked twice in this time


class ConfigurationService:
    """Keeps the replica up to date; implements `ConfigurationEditor` and `ConfigurationStatus`.

    `ready` is set once the replica is as new as the newest snapshot reported to this instance.
    Until then the instance offers no addresses to callers.
    """

    def __init__(
        self, settings: Settings, store: Store, replica: Replica, membership: Membership
    ) -> None:
        self.ready = asyncio.Event()
        self._settings = settings
        self._membership = membership
        links = membership.network
        rng = Random(membership.view.own.incarnation)
        self._rng = rng
        self.table = create_record_table(replica)
        self._editor = create_editor(store, settings.store.prefix, replica, self.table.apply)
        self._watcher = create_store_watcher(store, settings.store.prefix, self.table)
        self._applied_revisions = create_applied_revision_table(self.table, membership.view, links)
        self._dissemination = create_dissemination(
            self.table, self._applied_revisions, membership.view, links, rng
        )
        self._watching: asyncio.Task[None] | None = None
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start to follow the store and the peers; `ready` is set when the replica can be used."""
        if not self._settings.store.urls:
            await self._put_settings_services()
        coroutines = (self._run_watcher_role(), self._wait_until_ready(), self._dissemination.run())
        self._tasks.extend(asyncio.create_task(each) for each in coroutines)

    async def stop(self) -> None:
        """Stop following the store and the peers; the replica keeps its state."""
        self._stop_watching()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()
        self._dissemination.close()
        self._applied_revisions.close()

    @property
    def is_watching(self) -> bool:
        """Return whether this instance watches the store."""
        return self._watching is not None

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
        """List the applied revision of each known instance."""
        return self._applied_revisions.applied()

    def missing(self, revision: int) -> list[str]:
        """List the live instances that have not applied `revision` yet."""
        return self._applied_revisions.missing(revision)

    async def _run_watcher_role(self) -> None:
        """Watch the store while this instance is one of the watchers of its region."""
        loop = asyncio.get_running_loop()
        chosen_at = loop.time()
        if not self._membership.is_standalone:
            await asyncio.sleep(INITIAL_VIEW_WAIT_S)
        while True:
            count = self._settings.store.watchers_per_region
            if self._membership.holds_role("store-watch", count):
                chosen_at = loop.time()
                if self._watching is None:
                    log_event("store_watch_taken", applied=self.table.applied)
                    self._watching = asyncio.create_task(self._watcher.run())
            elif self._watching is not None and loop.time() - chosen_at > ROLE_RELEASE_DELAY_S:
                log_event("store_watch_left")
                self._stop_watching()
            await asyncio.sleep(ROLE_CHECK_INTERVAL_S)

    def _stop_watching(self) -> None:
        if self._watching is not None:
            self._watching.cancel()
            self._watching = None

    async def _wait_until_ready(self) -> None:
        """Wait for a snapshot from the peers, read the store if none arrives, and set `ready`."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        backoff = create_backoff(MIN_PEER_WAIT_S, 30.0, self._rng)
        slow_s = SNAPSHOT_TRANSFER_WAIT_S * (1 + self._rng.random())
        read_at = started_at + MIN_PEER_WAIT_S
        while not self._is_replica_current():
            await asyncio.sleep(NEIGHBOUR_DIGEST_WAIT_S / 2)
            are_peers_slow = loop.time() >= started_at + slow_s
            if loop.time() >= read_at and (are_peers_slow or not self._has_peer_with_snapshot()):
                await self._watcher.read_all()
                read_at = loop.time() + backoff.next_delay_s()
        log_event("configuration_ready", applied=self.table.applied)
        self.ready.set()

    def _is_replica_current(self) -> bool:
        """Return whether the replica is complete and every neighbour has sent a digest."""
        links = self._membership.network
        digest_by_peer = self._dissemination.digest_by_peer
        return self.table.is_complete and all(each in digest_by_peer for each in links.neighbours())

    def _has_peer_with_snapshot(self) -> bool:
        digests = self._dissemination.digest_by_peer.values()
        return any(each.applied >= 0 for each in digests)

    async def _put_settings_services(self) -> None:
        for service in self._settings.services:
            answer = await self._editor.put(service, 0, SETTINGS_CHANGE_ID)
            if isinstance(answer, Err):
                raise answer.err_value


def create_configuration(
    settings: Settings, store: Store, replica: Replica, membership: Membership
) -> ConfigurationService:
    """Create the configuration of an instance.

    Raises `SettingsError` if there are other instances and no URL of a store: each instance would
    have an embedded store of its own.
    """
    if settings.membership.instance_list_url and not settings.store.urls:
        raise SettingsError(
            "store.urls",
            "several instances need the platform's store",
            remedy="name the store's URLs, or leave out membership.instance_list_url",
        )
    return ConfigurationService(settings, store, replica, membership)
