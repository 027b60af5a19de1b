"""The event loop and the garbage collector that daemons run on."""

from __future__ import annotations

import gc
import time

import uvloop

__all__ = ["RuntimeLoop", "create_loop", "tune_garbage_collector"]

GC_THRESHOLDS = (50_000, 20, 100)  # objects of a call die by reference count


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


def tune_garbage_collector() -> None:
    """Collect cycles less often, and never look through what is there by now.

    Call it once the program is imported.
    """
    gc.freeze()
    gc.enable()
    gc.set_threshold(*GC_THRESHOLDS)
