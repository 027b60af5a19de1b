"""`heatherhead histograms`."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from heatherhead.commands.exit_codes import ExitCode
from heatherhead.commands.fleet import ask_instances
from heatherhead.commands.histogram_merge import MergedCalls, merge_replies
from heatherhead.commands.output import document_of
from heatherhead.commands.paging import read_pages
from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.heatherhead_grpc import HistogramsStub

if TYPE_CHECKING:
    from collections.abc import Mapping

    from heatherhead.commands.session import Session

__all__ = ["USAGE", "run"]

USAGE = """Print percentiles and outcomes of calls by service and class.

They are those of the last one to two minutes on the answering instance. With --all the histograms
of all instances are merged before percentiles are taken.

Usage:
  heatherhead histograms [SERVICE] [--total | --all] [--address=ADDRESS]... [options]

Options:
  --total            Of all calls since the instance started.
  --all              Of all calls since their start on all live instances.
"""

MILLISECONDS_PER_S = 1000

_NAME_BY_KIND = {
    pb.HISTOGRAM_KIND_ADDED: "added",
    pb.HISTOGRAM_KIND_UPSTREAM: "upstream",
    pb.HISTOGRAM_KIND_QUEUE_WAIT: "queue wait",
    pb.HISTOGRAM_KIND_ATTEMPTS: "attempts",
}


async def run(session: Session, arguments: Mapping[str, Any]) -> ExitCode:
    """Print a row for each histogram and for each outcome."""
    service = arguments["SERVICE"] or ""
    if arguments["--all"]:
        replies = await ask_instances(
            session, lambda there: _read_calls(there, service, encoded=True)
        )
        merged = merge_replies([page for pages in replies for page in pages])
        source = f"{len(replies)} instances"
    else:
        pages = await _read_calls(session, service, encoded=session.output.as_json)
        merged = MergedCalls(
            [each for page in pages for each in page.histograms],
            [each for page in pages for each in page.outcomes],
        )
        source = pages[0].instance_id
    is_total = arguments["--total"] or arguments["--all"]
    _show(session, merged, source, is_total=is_total)
    return ExitCode.DONE


async def _read_calls(
    session: Session, service: str, *, encoded: bool
) -> list[pb.ListHistogramsReply]:
    request = pb.ListHistogramsRequest(service=service, encoded=encoded)
    pages = read_pages(session, request, lambda channel: HistogramsStub(channel).List)
    return [page async for page in pages]


def _show(session: Session, calls: MergedCalls, source: str, *, is_total: bool) -> None:
    output = session.output
    if output.as_json:
        output.document(
            {
                "source": source,
                "histograms": [document_of(each) for each in calls.histograms],
                "outcomes": [document_of(each) for each in calls.outcomes],
            }
        )
        return
    output.note(f"as seen by {source}")
    output.table(
        ("service", "class", "what", "calls", "mean", "p50", "p90", "p99", "p99.9", "max"),
        [_histogram_row(each, is_total=is_total) for each in calls.histograms],
    )
    output.line("")
    output.table(
        ("service", "class", "outcome", "calls"),
        [
            (each.service, each.call_class, each.outcome, each.total if is_total else each.recent)
            for each in calls.outcomes
        ],
    )


def _histogram_row(histogram: pb.Histogram, *, is_total: bool) -> tuple[object, ...]:
    shown = histogram.total if is_total else histogram.recent
    values = (shown.mean, shown.p50, shown.p90, shown.p99, shown.p999, shown.maximum)
    is_count = histogram.kind == pb.HISTOGRAM_KIND_ATTEMPTS
    texts = [f"{value:.1f}" if is_count else _milliseconds(value) for value in values]
    name = _NAME_BY_KIND.get(histogram.kind, "?")
    return (histogram.service, histogram.call_class, name, shown.count, *texts)


def _milliseconds(seconds: float) -> str:
    return f"{seconds * MILLISECONDS_PER_S:.2f} ms"
