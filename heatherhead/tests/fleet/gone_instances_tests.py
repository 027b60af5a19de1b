"""Tests of what address answers name after instances have gone."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest

from heatherhead.entry.settings import HostPort
from heatherhead.fleet.home_view import (
    FIRST_STATUS_TIMEOUT_S,
    REPORT_TTL_S,
    SILENT_AFTER_S,
    create_home_view,
)
from heatherhead.fleet.homes import MIN_HOMES_PER_REGION, rank_members
from heatherhead.fleet.members import Member, create_member_table
from heatherhead.fleet.peer_messages import HomeStatus
from heatherhead.tests.fleet.simulated_region import create_regions

if TYPE_CHECKING:
    from heatherhead.tests.fleet.simulated_region import SimulatedRegions

MAX_NAMED_AFTER_S = 3.0  # the platform's ContactS
WATCHED_S = 30.0  # longer than a lease, which the store may also pause
ASK_INTERVAL_S = 0.1
SETTLE_S = 5.0


def ranked_ids(regions: SimulatedRegions, region: str = "r0") -> list[str]:
    """List the instances of a region, first home first."""
    members = [each.member for each in regions.instance_by_id.values()]
    return [each.id for each in rank_members(members, region)]


def latest_naming_s(regions: SimulatedRegions, for_s: float = WATCHED_S) -> float:
    """Return for how long after it was off an instance was named at the latest."""
    latest_s = 0.0
    for _ in range(round(for_s / ASK_INTERVAL_S)):
        regions.run(ASK_INTERVAL_S)
        for each in regions.running():
            for named_id in regions.named_by(each.member.id):
                off_since = regions.instance_by_id[named_id].off_since
                if off_since is not None:
                    latest_s = max(latest_s, regions.now - off_since)
    return latest_s


@pytest.mark.parametrize("seed", [1, 2])
def test_gone_home_is_named_again_when_its_exclusion_ends(seed: int) -> None:
    """Each instance named it again for 1.5 s of every 7.5 s, as long as its key was stored."""
    regions = create_regions(seed)
    regions.run(SETTLE_S)
    regions.turn_off(ranked_ids(regions)[0])
    assert latest_naming_s(regions) <= MAX_NAMED_AFTER_S


def test_successors_that_went_with_a_home_are_named_one_after_the_other() -> None:
    """Each of them was named for 1.5 s, unheard, before the next one was tried."""
    regions = create_regions(3, instances_per_zone=10)
    regions.run(SETTLE_S)
    for instance_id in ranked_ids(regions)[:12]:
        regions.turn_off(instance_id)
    assert latest_naming_s(regions) <= MAX_NAMED_AFTER_S


def test_gone_home_is_named_to_callers_of_another_region() -> None:
    """The homes of other regions were chosen by rank alone, until their keys had expired."""
    regions = create_regions(4, regions=2)
    regions.run(SETTLE_S)
    first, second, third = ranked_ids(regions)[:3]
    regions.turn_off(first)
    regions.run(MAX_NAMED_AFTER_S)
    asked = [each.member.id for each in regions.running("r1")]
    assert all(first not in regions.named_by(each, "r0") for each in asked)
    # Those that hear of the other region name its homes.
    home = next(each.member.id for each in regions.running("r1") if each.view.is_home())
    assert regions.named_by(home, "r0")[:2] == [second, third]


def test_homes_of_two_regions_lose_each_other_when_the_best_ranked_are_gone() -> None:
    """Statuses went to the best-ranked members of another region, and nobody else heard of them."""
    regions = create_regions(5, regions=2)
    regions.run(SETTLE_S)
    for region in ("r0", "r1"):
        for instance_id in ranked_ids(regions, region)[:4]:
            regions.turn_off(instance_id)
    regions.run(SETTLE_S)
    home = next(each.member.id for each in regions.running("r1") if each.view.is_home())
    assert regions.named_by(home, "r0")[:2] == ranked_ids(regions)[4:6]


def test_instance_that_starts_names_one_that_is_long_gone() -> None:
    """The key of a gone instance is still in the store, and no status has arrived yet."""
    regions = create_regions(6)
    regions.run(SETTLE_S)
    gone_id, restarted_id = ranked_ids(regions)[0], ranked_ids(regions)[-1]
    regions.turn_off(gone_id)
    regions.turn_off(restarted_id)
    regions.run(SETTLE_S)
    regions.turn_on(restarted_id)
    assert regions.named_by(restarted_id) == [restarted_id]
    assert latest_naming_s(regions, SETTLE_S) == 0.0
    assert regions.named_by(restarted_id) == ranked_ids(regions)[1:3]


def test_isolated_instance_names_others_that_it_does_not_hear() -> None:
    regions = create_regions(7)
    regions.run(SETTLE_S)
    isolated_id = ranked_ids(regions)[-1]
    others = [each for each in ranked_ids(regions) if each != isolated_id]
    regions.cut([isolated_id], others)
    regions.run(MAX_NAMED_AFTER_S)
    assert regions.named_by(isolated_id) == [isolated_id]
    regions.cut_pairs.clear()
    regions.run(1.0)
    assert regions.named_by(isolated_id) == ranked_ids(regions)[:MIN_HOMES_PER_REGION]


def test_returned_instance_is_named_at_the_address_that_it_had_before() -> None:
    """Its new status vouched for the old address until its new announcement was known."""
    now = [100.0]
    own = Member("own", "first", "z", "r", HostPort("10.0.0.1", 80), 7200, 1.0, 1000.0)
    table = create_member_table(own)
    old = Member("other", "first", "z", "r", HostPort("10.0.0.2", 80), 7200, 1.0, 1000.0)
    table.put(old, 1)
    view = create_home_view(table, lambda: now[0])
    view.apply_status(HomeStatus("other", "second", True, 1, 0.0, True), "10.0.0.3")
    assert old not in view.homes()
    new = Member("other", "second", "z", "r", HostPort("10.0.0.3", 80), 7200, 1.0, 1000.0)
    table.put(new, 2)
    assert new in view.homes()


def test_standby_instance_names_reported_homes_after_its_source_is_gone() -> None:
    own = Member("own", "first", "z", "r", HostPort("10.0.0.1", 80), 7200, 0.1, 10.0)
    table = create_member_table(own)
    table.remove_own()
    for number in (2, 3):
        host = HostPort(f"10.0.0.{number}", 80)
        table.put(Member(f"home-{number}", "first", "z", "r", host, 7200, 1.0, 1000.0), 1)
    view = create_home_view(table, lambda: 100.0)
    age_s = [0.0]
    view.report_age_s = lambda: age_s[0]
    view.apply_reported_homes("r", ("home-2", "home-3"))
    assert [each.id for each in view.homes()] == ["home-2", "home-3"]
    view.apply_lost_source("10.0.0.2")
    assert [each.id for each in view.homes()] == ["home-3"]
    age_s[0] = REPORT_TTL_S + 0.1
    assert view.homes() == []


def test_instance_wrongly_taken_for_silent_does_not_come_back() -> None:
    """A partition parts the first home from all others, which are each other's successors."""
    regions = create_regions(8)
    regions.run(SETTLE_S)
    first, *others = ranked_ids(regions)
    regions.cut([first], others)
    regions.run(WATCHED_S)
    assert all(first not in regions.named_by(each) for each in others)
    regions.cut_pairs.clear()
    regions.run(0.5)
    homes = ranked_ids(regions)[:MIN_HOMES_PER_REGION]
    assert all(regions.named_by(each) == homes for each in [first, *others])


