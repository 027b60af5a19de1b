"""Learns whether the last slot of an upstream is worth filling.

Load pattern answered: some servers slow down when they are nearly full, so that three calls side by
side take longer than two and then one. Each answer tells how long its upstream was full while it
ran and by how much it was late; the slope of the one over the other is the loss of pace when full.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Crowding"]

MEMORY = 0.995  # weight of the past at each answer; about two hundred answers count
MIN_EVIDENCE = 1.0  # answers' worth of time spent on full upstreams
MIN_SLOTS = 2  # the only slot of an upstream is always used
LAST_SLOT_WORTH = 0.25  # slots of usual pace that the last one must add to be filled


@dataclass(slots=True)
class Crowding:
    """Evidence on one service, as sums of a regression through the origin."""

    full_full: float = 0.0
    full_delay: float = 0.0

    def note(self, full_share: float, work_s: float, duration_s: float) -> None:
        """Take in an answer that took `duration_s` for work of `work_s`.

        `full_share` is the part of that time in which all slots of the upstream were taken.
        """
        delay = duration_s / max(work_s, 0.001) - 1.0
        self.full_full = MEMORY * self.full_full + full_share * full_share
        self.full_delay = MEMORY * self.full_delay + full_share * delay

    @property
    def pace_when_full(self) -> float:
        """Estimate the pace of work on a full upstream; 1.0 is the usual pace."""
        if self.full_full < MIN_EVIDENCE:
            return 1.0
        return 1.0 / max(1.0, 1.0 + self.full_delay / self.full_full)

    def usable_slots(self, slots: int) -> int:
        """Tell how many slots are worth filling."""
        if slots < MIN_SLOTS or slots * self.pace_when_full >= slots - 1 + LAST_SLOT_WORTH:
            return slots
        return slots - 1
