"""Tests of upstreams that turn a call away and name the time for which they want none from here."""

from __future__ import annotations

import asyncio
import math
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest
from multidict import CIMultiDict

from heatherhead.dispatch.pauses import MAX_PAUSE_S, create_pause_table
from heatherhead.platform.dialect import PlatformDialect
from heatherhead.proxy.dialect import read_pause_s
from heatherhead.tests.dispatch.fakes import create_entry
from heatherhead.tests.proxy.fakes import EntryPath, answer, request, run_path, status_of
from heatherhead.tests.proxy.leaving_upstream_tests import CALLS, NOT_RUN, send_many

if TYPE_CHECKING:
    from heatherhead.tests.proxy.fakes import ScriptedUpstream


def _turned_away(retry_after: str) -> bytes:
    return answer(status=503, body=b"full", Retry_After=retry_after, **NOT_RUN)


def test_upstream_that_turned_a_call_away_gets_calls_within_its_retry_after() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        full, other = upstreams
        while not full.requests:
            assert await send_many(path, 1) == [200]
        calls = [path.send(request()) for _ in range(CALLS)]
        assert 200 in {status_of(each) for each in await asyncio.gather(*calls)}
        assert len(full.requests) == 1
        await asyncio.sleep(1.5)
        path.dispatcher.on_entry(create_entry("u1"), None)
        answered = len(other.requests)
        assert await send_many(path, 2) == [200, 200]
        assert (len(full.requests), len(other.requests)) == (3, answered)

    slow = ("wait", 0.3, answer())
    run_path(scenario, [_turned_away("1.5")], [slow] * 2 * CALLS)


def test_call_waits_out_its_deadline_while_all_upstreams_take_none() -> None:
    """It is rejected at once, with the time at which one takes calls again."""

    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        refused = await path.send(request())
        assert status_of(refused) == 503
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        refused = await path.send(request())
        assert loop.time() - sent_at < 0.2
        assert status_of(refused) == 503
        retry_after_s = float(refused.split(b"Retry-After: ")[1].split(b"\r\n")[0])
        assert 4.5 < retry_after_s < 7.0
        assert sum(len(each.requests) for each in upstreams) == 2

    run_path(scenario, [_turned_away("5")], [_turned_away("30")])


def test_call_whose_deadline_allows_it_waits_until_an_upstream_takes_calls() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        await path.send(request())
        assert status_of(await path.send(request())) == 200
        assert len(upstreams[0].requests) == 2

    run_path(scenario, [_turned_away("0.4"), answer()])


@pytest.mark.parametrize(
    "text", ["0", "-1", "nan", "inf", "soon", "", "Fri, 31 Dec 2026 23:59:59 GMT"]
)
def test_retry_after_that_names_no_time_is_no_pause(text: str) -> None:
    assert read_pause_s(PlatformDialect(), 503, CIMultiDict({"Retry-After": text}), "u") == 0.0


@pytest.mark.parametrize(
    ("status", "headers", "pause_s"),
    [
        (503, {"Retry-After": "3"}, 3.0),
        (503, {"Retry-After": "0.25"}, 0.25),
        (200, {"Retry-After": "3"}, 0.0),
        (429, {"Retry-After": "3"}, 0.0),
        (503, {"Retry-After": "3", "Server-Leaving": "1"}, math.inf),
        (200, {"Server-Leaving": "0"}, 0.0),
    ],
)
def test_pause_is_read_from_the_headers(
    status: int, headers: dict[str, str], pause_s: float
) -> None:
    assert PlatformDialect().pause_s(status, CIMultiDict(headers)) == pause_s


def test_pause_ends_no_sooner_by_a_later_shorter_one_and_is_bounded() -> None:
    table = create_pause_table()
    entry = create_entry("u0")
    assert table.record(entry, 5.0, 100.0) == 105.0
    assert table.record(entry, 1.0, 101.0) == 105.0
    assert table.record(entry, 1e9, 101.0) == 101.0 + MAX_PAUSE_S
    assert table.record(entry, math.inf, 101.0) == math.inf
    assert table.record(entry, 1.0, 102.0) == math.inf
    assert table.until(replace(entry, port=81)) == 0.0
