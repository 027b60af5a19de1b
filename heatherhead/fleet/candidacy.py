"""Decides which instances announce themselves as candidates for homes; the others are on standby.

This matters when hundreds of instances start at once and only a few ever become homes: each
announcement costs the store two writes, and every other instance one more member to rank and to
exchange messages with. So large instances announce themselves immediately, and small ones only if
their region has too few candidates. A standby instance follows a home, serves the calls that reach
it and answers address requests with the homes reported by the home that it follows.
"""

from __future__ import annotations

from random import random
from typing import TYPE_CHECKING

from heatherhead.fleet.homes import rank_members, relative_size

if TYPE_CHECKING:
    from collections.abc import Callable

    from heatherhead.fleet.members import MemberTable

__all__ = ["Candidacy", "create_candidacy"]

MIN_IMMEDIATE_SIZE_FRACTION = 0.8  # of a full size; smaller instances check for others first
CANDIDATES_PER_HOME = 3  # in a region; two in three may be lost before more are needed
MIN_CANDIDATES = 6  # in a region, however few homes it has
FIRST_CHECK_DELAY_S = 0.5  # after the first read; large instances have announced themselves by then
# Random; spreads out small instances that all find too few candidates. An announcement reaches the
# others within about a second, and those that check meanwhile announce themselves too.
FIRST_CHECK_JITTER_S = 4.0
HOMES_LOST_AFTER_S = 3.0  # without a home to follow; the region's homes are then assumed lost


class Candidacy:
    """Decides whether this instance is a candidate; a candidate never returns to standby."""

    def __init__(
        self,
        members: MemberTable,
        now: Callable[[], float],
        announced_before: Callable[[], bool],
        peer_silence_s: Callable[[], float],
        homes: Callable[[], int],
    ) -> None:
        self._members = members
        self._now = now
        self._announced_before = announced_before
        self._peer_silence_s = peer_silence_s
        self._homes = homes
        self._check_at: float | None = None
        if relative_size(members.own) < MIN_IMMEDIATE_SIZE_FRACTION:
            members.remove_own()

    def check(self, *, members_known: bool) -> bool:
        """Return whether this instance is a candidate, after deciding anew if it is not.

        Until `members_known`, a standby instance can't count the candidates and stays on standby.
        """
        if self._members.own_listed:
            return True
        if not members_known:
            return False
        now = self._now()
        if self._check_at is None:
            self._check_at = now + FIRST_CHECK_DELAY_S + FIRST_CHECK_JITTER_S * random()
        if self._announced_before() or (now >= self._check_at and self._is_needed()):
            self._members.add_own()
        return self._members.own_listed

    def _is_needed(self) -> bool:
        if self._peer_silence_s() > HOMES_LOST_AFTER_S:
            return True
        own = self._members.own
        needed = max(MIN_CANDIDATES, CANDIDATES_PER_HOME * self._homes())
        ranked = rank_members([*self._members.by_id.values(), own], own.region)
        return own in ranked[:needed]


def create_candidacy(
    members: MemberTable,
    now: Callable[[], float],
    announced_before: Callable[[], bool],
    peer_silence_s: Callable[[], float],
    homes: Callable[[], int],
) -> Candidacy:
    """Create the candidacy of this instance; a small instance begins on standby.

    `announced_before` returns whether an announcement of an earlier start still exists,
    `peer_silence_s` for how long no home could be followed, `homes` how many homes the region has.
    """
    return Candidacy(members, now, announced_before, peer_silence_s, homes)
