"""Tests of `heatherhead.routing.homes` and `heatherhead.routing.shares`."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from heatherhead.configuration.model import Upstream
from heatherhead.routing.homes import create_home_sets
from heatherhead.routing.shares import owner_by_upstream
from heatherhead.settings.routing import RoutingSettings
from heatherhead.tests.routing.fakes import FakeMembership, create_instance

if TYPE_CHECKING:
    from heatherhead.membership.interface import Instance

SERVICES = [f"service-{number}" for number in range(200)]
HOMES = 3


def _instances(count: int, zones: int = 4) -> list[Instance]:
    return [create_instance(f"i{index}", f"z{index % zones}") for index in range(count)]


def _homes(membership: FakeMembership) -> dict[str, list[str]]:
    sets = create_home_sets(membership, settings=RoutingSettings(homes_minimum=HOMES))
    return {name: sets.home_ids(name, "local") for name in SERVICES}


def test_spreads_the_homes_of_a_service_over_zones() -> None:
    membership = FakeMembership(create_instance("i0"), _instances(40))
    zone_by_id = {each.id: each.availability_zone for each in membership.live()}
    for ids in _homes(membership).values():
        assert len({zone_by_id[each] for each in ids}) == HOMES


def test_an_instance_that_leaves_changes_only_the_home_sets_it_was_in() -> None:
    instances = _instances(40)
    before = _homes(FakeMembership(instances[0], instances))
    gone = instances[7].id
    after = _homes(FakeMembership(instances[0], [each for each in instances if each.id != gone]))
    for name in SERVICES:
        kept = [each for each in before[name] if each != gone]
        assert set(kept) <= set(after[name])
        assert len(after[name]) == HOMES
    moved = sum(len(set(after[name]) - set(before[name])) for name in SERVICES)
    held = sum(gone in ids for ids in before.values())
    assert moved == held


def test_cached_rankings_follow_the_membership_view() -> None:
    instances = _instances(40)
    membership = FakeMembership(instances[0], instances[:39])
    sets = create_home_sets(membership, settings=RoutingSettings(homes_minimum=HOMES))
    for changed in (instances, instances[1:], instances[:30], instances):
        membership.replace(changed)
        fresh = _homes(FakeMembership(instances[0], changed))
        assert {name: sets.home_ids(name, "local") for name in SERVICES} == fresh


def test_homes_are_never_empty_while_an_instance_is_live() -> None:
    only = create_instance("i0")
    sets = create_home_sets(FakeMembership(only), settings=RoutingSettings(homes_minimum=HOMES))
    assert [home.instance for home in sets.homes("orders", "local")] == [only]


def test_weighs_homes_by_their_load() -> None:
    membership = FakeMembership(create_instance("i0"), _instances(2, zones=1))
    sets = create_home_sets(membership)
    sets.load_by_id.update({"i0": 300.0, "i1": 100.0})
    weight_by_id = {home.instance.id: home.weight for home in sets.homes("orders", "local")}
    assert weight_by_id["i1"] == 2.0
    assert round(weight_by_id["i0"], 3) == 0.667


def test_divides_upstreams_evenly_and_by_zone() -> None:
    upstreams = [
        Upstream(f"u{index}", "127.0.0.1", index + 1, availability_zone=f"z{index % 2}")
        for index in range(12)
    ]
    owners = owner_by_upstream("orders", upstreams, {"a": "z0", "b": "z1", "c": "z0", "d": "z1"})
    assert Counter(owners.values()) == {"a": 3, "b": 3, "c": 3, "d": 3}
    assert all(owners[each.id] in "ac" for each in upstreams if each.availability_zone == "z0")
