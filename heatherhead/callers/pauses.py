"""Detection of process pauses, so that requests which waited meanwhile aren't taken for new."""

from __future__ import annotations

import asyncio

__all__ = ["PauseDetector", "create_pause_detector"]

TICK_INTERVAL_S = 0.05
PAUSE_THRESHOLD_TICKS = 4  # a gap of more ticks is a pause; a busy event loop stays below it
POST_PAUSE_WINDOW_S = 0.1  # time to read what the kernel buffered during a pause


class PauseDetector:
    """Estimates how long bytes read now may have waited in the kernel.

    The kernel accepts data while the process is stopped and doesn't report when it arrived.
    Whatever is read shortly after a pause is therefore assumed to be as old as the pause.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._last_tick_at = self._loop.time()
        self._pause_began_at = 0.0
        self._window_ends_at = 0.0
        self._timer = self._loop.call_later(TICK_INTERVAL_S, self._tick)

    def earliest_arrival(self, now: float) -> float:
        """Return the earliest time at which bytes read at `now` may have arrived."""
        if now - self._last_tick_at > PAUSE_THRESHOLD_TICKS * TICK_INTERVAL_S:
            return self._last_tick_at
        return self._pause_began_at if now < self._window_ends_at else now

    def _tick(self) -> None:
        now = self._loop.time()
        if now - self._last_tick_at > PAUSE_THRESHOLD_TICKS * TICK_INTERVAL_S:
            self._pause_began_at = self._last_tick_at
            self._window_ends_at = now + POST_PAUSE_WINDOW_S
        self._last_tick_at = now
        self._timer = self._loop.call_later(TICK_INTERVAL_S, self._tick)

    def stop(self) -> None:
        """Stop the timer."""
        self._timer.cancel()


def create_pause_detector() -> PauseDetector:
    """Create a detector on the running loop."""
    return PauseDetector()
