"""`heatherhead upstreams list`."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from heatherhead.commands.exit_codes import ExitCode
from heatherhead.commands.output import document_of
from heatherhead.commands.paging import read_pages
from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.heatherhead_grpc import UpstreamsStub

if TYPE_CHECKING:
    from collections.abc import Mapping

    from heatherhead.commands.session import Session

__all__ = ["USAGE", "run"]

USAGE = """List upstreams with what the answering instance knows of them.

An instance knows most of the services whose home it is.

Usage:
  heatherhead upstreams list [SERVICE] [--state=STATE]... [--address=ADDRESS]... [options]

Options:
  --state=STATE      Only upstreams in this state, as draining or ejected. May be repeated.
"""


async def run(session: Session, arguments: Mapping[str, Any]) -> ExitCode:
    """Print a row for each upstream."""
    request = pb.ListUpstreamsRequest(service=arguments["SERVICE"] or "")
    states = arguments["--state"]
    upstreams: list[pb.UpstreamStatus] = []
    instance_id = ""
    async for page in read_pages(session, request, lambda channel: UpstreamsStub(channel).List):
        upstreams.extend(each for each in page.upstreams if not states or each.state in states)
        instance_id = page.instance_id
    if session.output.as_json:
        documents = [document_of(each) for each in upstreams]
        session.output.document({"instance_id": instance_id, "upstreams": documents})
        return ExitCode.DONE
    session.output.note(f"as seen by {instance_id}")
    session.output.table(
        ("service", "upstream", "address", "zone", "state", "in flight", "limit", "oldest", "why"),
        [_row(each) for each in upstreams],
    )
    return ExitCode.DONE


def _row(status: pb.UpstreamStatus) -> tuple[object, ...]:
    upstream = status.upstream
    host = f"[{upstream.host}]" if ":" in upstream.host else upstream.host
    return (
        status.service,
        upstream.id,
        f"{host}:{upstream.port}",
        f"{upstream.region}/{upstream.availability_zone}",
        status.state,
        f"{status.in_flight}/{upstream.slots}",
        f"{status.limit:.1f}",
        f"{status.oldest_age_s:.3f} s" if status.in_flight else "-",
        status.reason or "-",
    )
