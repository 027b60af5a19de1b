"""Tests of `heatherhead.fleet.cells`: the division of a region's upstreams among its homes."""

from __future__ import annotations

from collections import Counter

from heatherhead.entry.settings import HostPort
from heatherhead.fleet.cells import (
    HOMES_PER_CELL,
    MAX_HOMES_WITHOUT_CELLS,
    cell_count,
    cell_of_home,
    cell_of_upstream,
    homes_of_cell,
)
from heatherhead.fleet.members import Member

UPSTREAMS = [f"i-{number}" for number in range(1000)]


def _homes(count: int) -> list[Member]:
    return [
        Member(f"m{n}", "boot", f"z{n % 2}", "r", HostPort("10.0.0.1", 80), 7200, 1.0, 1000.0)
        for n in range(count)
    ]


def test_few_homes_share_all_upstreams() -> None:
    for count in range(1, MAX_HOMES_WITHOUT_CELLS + 1):
        homes = _homes(count)
        assert cell_count(count) == 1
        assert homes_of_cell(homes, 0) == homes


def test_each_home_is_listed_in_its_own_cell_and_no_cell_is_empty() -> None:
    for count in range(MAX_HOMES_WITHOUT_CELLS + 1, 40):
        homes = _homes(count)
        cells = [homes_of_cell(homes, cell) for cell in range(cell_count(count))]
        assert sorted(home.id for cell in cells for home in cell) == sorted(h.id for h in homes)
        assert all(HOMES_PER_CELL <= len(cell) <= HOMES_PER_CELL + 1 for cell in cells)
        for cell, members in enumerate(cells):
            assert all(cell_of_home(homes, member.id) == cell for member in members)


def test_work_of_a_home_does_not_grow_with_the_region() -> None:
    """With ten times the upstreams and homes, a home reads as many upstreams as before."""
    cells = cell_count(20)
    count_by_cell = Counter(cell_of_upstream(each, cells) for each in UPSTREAMS)
    assert len(count_by_cell) == cells
    assert max(count_by_cell.values()) <= 1.5 * len(UPSTREAMS) / cells


def test_few_upstreams_move_when_a_cell_is_added() -> None:
    moved = sum(cell_of_upstream(each, 9) != cell_of_upstream(each, 10) for each in UPSTREAMS)
    assert moved <= 1.5 * len(UPSTREAMS) / 10
