"""`heatherhead quarantine list`."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from heatherhead.commands.exit_codes import ExitCode
from heatherhead.commands.fleet import ask_one_or_all
from heatherhead.commands.output import document_of
from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.heatherhead_grpc import QuarantineStub

if TYPE_CHECKING:
    from collections.abc import Mapping

    from heatherhead.commands.session import Session

__all__ = ["USAGE", "run"]

USAGE = """List the calls that crashed upstreams and are held back by the answering instance.

The homes of a service hold them back; --all asks every live instance.

Usage:
  heatherhead quarantine list [SERVICE] [--address=ADDRESS]... [options]

Options:
  --all              As all live instances hold them back.
"""


async def run(session: Session, arguments: Mapping[str, Any]) -> ExitCode:
    """Print a row for each entry, and for each instance with --all."""
    service = arguments["SERVICE"] or ""
    replies = await ask_one_or_all(
        session, lambda there: _read(there, service), is_all=arguments["--all"]
    )
    rows = [(reply.instance_id, entry) for reply in replies for entry in reply.entries]
    if session.output.as_json:
        session.output.document(
            [
                {
                    "instance_id": seen_by,
                    **document_of(entry),
                    "fingerprint": f"{entry.fingerprint:016x}",
                }
                for seen_by, entry in rows
            ]
        )
        return ExitCode.DONE
    session.output.table(
        ("seen by", "service", "fingerprint", "deaths", "expires in", "example"),
        [
            (
                seen_by,
                entry.service,
                f"{entry.fingerprint:016x}",
                entry.deaths,
                f"{entry.expires_in_s:.0f} s",
                entry.example,
            )
            for seen_by, entry in rows
        ],
    )
    return ExitCode.DONE


async def _read(session: Session, service: str) -> pb.ListQuarantineReply:
    request = pb.ListQuarantineRequest(service=service)
    return await session.client.read(
        lambda channel, left_s: QuarantineStub(channel).List(request, timeout=left_s)
    )
