"""`heatherhead services put`."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from heatherhead.commands.differences import differences_of
from heatherhead.commands.documents import document_of_service, read_service
from heatherhead.commands.service_changes import (
    CHANGE_OPTIONS,
    choose_change_id,
    document_of_record,
    explain_conflicts,
    fetch_record,
    parse_revision,
    report_change,
    show_change,
)
from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.heatherhead_grpc import ServicesStub
from heatherhead.operators.messages import message_of_schema

if TYPE_CHECKING:
    from collections.abc import Mapping

    from heatherhead.commands.exit_codes import ExitCode
    from heatherhead.commands.session import Session

__all__ = ["USAGE", "run"]

USAGE = f"""Create or replace a service.

FILE is JSON with comments; `-` reads standard input. The differences from the current
service are shown, and the change is made unless the service was changed in the meantime.

Usage:
  heatherhead services put FILE [--address=ADDRESS]... [options]
{CHANGE_OPTIONS}
  --expected-revision=N  Replace only this revision; without it, the one whose differences are
                     shown. 0 means that the service must not exist yet.
"""


async def run(session: Session, arguments: Mapping[str, Any]) -> ExitCode:
    """Check the change, show it, ask for confirmation and put the service."""
    schema = read_service(arguments["FILE"])
    before = await fetch_record(session, schema.name)
    differences = differences_of(document_of_record(before), document_of_service(schema))
    request = pb.PutServiceRequest(
        service=message_of_schema(schema),
        expected_revision=parse_revision(arguments["--expected-revision"], before),
        change_id=choose_change_id(arguments),
        dry_run=True,
    )
    async with explain_conflicts(session, before):
        reply = await session.client.read(
            lambda channel, timeout_s: ServicesStub(channel).Put(request, timeout=timeout_s)
        )
        show_change(session, differences, reply.warnings)
        if not arguments["--dry-run"]:
            if differences and not arguments["--yes"]:
                session.confirm(f"Change service {schema.name}?")
            request.dry_run = False
            reply = await session.client.change(
                request.change_id,
                lambda channel, timeout_s: ServicesStub(channel).Put(request, timeout=timeout_s),
            )
    return await report_change(session, reply, before, differences, arguments)
