"""Tests of calls that go over a peer, as this instance can't reach the upstreams of their service."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Any

import pytest

from heatherhead.entry.settings import HostPort
from heatherhead.proxy.caller_connection import create_caller_connections
from heatherhead.proxy.detour import CANNOT_SERVE
from heatherhead.proxy.forwarder import fingerprint_of
from heatherhead.proxy.messages import HttpRequest
from heatherhead.tests.proxy.fakes import (
    EntryPath,
    ScriptedUpstream,
    answer,
    read_answer,
    request,
    run_path,
    status_of,
)
from heatherhead.tests.proxy.repeating_upstream import RepeatingUpstream

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from heatherhead.tests.proxy.fakes import UpstreamServer

REFUSED = answer(status=503, body=b"full", X_Heatherhead_Not_Executed="1")
NOT_RUN = {"Heatherhead_Not_Run": "1"}
PEER_REFUSAL = answer(status=CANNOT_SERVE, body=b"the service is out of reach here too", **NOT_RUN)
ORDER_BODY = b"one pallet"


def order(**extra: str) -> bytes:
    """Build a call that may run once at most."""
    return request("/order/x", method="POST", body=ORDER_BODY, **extra)


def closed_port() -> int:
    """Return a port that refuses connections."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return int(listener.getsockname()[1])


class _Cut:
    """An instance without a path to its upstreams, and a listener of its own for callers."""

    def __init__(self, max_attempts: int) -> None:
        ports = {f"u{number}": closed_port() for number in range(3)}
        self.path = EntryPath(ports, max_attempts)
        self.path.configure()
        for upstream_id in ports:
            self.path.reach.record_failure("stock", upstream_id, "test", connected=False)

    async def listen(self) -> asyncio.Server:
        """Listen for callers."""
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(self.path.callers.create_connection, "127.0.0.1", 0)
        self.path.port = listener.sockets[0].getsockname()[1]
        return listener

    def close(self) -> None:
        """Close all connections."""
        self.path.callers.stop()
        self.path.pool.close()
        self.path.detours.close()


async def listen_for_peers(path: EntryPath) -> tuple[asyncio.Server, HostPort]:
    """Have an instance listen for calls of peers."""
    connections = create_caller_connections(
        path.forwarder.handle_peer, lambda: path.table.configuration.limits
    )
    loop = asyncio.get_running_loop()
    server = await loop.create_server(connections.create_connection, "127.0.0.1", 0)
    return server, HostPort(*server.sockets[0].getsockname()[:2])


