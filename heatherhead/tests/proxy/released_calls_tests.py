"""Tests that a call is freed without the garbage collector, however it ends."""

from __future__ import annotations

import asyncio
import gc
from typing import TYPE_CHECKING

import pytest

from heatherhead.dispatch.admission_queue import WaitingCall
from heatherhead.entry.settings import HostPort
from heatherhead.proxy.caller_connection import Exchange
from heatherhead.proxy.forwarder import _Call
from heatherhead.proxy.messages import HttpRequest
from heatherhead.tests.proxy.departed_caller_tests import set_load
from heatherhead.tests.proxy.detour_tests import PEER_REFUSAL, REFUSED, run_detour
from heatherhead.tests.proxy.fakes import (
    ScriptedUpstream,
    answer,
    read_answer,
    request,
    run_path,
    status_of,
)
from heatherhead.tests.proxy.hedging_within_limit_tests import send_usual_calls
from heatherhead.tests.proxy.held_objects import expect_freed, without_collector

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from heatherhead.tests.proxy.fakes import EntryPath

    Way = Callable[[EntryPath, list[ScriptedUpstream], bytes], Awaitable[None]]

__all__ = ["without_collector"]

pytestmark = pytest.mark.usefixtures("without_collector")

BODY = b"x" * 5000
TIMEOUT_S = 0.5
SLOTS = 4
CALLS = {
    "read": request("/read/x"),
    "upload": request("/upload/x", method="POST", body=BODY),
}


def _held() -> list[object]:
    kinds = HttpRequest | Exchange | _Call | WaitingCall
    return [each for each in gc.get_objects() if isinstance(each, kinds)]


async def _start_waiting(path: EntryPath, waits_at: EntryPath, call: bytes) -> asyncio.StreamWriter:
    """Send a call to an instance, itself or a peer of it, without a free slot."""
    set_load(waits_at, SLOTS)
    _, writer = await path.connect()
    writer.write(call)
    while not any(isinstance(each, WaitingCall) for each in gc.get_objects()):
        await asyncio.sleep(0.01)
    return writer


async def _served(path: EntryPath, _: list[ScriptedUpstream], call: bytes) -> None:
    assert status_of(await path.send(call)) == 200


async def _rejected_at_once(path: EntryPath, _: list[ScriptedUpstream], call: bytes) -> None:
    for state in path.dispatcher.states:
        path.dispatcher.record_pause(state.entry, 10.0)
    assert status_of(await path.send(call)) == 503


async def _rejected_after_a_wait(path: EntryPath, _: list[ScriptedUpstream], call: bytes) -> None:
    set_load(path, SLOTS)
    began_at = asyncio.get_running_loop().time()
    assert status_of(await path.send(call)) == 503
    assert asyncio.get_running_loop().time() - began_at > TIMEOUT_S / 4


async def _rejected_as_its_service_is_lost(
    path: EntryPath, _: list[ScriptedUpstream], call: bytes
) -> None:
    writer = await _start_waiting(path, path, call)
    path.dispatcher.reject_waiting("stock", "the service is out of reach", lambda _: True)
    await asyncio.sleep(0.05)
    writer.close()


async def _rejected_after_a_refusal(
    path: EntryPath, upstreams: list[ScriptedUpstream], call: bytes
) -> None:
    """Another attempt is allowed, and waits for a slot that never gets free."""
    for upstream in upstreams:
        upstream.script[:] = [("wait", 0.1, REFUSED)]
    sent = asyncio.ensure_future(path.send(call))
    while not any(upstream.requests for upstream in upstreams):
        await asyncio.sleep(0.01)
    set_load(path, SLOTS)
    assert status_of(await sent) == 503


async def _left_while_it_waits(path: EntryPath, _: list[ScriptedUpstream], call: bytes) -> None:
    (await _start_waiting(path, path, call)).close()


async def _left_at_an_upstream(
    path: EntryPath, upstreams: list[ScriptedUpstream], call: bytes
) -> None:
    for upstream in upstreams:
        upstream.script[:] = ["hang"]
    _, writer = await path.connect()
    writer.write(call)
    while not any(upstream.requests for upstream in upstreams):
        await asyncio.sleep(0.01)
    writer.close()


async def _refused_at_the_end_of_the_instance(
    path: EntryPath, _: list[ScriptedUpstream], call: bytes
) -> None:
    writer = await _start_waiting(path, path, call)
    path.forwarder.end_at(asyncio.get_running_loop().time() + 0.1)
    await asyncio.sleep(0.3)
    writer.close()


