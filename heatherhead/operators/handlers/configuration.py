"""Configuration: where a revision is in force."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from heatherhead.configuration.service_checks import all_overlaps
from heatherhead.exceptions import FieldProblem
from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.handlers.requests import receive
from heatherhead.operators.heatherhead_grpc import ConfigurationBase
from heatherhead.operators.messages import to_message

if TYPE_CHECKING:
    from grpclib.server import Stream

    from heatherhead.operators.parts import DaemonParts

__all__ = ["ConfigurationHandler"]

FOLLOW_POLL_S = 0.1
FOLLOW_REPEAT_S = 2.0  # unchanged progress is sent again, which finds a broken connection
MAX_FOLLOW_S = 600.0
MAX_MISSING_SHOWN = 16
MAX_WARNINGS = 50


class ConfigurationHandler(ConfigurationBase):
    """Shows what the overlay has gathered, without store calls."""

    def __init__(self, parts: DaemonParts) -> None:
        self._replica = parts.replica
        self._status = parts.status
        self._membership = parts.membership

    async def Status(self, stream: Stream[pb.StatusRequest, pb.StatusReply]) -> None:
        """Tell where a revision is in force."""
        request = await receive(stream)
        is_named = request.HasField("revision")
        revision = request.revision if is_named else self._replica.revision
        applied = sorted(self._status.applied(), key=lambda each: each.instance_id)
        reply = pb.StatusReply(
            revision=revision,
            applied=[to_message(each) for each in applied],
            missing=sorted(self._status.missing(revision)),
            warnings=[to_message(each) for each in self._warnings()[:MAX_WARNINGS]],
        )
        await stream.send_message(reply)

    async def Follow(self, stream: Stream[pb.FollowRequest, pb.FollowProgress]) -> None:
        """Stream progress until a revision is in force on every live instance."""
        request = await receive(stream)
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + MAX_FOLLOW_S
        repeat_at = loop.time()
        last: pb.FollowProgress | None = None
        while True:
            progress = self._progress(request.revision)
            now = loop.time()
            if progress != last or now >= repeat_at:
                await stream.send_message(progress)
                last, repeat_at = progress, now + FOLLOW_REPEAT_S
            if not progress.missing_count or now >= ends_at:
                return
            await asyncio.sleep(FOLLOW_POLL_S)

    def _progress(self, revision: int) -> pb.FollowProgress:
        missing = sorted(self._status.missing(revision))
        live = {each.id for each in self._membership.live()}
        return pb.FollowProgress(
            in_force=len(live.difference(missing)),
            missing_count=len(missing),
            missing=missing[:MAX_MISSING_SHOWN],
        )

    def _warnings(self) -> list[FieldProblem]:
        services = sorted(self._replica.services(), key=lambda service: service.name)
        return [
            FieldProblem(f"services.{service.name}.{each.path}", each.reason, each.remedy)
            for service, each in all_overlaps(services)
        ]
