"""Tests of `heatherhead.routes.table`."""

from __future__ import annotations

from collections import Counter

from heatherhead.routes.model import RepeatRule, Route, RouteConfiguration, TrafficPart
from heatherhead.routes.table import create_route_table


def _route(name: str, prefix: str, *parts: tuple[str, float]) -> Route:
    return Route(
        name=name,
        host="shop.example",
        prefix=prefix,
        repeat=RepeatRule.IDEMPOTENT,
        parts=tuple(TrafficPart(service, weight) for service, weight in parts),
    )


def _configuration(version: int, *routes: Route) -> RouteConfiguration:
    return RouteConfiguration(version, {route.name: route for route in routes})


def test_longest_prefix_of_the_host_wins() -> None:
    table = create_route_table()
    table.apply(_configuration(1, _route("all", "/", ("a", 1)), _route("deep", "/x/y/", ("b", 1))))
    assert table.match("shop.example", "/x/y/z?q=/1").name == "deep"
    assert table.match("SHOP.example:8080", "/x/yy").name == "all"
    assert table.match("other.example", "/x/y/z") is None


def test_prefix_is_matched_in_the_path_and_not_in_the_query() -> None:
    table = create_route_table()
    table.apply(_configuration(1, _route("deep", "/x/", ("b", 1))))
    assert table.match("shop.example", "/?a=/x/") is None


def test_older_version_never_replaces_a_newer_one() -> None:
    table = create_route_table()
    assert table.apply(_configuration(7, _route("new", "/", ("a", 1))))
    assert not table.apply(_configuration(7, _route("other", "/", ("a", 1))))
    assert not table.apply(_configuration(3, _route("old", "/", ("a", 1))))
    assert table.match("shop.example", "/").name == "new"


def test_split_distributes_calls_by_weight() -> None:
    table = create_route_table()
    route = _route("split", "/", ("a", 70), ("b", 20), ("c", 10))
    table.apply(_configuration(1, route))
    counts = Counter(table.service_of(route) for _ in range(200))
    assert counts == {"a": 140, "b": 40, "c": 20}


def test_changed_weights_apply_from_the_next_call() -> None:
    table = create_route_table()
    table.apply(_configuration(1, _route("split", "/", ("a", 99), ("b", 1))))
    for _ in range(50):
        table.service_of(table.match("shop.example", "/"))
    changed = _route("split", "/", ("a", 1), ("b", 1))
    table.apply(_configuration(2, changed))
    counts = Counter(table.service_of(changed) for _ in range(20))
    assert counts == {"a": 10, "b": 10}
