"""Circuit breaker that keeps calls from a store that is down."""

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
    """Opens after consecutive failures; then allows single trial calls at growing intervals."""

    def __init__(self, rng: Random | None = None) -> None:
        self._backoff = create_backoff(INITIAL_OPEN_S, MAX_OPEN_S, rng)
        self._failures = 0
        self._open_until: float | None = None

    @property
    def is_open(self) -> bool:
        """Return whether the circuit has opened and no call has succeeded since."""
        return self._open_until is not None

    def try_acquire(self) -> bool:
        """Return whether a call may be made now; an open circuit allows one trial per interval."""
        if self._open_until is None:
            return True
        if asyncio.get_running_loop().time() < self._open_until:
            return False
        self._open()
        return True

    def record_success(self) -> None:
        """Record an answer of the store, and close the circuit."""
        if self.is_open:
            log_event("store_answers_again")
        self._failures = 0
        self._open_until = None
        self._backoff.reset()

    def record_failure(self) -> None:
        """Record a call without an answer; `FAILURES_TO_OPEN` in a row open the circuit."""
        self._failures += 1
        if self._failures == FAILURES_TO_OPEN:
            self._open()
            log_event("store_circuit_opened", level="WARNING", failures=self._failures)

    def _open(self) -> None:
        self._open_until = asyncio.get_running_loop().time() + self._backoff.next_delay_s()


def create_circuit(rng: Random | None = None) -> Circuit:
    """Create a closed circuit."""
    return Circuit(rng)
