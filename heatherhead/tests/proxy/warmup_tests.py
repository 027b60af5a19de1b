"""Tests of what answers say on an upstream's warm-up, to health checks and to calls."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from multidict import CIMultiDict

from heatherhead.platform.dialect import PlatformDialect
from heatherhead.proxy.load_reader import create_load_reader
from heatherhead.proxy.reach_prober import create_reach_prober
from heatherhead.routes.model import CallerLimits, RouteConfiguration, ServiceRules
from heatherhead.tests.proxy.fakes import ScriptedUpstream, answer, request, run_path, status_of

if TYPE_CHECKING:
    from heatherhead.tests.proxy.fakes import EntryPath

CHECK_S = 0.1  # for a health check and its answer
PER_S = 3.7
HEADER = "X-Heatherhead-Warmup-Ms"


def health_answer(left_ms: str | None, upstream: str | None = "u0", status: int = 200) -> bytes:
    """Build an upstream's answer to a health check."""
    headers = {} if upstream is None else {"X-Heatherhead-Instance-Id": upstream}
    if left_ms is not None:
        headers[HEADER] = left_ms
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 {status} Health\r\n{lines}Content-Length: 0\r\n\r\n".encode()


@pytest.mark.parametrize(
    ("text", "left_s"), [(None, 0.0), ("0", 0.0), ("2500", 2.5), ("86400000", 86400.0)]
)
def test_time_left_is_read_from_the_header(text: str | None, left_s: float) -> None:
    headers = CIMultiDict({} if text is None else {HEADER: text})
    assert PlatformDialect().warmup_left_s(headers) == left_s


@pytest.mark.parametrize("text", ["-1", "nan", "inf", "soon", "", "86400001"])
def test_malformed_time_left_is_used(text: str) -> None:
    with pytest.raises(ValueError, match="."):
        PlatformDialect().warmup_left_s(CIMultiDict({HEADER: text}))


def _prepare(path: EntryPath) -> None:
    path.configure()
    rules = {"stock": ServiceRules("stock", "/healthz", warmup_calls_per_s=PER_S)}
    routes = path.table.configuration.route_by_name
    path.table.apply(RouteConfiguration(2, routes, rules, CallerLimits()))
    path.dispatcher.warmups.calls_per_s = lambda _: PER_S


async def _check(path: EntryPath, by: str) -> None:
    """Send one health check."""
    dialect = PlatformDialect()
    if by == "prober":
        prober = create_reach_prober(
            path.table, path.dispatcher, path.pool, dialect, path.reach, dict
        )
        path.reach.probe("stock")
        await asyncio.sleep(CHECK_S)
        prober.stop()
        return
    reader = create_load_reader(
        path.table,
        path.dispatcher,
        path.pool,
        dialect,
        path.reach,
        lambda _: True,
        lambda: 10.0,
        lambda *_: None,
    )
    reader.update()
    await asyncio.sleep(CHECK_S)
    reader.stop()


@pytest.mark.parametrize("by", ["reader", "prober"])
@pytest.mark.parametrize(
    ("end", "ends"),
    [
        (health_answer("0"), True),
        (health_answer(None), True),
        (health_answer("0", status=503), True),
        (health_answer("0", upstream="another"), False),
        (health_answer(None, upstream=None), False),
        (health_answer("soon"), False),
        (health_answer("400"), False),
    ],
    ids=["0", "no header", "refusal", "another's", "nobody's", "malformed", "cold"],
)
def test_health_answer_begins_and_ends_the_warmup(by: str, end: bytes, ends: bool) -> None:
    """Whoever checks the upstream's health; only what it says itself counts."""

    async def scenario(path: EntryPath, _upstreams: list[ScriptedUpstream]) -> None:
        _prepare(path)
        state = path.dispatcher.state("u0")
        assert state is not None
        await _check(path, by)
        assert state.rate_limit.warmup_per_s == PER_S
        path.reach.record_answer("stock")
        if by == "prober":
            await asyncio.sleep(0.5)
        await _check(path, by)
        assert (state.rate_limit.warmup_per_s is None) is ends

    run_path(scenario, [health_answer("5000"), end])


def test_health_answer_of_another_upstream_begins_a_warmup() -> None:
    async def scenario(path: EntryPath, _upstreams: list[ScriptedUpstream]) -> None:
        _prepare(path)
        await _check(path, "reader")
        assert not path.dispatcher.limited_states()

    run_path(scenario, [health_answer("5000", upstream="another")])


def test_health_check_of_a_cold_upstream_uses_a_permit_and_an_answer_to_a_call_ends_it() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        _prepare(path)
        state = path.dispatcher.state("u0")
        assert state is not None
        await _check(path, "reader")
        path.dispatcher.add_permits(state, 1)
        await _check(path, "reader")
        assert state.rate_limit.permits(asyncio.get_running_loop().time()) == 1
        assert status_of(await path.send(request())) == 200
        assert state.rate_limit.permits(asyncio.get_running_loop().time()) == 0
        assert state.rate_limit.warmup_per_s == PER_S
        assert len(upstreams[0].requests) == 3

    run_path(scenario, [health_answer("5000"), health_answer("4900"), answer("r1")])
