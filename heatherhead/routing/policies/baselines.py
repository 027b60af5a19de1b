"""Well-known policies for comparison; they ignore whether the upstream has a free slot."""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.routing.candidates import create_candidates

if TYPE_CHECKING:
    from random import Random

    from heatherhead.routing.upstream_state import UpstreamState

__all__ = [
    "LeastInFlight",
    "RandomChoice",
    "RoundRobin",
    "TwoChoices",
    "create_least_in_flight",
    "create_random_choice",
    "create_round_robin",
    "create_two_choices",
]

MAX_COUNTED_IN_FLIGHT = 255


class _UsableList:
    """List of the usable upstreams, with random sampling."""

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.usable: list[UpstreamState] = []

    def refresh(self, state: UpstreamState) -> None:
        """Add or remove an upstream according to its state."""
        listed = state.position >= 0
        if state.usable and not listed:
            state.position = len(self.usable)
            self.usable.append(state)
        elif not state.usable and listed:
            self.remove(state)

    def remove(self, state: UpstreamState) -> None:
        """Remove an upstream."""
        if state.position < 0:
            return
        last = self.usable.pop()
        if last is not state:
            self.usable[state.position] = last
            last.position = state.position
        state.position = -1

    def sample(self, avoid: frozenset[str]) -> UpstreamState | None:
        """Return a random upstream, or the next in the list that is not in `avoid`."""
        size = len(self.usable)
        start = int(self.rng.random() * size)
        for offset in range(size):
            state = self.usable[(start + offset) % size]
            if state.upstream.id not in avoid:
                return state
        return None


class RandomChoice(_UsableList):
    """Chooses at random."""

    def choose(self, avoid: frozenset[str], *, anywhere: bool = False) -> UpstreamState | None:
        """Choose any usable upstream."""
        return self.sample(avoid)


class RoundRobin(_UsableList):
    """Chooses in turn."""

    def __init__(self, rng: Random) -> None:
        super().__init__(rng)
        self._turn = int(rng.random() * MAX_COUNTED_IN_FLIGHT)

    def choose(self, avoid: frozenset[str], *, anywhere: bool = False) -> UpstreamState | None:
        """Choose the next usable upstream."""
        size = len(self.usable)
        for _ in range(size):
            self._turn = (self._turn + 1) % size
            state = self.usable[self._turn]
            if state.upstream.id not in avoid:
                return state
        return None


class TwoChoices(_UsableList):
    """Samples two and chooses the one with the lower reported load (Mitzenmacher, 2001)."""

    def choose(self, avoid: frozenset[str], *, anywhere: bool = False) -> UpstreamState | None:
        """Choose the better of two samples."""
        first = self.sample(avoid)
        second = self.sample(avoid)
        if first is None or second is None:
            return first
        return min(first, second, key=_reported_in_flight)


class LeastInFlight:
    """Chooses the upstream with the fewest own calls in flight."""

    def __init__(self, rng: Random) -> None:
        self._candidates = create_candidates(MAX_COUNTED_IN_FLIGHT + 1, rng)
        self._all = (1 << MAX_COUNTED_IN_FLIGHT + 1) - 1

    def refresh(self, state: UpstreamState) -> None:
        """Move an upstream to the bucket of its calls in flight."""
        bucket = min(state.in_flight, MAX_COUNTED_IN_FLIGHT) if state.usable else -1
        self._candidates.place(state, bucket)

    def remove(self, state: UpstreamState) -> None:
        """Remove an upstream."""
        self._candidates.place(state, -1)

    def choose(self, avoid: frozenset[str], *, anywhere: bool = False) -> UpstreamState | None:
        """Choose the least busy upstream."""
        return self._candidates.pick(avoid, self._all)


def _reported_in_flight(state: UpstreamState) -> int:
    return state.report.in_flight if state.report else 0


def create_random_choice(rng: Random) -> RandomChoice:
    """Create the policy without upstreams."""
    return RandomChoice(rng)


def create_round_robin(rng: Random) -> RoundRobin:
    """Create the policy without upstreams, at a random first position."""
    return RoundRobin(rng)


def create_two_choices(rng: Random) -> TwoChoices:
    """Create the policy without upstreams."""
    return TwoChoices(rng)


def create_least_in_flight(rng: Random) -> LeastInFlight:
    """Create the policy without upstreams."""
    return LeastInFlight(rng)
