"""Hands events to those who watch, each through a bounded buffer of its own."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.errors import TooBusyError
from heatherhead.telemetry.logs import add_event_listener, remove_event_listener

if TYPE_CHECKING:
    from collections.abc import Mapping

    from heatherhead.configuration.model import ServiceRecord
    from heatherhead.operators.parts import DaemonParts

__all__ = ["EventHub", "Watcher", "create_event_hub"]

MAX_WATCHERS = 16
MAX_BUFFERED_EVENTS = 256
MAX_NOTICE_FIELDS = 32
MAX_FIELD_CHARACTERS = 200

_FIELD_BY_KIND = {
    pb.EVENT_KIND_SERVICE_CHANGED: "service_changed",
    pb.EVENT_KIND_INSTANCE_CHANGED: "instance_changed",
    pb.EVENT_KIND_NOTICE: "notice",
}


@dataclass(frozen=True, slots=True)
class _Buffered:
    event: pb.Event
    happened_at: float


class Watcher:
    """One reader of events; when its buffer is full the oldest events are lost and counted."""

    def __init__(self, fields: frozenset[str]) -> None:
        self._fields = fields
        self._buffer: deque[_Buffered] = deque(maxlen=MAX_BUFFERED_EVENTS)
        self._lost = 0
        self._filled = asyncio.Event()

    def offer(self, buffered: _Buffered) -> None:
        """Buffer an event of a kind that is watched."""
        if buffered.event.WhichOneof("event") not in self._fields:
            return
        if len(self._buffer) == MAX_BUFFERED_EVENTS:
            self._lost += 1
        self._buffer.append(buffered)
        self._filled.set()

    async def take(self) -> pb.Event:
        """Wait for the next event, or for the news that events were lost before it."""
        while not self._buffer:
            self._filled.clear()
            await self._filled.wait()
        if self._lost:
            lost, self._lost = self._lost, 0
            return pb.Event(
                sequence=self._buffer[0].event.sequence - 1,
                events_lost=pb.EventsLost(count=lost),
            )
        buffered = self._buffer.popleft()
        event = pb.Event()
        event.CopyFrom(buffered.event)
        event.age_s = asyncio.get_running_loop().time() - buffered.happened_at
        return event


class EventHub:
    """Collects events of configuration, instances and log, and offers them to all watchers."""

    def __init__(self, parts: DaemonParts) -> None:
        self._membership = parts.membership
        self._sequence = 0
        self._watchers: set[Watcher] = set()
        self._state_by_id = self._instance_states()
        self._loop: asyncio.AbstractEventLoop | None = None
        parts.replica.subscribe(self._service_changed)
        parts.membership.subscribe(self._instances_changed)

    def open(self) -> None:
        """Begin to collect events, on the running loop."""
        self._loop = asyncio.get_running_loop()
        self._state_by_id = self._instance_states()
        add_event_listener(self._logged)

    def close(self) -> None:
        """Stop collecting events."""
        self._loop = None
        remove_event_listener(self._logged)

    def watch(self, kinds: list[pb.EventKind]) -> Watcher:
        """Begin a watch of some kinds of events, or of all; `unwatch` ends it.

        Raises `TooBusyError` when there are too many.
        """
        if len(self._watchers) >= MAX_WATCHERS:
            raise TooBusyError(
                f"{MAX_WATCHERS} watches of events are open on this instance",
                remedy="end one of them, or watch another instance",
            )
        wanted = kinds or list(_FIELD_BY_KIND)
        fields = frozenset(_FIELD_BY_KIND[kind] for kind in wanted if kind in _FIELD_BY_KIND)
        watcher = Watcher(fields)
        self._watchers.add(watcher)
        return watcher

    def unwatch(self, watcher: Watcher) -> None:
        """End a watch."""
        self._watchers.discard(watcher)

    def _publish(self, event: pb.Event) -> None:
        if self._loop is None:
            return
        self._sequence += 1
        event.sequence = self._sequence
        buffered = _Buffered(event, self._loop.time())
        for watcher in self._watchers:
            watcher.offer(buffered)

    def _service_changed(self, record: ServiceRecord) -> None:
        changed = pb.ServiceChanged(
            name=record.name,
            revision=record.revision,
            change_id=record.change_id,
            deleted=record.service is None,
        )
        self._publish(pb.Event(service_changed=changed))

    def _instances_changed(self) -> None:
        old, new = self._state_by_id, self._instance_states()
        self._state_by_id = new
        for instance_id in sorted(old.keys() | new.keys()):
            old_state, new_state = old.get(instance_id, ""), new.get(instance_id, "")
            if old_state == new_state:
                continue
            changed = pb.InstanceChanged(
                instance_id=instance_id, old_state=old_state, new_state=new_state
            )
            self._publish(pb.Event(instance_changed=changed))

    def _logged(self, name: str, level: str, fields: Mapping[str, object]) -> None:
        if level == "DEBUG" or not self._watchers:
            return
        shown = list(fields.items())[:MAX_NOTICE_FIELDS]
        notice = pb.Notice(
            name=name,
            level=level,
            fields={key: str(value)[:MAX_FIELD_CHARACTERS] for key, value in shown},
        )
        self._publish(pb.Event(notice=notice))

    def _instance_states(self) -> dict[str, str]:
        return {each.id: str(each.state) for each in self._membership.by_id.values()}


def create_event_hub(parts: DaemonParts) -> EventHub:
    """Create a hub that follows the parts of a daemon."""
    return EventHub(parts)
