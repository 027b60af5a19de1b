"""Validates changes of services and writes them to the store.

Each change carries an id chosen by the operator's tool and the revision that it replaces, so that
a repeated request has no second effect and a concurrent change is reported as a conflict.
"""

from __future__ import annotations

import asyncio
import re
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from result import Err

from heatherhead.configuration.model import ServiceRecord
from heatherhead.configuration.schema import service_from_schema, service_to_schema
from heatherhead.configuration.service_checks import overlaps, warnings_of
from heatherhead.exceptions import ConfigurationError, ConflictError
from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.errors import ChangeConflictError, UnknownNameError
from heatherhead.operators.messages import to_message
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from result import Result

    from heatherhead.configuration.model import Service
    from heatherhead.configuration.schema import ServiceSchema
    from heatherhead.exceptions import HeatherheadError
    from heatherhead.operators.parts import DaemonParts

__all__ = ["Change", "ServiceChanger"]

MAX_CHANGE_ID_CHARS = 128
MAX_DRAIN_ATTEMPTS = 5
REPLICA_WAIT_TIMEOUT_S = 1.0
REPLICA_POLL_INTERVAL_S = 0.05

_CHANGE_ID = re.compile(r"[!-~]+")


@dataclass(frozen=True, slots=True)
class Change:
    """The parameters common to all changes; a dry run is checked and not written.

    Raises `ConfigurationError` for a malformed change id.
    """

    change_id: str
    expected_revision: int
    dry_run: bool = False

    def __post_init__(self) -> None:
        is_short = len(self.change_id) <= MAX_CHANGE_ID_CHARS
        if not is_short or not _CHANGE_ID.fullmatch(self.change_id):
            raise ConfigurationError(
                "change_id",
                "not an identifier",
                remedy=f"send 1 to {MAX_CHANGE_ID_CHARS} printable characters without spaces",
            )


