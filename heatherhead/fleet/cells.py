"""Divides the upstreams of a region among groups of its homes.

This matters in a region with many homes: if each home read the load of all upstreams and exchanged
call counts with all other homes, the work of a home would grow with the region. So a few homes form
a cell, which reads and uses its own part of the upstreams; other upstreams are used only if that
part has no free slot.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.fleet.homes import hash_of

if TYPE_CHECKING:
    from collections.abc import Sequence

    from heatherhead.fleet.members import Member

__all__ = ["cell_count", "cell_of_home", "cell_of_upstream", "homes_of_cell"]

HOMES_PER_CELL = 2  # one may be lost; more would contend for the same slots
MAX_HOMES_WITHOUT_CELLS = 4  # up to this number, all homes share all upstreams of a region


def cell_count(homes: int) -> int:
    """Return the number of cells that the homes of a region form."""
    return 1 if homes <= MAX_HOMES_WITHOUT_CELLS else homes // HOMES_PER_CELL


def cell_of_home(homes: Sequence[Member], member_id: str) -> int:
    """Return the cell of an instance; one that is not a home is assigned by its hash."""
    cells = cell_count(len(homes))
    for position, home in enumerate(homes):
        if home.id == member_id:
            return position % cells
    return hash_of(member_id) % cells


def homes_of_cell(homes: Sequence[Member], cell: int) -> list[Member]:
    """List the homes of a cell."""
    return list(homes[cell :: cell_count(len(homes))])


def cell_of_upstream(upstream_id: str, cells: int) -> int:
    """Return the cell of an upstream.

    Rendezvous hashing moves few upstreams when the number of cells changes.
    """
    if cells == 1:
        return 0
    return max(range(cells), key=lambda cell: hash_of(f"{upstream_id}/{cell}"))
