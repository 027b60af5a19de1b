"""Tests of the explanation of a route; each names the failure that it guards against."""

from __future__ import annotations

import asyncio
import json
import math
from copy import deepcopy
from typing import TYPE_CHECKING, Any

import pytest
from multidict import MultiDict

from heatherhead.__main__ import main
from heatherhead.commands.exit_codes import ExitCode
from heatherhead.dispatch.upstream_state import LoadReading
from heatherhead.entry.route_explanation import ExplainedCall, parse_explained_call
from heatherhead.entry.service import create_entry_service
from heatherhead.platform.daemon import PlatformDecoder
from heatherhead.platform.dialect import PlatformDialect
from heatherhead.platform.documents import decode_configuration
from heatherhead.store.memory import create_memory_store
from heatherhead.tests.base import run_with_paused_clock
from heatherhead.tests.dispatch.fakes import create_entry
from heatherhead.tests.entry.instances import (
    CONFIGURATION,
    PORTS,
    Instances,
    create_settings,
    loopback_prefix,
    write,
)
from heatherhead.tests.state_snapshot import snapshot

if TYPE_CHECKING:
    from collections.abc import Callable

    from heatherhead.entry.service import EntryService

KEY = "a-very-secret-key"
STEADY_S = 1.0  # by then an instance has read the load of the upstreams


def _configuration() -> dict[str, Any]:
    document: dict[str, Any] = deepcopy(CONFIGURATION)
    read = document["Routes"]["read"]
    document["ConfigVersion"] = 2
    document["Routes"] |= {
        "public": {**read, "Prefix": "/public/", "Public": True},
        "split": {
            **read,
            "Prefix": "/split/",
            "TrafficSplit": [
                {"Service": "stock", "Weight": 2},
                {"Service": "spare", "Weight": 1},
            ],
        },
        "lost": {**read, "Prefix": "/lost/", "Service": "lost"},
        "confined": {**read, "Prefix": "/confined/", "AllowedRegions": ["r1", "r2"]},
    }
    document["Tenants"] = {
        "plain": {"ApiKeys": [KEY], "Priority": 3, "RatePerS": 86, "Burst": 40},
        "only_r2": {"ApiKeys": [KEY + "2"], "AllowedRegions": ["r2"]},
        "only_r0": {"ApiKeys": [KEY + "3"], "AllowedRegions": ["r0"]},
    }
    return document


def _service(upstreams: int = 6, configuration: dict[str, Any] | None = None) -> EntryService:
    """Create an instance in zone z0 of region r0 that isn't started, with idle upstreams."""
    service = create_entry_service(
        create_settings(0, "127.0.0.1"), create_memory_store(), PlatformDecoder(), PlatformDialect()
    )
    document = json.dumps(configuration or _configuration()).encode()
    service.table.apply(decode_configuration(document).unwrap())
    now = asyncio.get_running_loop().time()
    for number in range(upstreams):
        entry = create_entry(f"i-{number}", f"z{number % 6}", 2)
        service.dispatcher.on_entry(None, entry)
    for state in service.dispatcher.states:
        service.dispatcher.apply_reading(state, LoadReading(0, 0, 2, 1.0, now))
    return service


def _run(scenario: Callable[[], None]) -> None:
    async def run() -> None:
        scenario()

    run_with_paused_clock(run())


def _call(path: str = "/read/1", customer: str | None = "plain", **changes: Any) -> ExplainedCall:
    return ExplainedCall("shop.example", path, customer=customer, **changes)


def _outcome(document: dict[str, Any]) -> tuple[str, int | None, str]:
    outcome = document["outcome"]
    return outcome["kind"], outcome["status"], outcome["reason"]


def test_route_customer_and_candidates_are_told() -> None:
    """Guards against an explanation that leaves out a term of the decision."""

    def scenario() -> None:
        document = _service().explain(_call(client_timeout_s=1.0))
        assert document["route"]["name"] == "read"
        assert document["route"]["next_service"] == "stock"
        assert document["customer"] == {
            "name": "plain",
            "priority": 3,
            "cap": {"calls_per_s": 86.0, "burst": 40.0, "state": None},
            "allowed_regions": [],
        }
        assert document["allowed_regions"] is None
        assert document["retry_budget"]["left"] >= 0
        assert document["outcome"]["kind"] == "admitted"
        assert document["outcome"]["upstream"] == "i-0"
        first = document["candidates"][0]
        assert (first["position"], first["upstream"], first["standing"]) == (1, "i-0", "chosen")
        assert first["cost_s"] == pytest.approx(sum(first["cost_by_part"].values()), abs=0.001)
        assert document["candidates_total"] == 6

    _run(scenario)


