"""Notices that the process was paused, so that old requests aren't taken for new ones."""

from __future__ import annotations

import asyncio

__all__ = ["PauseWatch", "create_pause_watch"]

TICK_S = 0.05
PAUSE_TICKS = 4  # a tick that is this late counts as a pause; busy loops are late by less
SUSPECT_S = 0.1  # after a pause, for what waited in the kernel meanwhile to be read


class PauseWatch:
    """Tells since when bytes that are read now may have waited.

    The kernel takes requests while the process is stopped, and does not tell when they came. So
    what is read right after a pause is taken to be as old as the pause.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._ticked_at = self._loop.time()
        self._paused_at = 0.0
        self._suspect_until = 0.0
        self._timer = self._loop.call_later(TICK_S, self._tick)

    def arrival(self, now: float) -> float:
        """Give the earliest moment at which bytes read at `now` may have arrived."""
        if now - self._ticked_at > PAUSE_TICKS * TICK_S:
            return self._ticked_at
        return self._paused_at if now < self._suspect_until else now

    def _tick(self) -> None:
        now = self._loop.time()
        if now - self._ticked_at > PAUSE_TICKS * TICK_S:
            self._paused_at = self._ticked_at
            self._suspect_until = now + SUSPECT_S
        self._ticked_at = now
        self._timer = self._loop.call_later(TICK_S, self._tick)

    def stop(self) -> None:
        """Stop watching."""
        self._timer.cancel()


def create_pause_watch() -> PauseWatch:
    """Create a watch on the running loop."""
    return PauseWatch()
