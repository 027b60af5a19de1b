"""The lifecycle phase of this instance and its number of calls in progress."""

from __future__ import annotations

import asyncio
from enum import StrEnum

__all__ = ["CallersState", "Phase"]


class Phase(StrEnum):
    """The lifecycle phases of an instance, in order."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    CLOSED = "closed"


class CallersState:
    """Holds the phase and counts the calls in progress."""

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self.in_progress = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def should_close_connections(self) -> bool:
        """Return whether to close connections after an answer, so that callers go elsewhere."""
        return self.phase in (Phase.LEAVING, Phase.CLOSED)

    def begin_call(self) -> None:
        """Count a call that begins."""
        self.in_progress += 1
        self._idle.clear()

    def end_call(self) -> None:
        """Count a call that has ended."""
        self.in_progress -= 1
        if self.in_progress == 0:
            self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until no call is in progress."""
        await self._idle.wait()
