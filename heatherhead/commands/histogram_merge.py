"""Merges the histograms and outcome counts of several instances."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.messages import to_message
from heatherhead.telemetry.histogram import MICROSECONDS_PER_S, decode_buckets, distribution_of

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

__all__ = ["CallStatistics", "merge_replies"]


@dataclass(frozen=True, slots=True)
class CallStatistics:
    """Histograms and outcome counts to print, each sorted by service and class."""

    histograms: Sequence[pb.Histogram]
    outcomes: Sequence[pb.OutcomeCount]


def merge_replies(replies: Iterable[pb.ListHistogramsReply]) -> CallStatistics:
    """Add up histograms bucket by bucket, and outcome counts; only totals are set in the result."""
    buckets_by_key: dict[tuple[str, str, int], Counter[int]] = {}
    total_by_key: Counter[tuple[str, str, str]] = Counter()
    for reply in replies:
        for histogram in reply.histograms:
            key = (histogram.service, histogram.call_class, histogram.kind)
            buckets = buckets_by_key.setdefault(key, Counter())
            buckets.update(decode_buckets(histogram.encoded))
        for outcome in reply.outcomes:
            total_by_key[outcome.service, outcome.call_class, outcome.outcome] += outcome.total
    return CallStatistics(
        [_merged_histogram(key, buckets_by_key[key]) for key in sorted(buckets_by_key)],
        [_merged_outcome(key, total_by_key[key]) for key in sorted(total_by_key)],
    )


def _merged_histogram(key: tuple[str, str, int], buckets: Counter[int]) -> pb.Histogram:
    service, call_class, kind = key
    scale = 1 if kind == pb.HISTOGRAM_KIND_ATTEMPTS else MICROSECONDS_PER_S
    total = to_message(distribution_of(buckets, scale))
    return pb.Histogram(service=service, call_class=call_class, kind=kind, total=total)


def _merged_outcome(key: tuple[str, str, str], total: int) -> pb.OutcomeCount:
    service, call_class, outcome = key
    return pb.OutcomeCount(service=service, call_class=call_class, outcome=outcome, total=total)
