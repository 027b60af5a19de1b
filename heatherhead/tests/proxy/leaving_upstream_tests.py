"""Tests of upstreams that say in their answers that they leave."""

from __future__ import annotations

import asyncio
import math
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from heatherhead.dispatch.upstream_state import LoadReading
from heatherhead.platform.dialect import PlatformDialect
from heatherhead.proxy.load_reader import create_load_reader
from heatherhead.routes.model import CallerLimits, RouteConfiguration, ServiceRules
from heatherhead.tests.proxy.detour_tests import run_detour
from heatherhead.tests.proxy.fakes import EntryPath, answer, request, run_path, status_of

if TYPE_CHECKING:
    from heatherhead.tests.proxy.fakes import ScriptedUpstream

CALLS = 12
LEAVING = answer(Server_Leaving="1")
NOT_RUN = {"X_Heatherhead_Not_Executed": "1"}


async def send_many(path: EntryPath, calls: int = CALLS) -> list[int]:
    """Send calls one after the other while all slots are free; return their statuses."""
    now = asyncio.get_running_loop().time()
    for state in path.dispatcher.states:
        path.dispatcher.apply_reading(state, LoadReading(0, 0, 4, 1.0, now))
    return [status_of(await path.send(request())) for _ in range(calls)]


@pytest.mark.parametrize(
    "data",
    [
        LEAVING,
        answer(status=500, Server_Leaving="1"),
        answer(status=503, Server_Leaving="1", **NOT_RUN),
        answer(status=404, Server_Leaving="1"),
    ],
    ids=["answer", "failure", "refusal", "not found"],
)
def test_upstream_that_says_it_leaves_goes_on_to_get_calls(data: bytes) -> None:
    """Only the store told of it, whose entry may say so late or never."""

    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        leaving, other = upstreams
        await send_many(path)
        assert len(leaving.requests) == 1
        assert len(other.requests) >= CALLS - 1

    run_path(scenario, [data] * CALLS, [])


def test_answer_of_a_leaving_upstream_is_passed_on_whole() -> None:
    async def scenario(path: EntryPath, _upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        received = await path.send(request())
        assert status_of(received) == 200
        assert b"Server-Leaving: 1" in received
        assert received.endswith(b"whole")
        assert status_of(await path.send(request())) == 503

    run_path(scenario, [LEAVING] * 2)


def test_leaving_upstream_gets_calls_again_when_its_entry_lapses_and_returns() -> None:
    """Only another start of it takes calls again."""

    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        await send_many(path, 1)
        entry = next(iter(path.dispatcher.states)).entry
        path.dispatcher.on_entry(entry, None)
        path.dispatcher.on_entry(None, entry)
        assert status_of(await path.send(request())) == 503
        assert len(upstreams[0].requests) == 1
        restarted = replace(entry, started_ms=entry.started_ms + 1)
        path.dispatcher.on_entry(entry, restarted)
        assert await send_many(path, 1) == [200]

    run_path(scenario, [LEAVING, answer()])


def test_upstream_that_leaves_behind_a_peer_gets_calls_once_it_is_reached() -> None:
    """The answer that was passed on doesn't name its upstream, unless the peer does."""

    async def scenario(cut: EntryPath, _peer: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        received = await cut.send(request())
        assert b"Server-Leaving: 1" in received
        assert b"Heatherhead-Leaving-Upstream" not in received
        paused = {each.entry.id for each in cut.dispatcher.states if each.paused_until == math.inf}
        assert paused == {"u0"}
        assert len(upstreams[0].requests) == 1

    run_detour(scenario, [LEAVING])


@pytest.mark.parametrize(
    ("head", "leaves"),
    [
        (b"200 OK\r\nX-Heatherhead-Instance-Id: u0\r\nServer-Leaving: 1", True),
        (b"503 Full\r\nServer-Leaving: 1", True),
        (b"200 OK\r\nX-Heatherhead-Instance-Id: another\r\nServer-Leaving: 1", False),
        (b"200 OK\r\nX-Heatherhead-Instance-Id: u0", False),
    ],
    ids=["health answer", "refusal", "another upstream", "stays"],
)
def test_leaving_is_read_from_health_answers(head: bytes, leaves: bool) -> None:
    data = b"HTTP/1.1 " + head + b"\r\nContent-Length: 0\r\n\r\n"

    async def scenario(path: EntryPath, _upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        rules = {"stock": ServiceRules("stock", "/healthz")}
        path.table.apply(RouteConfiguration(2, {}, rules, CallerLimits()))
        reader = create_load_reader(
            path.table,
            path.dispatcher,
            path.pool,
            PlatformDialect(),
            path.reach,
            lambda _: True,
            lambda: 10.0,
            lambda *_: None,
        )
        reader.update()
        state = next(iter(path.dispatcher.states))
        await asyncio.sleep(0.1)
        assert (state.paused_until == math.inf) is leaves
        reader.stop()

    run_path(scenario, [data])
