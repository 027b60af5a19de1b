"""`heatherhead config status`."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from heatherhead.commands.exit_codes import CommandError, ExitCode
from heatherhead.commands.options import parse_number
from heatherhead.commands.output import document_of
from heatherhead.commands.service_changes import wait_in_force
from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.heatherhead_grpc import ConfigurationStub

if TYPE_CHECKING:
    from collections.abc import Mapping

    from heatherhead.commands.session import Session

__all__ = ["USAGE", "run"]

USAGE = """Show on which instances a revision of the configuration is in force.

Usage:
  heatherhead config status [--address=ADDRESS]... [options]

Options:
  --revision=N       Revision to show; without it, the newest in force on the answering instance.
  --wait             Return when the revision is in force on every live instance.
  --wait-timeout=SECONDS  Maximum time to wait [default: 60].
"""


async def run(session: Session, arguments: Mapping[str, Any]) -> ExitCode:
    """Print a row for each instance; with --wait, wait first until the revision is in force."""
    request = pb.StatusRequest()
    if arguments["--revision"]:
        request.revision = int(parse_number("--revision", arguments["--revision"]))
    reply = await _fetch_status(session, request)
    if arguments["--wait"] and reply.missing:
        timeout_s = parse_number("--wait-timeout", arguments["--wait-timeout"])
        await wait_in_force(session, reply.revision, timeout_s)
        reply = await _fetch_status(session, pb.StatusRequest(revision=reply.revision))
    _print_status(session, reply)
    if arguments["--wait"] and reply.missing:
        raise CommandError(
            ExitCode.NOT_IN_FORCE,
            f"revision {reply.revision} is not in force on {', '.join(reply.missing)} yet",
            remedy="check whether they are live with: heatherhead instances",
        )
    return ExitCode.DONE


async def _fetch_status(session: Session, request: pb.StatusRequest) -> pb.StatusReply:
    return await session.client.read(
        lambda channel, timeout_s: ConfigurationStub(channel).Status(request, timeout=timeout_s)
    )


def _print_status(session: Session, reply: pb.StatusReply) -> None:
    if session.output.as_json:
        session.output.print_document(document_of(reply))
        return
    missing = set(reply.missing)
    session.output.print_table(
        ("instance", "revision", "heard", f"{reply.revision} in force"),
        [
            (
                each.instance_id,
                each.revision if each.HasField("revision") else "-",
                f"{each.age_s:.1f} s ago" if each.HasField("revision") else "-",
                "no" if each.instance_id in missing else "yes",
            )
            for each in reply.applied
        ],
    )
    unreported = missing.difference(each.instance_id for each in reply.applied)
    if unreported:
        session.output.print_note(f"no report received yet from: {', '.join(sorted(unreported))}")
    for warning in reply.warnings:
        session.output.print_note(f"warning: {warning.path}: {warning.reason}; {warning.remedy}")
