"""`heatherhead upstreams list`."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from heatherhead.commands.exit_codes import ExitCode
from heatherhead.commands.fleet import ask_one_or_all
from heatherhead.commands.output import document_of
from heatherhead.commands.paging import read_pages
from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.heatherhead_grpc import UpstreamsStub

if TYPE_CHECKING:
    from collections.abc import Mapping

    from heatherhead.commands.session import Session

__all__ = ["USAGE", "run"]

USAGE = """List upstreams with what the answering instance knows of them.

An instance knows most of the services whose home it is; --all asks every live instance.

Usage:
  heatherhead upstreams list [SERVICE] [--state=STATE]... [--address=ADDRESS]... [options]

Options:
  --state=STATE      Only upstreams in this state, as draining or ejected. May be repeated.
  --all              As all live instances see them.
"""


async def run(session: Session, arguments: Mapping[str, Any]) -> ExitCode:
    """Print a row for each upstream, and for each instance with --all."""
    service = arguments["SERVICE"] or ""
    replies = await ask_one_or_all(
        session, lambda there: _read(there, service), is_all=arguments["--all"]
    )
    states = arguments["--state"]
    rows = [
        (reply.instance_id, status)
        for reply in replies
        for status in reply.upstreams
        if not states or status.state in states
    ]
    if session.output.as_json:
        documents = [{"instance_id": seen_by, **document_of(each)} for seen_by, each in rows]
        session.output.document(documents)
        return ExitCode.DONE
    session.output.table(
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
        [(seen_by, *_cells(status)) for seen_by, status in rows],
    )
    return ExitCode.DONE


async def _read(session: Session, service: str) -> pb.ListUpstreamsReply:
    whole = pb.ListUpstreamsReply()
    request = pb.ListUpstreamsRequest(service=service)
    async for page in read_pages(session, request, lambda channel: UpstreamsStub(channel).List):
        whole.instance_id = page.instance_id
        whole.upstreams.extend(page.upstreams)
    return whole


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
