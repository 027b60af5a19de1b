"""Ranks the revisions of a store that may come back from a copy.

A store that is restored from a copy gives out again the revisions of the changes that it lost: the
same number then names two changes. Such a store numbers its histories. A ranked revision holds that
number in its upper bits, so that ranked revisions keep rising, whichever history they are of.
"""

from __future__ import annotations

__all__ = ["history_of", "plain_revision", "ranked_revision", "revision_text"]

REVISION_BITS = 40  # of the store's own revision; leaves 23 bits for histories in a signed integer
_REVISION_MASK = (1 << REVISION_BITS) - 1


def ranked_revision(history: int, revision: int) -> int:
    """Rank a revision of one of the store's histories."""
    return (history << REVISION_BITS) | revision


def history_of(ranked: int) -> int:
    """Return the number of the history that a revision is of."""
    return ranked >> REVISION_BITS


def plain_revision(ranked: int) -> int:
    """Return the store's own revision."""
    return ranked & _REVISION_MASK


def revision_text(ranked: int) -> str:
    """Return a ranked revision as it is logged: `history:revision`."""
    return f"{history_of(ranked)}:{plain_revision(ranked)}"
