"""Handler of `Events`: watch."""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.handlers.requests import receive_request
from heatherhead.operators.heatherhead_grpc import EventsBase

if TYPE_CHECKING:
    from grpclib.server import Stream

    from heatherhead.operators.event_hub import EventHub
    from heatherhead.operators.parts import DaemonParts

__all__ = ["EventsHandler"]


class EventsHandler(EventsBase):
    """Streams the hub's events."""

    def __init__(self, parts: DaemonParts, hub: EventHub) -> None:
        self._membership = parts.membership
        self._hub = hub

    async def Watch(self, stream: Stream[pb.WatchRequest, pb.Event]) -> None:
        """Stream events until the client disconnects."""
        request = await receive_request(stream)
        watcher = self._hub.watch(list(request.kinds))
        try:
            started = pb.WatchStarted(instance_id=self._membership.own.id)
            await stream.send_message(pb.Event(watch_started=started))
            while True:
                await stream.send_message(await watcher.next_event())
        finally:
            self._hub.unwatch(watcher)
