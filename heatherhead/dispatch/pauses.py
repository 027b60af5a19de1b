"""How long upstreams want no calls from this instance, by their own answers.

An upstream that leaves wants none any more, one that turned a call away may name a time. Both hold
for one start of an upstream, also while its entry is missing for a time.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING

from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from heatherhead.registry.entries import UpstreamAddress, UpstreamEntry

__all__ = ["PauseTable", "create_pause_table"]

MAX_PAUSE_S = 3600.0  # for a time that was meant in other units; upstreams that leave excepted
MAX_UPSTREAMS = 4096  # the oldest are discarded first


class PauseTable:
    """The end of each start's pause, infinite for an upstream that leaves."""

    def __init__(self) -> None:
        self._until_by_start: OrderedDict[tuple[UpstreamAddress, str], float] = OrderedDict()

    def until(self, entry: UpstreamEntry) -> float:
        """Return when the pause of an upstream ends, 0 if it asked for none since its start."""
        return self._until_by_start.get((entry.address, entry.service), 0.0)

    def record(self, entry: UpstreamEntry, pause_s: float, now: float) -> float:
        """Record that an upstream wants a pause from now on; return when it ends.

        A shorter one doesn't end an earlier one sooner.
        """
        before = self.until(entry)
        until = now + (pause_s if math.isinf(pause_s) else min(pause_s, MAX_PAUSE_S))
        if until <= before:
            return before
        start = entry.address, entry.service
        self._until_by_start[start] = until
        self._until_by_start.move_to_end(start)
        if len(self._until_by_start) > MAX_UPSTREAMS:
            self._until_by_start.popitem(last=False)
        event = "upstream_leaves" if math.isinf(until) else "upstream_paused"
        if event == "upstream_leaves" or before <= now:
            log_event(event, upstream=entry.id, service=entry.service, for_s=f"{until - now:.3f}")
        return until


def create_pause_table() -> PauseTable:
    """Create an empty table."""
    return PauseTable()