def test_no_key_is_told() -> None:
    """Guards against the key of a customer in an answer."""

    def scenario() -> None:
        service = _service()
        for customer in (None, "plain", "only_r2", "unknown"):
            for path in ("/read/1", "/public/1", "/confined/1", "/none/"):
                assert KEY not in json.dumps(service.explain(_call(path, customer)))

    _run(scenario)


def test_allowed_regions_are_those_of_route_and_customer() -> None:
    """Guards against a list of upstreams for which only one of the two was applied."""

    def scenario() -> None:
        service = _service()
        document = service.explain(_call("/confined/1", "only_r2"))
        assert document["allowed_regions"] == ["r2"]
        excluded = {each["region"]: each["excluded_by"] for each in document["candidates"] if each}
        assert excluded == {
            "r0": ["region_not_allowed"],
            "r1": ["region_not_allowed"],
            "r2": [],
        }
        document = service.explain(_call("/confined/1", "only_r0"))
        assert document["allowed_regions"] == []
        assert _outcome(document) == ("rejected", 503, "no region is allowed")
        assert document["outcome"]["retry_after_s"] > 0

    _run(scenario)


def test_calls_that_no_upstream_would_see_are_explained() -> None:
    """Guards against an error or a made-up placement where a call is refused early."""

    def scenario() -> None:
        service = _service()
        none = service.explain(_call("/none/1"))
        assert _outcome(none) == ("rejected", 404, "no route has this host and path")
        assert none["route"] is None
        unknown = service.explain(_call(customer="nobody"))
        assert _outcome(unknown)[:2] == ("rejected", 401)
        assert unknown["note"] == "no customer has this name"
        assert _outcome(service.explain(_call(customer=None)))[:2] == ("rejected", 401)
        public = service.explain(_call("/public/1", None))
        assert public["outcome"]["kind"] == "admitted"
        assert public["customer"] is None
        lost = service.explain(_call("/lost/1"))
        assert _outcome(lost) == ("rejected", 503, "no upstream")
        assert (lost["candidates"], lost["candidates_total"]) == ([], 0)
        service.forwarder.rejects_calls = True
        assert _outcome(service.explain(_call())) == ("rejected", 503, "this instance ends")

    _run(scenario)


def test_without_configuration_or_customers() -> None:
    """Guards against 401 before the first configuration, and against a name that needs customers."""

    def scenario() -> None:
        plain = _service(configuration=deepcopy(CONFIGURATION))
        document = plain.explain(_call())
        assert document["note"] == "the configuration has no customers"
        assert document["outcome"]["kind"] == "admitted"
        starting = create_entry_service(
            create_settings(0, "127.0.0.1"),
            create_memory_store(),
            PlatformDecoder(),
            PlatformDialect(),
        )
        assert _outcome(starting.explain(_call())) == ("rejected", 503, "no configuration yet")

    _run(scenario)


def test_call_out_of_reach_goes_over_a_peer_if_there_is_one() -> None:
    """Guards against a wait that is told where a call would take a detour."""

    def scenario() -> None:
        service = _service()
        now = asyncio.get_running_loop().time()
        for state in service.dispatcher.states:
            state.ejected_until = now + 10.0
        assert service.explain(_call())["outcome"]["kind"] == "waits"
        service.homes.has_peer_reaching = lambda _service, _regions: True  # type: ignore[method-assign]
        assert service.explain(_call())["outcome"]["kind"] == "detour"

    _run(scenario)


def test_split_names_the_next_service_and_takes_no_turn() -> None:
    """Guards against an explanation that moves the split, or names another service."""

    def scenario() -> None:
        service = _service()
        route = service.table.match("shop.example", "/split/1")
        assert route is not None
        for _ in range(9):
            told = {service.explain(_call("/split/1"))["route"]["next_service"] for _ in range(3)}
            assert told == {service.table.service_of(route)}

    _run(scenario)


def test_asking_a_hundred_times_changes_nothing() -> None:
    """Guards against state of the table, the forwarder, the homes or the dispatcher that moves."""

    def scenario() -> None:
        service = _service()
        watched = (
            service.table,
            service.dispatcher,
            service.forwarder,
            service.homes,
            service.permits,
            service.usage,
            service.crashes,
        )
        before = snapshot(*watched)
        customers = (None, "plain", "only_r2", "only_r0", "nobody")
        paths = ("/read/1", "/split/1", "/lost/1", "/confined/1")
        for number in range(100):
            timeout_s = None if number % 2 else 0.5
            path, customer = paths[number % 4], customers[number % 5]
            service.explain(_call(path, customer, client_timeout_s=timeout_s))
        assert snapshot(*watched) == before

    _run(scenario)


def test_answer_is_bounded() -> None:
    """Guards against an answer as long as a service of hundreds of upstreams."""

    def scenario() -> None:
        service = _service(upstreams=300)
        document = service.explain(_call())
        assert len(document["candidates"]) == 20
        assert document["candidates_total"] == 300
        assert len(json.dumps(document)) < 20_000
        of_region = service.explain(_call(region="r2"))
        assert {each["region"] for each in of_region["candidates"]} == {"r2"}
        assert of_region["candidates_total"] == 100

    _run(scenario)


