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

from heatherhead.fleet.homes import rank_members, size_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from heatherhead.fleet.members import MemberTable

__all__ = ["Candidacy", "create_candidacy"]

AT_ONCE_SIZE = 0.8  # of a full-size instance; smaller ones wait
CANDIDATES_PER_HOME = 3  # in a region; two in three may be lost before more are needed
LEAST_CANDIDATES = 6
FIRST_LOOK_S = 0.5  # after the first read; large instances have announced themselves by then
SPREAD_S = 1.5  # random; spreads out small instances that all find too few candidates
LOST_S = 3.0  # without a home to follow; the region's homes are then assumed lost


class Candidacy:
    """Decides whether this instance is a candidate; once it is one, it remains one."""

    def __init__(
        self,
        members: MemberTable,
        now: Callable[[], float],
        announced_before: Callable[[], bool],
        unfollowed_s: Callable[[], float],
        homes: Callable[[], int],
    ) -> None:
        self._members = members
        self._now = now
        self._announced_before = announced_before
        self._unfollowed_s = unfollowed_s
        self._homes = homes
        self._looks_at: float | None = None
        if size_of(members.own) < AT_ONCE_SIZE:
            members.unlist_own()

    def look(self, *, read: bool) -> bool:
        """Return whether this instance is a candidate; `read`: the member table has been read."""
        if self._members.own_listed:
            return True
        if not read:
            return False
        now = self._now()
        if self._looks_at is None:
            self._looks_at = now + FIRST_LOOK_S + SPREAD_S * random()
        if self._announced_before() or (now >= self._looks_at and self._wanted()):
            self._members.list_own()
        return self._members.own_listed

    def _wanted(self) -> bool:
        if self._unfollowed_s() > LOST_S:
            return True
        own = self._members.own
        wanted = max(LEAST_CANDIDATES, CANDIDATES_PER_HOME * self._homes())
        ranked = rank_members([*self._members.by_id.values(), own], own.region)
        return own in ranked[:wanted]


def create_candidacy(
    members: MemberTable,
    now: Callable[[], float],
    announced_before: Callable[[], bool],
    unfollowed_s: Callable[[], float],
    homes: Callable[[], int],
) -> Candidacy:
    """Create the candidacy of this instance; a small instance begins on standby.

    `announced_before` returns whether an announcement of an earlier start still exists,
    `unfollowed_s` for how long no home could be followed, `homes` how many homes the region has.
    """
    return Candidacy(members, now, announced_before, unfollowed_s, homes)
