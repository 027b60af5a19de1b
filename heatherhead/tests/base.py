"""An event loop for tests whose clock is paused and jumps to the next timer."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine

__all__ = ["PausedClockLoop", "run_with_paused_clock"]

ResultT = TypeVar("ResultT")


class _JumpingSelector(selectors.DefaultSelector):
    """Reports ready files at once, and otherwise advances the loop's clock instead of waiting."""

    loop: PausedClockLoop | None = None

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return what is ready; if nothing is, advance the clock by `timeout` seconds."""
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            return super().select(None)
        assert self.loop is not None
        self.loop.advance(timeout)
        return []


class PausedClockLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock does not move while code runs.

    When nothing is left to run, the clock jumps to the next timer. Not for code that uses sockets.
    """

    def __init__(self) -> None:
        selector = _JumpingSelector()
        super().__init__(selector)
        selector.loop = self
        self._now = 1_000.0

    def time(self) -> float:
        """Return the paused clock's time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Advance the clock, as a pause of the process would."""
        self._now += seconds


def run_with_paused_clock(main: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run a coroutine to its end on a new loop with a paused clock."""
    loop = PausedClockLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        loop.close()
