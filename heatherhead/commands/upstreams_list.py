"""`heatherhead upstreams list`."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from heatherhead.commands.exit_codes import ExitCode
from heatherhead.commands.fleet import query_one_or_all
from heatherhead.commands.output import document_of
from heatherhead.commands.paging import read_pages
from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.heatherhead_grpc import UpstreamsStub

if TYPE_CHECKING:
    from collections.abc import Mapping

    from heatherhead.commands.session import Session

__all__ = ["USAGE", "run"]

USAGE = """List upstreams and their state as seen by the answering instance.

An instance knows most about the services of which it is a home; --all queries every live instance.

Usage:
  heatherhead upstreams list [SERVICE] [--state=STATE]... [--address=ADDRESS]... [options]

Options:
  --state=STATE      Only upstreams in this state, such as draining or ejected. May be repeated.
  --all              Show them as seen by all live instances.
"""


async def run(session: Session, arguments: Mapping[str, Any]) -> ExitCode:
    """Print a row for each upstream; with --all, one for each upstream and instance."""
    service = arguments["SERVICE"] or ""
    replies = await query_one_or_all(
        session,
        lambda instance_session: _fetch_upstreams(instance_session, service),
        all_instances=arguments["--all"],
    )
    states = arguments["--state"]
    rows = [
        (reply.instance_id, status)
        for reply in replies
        for status in reply.upstreams
        if not states or status.state in states
    ]
    if session.output.as_json:
        documents = [
            {"instance_id": observer_id, **document_of(each)} for observer_id, each in rows
        ]
        session.output.print_document(documents)
        return ExitCode.DONE
    session.output.print_table(
        (
            "seen by",
            "service",
            "upstream",
            "address",
            "zone",
            "state",
            "in flight",
            "limit",
            "oldest",
            "why",
        ),
        [(observer_id, *_cells(status)) for observer_id, status in rows],
    )
    return ExitCode.DONE


async def _fetch_upstreams(session: Session, service: str) -> pb.ListUpstreamsReply:
    merged = pb.ListUpstreamsReply()
    request = pb.ListUpstreamsRequest(service=service)
    async for page in read_pages(session, request, lambda channel: UpstreamsStub(channel).List):
        merged.instance_id = page.instance_id
        merged.upstreams.extend(page.upstreams)
    return merged


def _cells(status: pb.UpstreamStatus) -> tuple[object, ...]:
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
