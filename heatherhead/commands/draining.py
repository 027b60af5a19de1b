"""The common implementation of `upstreams drain` and `upstreams undrain`."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from heatherhead.commands.differences import differences_of
from heatherhead.commands.service_changes import (
    choose_change_id,
    document_of_record,
    explain_conflicts,
    fetch_record,
    report_change,
    show_change,
)
from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.heatherhead_grpc import UpstreamsStub

if TYPE_CHECKING:
    from collections.abc import Mapping

    from grpclib.client import Channel, UnaryUnaryMethod

    from heatherhead.commands.exit_codes import ExitCode
    from heatherhead.commands.session import Session

__all__ = ["change_draining"]


async def change_draining(
    session: Session, arguments: Mapping[str, Any], *, draining: bool
) -> ExitCode:
    """Show, confirm and make the change.

    The request carries no expected revision: the change applies to the service as it is then, so
    that a concurrent change is no conflict.
    """
    request = pb.DrainRequest(
        service=arguments["SERVICE"],
        upstream_ids=arguments["UPSTREAM"],
        change_id=choose_change_id(arguments),
        dry_run=True,
    )

    def method_of(channel: Channel) -> UnaryUnaryMethod[pb.DrainRequest, pb.ChangeReply]:
        stub = UpstreamsStub(channel)
        return stub.Drain if draining else stub.Undrain

    before = await fetch_record(session, request.service)
    reply = await session.client.read(
        lambda channel, timeout_s: method_of(channel)(request, timeout=timeout_s)
    )
    differences = differences_of(document_of_record(before), document_of_record(reply.record))
    show_change(session, differences, reply.warnings)
    if not arguments["--dry-run"]:
        if differences and not arguments["--yes"]:
            verb = "Drain" if draining else "Undrain"
            session.confirm(f"{verb} {', '.join(request.upstream_ids)} of {request.service}?")
        request.dry_run = False
        async with explain_conflicts(session, before):
            reply = await session.client.change(
                request.change_id,
                lambda channel, timeout_s: method_of(channel)(request, timeout=timeout_s),
            )
    return await report_change(session, reply, before, differences, arguments)
