"""Tests of `heatherhead.configuration.replica`."""

from __future__ import annotations

from heatherhead.configuration.model import Service, ServiceRecord
from heatherhead.configuration.replica import create_replica


def test_revision_never_goes_down() -> None:
    replica = create_replica()
    seen: list[int] = []
    replica.subscribe(lambda record: seen.append(record.revision))
    assert replica.apply(ServiceRecord("orders", 7, "c7", Service("orders")))
    assert not replica.apply(ServiceRecord("orders", 6, "c6", None))
    assert replica.service("orders") == Service("orders")
    assert seen == [7]
