"""Late binding: dispatches only to free slots of upstreams that are not paused.

Order of preference: preferred upstreams before those of other homes, the local availability zone
before the others, then the smallest fraction of slots with own calls in flight. Upstreams on trial
come after these, and those of other regions last. Counts reported by other homes limit how many
calls fit but don't affect the order: homes that order by the same vectors would herd onto the same
upstreams.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.routing.candidates import create_candidates

if TYPE_CHECKING:
    from random import Random

    from heatherhead.routing.upstream_state import UpstreamState

__all__ = ["LateBinding", "create_late_binding"]

LOAD_LEVELS = 8  # buckets of a tier, by slots in use; the last one is for failed latest calls
TIERS_IN_REGION = 5  # preferred or not with local zone or not, and one for trials
TRIAL_TIER = 4  # the last one of the region
BUCKETS = (TIERS_IN_REGION + 1) * LOAD_LEVELS
IN_REGION = (1 << TIERS_IN_REGION * LOAD_LEVELS) - 1
ANYWHERE = (1 << BUCKETS) - 1


class LateBinding:
    """Chooses the upstream with the best free slot, or none while all are in use."""

    def __init__(self, rng: Random) -> None:
        self._candidates = create_candidates(BUCKETS, rng)

    def refresh(self, state: UpstreamState) -> None:
        """Move an upstream to the bucket for its current state."""
        self._candidates.place(state, _bucket(state))

    def remove(self, state: UpstreamState) -> None:
        """Remove an upstream."""
        self._candidates.place(state, -1)

    def choose(self, avoid: frozenset[str], *, anywhere: bool = False) -> UpstreamState | None:
        """Choose the best free slot."""
        return self._candidates.pick(avoid, ANYWHERE if anywhere else IN_REGION)


def _bucket(state: UpstreamState) -> int:
    if not state.has_free_slot:
        return -1
    tier = TIERS_IN_REGION
    if state.local_region:
        tier = (0 if state.preferred else 2) + (0 if state.local_zone else 1)
        if state.on_trial:
            tier = TRIAL_TIER
    if state.failures:
        return tier * LOAD_LEVELS + LOAD_LEVELS - 1
    level = state.in_flight * (LOAD_LEVELS - 1) // state.limit.slots
    return tier * LOAD_LEVELS + min(LOAD_LEVELS - 2, level)


def create_late_binding(rng: Random) -> LateBinding:
    """Create the policy without upstreams."""
    return LateBinding(rng)
