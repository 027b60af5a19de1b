"""Tests of `heatherhead.membership.overlay`."""

from __future__ import annotations

from random import Random

import pytest

from heatherhead.membership.interface import Address, Instance
from heatherhead.membership.overlay import overlay_neighbours

UNUSED_ADDRESS = Address("127.0.0.1", 1)


def _fleet(regions: int, zones: int, per_zone: int) -> list[Instance]:
    return [
        Instance(
            f"i-{r}-{z}-{n}",
            "x",
            f"r{r}",
            f"r{r}z{z}",
            UNUSED_ADDRESS,
            UNUSED_ADDRESS,
            UNUSED_ADDRESS,
        )
        for r in range(regions)
        for z in range(zones)
        for n in range(per_zone)
    ]


def _links(fleet: list[Instance]) -> dict[str, set[str]]:
    return {each.id: set(overlay_neighbours(each, fleet)) for each in fleet}


def _is_connected(links: dict[str, set[str]], alive: set[str]) -> bool:
    start = min(alive)
    reached, border = {start}, [start]
    while border:
        new = (links[border.pop()] & alive) - reached
        reached |= new
        border.extend(new)
    return reached == alive


@pytest.mark.parametrize("shape", [(1, 1, 2), (3, 2, 3), (5, 3, 5), (5, 3, 67)])
def test_links_are_mutual_bounded_and_connect_all_instances(shape: tuple[int, int, int]) -> None:
    fleet = _fleet(*shape)
    links = _links(fleet)
    assert all(one in links[other] for one in links for other in links[one])
    assert max(len(each) for each in links.values()) <= 8
    assert _is_connected(links, set(links))


@pytest.mark.parametrize("shape", [(3, 2, 3), (5, 3, 5), (5, 3, 67)])
def test_loss_of_any_zone_leaves_the_rest_connected(shape: tuple[int, int, int]) -> None:
    fleet = _fleet(*shape)
    links = _links(fleet)
    for lost in {each.availability_zone for each in fleet}:
        alive = {each.id for each in fleet if each.availability_zone != lost}
        assert _is_connected(links, alive), lost


def test_loss_of_a_rack_leaves_the_rest_connected() -> None:
    fleet = _fleet(5, 3, 20)
    links = _links(fleet)
    random = Random(7)
    for _ in range(50):
        zone = random.choice(fleet).availability_zone
        in_zone = [each.id for each in fleet if each.availability_zone == zone]
        assert _is_connected(links, set(links) - set(random.sample(in_zone, 8)))


def test_one_departure_changes_few_links() -> None:
    fleet = _fleet(5, 3, 20)
    before = _links(fleet)
    gone = fleet[37].id
    after = _links(fleet[:37] + fleet[38:])
    changed = sum(len(after[each] - before[each]) for each in after)
    assert 0 < changed <= 40
    assert all(gone not in each for each in after.values())
