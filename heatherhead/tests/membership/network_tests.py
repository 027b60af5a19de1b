"""Tests of `heatherhead.membership.network` over loopback connections."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

import msgpack

from heatherhead.membership.connection import frame
from heatherhead.membership.interface import Address, Instance, LinkKind, Traffic
from heatherhead.membership.member_messages import Heartbeat, MemberReports, Ping
from heatherhead.membership.member_table import Member, create_member_table
from heatherhead.membership.network import Network, TlsContexts, create_network
from heatherhead.settings.instance import ListenSettings, TlsSettings
from heatherhead.settings.membership import MembershipSettings, TrafficBudget
from heatherhead.settings.tls import create_client_context, create_server_context
from heatherhead.tests.certificates import AUTHORITY, INSTANCE, STRANGER

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

TIMEOUT_S = 10.0


def _tls(pair: tuple[str, str]) -> TlsSettings:
    certificate, key = pair
    return TlsSettings(certificate=certificate, key=key, client_ca=AUTHORITY)


async def _start(name: str, tls: TlsSettings | None = None, **settings: object) -> Network:
    unused_address = Address("127.0.0.1", 1)
    own = Instance(
        name, f"{name}-1", "r", f"z{name}", unused_address, unused_address, unused_address
    )
    table = create_member_table(own)
    listen = ListenSettings(port=0, tls=tls)
    contexts = TlsContexts(create_server_context(tls), create_client_context(tls)) if tls else None
    network = create_network(MembershipSettings(listen=listen, **settings), table, contexts)
    port = await network.start()
    table.set_own(replace(own, peers=Address("127.0.0.1", port)))
    return network


def _introduce(*networks: Network) -> None:
    for one in networks:
        for other in networks:
            one._table.merge(Member(other._table.own.instance, 1))


def _run(scenario: Callable[[Network, Network], Awaitable[None]], **settings: object) -> None:
    async def main() -> None:
        async with asyncio.timeout(TIMEOUT_S):
            a, b = await _start("a", **settings), await _start("b", **settings)
            _introduce(a, b)
            try:
                await scenario(a, b)
            finally:
                await a.stop()
                await b.stop()

    asyncio.run(main())


def _next(network: Network, message_type: type) -> asyncio.Future[tuple[str, object]]:
    future: asyncio.Future[tuple[str, object]] = asyncio.get_running_loop().create_future()

    def handle(sender_id: str, message: object) -> None:
        if not future.done():
            future.set_result((sender_id, message))

    network.subscribe(message_type, handle)
    return future


def _greeting(network: Network) -> asyncio.Future[str]:
    future: asyncio.Future[str] = asyncio.get_running_loop().create_future()
    network.on_greeting(lambda peer: future.done() or future.set_result(peer.id))
    return future


def test_message_reaches_an_instance_that_is_not_a_neighbour() -> None:
    async def scenario(a: Network, b: Network) -> None:
        arrived = _next(b, MemberReports)
        assert a.send("b", MemberReports([["x"]]), Traffic.MEASURING)
        assert await arrived == ("a", MemberReports([["x"]]))
        assert a.neighbours() == []
        assert a.budget.sent[Traffic.MEASURING, LinkKind.BETWEEN_ZONES] > 0
        assert b.budget.received[LinkKind.BETWEEN_ZONES] > 0
        assert not a.send("nobody", Ping(), Traffic.CONTROL)

    _run(scenario)


def test_both_ends_keep_one_stream_when_both_dial() -> None:
    async def scenario(a: Network, b: Network) -> None:
        greeted = _greeting(a), _greeting(b)
        a.try_connect(b._table.own.instance)
        b.try_connect(a._table.own.instance)
        await asyncio.gather(*greeted)
        arrived = _next(b, Ping), _next(a, Ping)
        assert a.send("b", Ping(), Traffic.CONTROL)
        assert b.send("a", Ping(), Traffic.CONTROL)
        await asyncio.gather(*arrived)
        assert (a.connected_ids(), b.connected_ids()) == (["b"], ["a"])

    _run(scenario)


def test_neighbour_stream_is_known_to_both_ends_and_reopened() -> None:
    async def scenario(a: Network, b: Network) -> None:
        a.set_neighbours([b._table.own.instance])
        heartbeat = _next(b, Heartbeat)
        await _greeting(a)
        assert a.send("b", Heartbeat(True, 0), Traffic.CONTROL)
        await heartbeat
        assert (a.neighbours(), b.neighbours()) == (["b"], ["a"])
        b._connection_by_id["a"].neighbour_until -= 5
        assert b.neighbours() == []
        greeted = _greeting(a)
        b.disconnect("a")
        assert await greeted == "b"

    _run(scenario)


def test_messages_above_the_budget_are_refused_but_heartbeats_are_sent() -> None:
    async def scenario(a: Network, b: Network) -> None:
        greeted = _greeting(a)
        a.try_connect(b._table.own.instance)
        await greeted
        reports = MemberReports([["x" * 1_000]])
        sent = [a.send("b", reports, Traffic.CONTROL) for _ in range(4)]
        assert sent == [True, True, False, False]
        assert a.budget.refused[Traffic.CONTROL, LinkKind.BETWEEN_ZONES] > 2_000
        assert a.send("b", reports, Traffic.MEASURING)
        assert a.send("b", Heartbeat(True, 0), Traffic.CONTROL)

    budget = TrafficBudget(zone=1, between_zones=0.7, between_regions=1)
    _run(scenario, control_budget=budget, budget_burst_s=3_600)


def test_buffer_of_a_peer_that_does_not_read_is_bounded() -> None:
    async def scenario(a: Network, b: Network) -> None:
        greeted = _greeting(a)
        a.try_connect(b._table.own.instance)
        await greeted
        large = MemberReports([["x" * 1_000_000]])
        sent = [a.send("b", large, Traffic.MEASURING) for _ in range(30)]
        assert sent[0]
        assert not sent[-1]

    ample = TrafficBudget(zone=1e9, between_zones=1e9, between_regions=1e9)
    _run(scenario, measuring_budget=ample, buffer_kb=2_048)


def test_unreachable_instance_is_reported_and_its_queue_is_bounded() -> None:
    async def scenario(a: Network, b: Network) -> None:
        unreachable: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        a.on_unreachable(lambda peer_id: unreachable.done() or unreachable.set_result(peer_id))
        await b.stop()
        sent = [a.send("b", Ping(), Traffic.CONTROL) for _ in range(100)]
        assert sent.count(True) == 64
        assert await unreachable == "b"
        assert not a.send("b", Ping(), Traffic.CONTROL)

    _run(scenario)


def test_foreign_protocol_and_other_version_are_refused() -> None:
    async def scenario(a: Network, b: Network) -> None:
        port = a._table.own.instance.peers.port
        for first_bytes in (b"GET / HTTP/1.1\r\n\r\n", frame(msgpack.packb([1, 99, []]))):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(first_bytes)
            await reader.read(-1)
            writer.close()
        assert a.connected_ids() == []

    _run(scenario)


def test_peers_need_a_certificate_of_the_authority() -> None:
    async def main() -> None:
        async with asyncio.timeout(TIMEOUT_S):
            hub = await _start("hub", tls=_tls(INSTANCE))
            fitting = await _start("fitting", tls=_tls(INSTANCE))
            stranger = await _start("stranger", tls=_tls(STRANGER))
            plain = await _start("plain")
            _introduce(hub, fitting, stranger, plain)
            for refused in (stranger, plain):
                unreachable: asyncio.Future[str] = asyncio.get_running_loop().create_future()
                refused.on_unreachable(unreachable.set_result)
                refused.try_connect(hub._table.own.instance)
                assert await unreachable == "hub"
            greeted = _greeting(hub)
            fitting.try_connect(hub._table.own.instance)
            assert await greeted == "fitting"
            assert hub.connected_ids() == ["fitting"]
            for each in (hub, fitting, stranger, plain):
                await each.stop()

    asyncio.run(main())


def test_streams_above_the_cap_are_refused() -> None:
    async def main() -> None:
        async with asyncio.timeout(TIMEOUT_S):
            hub = await _start("hub", max_connections=16)
            others = [await _start(f"n{number:02}") for number in range(17)]
            _introduce(hub, *others)
            for other in others[:16]:
                greeted = _greeting(hub)
                other.try_connect(hub._table.own.instance)
                await greeted
            assert not hub.send("n16", Ping(), Traffic.CONTROL)
            unreachable: asyncio.Future[str] = asyncio.get_running_loop().create_future()
            others[16].on_unreachable(unreachable.set_result)
            others[16].try_connect(hub._table.own.instance)
            assert await unreachable == "hub"
            for each in (hub, *others):
                await each.stop()

    asyncio.run(main())
