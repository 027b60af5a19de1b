"""`heatherhead histograms`."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from heatherhead.commands.exit_codes import ExitCode
from heatherhead.commands.output import document_of
from heatherhead.commands.paging import read_pages
from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.heatherhead_grpc import HistogramsStub

if TYPE_CHECKING:
    from collections.abc import Mapping

    from heatherhead.commands.session import Session

__all__ = ["USAGE", "run"]

USAGE = """Print percentiles by service and class, of the last one to two minutes.

Usage:
  heatherhead histograms [SERVICE] [--total] [--address=ADDRESS]... [options]

Options:
  --total            Of all calls since the instance started.
"""

MILLISECONDS = 1000

_NAME_BY_KIND = {
    pb.HISTOGRAM_KIND_ADDED: "added",
    pb.HISTOGRAM_KIND_UPSTREAM: "upstream",
    pb.HISTOGRAM_KIND_QUEUE_WAIT: "queue wait",
    pb.HISTOGRAM_KIND_ATTEMPTS: "attempts",
}


async def run(session: Session, arguments: Mapping[str, Any]) -> ExitCode:
    """Print a row for each histogram."""
    request = pb.ListHistogramsRequest(
        service=arguments["SERVICE"] or "", encoded=session.output.as_json
    )
    histograms: list[pb.Histogram] = []
    instance_id = ""
    async for page in read_pages(session, request, lambda channel: HistogramsStub(channel).List):
        histograms.extend(page.histograms)
        instance_id = page.instance_id
    if session.output.as_json:
        documents = [document_of(each) for each in histograms]
        session.output.document({"instance_id": instance_id, "histograms": documents})
        return ExitCode.DONE
    session.output.note(f"as seen by {instance_id}")
    session.output.table(
        ("service", "class", "what", "calls", "mean", "p50", "p90", "p99", "p99.9", "max"),
        [_row(each, is_total=arguments["--total"]) for each in histograms],
    )
    return ExitCode.DONE


def _row(histogram: pb.Histogram, *, is_total: bool) -> tuple[object, ...]:
    shown = histogram.total if is_total else histogram.recent
    values = (shown.mean, shown.p50, shown.p90, shown.p99, shown.p999, shown.maximum)
    is_count = histogram.kind == pb.HISTOGRAM_KIND_ATTEMPTS
    texts = [f"{value:.1f}" if is_count else _milliseconds(value) for value in values]
    name = _NAME_BY_KIND.get(histogram.kind, "?")
    return (histogram.service, histogram.call_class, name, shown.count, *texts)


def _milliseconds(seconds: float) -> str:
    return f"{seconds * MILLISECONDS:.2f} ms"
