"""Carries out changes of services: checked, compared, and each applied once."""

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

MAX_CHANGE_ID_CHARACTERS = 128
MAX_DRAIN_RACES = 5
REPLICA_WAIT_S = 1.0
REPLICA_POLL_S = 0.05

_CHANGE_ID = re.compile(r"[!-~]+")


@dataclass(frozen=True, slots=True)
class Change:
    """What every change names: its id, the revision it replaces and whether it is a trial.

    Raises `ConfigurationError` for an id that can't be used.
    """

    change_id: str
    expected_revision: int
    dry_run: bool = False

    def __post_init__(self) -> None:
        is_short = len(self.change_id) <= MAX_CHANGE_ID_CHARACTERS
        if not is_short or not _CHANGE_ID.fullmatch(self.change_id):
            raise ConfigurationError(
                "change_id",
                "not an identifier",
                remedy=f"send 1 to {MAX_CHANGE_ID_CHARACTERS} printable characters without spaces",
            )


class ServiceChanger:
    """Changes services through the editor.

    Raises `ConfigurationError`, `ChangeConflictError`, `UnknownNameError`,
    `StoreUnavailableError` and `StoreAmbiguousError`.
    """

    def __init__(self, parts: DaemonParts) -> None:
        self._replica = parts.replica
        self._editor = parts.editor

    async def put(self, schema: ServiceSchema, change: Change) -> pb.ChangeReply:
        """Create or replace a service."""
        service = service_from_schema(schema)
        if not _is_known(self._replica.by_name.get(schema.name), change.change_id):
            self._refuse_overlaps(service)
        await asyncio.sleep(0)  # lets calls go on after the conversion of a large service
        return await self._put(schema, service, change)

    async def delete(self, name: str, change: Change) -> pb.ChangeReply:
        """Delete a service."""
        held = self._replica.by_name.get(name)
        if change.dry_run:
            self._require(name)
            self._compare(held, name, change)
            return _trial_reply(name, None, held)
        answer = await self._editor.delete(name, change.expected_revision, change.change_id)
        return _reply(await self._accepted(answer, name))

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

        Without an expected revision the change is made anew on the service that a race has left.
        """
        for races_left in reversed(range(MAX_DRAIN_RACES)):
            held = self._require(name)
            assert held.service is not None
            wanted = _with_draining(held.service, upstream_ids, draining=draining)
            expected = held.revision if expected_revision is None else expected_revision
            change = Change(change_id, expected, dry_run)
            try:
                return await self._put(service_to_schema(wanted), wanted, change)
            except ChangeConflictError:
                if expected_revision is not None or not races_left:
                    raise
        raise AssertionError("the last race raises")

    async def _put(self, schema: ServiceSchema, service: Service, change: Change) -> pb.ChangeReply:
        held = self._replica.by_name.get(schema.name)
        if change.dry_run:
            self._compare(held, schema.name, change)
            return _trial_reply(schema.name, service, held)
        if held and held.service == service and held.revision == change.expected_revision:
            return _reply(held, unchanged=True)
        answer = await self._editor.put(schema, change.expected_revision, change.change_id)
        await asyncio.sleep(0)  # lets calls go on before a large service is written out
        return _reply(await self._accepted(answer, schema.name))

    def _require(self, name: str) -> ServiceRecord:
        held = self._replica.by_name.get(name)
        if held is None or held.service is None:
            raise UnknownNameError(
                f"there is no service {name}",
                remedy="see the names with: heatherhead services list",
            )
        return held

    def _refuse_overlaps(self, service: Service) -> None:
        problems = overlaps(service, self._replica.services())
        if problems:
            first, *others = problems
            raise ConfigurationError(
                first.path, first.reason, remedy=first.remedy, others=tuple(others)
            )

    def _compare(self, held: ServiceRecord | None, name: str, change: Change) -> None:
        is_absent = held is None or held.service is None
        if change.expected_revision == 0 and is_absent:
            return
        if held is None or held.revision != change.expected_revision:
            raise _conflict(name, held, change.expected_revision)

    async def _accepted(
        self, answer: Result[ServiceRecord, HeatherheadError], name: str
    ) -> ServiceRecord:
        if not isinstance(answer, Err):
            record = answer.ok_value
            log_event(
                "service_changed_by_operator",
                service=record.name,
                revision=record.revision,
                change_id=record.change_id,
                deleted=record.service is None,
            )
            return record
        error = answer.err_value
        if not isinstance(error, ConflictError):
            raise error
        record = await self._other_change(name, error.revision)
        raise ChangeConflictError(error.reason, record=record, remedy=error.remedy) from error

    async def _other_change(self, name: str, revision: int) -> ServiceRecord | None:
        """Wait a moment for the replica to hold what the other change made."""
        for _ in range(int(REPLICA_WAIT_S / REPLICA_POLL_S)):
            held = self._replica.by_name.get(name)
            if held is not None and held.revision >= revision:
                return held
            if not revision:
                return None
            await asyncio.sleep(REPLICA_POLL_S)
        return self._replica.by_name.get(name)


def _is_known(held: ServiceRecord | None, change_id: str) -> bool:
    if held is None:
        return False
    earlier = (each.change_id for each in held.earlier_changes)
    return held.change_id == change_id or change_id in earlier


def _with_draining(service: Service, upstream_ids: list[str], *, draining: bool) -> Service:
    if not upstream_ids:
        raise ConfigurationError("upstream_ids", "there is none", remedy="name an upstream")
    for upstream_id in upstream_ids:
        if service.upstream(upstream_id) is None:
            raise UnknownNameError(
                f"service {service.name} has no upstream {upstream_id}",
                remedy=f"see the ids with: heatherhead upstreams list {service.name}",
            )
    wanted = set(upstream_ids)
    upstreams = tuple(
        replace(each, draining=draining) if each.id in wanted else each
        for each in service.upstreams
    )
    return replace(service, upstreams=upstreams)


def _conflict(name: str, held: ServiceRecord | None, expected: int) -> ChangeConflictError:
    state = f"at revision {held.revision} by change {held.change_id}" if held else "not there"
    return ChangeConflictError(
        f"service {name} is {state}, and revision {expected} was expected",
        record=held,
        remedy="look at that change, then ask again with its revision",
    )


def _reply(record: ServiceRecord, *, unchanged: bool = False) -> pb.ChangeReply:
    warnings = warnings_of(record.service) if record.service else []
    return pb.ChangeReply(
        record=to_message(record),
        unchanged=unchanged,
        warnings=[to_message(each) for each in warnings],
    )


def _trial_reply(name: str, service: Service | None, held: ServiceRecord | None) -> pb.ChangeReply:
    reply = _reply(ServiceRecord(name, 0, "", service))
    reply.dry_run = True
    reply.unchanged = held is not None and held.service == service
    return reply
