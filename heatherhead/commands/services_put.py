"""`heatherhead services put`."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from heatherhead.commands.changing import (
    CHANGE_OPTIONS,
    change_id_of,
    explain_conflicts,
    find_record,
    parse_revision,
    report_change,
    service_document,
    show_change,
)
from heatherhead.commands.differences import differences_of
from heatherhead.commands.documents import document_of_service, read_service
from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.heatherhead_grpc import ServicesStub
from heatherhead.operators.messages import message_of_schema

if TYPE_CHECKING:
    from collections.abc import Mapping

    from heatherhead.commands.exit_codes import ExitCode
    from heatherhead.commands.session import Session

__all__ = ["USAGE", "run"]

USAGE = f"""Create or replace a service.

FILE is JSON with comments; `-` reads standard input. The differences from the service as it is
now are shown, and the change is made if nobody has changed the service in between.

Usage:
  heatherhead services put FILE [--address=ADDRESS]... [options]
{CHANGE_OPTIONS}
  --expected-revision=N  Revision that may be replaced; without it the one whose differences are
                     shown, 0 for a service that must not exist.
"""


async def run(session: Session, arguments: Mapping[str, Any]) -> ExitCode:
    """Check, show, confirm and put."""
    schema = read_service(arguments["FILE"])
    before = await find_record(session, schema.name)
    differences = differences_of(service_document(before), document_of_service(schema))
    request = pb.PutServiceRequest(
        service=message_of_schema(schema),
        expected_revision=parse_revision(arguments["--expected-revision"], before),
        change_id=change_id_of(arguments),
        dry_run=True,
    )
    async with explain_conflicts(session, before):
        reply = await session.client.read(
            lambda channel, left_s: ServicesStub(channel).Put(request, timeout=left_s)
        )
        show_change(session, differences, reply.warnings)
        if not arguments["--dry-run"]:
            if differences and not arguments["--yes"]:
                session.confirm(f"Change service {schema.name}?")
            request.dry_run = False
            reply = await session.client.change(
                request.change_id,
                lambda channel, left_s: ServicesStub(channel).Put(request, timeout=left_s),
            )
    return await report_change(session, reply, before, differences, arguments)