def test_endless_times_are_no_numbers_of_the_answer() -> None:
    """Guards against an infinite pause that makes the answer invalid JSON."""

    def scenario() -> None:
        service = _service()
        for state in service.dispatcher.states:
            service.dispatcher.record_pause(state.entry, math.inf)
        document = service.explain(_call())
        json.dumps(document, allow_nan=False)
        assert {tuple(each["excluded_by"]) for each in document["candidates"]} == {("leaves",)}

    _run(scenario)


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"host": ""}, "host"),
        ({"path": "read"}, "path"),
        ({"method": "G T"}, "method"),
        ({"region": "nowhere"}, "region"),
        ({"client_timeout_s": "nan"}, "client_timeout_s"),
        ({"client_timeout_s": "-1"}, "client_timeout_s"),
        ({"body_bytes": "1001"}, "body_bytes"),
        ({"path": "/" + "x" * 2000}, "a parameter"),
    ],
)
def test_wrong_parameter_is_named(changes: dict[str, str], field: str) -> None:
    """Guards against a question that is answered for other values than were asked."""
    parameters = MultiDict({"host": "shop.example", "path": "/read/1?key=1"} | changes)
    assert parse_explained_call(parameters, {"r0"}, 1000).unwrap_err().startswith(field)


def test_parameters_have_defaults_and_the_query_of_the_path_is_dropped() -> None:
    """Guards against a secret in the query of a path that comes back in the answer."""
    parameters = MultiDict({"host": "shop.example", "path": "/read/1?key=1"})
    parsed = parse_explained_call(parameters, {"r0"}, 1000).unwrap()
    assert parsed == ExplainedCall("shop.example", "/read/1")


def test_page_and_command_over_http(capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against a page on the callers' addresses, and a command that can't read the page."""

    async def get(host: str, port: int, target: str, method: str = "GET") -> bytes:
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(f"{method} {target} HTTP/1.0\r\nHost: x\r\n\r\n".encode())
        received = await asyncio.wait_for(reader.read(), 5.0)
        writer.close()
        return received

    async def run() -> None:
        fleet = Instances(create_memory_store(), loopback_prefix(79))
        await fleet.add_upstreams(2)
        await fleet.start(1)
        await write(fleet.store, "op/config", _configuration())
        await asyncio.sleep(STEADY_S)
        host = fleet.services[0].settings.host
        arrived = [len(each.arrivals) for each in fleet.upstreams]
        target = "/explain?host=shop.example&path=/read/1&customer=plain"
        answer = await get(host, PORTS["Readiness"], target)
        assert answer.startswith(b"HTTP/1.1 200") or answer.startswith(b"HTTP/1.0 200")
        document = json.loads(answer.partition(b"\r\n\r\n")[2])
        assert document["outcome"]["kind"] == "admitted"
        assert b" 400 " in await get(host, PORTS["Readiness"], "/explain?host=x")
        assert b" 405 " in await get(host, PORTS["Readiness"], target, "POST")
        assert b" 200 " in await get(host, PORTS["Readiness"], "/readyz")
        assert b" 404 " in await get(host, PORTS["Directory"], target)
        assert b" 200 " in await get(host, PORTS["Directory"], "/metrics")

        instance = f"{host}:{PORTS['Readiness']}"
        command = ["explain-route", instance, "shop.example", "/read/1", "--customer=plain"]
        assert await asyncio.to_thread(main, command) == ExitCode.DONE
        printed = capsys.readouterr()
        assert "outcome: admitted to i-0" in printed.out
        assert "customer: plain, priority 3, cap 86 calls a second" in printed.out
        assert "chosen" in printed.out
        assert "as seen by edge-0 in r0/z0" in printed.err
        assert await asyncio.to_thread(main, [*command, "--json"]) == ExitCode.DONE
        assert json.loads(capsys.readouterr().out)["route"]["name"] == "read"
        assert await asyncio.to_thread(main, [*command, "--region=x"]) == ExitCode.USAGE
        assert "no zone of the settings is in x" in capsys.readouterr().err
        nobody = ["explain-route", f"{host}:1", "shop.example", "/read/1"]
        assert await asyncio.to_thread(main, nobody) == ExitCode.UNREACHABLE
        callers = [
            "explain-route",
            f"{host}:{PORTS['Directory']}",
            "shop.example",
            "/read/1",
        ]
        assert await asyncio.to_thread(main, callers) == ExitCode.FAULT
        assert [len(each.arrivals) for each in fleet.upstreams] == arrived
        await fleet.stop()

    asyncio.run(run())
