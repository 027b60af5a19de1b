"""Changes services in the store by compare-and-swap on their revisions."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err, Ok

from heatherhead.configuration.documents import decode_record, encode_record
from heatherhead.configuration.model import EarlierChange, ServiceRecord
from heatherhead.configuration.schema import service_from_schema
from heatherhead.exceptions import (
    ConfigurationError,
    ConflictError,
    HeatherheadError,
    StoreAmbiguousError,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from heatherhead.configuration.model import Service
    from heatherhead.configuration.replica import Replica
    from heatherhead.configuration.schema import ServiceSchema
    from heatherhead.store.interface import KeyValue, Store, WriteAnswer

__all__ = ["Editor", "create_editor", "service_key"]

MAX_EARLIER_CHANGES = 32
MAX_SERVICES = 10_000  # including tombstones
MAX_ATTEMPTS = 4


def service_key(prefix: str, name: str) -> str:
    """Return the store's key of a service."""
    return f"{prefix}services/{name}"


class Editor:
    """Applies changes of operators to the store; implements `ConfigurationEditor`."""

    def __init__(
        self,
        store: Store,
        prefix: str,
        replica: Replica,
        apply_record: Callable[[ServiceRecord, bytes], object],
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._replica = replica
        self._apply_record = apply_record

    async def put(
        self, service: ServiceSchema, expected_revision: int, change_id: str
    ) -> Result[ServiceRecord, HeatherheadError]:
        """Create (`expected_revision` 0) or replace a service."""
        return await self._change(
            service.name, service_from_schema(service), expected_revision, change_id
        )

    async def delete(
        self, name: str, expected_revision: int, change_id: str
    ) -> Result[ServiceRecord, HeatherheadError]:
        """Delete a service; its tombstone keeps the revision."""
        return await self._change(name, None, expected_revision, change_id)

    async def _change(
        self, name: str, service: Service | None, expected_revision: int, change_id: str
    ) -> Result[ServiceRecord, HeatherheadError]:
        """Write the change, and retry with the stored document after a conflict or a lost reply.

        A retry after a lost reply compares with the same revision, so at most one of the writes
        takes effect; if the first one did, the retry finds the change in the stored document.
        """
        held = self._replica.by_name.get(name)
        if held is None and len(self._replica.by_name) >= MAX_SERVICES:
            return Err(_too_many_services())
        ambiguous_error: StoreAmbiguousError | None = None
        is_read_from_store = False
        for _ in range(MAX_ATTEMPTS):
            found = _find_change(held, change_id, service)
            if found is not None:
                return Ok(found)
            if not _may_replace(held, service, expected_revision):
                if is_read_from_store:
                    return Err(_refusal(name, held, expected_revision))
                read = await self._read(name)
                if isinstance(read, Err):
                    return read
                held, is_read_from_store = read.ok_value, True
                continue
            draft = _draft(name, service, change_id, held)
            try:
                document = encode_record(draft)
            except ConfigurationError as error:
                return Err(error)
            # Encoding a large service blocks the event loop, so let other tasks run.
            await asyncio.sleep(0)
            answer = await self._swap(draft, document, held)
            if isinstance(answer, Err):
                if not isinstance(answer.err_value, StoreAmbiguousError):
                    return Err(ambiguous_error or answer.err_value)
                ambiguous_error = answer.err_value
                continue
            if answer.ok_value.succeeded:
                return Ok(self._accept(draft, document, answer.ok_value.revision))
            current = self._apply_current(answer.ok_value.current)
            if isinstance(current, Err):
                return current
            held, is_read_from_store = current.ok_value, True
        return Err(ambiguous_error or _refusal(name, held, expected_revision))

    async def _swap(
        self, draft: ServiceRecord, document: bytes, held: ServiceRecord | None
    ) -> Result[WriteAnswer, HeatherheadError]:
        key = service_key(self._prefix, draft.name)
        return await self._store.compare_and_swap(key, held.revision if held else 0, document)

    def _accept(self, draft: ServiceRecord, document: bytes, revision: int) -> ServiceRecord:
        record = ServiceRecord(
            draft.name, revision, draft.change_id, draft.service, draft.earlier_changes
        )
        self._apply_record(record, document)
        return record

    async def _read(self, name: str) -> Result[ServiceRecord | None, HeatherheadError]:
        key = service_key(self._prefix, name)
        answer = await self._store.read_prefix(key)
        if isinstance(answer, Err):
            return answer
        return self._apply_current(answer.ok_value.by_key.get(key))

    def _apply_current(
        self, current: KeyValue | None
    ) -> Result[ServiceRecord | None, HeatherheadError]:
        if current is None:
            return Ok(None)
        try:
            record = decode_record(current.value, current.mod_revision)
        except ConfigurationError as error:
            return Err(error)
        self._apply_record(record, current.value)
        return Ok(record)


def _find_change(
    held: ServiceRecord | None, change_id: str, service: Service | None
) -> ServiceRecord | None:
    """Return the record that this change has already produced, or `None`."""
    if held is None:
        return None
    if held.change_id == change_id:
        return held
    for earlier in held.earlier_changes:
        if earlier.change_id == change_id:
            return ServiceRecord(held.name, earlier.revision, change_id, service)
    return None


def _may_replace(
    held: ServiceRecord | None, service: Service | None, expected_revision: int
) -> bool:
    if held is None:
        return expected_revision == 0 and service is not None
    if held.service is None and service is None:
        return False
    if expected_revision == held.revision:
        return True
    # A service may be created over a tombstone, but not over one with a full history, which may
    # have dropped this very change.
    is_history_complete = len(held.earlier_changes) < MAX_EARLIER_CHANGES
    return expected_revision == 0 and held.service is None and is_history_complete


def _draft(
    name: str, service: Service | None, change_id: str, held: ServiceRecord | None
) -> ServiceRecord:
    earlier: tuple[EarlierChange, ...] = ()
    if held is not None:
        last = EarlierChange(held.change_id, held.revision)
        earlier = (*held.earlier_changes, last)[-MAX_EARLIER_CHANGES:]
    return ServiceRecord(name, 0, change_id, service, earlier)


def _refusal(
    name: str, held: ServiceRecord | None, expected_revision: int
) -> ConflictError | StoreAmbiguousError:
    """Return a conflict if the history proves that the change was not made.

    Otherwise the outcome is ambiguous: the change may have been made and dropped from the history.
    """
    if held is None or _history_covers(held, expected_revision):
        return _conflict(name, held, expected_revision)
    return StoreAmbiguousError(
        f"service {name} has changed so often that it no longer shows whether this change was made;"
        f" it is at revision {held.revision}",
        remedy=f"look at it, and ask with a new change id and revision {held.revision} if need be",
    )


def _history_covers(held: ServiceRecord, revision: int) -> bool:
    history = held.earlier_changes
    return len(history) < MAX_EARLIER_CHANGES or revision >= history[0].revision


def _conflict(name: str, held: ServiceRecord | None, expected_revision: int) -> ConflictError:
    if held is None:
        return ConflictError(
            f"service {name} does not exist and revision {expected_revision} was expected",
            revision=0,
            remedy="create it with expected revision 0",
        )
    state = "deleted" if held.service is None else "changed"
    return ConflictError(
        f"service {name} was {state} by change {held.change_id} at revision {held.revision},"
        f" and revision {expected_revision} was expected",
        revision=held.revision,
        remedy="look at that change, then ask again with its revision",
    )


def _too_many_services() -> ConfigurationError:
    return ConfigurationError(
        "name",
        f"there are {MAX_SERVICES} services, deleted ones included",
        remedy="use the name of a deleted service again",
    )


def create_editor(
    store: Store,
    prefix: str,
    replica: Replica,
    apply_record: Callable[[ServiceRecord, bytes], object],
) -> Editor:
    """Create an editor; it calls `apply_record` with each record and document written or read."""
    return Editor(store, prefix, replica, apply_record)
