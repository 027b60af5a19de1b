"""Distributes events to watchers, each of which has a bounded buffer."""

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
MAX_FIELD_CHARS = 200

_FIELD_BY_KIND = {
    pb.EVENT_KIND_SERVICE_CHANGED: "service_changed",
    pb.EVENT_KIND_INSTANCE_CHANGED: "instance_changed",
    pb.EVENT_KIND_NOTICE: "notice",
}


@dataclass(frozen=True, slots=True)
class _BufferedEvent:
    event: pb.Event
    occurred_at: float


class Watcher:
    """A reader of events; when its buffer is full, the oldest events are dropped and counted."""

    def __init__(self, fields: frozenset[str]) -> None:
        self._fields = fields
        self._buffer: deque[_BufferedEvent] = deque(maxlen=MAX_BUFFERED_EVENTS)
        self._lost_count = 0
        self._buffer_filled = asyncio.Event()

    def offer(self, buffered: _BufferedEvent) -> None:
        """Buffer an event if its kind is watched."""
        if buffered.event.WhichOneof("event") not in self._fields:
            return
        if len(self._buffer) == MAX_BUFFERED_EVENTS:
            self._lost_count += 1
        self._buffer.append(buffered)
        self._buffer_filled.set()

    async def next_event(self) -> pb.Event:
        """Wait for the next event; dropped events are reported before it by an `EventsLost`."""
        while not self._buffer:
            self._buffer_filled.clear()
            await self._buffer_filled.wait()
        if self._lost_count:
            lost, self._lost_count = self._lost_count, 0
            return pb.Event(
                sequence=self._buffer[0].event.sequence - 1,
                events_lost=pb.EventsLost(count=lost),
            )
        buffered = self._buffer.popleft()
        event = pb.Event()
        event.CopyFrom(buffered.event)
        event.age_s = asyncio.get_running_loop().time() - buffered.occurred_at
        return event


class EventHub:
    """Collects configuration changes, instance states and log events for all watchers."""

    def __init__(self, parts: DaemonParts) -> None:
        self._membership = parts.membership
        self._sequence = 0
        self._watchers: set[Watcher] = set()
        self._state_by_id = self._instance_states()
        self._loop: asyncio.AbstractEventLoop | None = None
        parts.replica.subscribe(self._on_service_changed)
        parts.membership.subscribe(self._on_instances_changed)

    def open(self) -> None:
        """Start collecting events on the running loop."""
        self._loop = asyncio.get_running_loop()
        self._state_by_id = self._instance_states()
        add_event_listener(self._on_log_event)

    def close(self) -> None:
        """Stop collecting events."""
        self._loop = None
        remove_event_listener(self._on_log_event)

    def watch(self, kinds: list[pb.EventKind]) -> Watcher:
        """Add a watcher of the given kinds of events, or of all; `unwatch` removes it.

        Raises `TooBusyError` when there are too many watchers.
        """
        if len(self._watchers) >= MAX_WATCHERS:
            raise TooBusyError(
                f"{MAX_WATCHERS} watches of events are open on this instance",
                remedy="end one of them, or watch another instance",
            )
        selected = kinds or list(_FIELD_BY_KIND)
        fields = frozenset(_FIELD_BY_KIND[kind] for kind in selected if kind in _FIELD_BY_KIND)
        watcher = Watcher(fields)
        self._watchers.add(watcher)
        return watcher

    def unwatch(self, watcher: Watcher) -> None:
        """Remove a watcher."""
        self._watchers.discard(watcher)

    def _publish(self, event: pb.Event) -> None:
        if self._loop is None:
            return
        self._sequence += 1
        event.sequence = self._sequence
        buffered = _BufferedEvent(event, self._loop.time())
        for watcher in self._watchers:
            watcher.offer(buffered)

    def _on_service_changed(self, record: ServiceRecord) -> None:
        changed = pb.ServiceChanged(
            name=record.name,
            revision=record.revision,
            change_id=record.change_id,
            deleted=record.service is None,
        )
        self._publish(pb.Event(service_changed=changed))

    def _on_instances_changed(self) -> None:
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

    def _on_log_event(self, name: str, level: str, fields: Mapping[str, object]) -> None:
        if level == "DEBUG" or not self._watchers:
            return
        shown = list(fields.items())[:MAX_NOTICE_FIELDS]
        notice = pb.Notice(
            name=name,
            level=level,
            fields={key: str(value)[:MAX_FIELD_CHARS] for key, value in shown},
        )
        self._publish(pb.Event(notice=notice))

    def _instance_states(self) -> dict[str, str]:
        return {each.id: str(each.state) for each in self._membership.by_id.values()}


def create_event_hub(parts: DaemonParts) -> EventHub:
    """Create a hub that subscribes to the daemon's replica and membership."""
    return EventHub(parts)
