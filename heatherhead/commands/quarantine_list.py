"""`heatherhead quarantine list`."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from heatherhead.commands.exit_codes import ExitCode
from heatherhead.commands.fleet import query_one_or_all
from heatherhead.commands.output import document_of
from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.heatherhead_grpc import QuarantineStub

if TYPE_CHECKING:
    from collections.abc import Mapping

    from heatherhead.commands.session import Session

__all__ = ["USAGE", "run"]

USAGE = """List the calls that crashed upstreams and are rejected by the answering instance.

The homes of a service reject such calls; --all queries every live instance.

Usage:
  heatherhead quarantine list [SERVICE] [--address=ADDRESS]... [options]

Options:
  --all              List the quarantined calls of all live instances.
"""


async def run(session: Session, arguments: Mapping[str, Any]) -> ExitCode:
    """Print a row for each entry of the answering instance or, with --all, of all instances."""
    service = arguments["SERVICE"] or ""
    replies = await query_one_or_all(
        session,
        lambda instance_session: _fetch_entries(instance_session, service),
        all_instances=arguments["--all"],
    )
    rows = [(reply.instance_id, entry) for reply in replies for entry in reply.entries]
    if session.output.as_json:
        session.output.print_document(
            [
                {
                    "instance_id": observer_id,
                    **document_of(entry),
                    "fingerprint": f"{entry.fingerprint:016x}",
                }
                for observer_id, entry in rows
            ]
        )
        return ExitCode.DONE
    session.output.print_table(
        ("seen by", "service", "fingerprint", "deaths", "expires in", "example"),
        [
            (
                observer_id,
                entry.service,
                f"{entry.fingerprint:016x}",
                entry.deaths,
                f"{entry.expires_in_s:.0f} s",
                entry.example,
            )
            for observer_id, entry in rows
        ],
    )
    return ExitCode.DONE


async def _fetch_entries(session: Session, service: str) -> pb.ListQuarantineReply:
    request = pb.ListQuarantineRequest(service=service)
    return await session.client.read(
        lambda channel, timeout_s: QuarantineStub(channel).List(request, timeout=timeout_s)
    )
