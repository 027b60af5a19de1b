"""Tests of who is home while instances have lost their links to all upstreams."""

from __future__ import annotations

from random import Random

import pytest

from heatherhead.fleet.homes import MIN_HOMES_PER_REGION
from heatherhead.tests.fleet.gone_instances_tests import ranked_ids
from heatherhead.tests.fleet.simulated_region import SimulatedRegions, create_regions

SETTLE_S = 5.0
MAX_STEP_DOWN_S = 1.0  # well before the platform counts, 3 s after the cut
ZONES = 2


def named_everywhere(regions: SimulatedRegions) -> set[str]:
    """Return the ids that any running instance names."""
    return {named_id for each in regions.running() for named_id in regions.named_by(each.member.id)}


def test_home_cut_from_upstreams_stays_a_home() -> None:
    regions = create_regions(1)
    regions.run(SETTLE_S)
    first, second, third = ranked_ids(regions)[:3]
    regions.cut_from_upstreams(first, cut=True)
    regions.run(MAX_STEP_DOWN_S)
    assert named_everywhere(regions) == {second, third}
    regions.run(30.0)
    assert named_everywhere(regions) == {second, third}
    regions.cut_from_upstreams(first, cut=False)
    regions.run(MAX_STEP_DOWN_S)
    assert named_everywhere(regions) == {first, second}


def test_whole_zone_cut_from_upstreams_keeps_its_home() -> None:
    regions = create_regions(2)
    regions.run(SETTLE_S)
    zone = regions.instance_by_id[ranked_ids(regions)[0]].member.availability_zone
    members = [each.member for each in regions.instance_by_id.values()]
    cut_ids = [each.id for each in members if each.availability_zone == zone]
    for each in cut_ids:
        regions.cut_from_upstreams(each, cut=True)
    regions.run(MAX_STEP_DOWN_S)
    uncut = [each for each in ranked_ids(regions) if each not in cut_ids]
    assert named_everywhere(regions) == set(uncut[:MIN_HOMES_PER_REGION])


def test_region_without_an_uncut_instance_has_no_home() -> None:
    """Callers are then sent to those that run, which send calls over other regions."""
    regions = create_regions(3, instances_per_zone=3)
    regions.run(SETTLE_S)
    for each in ranked_ids(regions):
        regions.cut_from_upstreams(each, cut=True)
    regions.run(SETTLE_S)
    assert named_everywhere(regions) == set(ranked_ids(regions)[:MIN_HOMES_PER_REGION])


def test_uncut_instance_is_not_found_behind_gone_and_cut_ones() -> None:
    """While homes were cut, the time for which others were expected began anew at each check."""
    regions = create_regions(4, instances_per_zone=12)
    regions.run(SETTLE_S)
    ranked = ranked_ids(regions)
    for each in ranked[:2]:
        regions.cut_from_upstreams(each, cut=True)
    for each in ranked[2:14]:
        regions.turn_off(each)
    regions.run(2 * SETTLE_S)
    assert named_everywhere(regions) == set(ranked[14:16])


@pytest.mark.parametrize("seed", range(12))
def test_any_order_of_cuts_and_losses_names_a_cut_instance(seed: int) -> None:
    """Unless all that run are cut, in which case somebody is named."""
    rng = Random(seed)
    regions = create_regions(seed, instances_per_zone=rng.choice([2, 4]))
    regions.run(SETTLE_S)
    for _ in range(12):
        running = [each.member.id for each in regions.running()]
        chosen = rng.sample(running, rng.randint(1, len(running)))
        event = rng.choice(["cut", "cut", "heal", "off", "loss"])
        if event == "off" and len(running) > 2:
            regions.turn_off(chosen[0])
        elif event == "loss":
            regions.loss_share = rng.choice([0.0, 0.1])
        else:
            for each in chosen:
                regions.cut_from_upstreams(each, cut=event == "cut")
        regions.run(rng.uniform(0.3, 3.0))
        assert all(regions.named_by(each.member.id) for each in regions.running())
    regions.loss_share = 0.0
    regions.run(SETTLE_S)
    running = [each for each in ranked_ids(regions) if regions.instance_by_id[each].on]
    uncut = [each for each in running if not regions.instance_by_id[each].view.own_cut]
    assert named_everywhere(regions) == set((uncut or running)[:MIN_HOMES_PER_REGION])
