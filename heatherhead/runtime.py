"""The event loop that daemons run on."""

from __future__ import annotations

import time

import uvloop

__all__ = ["RuntimeLoop", "create_loop"]


class RuntimeLoop(uvloop.Loop):
    """A uvloop whose clock is read at each call.

    The clock of uvloop stands still during a loop iteration and counts whole milliseconds: too
    coarse for times added to a call, and behind after a pause of the process.
    """

    def time(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()


def create_loop() -> RuntimeLoop:
    """Create the loop of a daemon."""
    return RuntimeLoop()
