"""Tests of instances whose store holds entries that another writer left."""

from __future__ import annotations

import asyncio
import json
import socket
from typing import TYPE_CHECKING

import msgpack
import pytest

from heatherhead.fleet.members import MEMBER_PREFIX
from heatherhead.store.memory import create_memory_store
from heatherhead.tests.entry.instances import (
    CONFIGURATION,
    Instances,
    loopback_prefix,
    write,
)

if TYPE_CHECKING:
    from heatherhead.store.interface import Store

CONFIG_APPLY_S = 2.5  # the platform's ConfigApplyS
ENTRY = {"Service": "stock", "Address": "127.0.0.1:1", "Zone": "z0", "Slots": 4, "State": "ready"}


def with_field(name: str, text: bytes) -> bytes:
    """Return an entry with one more field, given as JSON text."""
    return json.dumps(ENTRY)[:-1].encode() + b', "' + name.encode() + b'": ' + text + b"}"


def member_row(**changes: object) -> bytes:
    """Return an announcement with some fields replaced."""
    fields = {
        "id": "odd",
        "incarnation": "boot",
        "zone": "z0",
        "region": "r0",
        "host": "127.0.0.1",
        "port": 1,
        "peer_port": 1,
        "cores": 1.0,
        "mbps": 1000.0,
        "ready": True,
    }
    packed: bytes = msgpack.packb(list({**fields, **changes}.values()))
    return packed


ODD_VALUES = {
    "arrays": b"[" * 100_000 + b"]" * 100_000,
    "objects": with_field("extra", b'{"a":' * 50_000 + b"1" + b"}" * 50_000),
    "nested-slots": with_field("Slots", b"[" * 900 + b"]" * 900),
    "digits": with_field("born", b"9" * 6_000),
    "large": with_field("born", b"9" * 400),
    "infinite": with_field("WarmupLeftS", b"1e999"),
    "port": with_field("Address", b'"127.0.0.1:99999"'),
    "negative-port": with_field("Address", b'"127.0.0.1:-1"'),
    "host": with_field("Address", b'"not an address:80"'),
    "null": b"null",
    "bytes": b"\xff\xfe\x00",
    "empty": b"",
}
ODD_MEMBERS = {
    "nested": b"\x91" * 100_000 + b"\xc0",
    "infinite-port": member_row(port=float("inf")),
    "port": member_row(port=99_999, peer_port=-1),
    "host": member_row(host="no\nhost"),
    "text": b"not msgpack at all",
    "cores": member_row(cores=float("nan"), mbps=-1.0),
}


async def put(store: Store, key: str, value: bytes) -> None:
    """Write bytes to a key."""
    held = (await store.read_prefix(key)).unwrap().by_key.get(key)
    revision = 0 if held is None else held.mod_revision
    assert (await store.compare_and_swap(key, revision, value, 0)).unwrap().succeeded


async def check_followed(fleet: Instances, version: int) -> None:
    """Change the configuration and check that all instances apply it in time, and serve calls."""
    await write(fleet.store, "op/config", {**CONFIGURATION, "ConfigVersion": version})
    await asyncio.sleep(CONFIG_APPLY_S)
    assert {each.table.configuration.version for each in fleet.services} == {version}
    fleet.statuses.clear()
    await fleet.send_calls(30.0, 0.5)
    assert fleet.statuses[200] == fleet.statuses.total(), fleet.statuses


@pytest.mark.parametrize(
    ("number", "prefix", "values"),
    [(101, "servers/", ODD_VALUES), (104, MEMBER_PREFIX, ODD_MEMBERS)],
)
def test_one_odd_entry_ends_the_following_of_the_store(
    number: int, prefix: str, values: dict[str, bytes]
) -> None:
    """Its reader raised, and the task that followed the store was gone, without a line."""

    async def main() -> None:
        fleet = Instances(create_memory_store(), loopback_prefix(number))
        await fleet.add_upstreams(3)
        await fleet.start(3)
        for name, value in values.items():
            await put(fleet.store, f"{prefix}{name}", value)
        await check_followed(fleet, 2)
        # An instance that starts reads them all at once.
        await fleet.add_instance(5)
        await check_followed(fleet, 3)
        odd_id = "odd\r\nX-Injected: 1"
        await put(fleet.store, f"servers/{odd_id}", json.dumps(ENTRY).encode())
        await check_followed(fleet, 4)
        assert all(odd_id not in each.registry.by_id for each in fleet.services)
        await fleet.stop()

    asyncio.run(main())


def test_odd_configuration_ends_the_following_of_the_store() -> None:
    async def main() -> None:
        fleet = Instances(create_memory_store(), loopback_prefix(102))
        await fleet.add_upstreams(3)
        await fleet.start(3)
        for value in (ODD_VALUES["arrays"], ODD_VALUES["objects"], b"\xff", b"[]"):
            await put(fleet.store, "op/config", value)
            await asyncio.sleep(0.1)
        await check_followed(fleet, 2)
        await fleet.stop()

    asyncio.run(main())


def test_odd_datagram_of_a_peer_ends_the_exchange() -> None:
    async def main() -> None:
        fleet = Instances(create_memory_store(), loopback_prefix(103))
        await fleet.add_upstreams(3)
        await fleet.start(3)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for each in fleet.services:
                address = (each.settings.host, each.settings.peer_port)
                for data in (
                    b"\x91" * 40_000 + b"\xc0",
                    msgpack.packb([1, 0, "odd", "boot", True, 2**64 - 1, 0, True, 2**63]),
                    msgpack.packb([1, 1, "odd", [["i-0", 2**63, 0, 0, -1e308, 1e308]]]),
                    msgpack.packb([1, 9, "odd", True, ["stock"] * 1000]),
                ):
                    sender.sendto(data, address)
        await asyncio.sleep(0.5)
        await check_followed(fleet, 2)
        await fleet.stop()

    asyncio.run(main())
