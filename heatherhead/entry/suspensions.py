"""Detects suspensions of the machine, which the monotonic clock does not count."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["SuspensionWatch", "create_suspension_watch"]

MIN_SUSPENSION_S = 0.2  # shorter suspensions are within the tolerance of all time limits


class SuspensionWatch:
    """Compares the monotonic clock with the boot clock, which also runs during a suspension."""

    def __init__(
        self, monotonic_clock: Callable[[], float], boot_clock: Callable[[], float]
    ) -> None:
        self._monotonic_clock = monotonic_clock
        self._boot_clock = boot_clock
        self._gap_s = boot_clock() - monotonic_clock()

    def check(self) -> float:
        """Return the seconds of suspension not yet returned, 0 while below `MIN_SUSPENSION_S`."""
        gap_s = self._boot_clock() - self._monotonic_clock()
        suspended_s = gap_s - self._gap_s
        if suspended_s < MIN_SUSPENSION_S:
            return 0.0
        self._gap_s = gap_s
        return suspended_s


def _boot_time() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def create_suspension_watch(
    monotonic_clock: Callable[[], float] = time.monotonic,
    boot_clock: Callable[[], float] = _boot_time,
) -> SuspensionWatch:
    """Create a watch that compares two clocks."""
    return SuspensionWatch(monotonic_clock, boot_clock)
