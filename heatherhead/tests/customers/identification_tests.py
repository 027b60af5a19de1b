"""Tests of `heatherhead.customers.identification`, and of keys on the path of a call."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from heatherhead.customers.identification import Identity, identify
from heatherhead.customers.usage import CapDecision
from heatherhead.routes.model import (
    Customer,
    RepeatRule,
    Route,
    RouteConfiguration,
    TrafficPart,
    UsageCap,
)
from heatherhead.routes.table import create_route_table
from heatherhead.tests.proxy.detour_tests import run_detour
from heatherhead.tests.proxy.fakes import (
    EntryPath,
    ScriptedUpstream,
    answer,
    request,
    run_path,
    status_of,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

ROUTE = Route("r", "shop.example", "/", RepeatRule.IDEMPOTENT, (TrafficPart("stock", 1.0),))
NORTH, SOUTH = frozenset({"north"}), frozenset({"south"})


def _configuration(version: int, customers: Iterable[Customer] | None) -> RouteConfiguration:
    by_name = None if customers is None else {each.name: each for each in customers}
    return RouteConfiguration(version, {"r": ROUTE}, customer_by_name=by_name)


def _with_customers(path: EntryPath, *customers: Customer, public: bool = False) -> None:
    if not path.table.loaded:
        path.configure()
    held = path.table.configuration
    routes = {
        name: replace(route, public=public and name == "/read/")
        for name, route in held.route_by_name.items()
    }
    by_name = {each.name: each for each in customers}
    path.table.apply(
        replace(held, version=held.version + 1, route_by_name=routes, customer_by_name=by_name)
    )


def test_key_is_valid_from_the_version_that_adds_it_to_the_one_that_removes_it() -> None:
    table = create_route_table()
    table.apply(_configuration(1, [Customer("c", ("old",))]))
    assert identify(table, ROUTE, "new") is None
    table.apply(_configuration(2, [Customer("c", ("old", "new"))]))
    found = identify(table, ROUTE, "new")
    assert found is not None
    assert found.customer is not None
    assert found.customer.name == "c"
    table.apply(_configuration(3, [Customer("c", ("new",))]))
    assert identify(table, ROUTE, "old") is None


def test_all_keys_are_refused_when_no_customer_is_left() -> None:
    table = create_route_table()
    table.apply(_configuration(1, []))
    assert identify(table, ROUTE, "any") is None


def test_no_key_is_needed_without_customers_or_on_a_public_route() -> None:
    table = create_route_table()
    table.apply(_configuration(1, None))
    assert identify(table, ROUTE, None) == Identity(None, keys_required=False)
    table.apply(_configuration(2, [Customer("c", ("k",))]))
    public = replace(ROUTE, public=True)
    assert identify(table, public, None) == Identity(None, keys_required=True)
    assert identify(table, ROUTE, None) is None


@pytest.mark.parametrize(
    ("of_route", "of_customer", "allowed"),
    [
        (frozenset(), frozenset(), None),
        (NORTH, frozenset(), NORTH),
        (frozenset(), SOUTH, SOUTH),
        (NORTH | SOUTH, SOUTH, SOUTH),
        (NORTH, SOUTH, frozenset()),
    ],
)
def test_regions_of_route_and_customer_both_bind(
    of_route: frozenset[str], of_customer: frozenset[str], allowed: frozenset[str] | None
) -> None:
    identity = Identity(Customer("c", ("k",), allowed_regions=of_customer), keys_required=True)
    assert identity.allowed_regions(replace(ROUTE, allowed_regions=of_route)) == allowed


def test_upstream_gets_the_customer_s_name_and_neither_the_key_nor_a_forged_name() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        _with_customers(path, Customer("shop", ("k1",)))
        sent = request(Authorization="Token k1", **{"X-Heatherhead-Tenant": "other"})
        assert status_of(await path.send(sent)) == 200
        (received,) = upstreams[0].requests
        assert b"X-Heatherhead-Tenant: shop\r\n" in received
        assert b"k1" not in received
        assert b"other" not in received

    run_path(scenario, [answer()])


def test_call_of_a_public_route_names_no_customer() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        _with_customers(path, Customer("shop", ("k1",)), public=True)
        sent = request(Authorization="Token unknown", **{"X-Heatherhead-Tenant": "shop"})
        assert status_of(await path.send(sent)) == 200
        (received,) = upstreams[0].requests
        assert b"Tenant" not in received
        assert b"unknown" not in received

    run_path(scenario, [answer()])


@pytest.mark.parametrize("authorization", [None, "Token k2", "Basic k1", "Token", "k1"])
def test_call_without_a_customer_s_key_is_refused_unsent(authorization: str | None) -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        _with_customers(path, Customer("shop", ("k1",)))
        extra = {} if authorization is None else {"Authorization": authorization}
        assert status_of(await path.send(request(**extra))) == 401
        assert not upstreams[0].requests

    run_path(scenario, [answer()])


def test_second_authorization_header_gets_no_key_past_the_check() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        _with_customers(path, Customer("shop", ("k1",)))
        head, _, rest = request(Authorization="Token k1").partition(b"\r\n")
        sent = head + b"\r\nauthorization: Token k2\r\n" + rest
        assert status_of(await path.send(sent)) == 401
        assert not upstreams[0].requests

    run_path(scenario, [answer()])


def test_headers_pass_unchanged_without_customers() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        assert status_of(await path.send(request(Authorization="Token k1"))) == 200
        assert b"Authorization: Token k1\r\n" in upstreams[0].requests[0]

    run_path(scenario, [answer()])


class _Caps:
    """Admits a number of calls, and counts those given back."""

    def __init__(self, left: int) -> None:
        self.left = left

    async def admit(self, _customer: Customer) -> CapDecision:
        if self.left < 1:
            return CapDecision(admitted=False, retry_after_s=0.25)
        self.left -= 1
        return CapDecision(admitted=True)

    def give_back(self, _customer: Customer) -> None:
        self.left += 1


def test_call_over_the_cap_is_told_when_to_come_back_and_is_not_sent() -> None:
    async def scenario(_path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path = EntryPath({}, caps=_Caps(0))
        _with_customers(path, Customer("shop", ("k1",), cap=UsageCap(1.0, 1.0)))
        server = await asyncio.get_running_loop().create_server(
            path.callers.create_connection, "127.0.0.1", 0
        )
        path.port = server.sockets[0].getsockname()[1]
        received = await path.send(request(Authorization="Token k1"))
        assert status_of(received) == 429
        assert b"Retry-After: 0.250\r\n" in received
        assert not upstreams[0].requests
        server.close()

    run_path(scenario, [answer()])


@pytest.mark.parametrize(("script", "left"), [(answer(status=200), 0), ("reset", 0)])
def test_call_that_may_have_run_stays_counted(script: object, left: int) -> None:
    caps = _Caps(1)

    async def scenario(path: EntryPath, _upstreams: list[ScriptedUpstream]) -> None:
        path.forwarder._caps = caps
        _with_customers(path, Customer("shop", ("k1",), cap=UsageCap(1.0, 1.0)))
        await path.send(request("/order/x", method="POST", Authorization="Token k1"))
        assert caps.left == left

    run_path(scenario, [script])


def test_call_that_was_refused_as_not_run_is_given_back() -> None:
    caps = _Caps(1)

    async def scenario(path: EntryPath, _upstreams: list[ScriptedUpstream]) -> None:
        path.forwarder._caps = caps
        _with_customers(path, Customer("shop", ("k1",), cap=UsageCap(1.0, 1.0)))
        refusal = await path.send(request("/order/x", method="POST", Authorization="Token k1"))
        assert status_of(refusal) == 503
        assert caps.left == 1

    run_path(scenario)


@pytest.mark.parametrize("public", [False, True])
@pytest.mark.parametrize("connection", ["keep-alive", "Authorization", "authorization, close"])
def test_key_that_connection_names_is_lost_on_a_detour(connection: str, public: bool) -> None:
    """The peer refused the key's call with 401, or served a public call without its customer's terms.

    Headers that `Connection` names end at this instance, which is the one that reads the key.
    """

    async def scenario(cut: EntryPath, peer: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        for path in (cut, peer):
            _with_customers(path, Customer("shop", ("k1",)), public=public)
        extra = {"X-Heatherhead-Tenant": "other", "Connection": connection}
        received = await cut.send(request(Authorization="Token k1", **extra))
        assert status_of(received) == 200
        (sent,) = upstreams[0].requests
        assert b"X-Heatherhead-Tenant: shop\r\n" in sent
        assert b"k1" not in sent
        assert b"other" not in sent

    run_detour(scenario, [answer()])
