"""Handler of `Upstreams`: list, drain and undrain."""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.changes import ServiceChanger
from heatherhead.operators.errors import UnknownNameError
from heatherhead.operators.handlers.requests import collect_page, receive_request
from heatherhead.operators.heatherhead_grpc import UpstreamsBase
from heatherhead.operators.messages import to_message

if TYPE_CHECKING:
    from grpclib.server import Stream

    from heatherhead.operators.parts import DaemonParts
    from heatherhead.routing.interface import UpstreamSnapshot

__all__ = ["UpstreamsHandler"]


class UpstreamsHandler(UpstreamsBase):
    """Lists the observed state of upstreams and sets their `draining` flag."""

    def __init__(self, parts: DaemonParts) -> None:
        self._parts = parts
        self._changer = ServiceChanger(parts)

    async def List(self, stream: Stream[pb.ListUpstreamsRequest, pb.ListUpstreamsReply]) -> None:
        """List upstreams page by page; a service is never split between pages."""
        request = await receive_request(stream)
        names = [service.name for service in self._parts.replica.services()]
        if request.service:
            if request.service not in names:
                raise UnknownNameError(
                    f"there is no service {request.service}",
                    remedy="see the names with: heatherhead services list",
                )
            names = [request.service]
        upstreams, token = await collect_page(names, request.page_token, self._upstream_statuses)
        await stream.send_message(
            pb.ListUpstreamsReply(
                upstreams=upstreams,
                next_page_token=token,
                instance_id=self._parts.membership.own.id,
            )
        )

    async def Drain(self, stream: Stream[pb.DrainRequest, pb.ChangeReply]) -> None:
        """Stop sending new calls to upstreams."""
        await self._set_draining(stream, draining=True)

    async def Undrain(self, stream: Stream[pb.DrainRequest, pb.ChangeReply]) -> None:
        """Resume sending calls to drained upstreams."""
        await self._set_draining(stream, draining=False)

    async def _set_draining(
        self, stream: Stream[pb.DrainRequest, pb.ChangeReply], *, draining: bool
    ) -> None:
        request = await receive_request(stream)
        has_expected = request.HasField("expected_revision")
        reply = await self._changer.set_draining(
            request.service,
            list(request.upstream_ids),
            request.change_id,
            draining=draining,
            expected_revision=request.expected_revision if has_expected else None,
            dry_run=request.dry_run,
        )
        await stream.send_message(reply)

    def _upstream_statuses(self, service: str) -> list[pb.UpstreamStatus]:
        snapshots = self._parts.router.evidence(service)
        return [_status_of(service, each) for each in snapshots]


def _status_of(service: str, snapshot: UpstreamSnapshot) -> pb.UpstreamStatus:
    return pb.UpstreamStatus(
        service=service,
        upstream=to_message(snapshot.upstream),
        state=snapshot.state,
        in_flight=snapshot.in_flight,
        limit=snapshot.limit,
        oldest_age_s=snapshot.oldest_age_s,
        reason=snapshot.reason,
    )
