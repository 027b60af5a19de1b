"""The requirements of a call, as input to the dispatch decisions."""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ["Demand"]


@dataclass(slots=True)
class Demand:
    """Requirements of one call; moments are on the loop's clock, durations in seconds."""

    service: str
    priority: int  # 0 is the highest
    received_at: float
    target_at: float  # latency target; a later answer is of little use
    give_up_at: float  # client timeout; a later answer is of no use
    work_s: float  # expected service time on an upstream of normal speed
    proven_work_s: float  # the part of it for which there is recent evidence
    size_bytes: int  # request and answer together
    idempotent: bool
    request_id: str = ""
    waited_before_s: float = 0.0  # by the caller, in earlier requests for the same call
    work_measured_at: float = -math.inf  # the last answer that `work_s` rests on
    start_by: float = math.inf  # an attempt that begins later outlasts this instance
    customer_priority: int = 0  # 0 is the highest; goes before `priority`
    regions: frozenset[str] | None = None  # that may serve it; None for all

    def time_to_target(self, now: float) -> float:
        """Return the seconds left until the latency target, less the caller's earlier waits."""
        return self.target_at - self.waited_before_s - now
