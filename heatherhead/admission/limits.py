"""Adaptive limit on the concurrent calls of one upstream."""

from __future__ import annotations

__all__ = ["AdaptiveLimit", "create_limit"]

SLOW_ANSWER_DECREASE_FACTOR = 0.7
PROBING_INCREMENT_SLOTS = 0.05  # for each quick answer above the level of the last shed call


class AdaptiveLimit:
    """Concurrency limit from one call up to the upstream's slots, adjusted by its answers.

    The limit starts at one for a cold upstream and grows by one slot with each quick answer. A slow
    answer decreases it by a factor. A call shed by the upstream sets a ceiling, above which the
    limit grows only slowly.
    """

    __slots__ = ("_ceiling", "_value", "allowed", "slots")

    def __init__(self, slots: int, start: float) -> None:
        self.slots = slots
        self._ceiling = float(slots)
        self._set(start)

    @property
    def value(self) -> float:
        """Return the limit before it is rounded down."""
        return self._value

    def on_quick_answer(self) -> None:
        """Increase the limit after a quick answer."""
        if self._value >= self.slots:
            return
        step = 1.0 if self._value + 1.0 <= self._ceiling else PROBING_INCREMENT_SLOTS
        self._set(self._value + step)
        self._ceiling = max(self._ceiling, self._value)

    def on_slow_answer(self) -> None:
        """Decrease the limit after a slow answer."""
        self._set(self._value * SLOW_ANSWER_DECREASE_FACTOR)

    def on_shed(self, in_flight: int) -> None:
        """Decrease the limit below the number of calls at which the upstream shed one."""
        self._ceiling = max(1.0, float(in_flight - 1))
        self._set(min(self._value, self._ceiling))

    def restart(self) -> None:
        """Reset the limit to one call, as for a cold upstream."""
        self._set(1.0)

    def resize(self, slots: int) -> None:
        """Change the number of slots; a limit that was at its maximum stays there."""
        full = self._value >= self.slots
        self.slots = slots
        self._ceiling = float(slots)
        self._set(float(slots) if full else self._value)

    def _set(self, value: float) -> None:
        self._value = min(max(1.0, value), float(self.slots))
        self.allowed = int(self._value)


def create_limit(slots: int, *, cold: bool) -> AdaptiveLimit:
    """Create the limit of an upstream; it starts at one call for a cold one, else at `slots`."""
    return AdaptiveLimit(slots, 1.0 if cold else float(slots))
