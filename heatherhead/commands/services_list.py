"""`heatherhead services list`."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from heatherhead.commands.exit_codes import ExitCode
from heatherhead.commands.output import document_of
from heatherhead.commands.paging import read_pages
from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.heatherhead_grpc import ServicesStub

if TYPE_CHECKING:
    from collections.abc import Mapping

    from heatherhead.commands.session import Session

__all__ = ["USAGE", "run"]

USAGE = """List the services.

Usage:
  heatherhead services list [--address=ADDRESS]... [options]
"""


async def run(session: Session, arguments: Mapping[str, Any]) -> ExitCode:
    """Print a row for each service."""
    services: list[pb.ServiceSummary] = []
    async for page in read_pages(
        session,
        pb.ListServicesRequest(),
        lambda channel: ServicesStub(channel).List,
    ):
        services.extend(page.services)
    if session.output.as_json:
        session.output.print_document([document_of(each) for each in services])
        return ExitCode.DONE
    session.output.print_table(
        ("name", "revision", "upstreams", "draining", "chosen by", "last change"),
        [
            (
                each.name,
                each.revision,
                each.upstreams,
                each.draining_upstreams,
                " ".join((*each.hosts, *each.path_prefixes)) or "-",
                each.change_id,
            )
            for each in services
        ],
    )
    return ExitCode.DONE
