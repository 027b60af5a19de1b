"""Tests of `heatherhead.callers.service_selector`."""

from __future__ import annotations

import pytest

from heatherhead.callers.service_selector import create_service_selector
from heatherhead.configuration.model import Service, ServiceRecord
from heatherhead.configuration.replica import create_replica


@pytest.mark.parametrize(
    ("host", "target", "name"),
    [
        ("a.example", "/", "a"),
        ("A.example:8080", "/b/1", "a"),
        ("[::1]:80", "/", "six"),
        ("x", "/b", "b"),
        ("x", "/b/", "b"),
        ("x", "/b?c", "b"),
        ("x", "/b/c/d", "deep"),
        ("x", "/bc", None),
        ("x", "/", None),
        ("x", "*", None),
    ],
)
def test_selection(host: str, target: str, name: str | None) -> None:
    replica = create_replica()
    selector = create_service_selector(replica)
    services = [
        Service("a", hosts=("a.example",)),
        Service("six", hosts=("[::1]",)),
        Service("b", path_prefixes=("/b",)),
        Service("deep", path_prefixes=("/b/c/",)),
    ]
    for revision, service in enumerate(services, start=1):
        replica.apply(ServiceRecord(service.name, revision, "c", service))
    chosen = selector.select(host, target)
    assert (chosen.name if chosen else None) == name


def test_selection_follows_the_replica() -> None:
    replica = create_replica()
    selector = create_service_selector(replica)
    replica.apply(ServiceRecord("b", 1, "c", Service("b", path_prefixes=("/",))))
    assert selector.select("x", "/any/path") is not None
    replica.apply(ServiceRecord("b", 2, "d", None))
    assert selector.select("x", "/any/path") is None