class ServiceChanger:
    """Applies changes of services through the configuration editor.

    Its methods raise `ConfigurationError`, `ChangeConflictError`, `UnknownNameError`,
    `StoreUnavailableError` and `StoreAmbiguousError`.
    """

    def __init__(self, parts: DaemonParts) -> None:
        self._replica = parts.replica
        self._editor = parts.editor

    async def put(self, schema: ServiceSchema, change: Change) -> pb.ChangeReply:
        """Create or replace a service."""
        service = service_from_schema(schema)
        if not _was_already_applied(self._replica.by_name.get(schema.name), change.change_id):
            self._reject_overlaps(service)
        await asyncio.sleep(0)  # lets calls proceed; converting a large service takes long
        return await self._put(schema, service, change)

    async def delete(self, name: str, change: Change) -> pb.ChangeReply:
        """Delete a service."""
        current = self._replica.by_name.get(name)
        if change.dry_run:
            self._existing_record(name)
            self._check_expected_revision(current, name, change)
            return _dry_run_reply(name, None, current)
        outcome = await self._editor.delete(name, change.expected_revision, change.change_id)
        return _change_reply(await self._accepted_record(outcome, name))

    async def set_draining(
        self,
        name: str,
        upstream_ids: list[str],
        change_id: str,
        *,
        draining: bool,
        expected_revision: int | None,
        dry_run: bool,
    ) -> pb.ChangeReply:
        """Drain or undrain upstreams of a service.

        Without an expected revision, a change that meets a conflict is retried on the newer record.
        """
        for attempts_left in reversed(range(MAX_DRAIN_ATTEMPTS)):
            current = self._existing_record(name)
            assert current.service is not None
            updated = _with_draining(current.service, upstream_ids, draining=draining)
            expected = current.revision if expected_revision is None else expected_revision
            change = Change(change_id, expected, dry_run)
            try:
                return await self._put(service_to_schema(updated), updated, change)
            except ChangeConflictError:
                if expected_revision is not None or not attempts_left:
                    raise
        raise AssertionError("the last attempt returns or raises")

    async def _put(self, schema: ServiceSchema, service: Service, change: Change) -> pb.ChangeReply:
        current = self._replica.by_name.get(schema.name)
        if change.dry_run:
            self._check_expected_revision(current, schema.name, change)
            return _dry_run_reply(schema.name, service, current)
        if current and current.service == service and current.revision == change.expected_revision:
            return _change_reply(current, unchanged=True)
        outcome = await self._editor.put(schema, change.expected_revision, change.change_id)
        await asyncio.sleep(0)  # lets calls proceed; serialising a large service takes long
        return _change_reply(await self._accepted_record(outcome, schema.name))

    def _existing_record(self, name: str) -> ServiceRecord:
        current = self._replica.by_name.get(name)
        if current is None or current.service is None:
            raise UnknownNameError(
                f"there is no service {name}",
                remedy="see the names with: heatherhead services list",
            )
        return current

    def _reject_overlaps(self, service: Service) -> None:
        problems = overlaps(service, self._replica.services())
        if problems:
            first, *other_problems = problems
            raise ConfigurationError(
                first.path, first.reason, remedy=first.remedy, other_problems=tuple(other_problems)
            )

    def _check_expected_revision(
        self, current: ServiceRecord | None, name: str, change: Change
    ) -> None:
        is_absent = current is None or current.service is None
        if change.expected_revision == 0 and is_absent:
            return
        if current is None or current.revision != change.expected_revision:
            raise _conflict(name, current, change.expected_revision)

    async def _accepted_record(
        self, outcome: Result[ServiceRecord, HeatherheadError], name: str
    ) -> ServiceRecord:
        if not isinstance(outcome, Err):
            record = outcome.ok_value
            log_event(
                "service_changed_by_operator",
                service=record.name,
                revision=record.revision,
                change_id=record.change_id,
                deleted=record.service is None,
            )
            return record
        error = outcome.err_value
        if not isinstance(error, ConflictError):
            raise error
        record = await self._wait_for_conflicting_record(name, error.revision)
        raise ChangeConflictError(error.reason, record=record, remedy=error.remedy) from error

    async def _wait_for_conflicting_record(self, name: str, revision: int) -> ServiceRecord | None:
        """Wait until the replica has received the conflicting change, and return its record.

        Returns whatever the replica holds after `REPLICA_WAIT_TIMEOUT_S`.
        """
        for _ in range(int(REPLICA_WAIT_TIMEOUT_S / REPLICA_POLL_INTERVAL_S)):
            current = self._replica.by_name.get(name)
            if current is not None and current.revision >= revision:
                return current
            if not revision:
                return None
            await asyncio.sleep(REPLICA_POLL_INTERVAL_S)
        return self._replica.by_name.get(name)


def _was_already_applied(current: ServiceRecord | None, change_id: str) -> bool:
    if current is None:
        return False
    earlier = (each.change_id for each in current.earlier_changes)
    return current.change_id == change_id or change_id in earlier


def _with_draining(service: Service, upstream_ids: list[str], *, draining: bool) -> Service:
    if not upstream_ids:
        raise ConfigurationError("upstream_ids", "there is none", remedy="name an upstream")
    for upstream_id in upstream_ids:
        if service.upstream(upstream_id) is None:
            raise UnknownNameError(
                f"service {service.name} has no upstream {upstream_id}",
                remedy=f"see the ids with: heatherhead upstreams list {service.name}",
            )
    selected_ids = set(upstream_ids)
    upstreams = tuple(
        replace(each, draining=draining) if each.id in selected_ids else each
        for each in service.upstreams
    )
    return replace(service, upstreams=upstreams)


def _conflict(name: str, current: ServiceRecord | None, expected: int) -> ChangeConflictError:
    state = (
        f"at revision {current.revision} by change {current.change_id}" if current else "not there"
    )
    return ChangeConflictError(
        f"service {name} is {state}, and revision {expected} was expected",
        record=current,
        remedy="look at that change, then ask again with its revision",
    )


def _change_reply(record: ServiceRecord, *, unchanged: bool = False) -> pb.ChangeReply:
    warnings = warnings_of(record.service) if record.service else []
    return pb.ChangeReply(
        record=to_message(record),
        unchanged=unchanged,
        warnings=[to_message(each) for each in warnings],
    )


def _dry_run_reply(
    name: str, service: Service | None, current: ServiceRecord | None
) -> pb.ChangeReply:
    reply = _change_reply(ServiceRecord(name, 0, "", service))
    reply.dry_run = True
    reply.unchanged = current is not None and current.service == service
    return reply
