"""Handler of `Configuration`: which revision each instance has applied."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from heatherhead.configuration.service_checks import all_overlaps
from heatherhead.exceptions import FieldProblem
from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.handlers.requests import receive_request
from heatherhead.operators.heatherhead_grpc import ConfigurationBase
from heatherhead.operators.messages import to_message

if TYPE_CHECKING:
    from grpclib.server import Stream

    from heatherhead.operators.parts import DaemonParts

__all__ = ["ConfigurationHandler"]

FOLLOW_POLL_INTERVAL_S = 0.1
# Unchanged progress is sent again after this time, which detects a broken connection.
FOLLOW_RESEND_INTERVAL_S = 2.0
FOLLOW_TIMEOUT_S = 600.0
MAX_MISSING_LISTED = 16
MAX_WARNINGS = 50


class ConfigurationHandler(ConfigurationBase):
    """Answers from state gathered over the overlay, without calls to the store."""

    def __init__(self, parts: DaemonParts) -> None:
        self._replica = parts.replica
        self._status = parts.status
        self._membership = parts.membership

    async def Status(self, stream: Stream[pb.StatusRequest, pb.StatusReply]) -> None:
        """Report which instances have applied a revision."""
        request = await receive_request(stream)
        has_revision = request.HasField("revision")
        revision = request.revision if has_revision else self._replica.revision
        applied = sorted(self._status.applied(), key=lambda each: each.instance_id)
        reply = pb.StatusReply(
            revision=revision,
            applied=[to_message(each) for each in applied],
            missing=sorted(self._status.missing(revision)),
            warnings=[to_message(each) for each in self._warnings()[:MAX_WARNINGS]],
        )
        await stream.send_message(reply)

    async def Follow(self, stream: Stream[pb.FollowRequest, pb.FollowProgress]) -> None:
        """Stream progress until every live instance has applied a revision."""
        request = await receive_request(stream)
        loop = asyncio.get_running_loop()
        deadline_at = loop.time() + FOLLOW_TIMEOUT_S
        resend_at = loop.time()
        last: pb.FollowProgress | None = None
        while True:
            progress = self._progress(request.revision)
            now = loop.time()
            if progress != last or now >= resend_at:
                await stream.send_message(progress)
                last, resend_at = progress, now + FOLLOW_RESEND_INTERVAL_S
            if not progress.missing_count or now >= deadline_at:
                return
            await asyncio.sleep(FOLLOW_POLL_INTERVAL_S)

    def _progress(self, revision: int) -> pb.FollowProgress:
        missing = sorted(self._status.missing(revision))
        live = {each.id for each in self._membership.live()}
        return pb.FollowProgress(
            in_force=len(live.difference(missing)),
            missing_count=len(missing),
            missing=missing[:MAX_MISSING_LISTED],
        )

    def _warnings(self) -> list[FieldProblem]:
        services = sorted(self._replica.services(), key=lambda service: service.name)
        return [
            FieldProblem(f"services.{service.name}.{each.path}", each.reason, each.remedy)
            for service, each in all_overlaps(services)
        ]
