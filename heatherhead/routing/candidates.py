"""Bucket queue of candidate upstreams, ordered by preference."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from heatherhead.routing.upstream_state import UpstreamState

__all__ = ["Candidates", "create_candidates"]


class Candidates:
    """Numbered buckets of upstreams, lowest first.

    Moving an upstream and picking one from the lowest bucket take constant time, however many
    upstreams there are. A bit set marks the buckets that are not empty.
    """

    def __init__(self, buckets: int, rng: Random) -> None:
        self._buckets: list[list[UpstreamState]] = [[] for _ in range(buckets)]
        self._nonempty = 0
        self._rng = rng

    def place(self, state: UpstreamState, bucket: int) -> None:
        """Move an upstream to a bucket; -1 removes it from the candidates."""
        if state.bucket == bucket:
            return
        if state.bucket >= 0:
            self._remove(state)
        state.bucket = bucket
        if bucket >= 0:
            states = self._buckets[bucket]
            state.position = len(states)
            states.append(state)
            self._nonempty |= 1 << bucket

    def pick(self, avoid: frozenset[str], allowed: int) -> UpstreamState | None:
        """Pick at random, from the lowest bucket possible, an upstream whose id is not in `avoid`.

        `allowed` is the bit set of the buckets to pick from. Return `None` if there is none.
        """
        filled = self._nonempty & allowed
        while filled:
            lowest = filled & -filled
            states = self._buckets[lowest.bit_length() - 1]
            chosen = self._pick_from(states, avoid)
            if chosen is not None:
                return chosen
            filled ^= lowest
        return None

    def _pick_from(
        self, states: list[UpstreamState], avoid: frozenset[str]
    ) -> UpstreamState | None:
        size = len(states)
        start = int(self._rng.random() * size)
        for offset in range(size):
            state = states[(start + offset) % size]
            if state.upstream.id not in avoid:
                return state
        return None

    def _remove(self, state: UpstreamState) -> None:
        states = self._buckets[state.bucket]
        last = states.pop()
        if last is not state:
            states[state.position] = last
            last.position = state.position
        if not states:
            self._nonempty &= ~(1 << state.bucket)


def create_candidates(buckets: int, rng: Random) -> Candidates:
    """Create empty buckets."""
    return Candidates(buckets, rng)