def run_detour(
    scenario: Callable[[EntryPath, EntryPath, list[ScriptedUpstream]], Awaitable[None]],
    *scripts: list[Any],
    max_attempts: int = 2,
) -> None:
    """Run a scenario with a cut instance and a peer that reaches one upstream per script."""

    async def with_cut(peer: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        peer.configure()
        cut = _Cut(max_attempts)
        listener = await cut.listen()
        server, address = await listen_for_peers(peer)
        cut.path.peers.append(address)
        try:
            await scenario(cut.path, peer, upstreams)
        finally:
            listener.close()
            server.close()
            cut.close()

    run_path(with_cut, *scripts, max_attempts=max_attempts)


def test_call_is_served_over_a_peer_with_the_upstreams_own_answer() -> None:
    async def scenario(cut: EntryPath, _peer: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        received = await cut.send(request("/read/x?q=%2F", Accept="a/b"))
        assert status_of(received) == 200
        assert b"X-Heatherhead-Server-Stamp: stamp" in received
        sent = upstreams[0].requests[0]
        assert sent.startswith(b"GET /read/x?q=%2F HTTP/1.1\r\n")
        assert b"Accept: a/b" in sent
        assert b"X-Heatherhead-Expect-Instance: u0" in sent
        # What instances tell each other stays between them.
        assert b"\r\nHeatherhead-" not in sent

    run_detour(scenario, [])


def test_call_without_an_id_is_served_over_a_peer() -> None:
    async def scenario(cut: EntryPath, _peer: EntryPath, _: list[ScriptedUpstream]) -> None:
        data = b"DELETE /order/x HTTP/1.1\r\nHost: shop.example\r\n\r\n"
        received = await asyncio.wait_for(cut.send(data), 1.0)
        assert status_of(received) == 404

    run_detour(scenario, [answer(status=404).replace(b"X-Heatherhead-Request-Id: r1\r\n", b"")])


@pytest.mark.parametrize("path", ["/order/x", "/upload/x"])
def test_body_arrives_whole_and_the_call_runs_once(path: str) -> None:
    body = bytes(range(256)) * 30

    async def scenario(cut: EntryPath, _peer: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        received = await cut.send(request(path, method="POST", body=body))
        assert status_of(received) == 200
        assert [each.endswith(body) for each in upstreams[0].requests] == [True]

    run_detour(scenario, [])


def test_less_time_is_handed_to_the_peer_than_the_caller_gave() -> None:
    async def scenario(cut: EntryPath, _peer: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        await cut.send(request(X_Heatherhead_Deadline_Ms="800"))
        lines = upstreams[0].requests[0].decode().split("\r\n")
        deadline = next(each for each in lines if each.startswith("X-Heatherhead-Deadline-Ms"))
        assert int(deadline.split(": ")[1]) <= 800

    run_detour(scenario, [])


def test_order_that_broke_at_the_peers_upstream_runs_again() -> None:
    """The peer can't tell whether it ran; nobody may send it a second time."""

    async def scenario(cut: EntryPath, _peer: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        assert status_of(await cut.send(order())) == 502
        assert sum(len(each.requests) for each in upstreams) == 1

    run_detour(scenario, ["reset"], ["reset"])


def test_order_runs_again_after_the_peer_broke_off() -> None:
    """A peer that dies with an order may have sent it on: no other peer gets it."""

    async def scenario(cut: EntryPath, peer: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        async def break_off(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.transport.abort()

        server = await asyncio.start_server(break_off, "127.0.0.1", 0)
        cut.peers.insert(0, HostPort(*server.sockets[0].getsockname()))
        assert status_of(await cut.send(order())) == 502
        assert not upstreams[0].requests
        server.close()

    run_detour(scenario, [])


@pytest.mark.parametrize("data", [order(), request()])
def test_peer_that_refuses_as_not_run_is_not_the_last_one(data: bytes) -> None:
    async def scenario(cut: EntryPath, _peer: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        server = await listen_as_peer(cut, ScriptedUpstream([PEER_REFUSAL]))
        cut.peers.insert(0, HostPort("127.0.0.1", closed_port()))
        assert status_of(await cut.send(data)) == 200
        assert len(upstreams[0].requests) == 1
        server.close()

    run_detour(scenario, [])


async def listen_as_peer(cut: EntryPath, upstream: UpstreamServer) -> asyncio.Server:
    """Have a scripted peer be the first one that an instance asks."""
    server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
    cut.peers.insert(0, HostPort(*server.sockets[0].getsockname()))
    return server


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_order_that_ran_over_a_peer_is_told_not_run_or_sent_to_the_next(status: int) -> None:
    """A peer of an earlier version passes on what its upstream gave."""

    async def scenario(cut: EntryPath, _peer: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        server = await listen_as_peer(cut, ScriptedUpstream([answer(status=status)]))
        assert status_of(await cut.send(order())) == 502
        assert not upstreams[0].requests
        server.close()

    run_detour(scenario, [])


@pytest.mark.parametrize("status", [408, 429, 503])
def test_order_that_the_peers_upstream_ran_is_told_not_run(status: int) -> None:
    async def scenario(cut: EntryPath, _peer: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        assert status_of(await cut.send(order())) == 502
        assert len(upstreams[0].requests) == 1

    forged = answer(status=status, body=b"failed", **NOT_RUN)
    run_detour(scenario, [forged], [forged])


def test_order_that_is_sent_again_over_a_peer_is_told_not_run() -> None:
    """The peer's refusal comes once more ahead of the answer to the same id."""
    refusal = answer(status=503, body=b"full", X_Heatherhead_Not_Executed="1", **NOT_RUN)
    peer = RepeatingUpstream(lambda _received: answer() if len(peer.received) > 1 else refusal)

    async def scenario(cut: EntryPath, _peer: EntryPath, _: list[ScriptedUpstream]) -> None:
        server = await listen_as_peer(cut, peer)
        assert status_of(await cut.send(order())) == 503
        assert status_of(await cut.send(order())) == 200
        assert peer.run_ids == ["r1"]
        server.close()

    run_detour(scenario, [])


def test_two_cut_instances_send_a_call_to_and_fro() -> None:
    """A peer that is cut as well refuses; the call ends, as not run, and nobody sends it on."""

    async def scenario(cut: EntryPath, peer: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        own_server, own_address = await listen_for_peers(cut)
        peer.peers.append(own_address)
        for upstream_id in ("u0", "u1"):
            peer.reach.record_failure("stock", upstream_id, "test", connected=False)
        received = await asyncio.wait_for(cut.send(order()), 5.0)
        assert status_of(received) == 503
        assert not upstreams[0].requests
        own_server.close()

    run_detour(scenario, [], [])


def test_peer_with_an_older_configuration_refuses() -> None:
    async def scenario(cut: EntryPath, _peer: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        configuration = cut.table.configuration
        cut.table.apply(
            type(configuration)(2, configuration.route_by_name, {}, configuration.limits)
        )
        assert status_of(await cut.send(order())) == 503
        assert not upstreams[0].requests

    run_detour(scenario, [])


@pytest.mark.parametrize(("data", "upstreams_asked"), [(request(), 2), (order(), 2)])
def test_attempts_of_both_instances_together_exceed_those_of_the_route(
    data: bytes, upstreams_asked: int
) -> None:
    async def scenario(cut: EntryPath, _peer: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        assert status_of(await cut.send(data)) == 503
        assert sum(len(each.requests) for each in upstreams) == upstreams_asked

    run_detour(scenario, [REFUSED], [REFUSED], [REFUSED], [REFUSED])


def test_call_of_a_caller_that_left_goes_on_at_the_peers_upstream() -> None:
    """The end of an idempotent call reaches the upstream through both instances."""

    async def scenario(cut: EntryPath, _peer: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        _, writer = await cut.connect()
        writer.write(request())
        await upstreams[0].arrived.wait()
        writer.close()
        await asyncio.wait_for(upstreams[0].lost.wait(), 0.5)

    run_detour(scenario, ["hang"])


def test_call_sent_before_the_links_were_lost_is_served_over_a_peer_if_it_may_be_repeated() -> None:
    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        helping = ScriptedUpstream([])
        server = await asyncio.start_server(helping.serve, "127.0.0.1", 0)
        peer = EntryPath({"v0": server.sockets[0].getsockname()[1]})
        peer.configure()
        peer_server, address = await listen_for_peers(peer)
        path.peers.append(address)
        read_task = asyncio.create_task(path.send(request(request_id="r1")))
        await upstreams[0].arrived.wait()
        upstreams[0].arrived.clear()
        order_task = asyncio.create_task(path.send(order(X_Heatherhead_Deadline_Ms="900")))
        await asyncio.sleep(0.3)
        path.reach.on_lost = path.forwarder.recheck
        for upstream_id in ("u0", "u1"):
            path.reach.record_failure("stock", upstream_id, "test", connected=False)
        assert status_of(await read_task) == 200
        # The order may have run where it was sent first.
        assert status_of(await order_task) == 504
        assert len(helping.requests) == 1
        for each in (server, peer_server):
            each.close()
        peer.pool.close()
        peer.callers.stop()
        peer.detours.close()

    run_path(scenario, ["hang", "hang"], ["hang", "hang"])


def test_requests_on_links_that_were_cut_are_quarantined() -> None:
    """Links that are reset look like upstreams that crash, one after the other."""

    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        for _ in range(4):
            await path.send(request())
        path.pool._open = _refuse  # type: ignore[assignment]
        # Another service is in reach all the while.
        for _ in range(12):
            await asyncio.sleep(0.05)
            path.reach.record_answer("orders")
        await asyncio.sleep(1.0)
        message = HttpRequest("GET", "/read/x", None, b"", 0.0)  # type: ignore[arg-type]
        assert not path.crashes.quarantined(fingerprint_of(message), path.forwarder._loop.time())
        assert path.crash_reports == []

    run_path(scenario, ["reset"] * 8, ["reset"] * 8, ["reset"] * 8)


async def _refuse(*_arguments: object, **_named: object) -> Any:
    from heatherhead.proxy.upstream_pool import ConnectError

    raise ConnectError("cut")


def test_answer_of_a_peer_is_read_whole() -> None:
    async def scenario(cut: EntryPath, _peer: EntryPath, _: list[ScriptedUpstream]) -> None:
        reader, writer = await cut.connect()
        writer.write(request(request_id="r1") + request(request_id="r2"))
        first, second = await read_answer(reader), await read_answer(reader)
        assert first.endswith(b"first")
        assert second.endswith(b"second")
        writer.close()

    run_detour(scenario, [answer("r1", body=b"first"), answer("r2", body=b"second")])
