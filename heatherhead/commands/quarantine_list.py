"""`heatherhead quarantine list`."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from heatherhead.commands.exit_codes import ExitCode
from heatherhead.commands.output import document_of
from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.heatherhead_grpc import QuarantineStub

if TYPE_CHECKING:
    from collections.abc import Mapping

    from heatherhead.commands.session import Session

__all__ = ["USAGE", "run"]

USAGE = """List the calls that crashed upstreams and are held back.

Usage:
  heatherhead quarantine list [SERVICE] [--address=ADDRESS]... [options]
"""


async def run(session: Session, arguments: Mapping[str, Any]) -> ExitCode:
    """Print a row for each entry."""
    request = pb.ListQuarantineRequest(service=arguments["SERVICE"] or "")
    reply = await session.client.read(
        lambda channel, left_s: QuarantineStub(channel).List(request, timeout=left_s)
    )
    if session.output.as_json:
        entries = [
            {**document_of(each), "fingerprint": f"{each.fingerprint:016x}"}
            for each in reply.entries
        ]
        session.output.document({"instance_id": reply.instance_id, "entries": entries})
        return ExitCode.DONE
    session.output.note(f"as seen by {reply.instance_id}")
    session.output.table(
        ("service", "fingerprint", "deaths", "expires in", "example"),
        [
            (
                each.service,
                f"{each.fingerprint:016x}",
                each.deaths,
                f"{each.expires_in_s:.0f} s",
                each.example,
            )
            for each in reply.entries
        ],
    )
    return ExitCode.DONE