def test_excluded_instance_is_home_again_at_once_when_it_is_needed() -> None:
    """Nobody heard the others while it was alone; then all but two of them go."""
    regions = create_regions(9)
    regions.run(SETTLE_S)
    first, *others = ranked_ids(regions)
    regions.cut([first], others)
    regions.run(WATCHED_S)
    regions.cut_pairs.clear()
    regions.run(1.0)
    for instance_id in others[:-2]:
        regions.turn_off(instance_id)
    regions.run(SILENT_AFTER_S + 3 * FIRST_STATUS_TIMEOUT_S)
    expected = [first, *others[-2:]][:MIN_HOMES_PER_REGION]
    assert all(regions.named_by(each.member.id) == expected for each in regions.running())


@pytest.mark.parametrize("instances_per_zone", [4, 18])
def test_gone_instances_cost_statuses_beyond_those_of_the_homes(instances_per_zone: int) -> None:
    regions = create_regions(10, instances_per_zone=instances_per_zone)
    regions.run(SETTLE_S)
    regions.statuses = 0
    regions.run(SETTLE_S)
    before = regions.statuses
    regions.turn_off(ranked_ids(regions)[0])
    regions.run(SETTLE_S)
    regions.statuses = 0
    regions.run(SETTLE_S)
    assert regions.statuses <= before


def _disturb(regions: SimulatedRegions, rng: Random) -> None:
    """Let one thing happen: an instance goes, leaves or returns, or statuses are lost."""
    running = [each.member.id for each in regions.running()]
    gone = [each for each in regions.instance_by_id if each not in running]
    event = rng.choice(["off", "off", "leave", "on", "on", "move", "cut", "heal", "loss"])
    if event == "off" and len(running) > 2:
        for instance_id in rng.sample(running, rng.choice([1, 1, 2, len(running) // 2])):
            regions.turn_off(instance_id)
    elif event == "leave" and len(running) > 2:
        leaving_id = rng.choice(running)
        regions.leave(leaving_id)
        regions.run(0.5)
        regions.turn_off(leaving_id)
    elif event in ("on", "move") and gone:
        returning_id = rng.choice(gone)
        host = f"10.9.0.{rng.randrange(250)}" if event == "move" else None
        regions.turn_on(returning_id, host)
    elif event == "cut" and len(running) > 1:
        some = rng.sample(running, rng.randint(1, len(running) - 1))
        regions.cut(some, [each for each in running if each not in some])
    elif event == "heal":
        regions.cut_pairs.clear()
        regions.loss_share = 0.0
    elif event == "loss":
        regions.loss_share = rng.choice([0.05, 0.2])


@pytest.mark.parametrize("seed", range(24))
def test_any_order_of_losses_returns_and_cuts_names_a_gone_instance(seed: int) -> None:
    """No order of events has one named later than that, and after them all name the same homes."""
    rng = Random(seed)
    regions = create_regions(
        seed, regions=rng.choice([1, 2]), instances_per_zone=rng.choice([2, 4])
    )
    regions.run(SETTLE_S)
    for _ in range(12):
        _disturb(regions, rng)
        assert latest_naming_s(regions, rng.uniform(0.2, 4.0)) <= MAX_NAMED_AFTER_S
    regions.cut_pairs.clear()
    regions.loss_share = 0.0
    assert latest_naming_s(regions, 2 * SETTLE_S) <= MAX_NAMED_AFTER_S
    for region in {each.member.region for each in regions.running()}:
        running = [each.member.id for each in regions.running(region)]
        homes = [each for each in ranked_ids(regions, region) if each in running]
        for asked_id in running:
            assert regions.named_by(asked_id) == homes[:MIN_HOMES_PER_REGION]
