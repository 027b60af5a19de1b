"""Tests of `heatherhead.configuration.editor`."""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.configuration import documents
from heatherhead.configuration.editor import MAX_EARLIER_CHANGES, Editor, create_editor
from heatherhead.configuration.replica import create_replica
from heatherhead.configuration.schema import ServiceSchema, UpstreamSchema
from heatherhead.exceptions import ConfigurationError, ConflictError, StoreAmbiguousError
from heatherhead.store.memory import create_memory_store
from heatherhead.tests.base import run_with_paused_clock
from heatherhead.tests.configuration.fleet import service
from heatherhead.tests.faulty_store import FaultyStore, create_faulty_store

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from pytest import MonkeyPatch

    from heatherhead.configuration.model import ServiceRecord
    from heatherhead.configuration.replica import Replica


def _apply_to(replica: Replica) -> Callable[[ServiceRecord, bytes], object]:
    return lambda record, _document: replica.apply(record)


def _run(scenario: Callable[[Editor, Editor, FaultyStore], Awaitable[None]]) -> None:
    """Run a scenario with the editors of two operators and the first one's faulty store."""

    async def main() -> None:
        store = create_memory_store()
        faulty_store = create_faulty_store(store)
        editors = []
        for each in (faulty_store, create_faulty_store(store)):
            replica = create_replica()
            editors.append(create_editor(each, "/h/", replica, _apply_to(replica)))
        await scenario(*editors, faulty_store)

    run_with_paused_clock(main())


def test_second_of_two_racing_operators_gets_a_conflict_naming_the_first_change() -> None:
    async def scenario(one: Editor, two: Editor, faulty_store: FaultyStore) -> None:
        created = (await one.put(service("orders", 1), 0, "c1")).ok_value
        won = (await two.put(service("orders", 2), created.revision, "c2")).ok_value
        lost = (await one.put(service("orders", 3), created.revision, "c3")).err_value
        assert isinstance(lost, ConflictError)
        assert lost.revision == won.revision
        assert "c2" in str(lost)
        again = (await one.put(service("orders", 3), won.revision, "c3")).ok_value
        assert again.revision > won.revision

    _run(scenario)


def test_change_whose_reply_was_lost_is_found_by_its_id() -> None:
    async def scenario(one: Editor, two: Editor, faulty_store: FaultyStore) -> None:
        faulty_store.replies_to_lose = 1
        put = (await one.put(service("orders", 1), 0, "c1")).ok_value
        assert faulty_store.calls == 2
        assert (await two.put(service("orders", 1), 0, "c1")).ok_value == put

    _run(scenario)


def test_change_without_any_answer_stays_ambiguous_until_retried() -> None:
    async def scenario(one: Editor, two: Editor, faulty_store: FaultyStore) -> None:
        faulty_store.replies_to_lose = 99
        ambiguous = await one.put(service("orders", 1), 0, "c1")
        assert isinstance(ambiguous.err_value, StoreAmbiguousError)
        changed = (await two.put(service("orders", 2), 2, "c2")).ok_value
        faulty_store.replies_to_lose = 0
        found = (await one.put(service("orders", 1), 0, "c1")).ok_value
        assert (found.revision, found.change_id) == (2, "c1")
        now = (await two.put(service("orders", 3), changed.revision, "c3")).ok_value
        assert [each.change_id for each in now.earlier_changes] == ["c1", "c2"]

    _run(scenario)


def test_deleted_service_can_be_recreated_but_not_by_the_old_change() -> None:
    async def scenario(one: Editor, two: Editor, faulty_store: FaultyStore) -> None:
        created = (await one.put(service("orders", 1), 0, "c1")).ok_value
        deleted = (await two.delete("orders", created.revision, "c2")).ok_value
        assert deleted.service is None
        old = (await one.put(service("orders", 1), 0, "c1")).ok_value
        assert old.revision == created.revision
        assert isinstance((await one.delete("orders", 0, "c3")).err_value, ConflictError)
        fresh = (await one.put(service("orders", 4), 0, "c4")).ok_value
        assert fresh.revision > deleted.revision

    _run(scenario)


def test_tombstone_with_truncated_history_requires_its_revision() -> None:
    async def scenario(one: Editor, two: Editor, faulty_store: FaultyStore) -> None:
        revision = (await one.put(service("orders", 1), 0, "first")).ok_value.revision
        for number in range(MAX_EARLIER_CHANGES):
            changed = await two.put(service("orders", number + 2), revision, f"c{number}")
            revision = changed.ok_value.revision
        revision = (await two.delete("orders", revision, "gone")).ok_value.revision
        late = (await two.put(service("orders", 1), 0, "first")).err_value
        assert isinstance(late, StoreAmbiguousError)
        assert str(revision) in late.remedy
        lost = (await two.put(service("orders", 1), revision - 1, "other")).err_value
        assert isinstance(lost, ConflictError)
        assert (await two.put(service("orders", 1), revision, "new")).is_ok()

    _run(scenario)


def test_editor_with_a_stale_replica_reads_the_store_before_refusing() -> None:
    async def scenario(one: Editor, two: Editor, faulty_store: FaultyStore) -> None:
        created = (await one.put(service("orders", 1), 0, "c1")).ok_value
        changed = (await two.put(service("orders", 2), created.revision, "c2")).ok_value
        assert (await one.put(service("orders", 3), changed.revision, "c3")).is_ok()

    _run(scenario)


def test_document_above_the_stores_limit_is_not_sent(monkeypatch: MonkeyPatch) -> None:
    async def scenario(one: Editor, two: Editor, faulty_store: FaultyStore) -> None:
        upstreams = tuple(
            UpstreamSchema(id=f"{number:063}", host="10.0.0.1", port=80) for number in range(20)
        )
        large = ServiceSchema(name="large", upstreams=upstreams)
        assert isinstance((await one.put(large, 0, "c1")).err_value, ConfigurationError)
        assert faulty_store.calls == 0

    monkeypatch.setattr(documents, "MAX_DOCUMENT_BYTES", 1_000)
    _run(scenario)
