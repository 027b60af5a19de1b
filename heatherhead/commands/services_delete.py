"""`heatherhead services delete`."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from heatherhead.commands.differences import differences_of
from heatherhead.commands.exit_codes import CommandError, ExitCode
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

if TYPE_CHECKING:
    from collections.abc import Mapping

    from heatherhead.commands.session import Session

__all__ = ["USAGE", "run"]

USAGE = f"""Delete a service. Calls in progress finish; new ones are rejected.

Usage:
  heatherhead services delete NAME [--address=ADDRESS]... [options]
{CHANGE_OPTIONS}
  --expected-revision=N  Delete only this revision; without it, the current one.
"""


async def run(session: Session, arguments: Mapping[str, Any]) -> ExitCode:
    """Show the differences, ask for confirmation and delete the service."""
    before = await fetch_record(session, arguments["NAME"])
    change_id = choose_change_id(arguments)
    is_already_made = before.change_id == change_id
    if not before.HasField("service") and not is_already_made:
        raise CommandError(
            ExitCode.NOT_FOUND,
            f"there is no service {before.name}",
            remedy="see the names with: heatherhead services list",
        )
    differences = differences_of(document_of_record(before), None)
    request = pb.DeleteServiceRequest(
        name=before.name,
        expected_revision=parse_revision(arguments["--expected-revision"], before),
        change_id=change_id,
        dry_run=arguments["--dry-run"],
    )
    show_change(session, differences, ())
    if differences and not arguments["--yes"] and not request.dry_run:
        session.confirm(
            f"Delete service {before.name} with {len(before.service.upstreams)} upstreams?"
        )
    async with explain_conflicts(session, before):
        reply = await session.client.change(
            change_id,
            lambda channel, timeout_s: ServicesStub(channel).Delete(request, timeout=timeout_s),
        )
    return await report_change(session, reply, before, differences, arguments)
