"""Whether this instance takes callers, and the calls it has in progress."""

from __future__ import annotations

import asyncio
from enum import StrEnum

__all__ = ["CallersState", "Phase"]


class Phase(StrEnum):
    """The phases of an instance's life, in order."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    CLOSED = "closed"


class CallersState:
    """Counts calls in progress and holds the phase."""

    def __init__(self) -> None:
        self.phase = Phase.STARTING
        self.in_progress = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def closing_connections(self) -> bool:
        """Tell whether callers should open their next connection elsewhere."""
        return self.phase in (Phase.LEAVING, Phase.CLOSED)

    def begin(self) -> None:
        """Count a call in."""
        self.in_progress += 1
        self._idle.clear()

    def end(self) -> None:
        """Count a call out."""
        self.in_progress -= 1
        if self.in_progress == 0:
            self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until no call is in progress."""
        await self._idle.wait()
