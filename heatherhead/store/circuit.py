"""A circuit breaker that spares a store which is down."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from heatherhead.backoff import create_backoff
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from random import Random

__all__ = ["Circuit", "create_circuit"]

FAILURES_TO_OPEN = 5
INITIAL_OPEN_S = 1.0
MAX_OPEN_S = 30.0


class Circuit:
    """Opens after failures in a row; then lets single trials through, ever more seldom."""

    def __init__(self, random: Random | None = None) -> None:
        self._backoff = create_backoff(INITIAL_OPEN_S, MAX_OPEN_S, random)
        self._failures = 0
        self._open_until: float | None = None

    @property
    def is_open(self) -> bool:
        """Tell whether calls have failed and none has succeeded since."""
        return self._open_until is not None

    def try_acquire(self) -> bool:
        """Tell whether a call may be made now; while open, one trial at a time may."""
        if self._open_until is None:
            return True
        if asyncio.get_running_loop().time() < self._open_until:
            return False
        self._open()
        return True

    def record_success(self) -> None:
        """Note an answer of the store."""
        if self.is_open:
            log_event("store_answers_again")
        self._failures = 0
        self._open_until = None
        self._backoff.reset()

    def record_failure(self) -> None:
        """Note a call without an answer."""
        self._failures += 1
        if self._failures == FAILURES_TO_OPEN:
            self._open()
            log_event("store_circuit_opened", level="WARNING", failures=self._failures)

    def _open(self) -> None:
        self._open_until = asyncio.get_running_loop().time() + self._backoff.next_s()


def create_circuit(random: Random | None = None) -> Circuit:
    """Create a closed circuit."""
    return Circuit(random)