async def _cut_while_it_waits(path: EntryPath, _: list[ScriptedUpstream], call: bytes) -> None:
    writer = await _start_waiting(path, path, call)
    path.callers.stop()
    writer.close()


async def _cut_at_an_upstream(
    path: EntryPath, upstreams: list[ScriptedUpstream], call: bytes
) -> None:
    for upstream in upstreams:
        upstream.script[:] = ["hang"]
    reader, writer = await path.connect()
    writer.write(call)
    while not any(upstream.requests for upstream in upstreams):
        await asyncio.sleep(0.01)
    path.callers.stop()
    path.pool.close()
    await read_answer(reader)
    writer.close()


WAYS: list[Way] = [
    _served,
    _rejected_at_once,
    _rejected_after_a_wait,
    _rejected_as_its_service_is_lost,
    _rejected_after_a_refusal,
    _left_while_it_waits,
    _left_at_an_upstream,
    _refused_at_the_end_of_the_instance,
    _cut_while_it_waits,
    _cut_at_an_upstream,
]
# As above, at a peer that the call reached over a detour.
DETOUR_WAYS: list[Way] = [
    _served,
    _rejected_at_once,
    _rejected_after_a_wait,
    _rejected_as_its_service_is_lost,
    _rejected_after_a_refusal,
    _left_while_it_waits,
    _left_at_an_upstream,
    _refused_at_the_end_of_the_instance,
    _cut_at_an_upstream,
]


@pytest.mark.parametrize("kind", CALLS)
@pytest.mark.parametrize("way", WAYS, ids=lambda way: way.__name__.strip("_"))
def test_call_is_kept_after_its_end(way: Way, kind: str) -> None:
    # review/11: the error of a call that was rejected after a wait, its frames and its future
    # referred to each other, and kept the body.
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure(TIMEOUT_S)
        await way(path, upstreams, CALLS[kind])
        await expect_freed(_held)

    run_path(scenario, [], [])


@pytest.mark.parametrize("kind", CALLS)
@pytest.mark.parametrize("way", DETOUR_WAYS, ids=lambda way: way.__name__.strip("_"))
def test_call_on_a_detour_is_kept_after_its_end(way: Way, kind: str) -> None:
    async def scenario(cut: EntryPath, peer: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        peer.configure(TIMEOUT_S)
        await way(_Detour(cut, peer), upstreams, CALLS[kind])
        await expect_freed(_held)

    run_detour(scenario, [], [])


@pytest.mark.parametrize("kind", CALLS)
@pytest.mark.parametrize("end", [PEER_REFUSAL, "reset", (b"", "close"), "hang"])
def test_call_that_no_peer_answers_is_kept_after_its_end(end: object, kind: str) -> None:
    async def scenario(cut: EntryPath, _: EntryPath, __: list[ScriptedUpstream]) -> None:
        server = await asyncio.start_server(ScriptedUpstream([end] * 4).serve, "127.0.0.1", 0)
        cut.peers[:] = [HostPort(*server.sockets[0].getsockname())]
        cut.configure(TIMEOUT_S)
        assert status_of(await cut.send(CALLS[kind])) in (502, 503, 504)
        await expect_freed(_held)
        server.close()

    run_detour(scenario)


@pytest.mark.parametrize("leaves", [False, True])
def test_hedged_call_is_kept_after_its_end(leaves: bool) -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        await send_usual_calls(path)
        for upstream in upstreams:
            upstream.script[:] = ["hang"] if leaves else [("wait", 0.3, answer())]
        _, writer = await path.connect()
        writer.write(CALLS["read"])
        while not path.forwarder.metrics.events["hedge"]:
            await asyncio.sleep(0.01)
        if not leaves:
            await asyncio.sleep(0.5)
        writer.close()
        await expect_freed(_held)

    run_path(scenario, [], [], hedge_ratio=0.5)


class _Detour:
    """Sends calls to an instance that is cut from its upstreams; all else is that of its peer."""

    def __init__(self, cut: EntryPath, peer: EntryPath) -> None:
        self.connect, self.send = cut.connect, cut.send
        self.dispatcher, self.forwarder = peer.dispatcher, peer.forwarder
        self.callers, self.pool = cut.callers, peer.pool
