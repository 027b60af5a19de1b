"""`heatherhead config status`."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from heatherhead.commands.changing import wait_in_force
from heatherhead.commands.exit_codes import CommandError, ExitCode
from heatherhead.commands.options import parse_number
from heatherhead.commands.output import document_of
from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.heatherhead_grpc import ConfigurationStub

if TYPE_CHECKING:
    from collections.abc import Mapping

    from heatherhead.commands.session import Session

__all__ = ["USAGE", "run"]

USAGE = """Show where a revision of the configuration is in force, and who is missing.

Usage:
  heatherhead config status [--address=ADDRESS]... [options]

Options:
  --revision=N       Revision; without it the newest that the answering instance has in force.
  --wait             Return when it is in force on every live instance.
  --wait-timeout=SECONDS  Time for that [default: 60].
"""


async def run(session: Session, arguments: Mapping[str, Any]) -> ExitCode:
    """Print a row for each instance, after waiting if asked to."""
    request = pb.StatusRequest()
    if arguments["--revision"]:
        request.revision = int(parse_number("--revision", arguments["--revision"]))
    reply = await _status(session, request)
    if arguments["--wait"] and reply.missing:
        timeout_s = parse_number("--wait-timeout", arguments["--wait-timeout"])
        await wait_in_force(session, reply.revision, timeout_s)
        reply = await _status(session, pb.StatusRequest(revision=reply.revision))
    _show(session, reply)
    if arguments["--wait"] and reply.missing:
        raise CommandError(
            ExitCode.NOT_IN_FORCE,
            f"revision {reply.revision} is not in force on {', '.join(reply.missing)} yet",
            remedy="see with: heatherhead instances, whether they are live",
        )
    return ExitCode.DONE


async def _status(session: Session, request: pb.StatusRequest) -> pb.StatusReply:
    return await session.client.read(
        lambda channel, left_s: ConfigurationStub(channel).Status(request, timeout=left_s)
    )


def _show(session: Session, reply: pb.StatusReply) -> None:
    if session.output.as_json:
        session.output.document(document_of(reply))
        return
    missing = set(reply.missing)
    session.output.table(
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
    unheard = missing.difference(each.instance_id for each in reply.applied)
    if unheard:
        session.output.note(f"not heard of yet: {', '.join(sorted(unheard))}")
    for warning in reply.warnings:
        session.output.note(f"warning: {warning.path}: {warning.reason}; {warning.remedy}")
