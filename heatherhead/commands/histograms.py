"""`heatherhead histograms`."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from heatherhead.commands.exit_codes import ExitCode
from heatherhead.commands.fleet import query_instances
from heatherhead.commands.histogram_merge import CallStatistics, merge_replies
from heatherhead.commands.output import document_of
from heatherhead.commands.paging import read_pages
from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.heatherhead_grpc import HistogramsStub

if TYPE_CHECKING:
    from collections.abc import Mapping

    from heatherhead.commands.session import Session

__all__ = ["USAGE", "run"]

USAGE = """Print percentiles and outcomes of calls by service and class.

They cover the last one to two minutes on the answering instance. With --all the histograms
of all instances are merged before percentiles are computed.

Usage:
  heatherhead histograms [SERVICE] [--total | --all] [--address=ADDRESS]... [options]

Options:
  --total            Cover all calls since the instance started.
  --all              Cover all calls on all live instances, since each of them started.
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
        replies = await query_instances(
            session, lambda instance_session: _fetch_pages(instance_session, service, encoded=True)
        )
        statistics = merge_replies([page for pages in replies for page in pages])
        source = f"{len(replies)} instances"
    else:
        pages = await _fetch_pages(session, service, encoded=session.output.as_json)
        statistics = CallStatistics(
            [each for page in pages for each in page.histograms],
            [each for page in pages for each in page.outcomes],
        )
        source = pages[0].instance_id
    is_total = arguments["--total"] or arguments["--all"]
    _print_statistics(session, statistics, source, is_total=is_total)
    return ExitCode.DONE


async def _fetch_pages(
    session: Session, service: str, *, encoded: bool
) -> list[pb.ListHistogramsReply]:
    request = pb.ListHistogramsRequest(service=service, encoded=encoded)
    pages = read_pages(session, request, lambda channel: HistogramsStub(channel).List)
    return [page async for page in pages]


def _print_statistics(
    session: Session, statistics: CallStatistics, source: str, *, is_total: bool
) -> None:
    output = session.output
    if output.as_json:
        output.print_document(
            {
                "source": source,
                "histograms": [document_of(each) for each in statistics.histograms],
                "outcomes": [document_of(each) for each in statistics.outcomes],
            }
        )
        return
    output.print_note(f"as seen by {source}")
    output.print_table(
        ("service", "class", "what", "calls", "mean", "p50", "p90", "p99", "p99.9", "max"),
        [_histogram_row(each, is_total=is_total) for each in statistics.histograms],
    )
    output.print_line("")
    output.print_table(
        ("service", "class", "outcome", "calls"),
        [
            (each.service, each.call_class, each.outcome, each.total if is_total else each.recent)
            for each in statistics.outcomes
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
