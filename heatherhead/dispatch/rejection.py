"""The rejection of a call, and what the instance knew when it rejected the call."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from heatherhead.dispatch.demand import Demand
    from heatherhead.dispatch.placement import Prospect

__all__ = ["RejectedError", "Rejection", "RejectionEvidence", "create_rejection_evidence"]


@dataclass(frozen=True, slots=True)
class RejectionEvidence:
    """What an instance knew when it rejected a call; durations in seconds."""

    waited_s: float
    left_s: float  # until the caller gives up
    ahead: int  # waiting calls that preceded this one
    work_s: float  # estimated service time
    work_age_s: float  # since the answer that the estimate rests on
    baseline: float  # average slowdown of the service
    reading_age_s: float  # since the last load reading of the service
    upstreams: int  # filled first by this instance
    limited: int  # of these, that name a rate limit
    excluded: int  # ejected or misdirected, or without a permit under their rate limit
    free: int  # upstreams with a free slot that are not excluded
    fastest_s: float  # least time to an answer from these, by recent evidence


@dataclass(frozen=True, slots=True)
class Rejection:
    """Why a call is rejected, and when its caller may return.

    A future gets this and not an error: the traceback of an error refers to the frame that awaits
    the future, and so to the future itself, which keeps the request until a garbage collection.
    """

    reason: str
    retry_after_s: float
    evidence: RejectionEvidence


class RejectedError(Exception):
    """A call that can't be answered before its caller gives up; it was not sent to an upstream."""

    def __init__(self, rejection: Rejection) -> None:
        super().__init__(rejection.reason)
        self.reason = rejection.reason
        self.retry_after_s = rejection.retry_after_s
        self.evidence = rejection.evidence


def create_rejection_evidence(
    demand: Demand,
    prospects: Collection[Prospect],
    *,
    upstreams: int,
    limited: int,
    ahead: int,
    baseline: float,
    reading_at: float,
    now: float,
) -> RejectionEvidence:
    """Create the evidence for a call behind `ahead` others.

    `prospects` are the upstreams of the `upstreams` that are not excluded, `limited` of them name a
    rate limit, `reading_at` is the time of the last load reading of the service.
    """
    free = [each for each in prospects if each.free > 0]
    return RejectionEvidence(
        waited_s=now - demand.received_at,
        left_s=demand.give_up_at - now,
        ahead=ahead,
        work_s=demand.work_s,
        work_age_s=now - demand.work_measured_at,
        baseline=baseline,
        reading_age_s=now - reading_at,
        upstreams=upstreams,
        limited=limited,
        excluded=upstreams - len(prospects),
        free=len(free),
        fastest_s=min(
            (each.proven_answer_s(demand.proven_work_s) for each in free), default=math.inf
        ),
    )
