"""Follows the store: a full read, then a watch that resumes after the last seen revision."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err

from heatherhead.backoff import create_backoff
from heatherhead.configuration.documents import decode_record
from heatherhead.configuration.model import ServiceRecord
from heatherhead.exceptions import ConfigurationError, StoreUnavailableError
from heatherhead.store import CompactedError
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from heatherhead.configuration.record_table import RecordTable
    from heatherhead.store.interface import Store

__all__ = ["StoreWatcher", "create_store_watcher"]

INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 15.0


class StoreWatcher:
    """Keeps a record table up to date with the store while it runs."""

    def __init__(self, store: Store, prefix: str, table: RecordTable) -> None:
        self._store = store
        self._prefix = f"{prefix}services/"
        self._table = table
        self._backoff = create_backoff(INITIAL_BACKOFF_S, MAX_BACKOFF_S)
        self._next_revision = 0

    async def run(self) -> None:
        """Follow the store until cancelled, without a full read if the peers' snapshot suffices."""
        if self._table.is_complete:
            self._next_revision = self._table.applied + 1
        while True:
            try:
                if self._next_revision == 0 and not await self.read_all():
                    await asyncio.sleep(self._backoff.next_delay_s())
                    continue
                await self._follow()
            except CompactedError:
                self._next_revision = 0
            except StoreUnavailableError as error:
                log_event("store_watch_cut", level="WARNING", reason=error.reason)
                await asyncio.sleep(self._backoff.next_delay_s())

    async def read_all(self) -> bool:
        """Read all services once; return whether the store answered."""
        answer = await self._store.read_prefix(self._prefix)
        if isinstance(answer, Err):
            log_event("store_read_failed", level="WARNING", reason=answer.err_value.reason)
            return False
        revision = answer.ok_value.revision
        by_key = answer.ok_value.by_key
        if revision < self._table.applied:
            log_event(
                "store_revision_went_back",
                level="ERROR",
                revision=revision,
                applied=self._table.applied,
                remedy="restore backups with raised revisions; see docs/operators/store-outage.md",
            )
        with self._table.bulk():
            for value in sorted(by_key.values(), key=lambda each: each.mod_revision):
                self._apply_entry(value.key, value.value, value.mod_revision)
            self._delete_absent(set(by_key), revision)
            self._table.advance_to_newest_record(revision)
        self._next_revision = revision + 1
        self._backoff.reset()
        return True

    async def _follow(self) -> None:
        async for event in self._store.watch(self._prefix, self._next_revision):
            self._apply_entry(event.key, event.value, event.mod_revision)
            self._table.advance(event.mod_revision)
            self._next_revision = event.mod_revision + 1
            self._backoff.reset()

    def _apply_entry(self, key: str, value: bytes | None, revision: int) -> None:
        name = key.removeprefix(self._prefix)
        if value is None:
            self._apply_deletion(name, revision)
            return
        try:
            record = decode_record(value, revision)
            if record.name != name:
                raise ConfigurationError(
                    "name",
                    f"document of {record.name} is stored under the key of {name}",
                    remedy="delete the key",
                )
        except ConfigurationError as error:
            log_event("store_document_refused", level="ERROR", key=key, reason=str(error))
            return
        self._table.apply(record, value)

    def _delete_absent(self, keys: set[str], revision: int) -> None:
        """Apply the deletion of keys that were removed from the store while it was not watched."""
        for name in self._table.names():
            is_absent = self._prefix + name not in keys
            if is_absent and self._table.revision_of(name) <= revision:
                self._apply_deletion(name, revision)

    def _apply_deletion(self, name: str, revision: int) -> None:
        held = self._table.replica.by_name.get(name)
        if held is not None and held.service is None:
            return
        earlier = held.earlier_changes if held else ()
        self._table.apply(ServiceRecord(name, revision, "", None, earlier))


def create_store_watcher(store: Store, prefix: str, table: RecordTable) -> StoreWatcher:
    """Create a watcher of the services below a prefix of the store."""
    return StoreWatcher(store, prefix, table)
