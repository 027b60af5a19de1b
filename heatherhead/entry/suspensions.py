"""Detects suspensions of the machine, which the monotonic clock does not count."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["SuspensionWatch", "create_suspension_watch"]

SHORTEST_S = 0.2  # shorter suspensions are within the tolerance of all time limits


class SuspensionWatch:
    """Compares the monotonic clock with the boot clock, which also runs during a suspension."""

    def __init__(self, steady: Callable[[], float], running_on: Callable[[], float]) -> None:
        self._steady = steady
        self._running_on = running_on
        self._gap_s = running_on() - steady()

    def look(self) -> float:
        """Return the seconds of suspension since the last check, or zero."""
        gap_s = self._running_on() - self._steady()
        stood_still_s = gap_s - self._gap_s
        if stood_still_s < SHORTEST_S:
            return 0.0
        self._gap_s = gap_s
        return stood_still_s


def _boot_time() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def create_suspension_watch(
    steady: Callable[[], float] = time.monotonic, running_on: Callable[[], float] = _boot_time
) -> SuspensionWatch:
    """Create a watch that compares two clocks."""
    return SuspensionWatch(steady, running_on)
