"""`heatherhead services delete`."""

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
from heatherhead.commands.exit_codes import CommandError, ExitCode
from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.heatherhead_grpc import ServicesStub

if TYPE_CHECKING:
    from collections.abc import Mapping

    from heatherhead.commands.session import Session

__all__ = ["USAGE", "run"]

USAGE = f"""Delete a service. Calls in progress finish; new ones are refused.

Usage:
  heatherhead services delete NAME [--address=ADDRESS]... [options]
{CHANGE_OPTIONS}
  --expected-revision=N  Revision that may be deleted; without it the one that is there now.
"""


async def run(session: Session, arguments: Mapping[str, Any]) -> ExitCode:
    """Show, confirm and delete."""
    before = await find_record(session, arguments["NAME"])
    change_id = change_id_of(arguments)
    is_made_already = before.change_id == change_id
    if not before.HasField("service") and not is_made_already:
        raise CommandError(
            ExitCode.NOT_FOUND,
            f"there is no service {before.name}",
            remedy="see the names with: heatherhead services list",
        )
    differences = differences_of(service_document(before), None)
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
            lambda channel, left_s: ServicesStub(channel).Delete(request, timeout=left_s),
        )
    return await report_change(session, reply, before, differences, arguments)
