"""The event loop of daemons and the configuration of their garbage collector."""

from __future__ import annotations

import gc
import time

import uvloop

__all__ = ["RuntimeLoop", "create_loop", "tune_garbage_collector"]

GC_THRESHOLDS = (50_000, 20, 100)  # high, since reference counting frees the objects of a call


class RuntimeLoop(uvloop.Loop):
    """A uvloop whose `time` reads the clock at each call.

    uvloop caches its clock for the duration of a loop iteration, in whole milliseconds. That is too
    coarse to measure the time added to a call, and out of date after a pause of the process.
    """

    def time(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()


def create_loop() -> RuntimeLoop:
    """Create the loop of a daemon."""
    return RuntimeLoop()


def tune_garbage_collector() -> None:
    """Run the collector less often, and exempt all objects that exist now.

    Call it once all modules are imported.
    """
    gc.freeze()
    gc.enable()
    gc.set_threshold(*GC_THRESHOLDS)
