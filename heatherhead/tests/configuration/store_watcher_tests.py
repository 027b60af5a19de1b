"""Tests of `heatherhead.configuration.store_watcher` on a store that was put back to a backup."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from heatherhead.configuration.documents import encode_record
from heatherhead.configuration.model import ServiceRecord
from heatherhead.configuration.record_table import RecordTable, create_record_table
from heatherhead.configuration.replica import create_replica
from heatherhead.configuration.schema import service_from_schema
from heatherhead.configuration.store_watcher import create_store_watcher
from heatherhead.store.memory import MemoryStore, create_memory_store
from heatherhead.telemetry.logs import add_event_listener, remove_event_listener
from heatherhead.tests.base import run_with_paused_clock
from heatherhead.tests.configuration.fleet import service

if TYPE_CHECKING:
    from collections.abc import Mapping

PREFIX = "/h/"


async def _write(store: MemoryStore, queue_limits: list[int]) -> None:
    """Write a service again and again, each time with another queue limit."""
    key, revision = f"{PREFIX}services/orders", 0
    for number, queue_limit in enumerate(queue_limits):
        written = service_from_schema(service("orders", queue_limit))
        document = encode_record(ServiceRecord("orders", 0, f"c{number}", written))
        revision = (await store.compare_and_swap(key, revision, document)).unwrap().revision


async def _read(table: RecordTable, store: MemoryStore) -> None:
    assert await create_store_watcher(store, PREFIX, table).read_all()


def test_store_whose_revision_went_back_is_logged() -> None:
    events: list[str] = []

    def record(event: str, level: str, _fields: Mapping[str, object]) -> None:
        if level == "ERROR":
            events.append(event)

    async def main() -> None:
        lost, restored = create_memory_store(), create_memory_store()
        table = create_record_table(create_replica())
        await _write(lost, [1, 2, 3, 4])
        await _read(table, lost)
        assert not events
        await _write(restored, [1])
        await _read(table, restored)
        assert events == ["store_revision_went_back"]

    add_event_listener(record)
    try:
        run_with_paused_clock(main())
    finally:
        remove_event_listener(record)


@pytest.mark.xfail(reason="KNOWN-RED.txt, issue 29", strict=True)
def test_change_after_a_return_to_a_backup_is_applied() -> None:
    """The store has no number of its history, so a revision given out again is taken for known."""

    async def main() -> None:
        lost, restored = create_memory_store(), create_memory_store()
        replica = create_replica()
        table = create_record_table(replica)
        await _write(lost, [1, 2, 3, 4])
        await _read(table, lost)
        await _write(restored, [1, 7])
        await _read(table, restored)
        applied = replica.service("orders")
        assert applied is not None
        assert applied.queue_limit == 7

    run_with_paused_clock(main())
