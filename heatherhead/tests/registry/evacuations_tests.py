"""Tests of the set of evacuated zones; each names the failure that it guards against."""

from __future__ import annotations

from heatherhead.registry.evacuations import Evacuations, create_evacuations
from heatherhead.tests.proxy.fakes import recorded_events


def _create() -> tuple[Evacuations, list[frozenset[str]]]:
    evacuations = create_evacuations({"z0": "r0", "z1": "r1"})
    heard: list[frozenset[str]] = []
    evacuations.subscribe(heard.append)
    return evacuations, heard


def test_several_zones_are_evacuated_and_return_one_by_one() -> None:
    """Guards against a second evacuation that replaces the first, or a return that ends both."""
    evacuations, heard = _create()
    evacuations.put("z0")
    evacuations.put("z1")
    evacuations.remove("z0")
    assert heard == [frozenset({"z0"}), frozenset({"z0", "z1"}), frozenset({"z1"})]


def test_key_that_is_set_again_changes_nothing() -> None:
    """Guards against calls placed anew, and log lines, for each writing of the same key."""
    evacuations, heard = _create()
    with recorded_events("zone_evacuated") as begun, recorded_events("zone_returned") as ended:
        evacuations.put("z0")
        evacuations.put("z0")
        evacuations.remove("z0")
        evacuations.remove("z0")
    assert len(heard) == 2
    assert begun == ended == [{"zone": "z0", "known": True}]


def test_zone_stays_evacuated_for_the_grace_period_after_an_outage() -> None:
    """Guards against requests to a zone whose key a restored store doesn't have again yet."""
    evacuations, heard = _create()
    evacuations.put("z0")
    evacuations.remove("z0", returns_at=12.0)
    evacuations.remove("z0", returns_at=13.0)
    evacuations.expire(11.9)
    assert heard == [frozenset({"z0"})]
    evacuations.expire(12.0)
    assert heard[-1] == frozenset()


def test_key_written_again_within_the_grace_period_keeps_the_zone_evacuated() -> None:
    """Guards against a timer of an earlier removal that ends a later evacuation."""
    evacuations, heard = _create()
    evacuations.put("z0")
    evacuations.remove("z0", returns_at=12.0)
    evacuations.put("z0")
    evacuations.expire(20.0)
    assert heard == [frozenset({"z0"})]
    evacuations.remove("z0")
    evacuations.put("z0")
    evacuations.expire(30.0)
    assert heard[-1] == frozenset({"z0"})


def test_unknown_zone_is_held_but_not_counted() -> None:
    """Guards against a gauge above 0 for a mistyped key, and against a failure for its removal."""
    evacuations, _ = _create()
    evacuations.put("z9")
    evacuations.put("")
    assert evacuations.zones == {"z9"}
    assert not evacuations.known
    evacuations.remove("z9")
    evacuations.remove("z8")
    assert not evacuations.zones
