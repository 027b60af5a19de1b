"""Keeps calls from being sent that would still be at work when this instance ends.

Such a call is refused as not run, so that its caller can use another instance. Once it is sent, only
its end tells what became of it, and the end of the instance cuts it off.
"""

from __future__ import annotations

import asyncio
import math
from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from heatherhead.proxy.caller_connection import Exchange

__all__ = ["InstanceEnd", "InstanceEndsError", "create_instance_end"]

LAST_REFUSAL_S = 0.2  # before the end, so that a refusal still reaches its caller


class InstanceEndsError(Exception):
    """A request arrives too late to be answered before this instance ends."""


class InstanceEnd:
    """When this instance ends, and the requests that are being received."""

    def __init__(self) -> None:
        self.at = math.inf
        self._loop = asyncio.get_running_loop()
        self._start_by_of: dict[Exchange, Callable[[], float]] = {}

    @property
    def left_s(self) -> float:
        """Return the time left."""
        return self.at - self._loop.time()

    def start_by(self, over_at: float, duration_s: float) -> float:
        """Return until when an attempt may begin that takes `duration_s` at most.

        A call that is over at `over_at` in any case may begin at any time, if that is in time.
        """
        return math.inf if over_at <= self.at else self.at - duration_s

    @contextmanager
    def receiving(self, exchange: Exchange, start_by: Callable[[], float]) -> Iterator[None]:
        """Refuse a request while its body is read, as soon as it can't be answered any more."""
        self._start_by_of[exchange] = start_by
        try:
            yield
        finally:
            del self._start_by_of[exchange]

    def refuse_late_bodies(self) -> None:
        """Fail the reading of bodies with `InstanceEndsError` that arrive too late."""
        now = self._loop.time()
        for exchange, start_by in self._start_by_of.items():
            payload = exchange.payload
            if payload.is_eof() or payload.exception() is not None:
                continue
            if now > min(start_by(), self.at - LAST_REFUSAL_S):
                payload.set_exception(InstanceEndsError())


def create_instance_end() -> InstanceEnd:
    """Create it, without an end; must be called inside the running loop."""
    return InstanceEnd()
