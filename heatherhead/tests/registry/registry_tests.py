"""Tests of `heatherhead.registry.registry`."""

from __future__ import annotations

from heatherhead.registry.entries import UpstreamEntry
from heatherhead.registry.registry import create_upstream_registry


def _entry(revision: int, **changes: object) -> UpstreamEntry:
    fields: dict[str, object] = {
        "id": "u1",
        "service": "orders",
        "host": "10.0.0.1",
        "port": 80,
        "availability_zone": "a",
        "slots": 4,
        "revision": revision,
    }
    return UpstreamEntry(**{**fields, **changes})  # type: ignore[arg-type]


def test_older_entry_is_ignored() -> None:
    registry = create_upstream_registry()
    registry.put(_entry(5, draining=True))
    assert not registry.put(_entry(4))
    assert registry.by_id["u1"].draining


def test_removed_entry_is_not_restored_by_a_stale_source() -> None:
    registry = create_upstream_registry()
    registry.put(_entry(5))
    assert registry.remove("u1", 8)
    assert not registry.put(_entry(5))
    assert registry.put(_entry(9))


def test_removal_that_is_older_than_the_entry_is_ignored() -> None:
    registry = create_upstream_registry()
    registry.put(_entry(9))
    assert not registry.remove("u1", 8)


def test_entry_that_expired_in_an_outage_is_kept_for_the_grace_period() -> None:
    registry = create_upstream_registry()
    registry.put(_entry(5))
    registry.remove("u1", 8, expires_at=12.0)
    assert registry.expire(11.9) == []
    assert "u1" in registry.by_id
    assert registry.expire(12.0) == ["u1"]
    assert not registry.by_id


def test_entry_that_is_announced_again_within_the_grace_period_stays() -> None:
    registry = create_upstream_registry()
    registry.put(_entry(5))
    registry.remove("u1", 8, expires_at=12.0)
    registry.put(_entry(10))
    assert registry.expire(20.0) == []
    assert "u1" in registry.by_id


def test_second_expiry_report_does_not_extend_the_grace_period() -> None:
    registry = create_upstream_registry()
    registry.put(_entry(5))
    registry.remove("u1", 8, expires_at=12.0)
    registry.remove("u1", 9, expires_at=15.0)
    assert registry.expire(12.0) == ["u1"]
