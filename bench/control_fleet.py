"""A fleet of daemon processes on the loopback with a fake store and a fake instance list."""

from __future__ import annotations

import asyncio
import time
from contextlib import asynccontextmanager
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Any

import aiohttp

from bench.fleet import Fleet, free_ports
from heatherhead.configuration.editor import create_editor
from heatherhead.configuration.replica import create_replica
from heatherhead.configuration.schema import ServiceSchema
from heatherhead.settings.store import StoreSettings
from heatherhead.store.factory import create_store

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

__all__ = ["ControlFleet", "Daemon", "control_fleet", "service_schema"]

REGIONS = 3
ZONES = 2
POLL_INTERVAL_S = 0.1
WAIT_TIMEOUT_S = 90.0
REPLY_TIMEOUT_S = 30.0


@dataclass(frozen=True, slots=True)
class Daemon:
    """One daemon of the fleet under measurement."""

    id: str
    region: str
    availability_zone: str
    peers_port: int
    admin_port: int


class ControlFleet:
    """Daemons with their fake store and instance list, and requests to their admin ports."""

    def __init__(self, fleet: Fleet, session: aiohttp.ClientSession, count: int) -> None:
        ports = free_ports(2 * count)
        self.daemons = [
            Daemon(
                f"i{number:03}",
                f"r{number % REGIONS}",
                f"r{number % REGIONS}z{number // REGIONS % ZONES}",
                ports[2 * number],
                ports[2 * number + 1],
            )
            for number in range(count)
        ]
        self.fleet = fleet
        self.session = session
        self.random = Random(count)
        self.store_url = self.list_url = ""
        self.revision_by_name: dict[str, int] = {}

    async def start(self, services: int, upstreams: int) -> None:
        """Start the fakes and daemons, and wait until the configuration is in force everywhere."""
        for name in ("fake_store", "fake_instance_list"):
            self.fleet.start(name, [f"heatherhead.tests.{name}"])
            self.fleet.wait_for(lambda each=name: self.fleet.output(each).strip(), name)
        self.store_url = self.fleet.output("fake_store").strip()
        self.list_url = self.fleet.output("fake_instance_list").strip()
        await self.load_configuration(services, upstreams)
        await self.publish_list()
        for daemon in self.daemons:
            self.start_daemon(daemon)
        await self.wait_all(
            lambda stats: stats["ready"] and stats["services"] >= services, self.daemons
        )
        count = len(self.daemons)
        await self.wait_all(lambda stats: stats["live"] == count, self.daemons)

    def start_daemon(self, daemon: Daemon) -> None:
        """Start one daemon's process."""
        settings = {
            "instance": {
                "id": daemon.id,
                "region": daemon.region,
                "availability_zone": daemon.availability_zone,
            },
            "callers": {"listen": {"port": 0}},
            "operators": {"listen": {"port": 0}},
            "membership": {
                "listen": {"port": daemon.peers_port},
                "instance_list_url": self.list_url,
            },
            "store": {"urls": [self.store_url]},
        }
        path = self.fleet.write_json(f"{daemon.id}.json", settings)
        self.fleet.start(daemon.id, ["bench.control_daemon", str(path), str(daemon.admin_port)])

    async def load_configuration(self, services: int, upstreams: int) -> None:
        """Put the configuration into the store."""
        store = create_store(
            StoreSettings(urls=(self.store_url,), calls_per_s=1_000, calls_burst=10_000)
        )
        replica = create_replica()
        editor = create_editor(
            store, "/heatherhead/", replica, lambda record, _: replica.apply(record)
        )
        each = upstreams // services
        for number in range(services):
            loaded = await editor.put(service_schema(number, each), 0, f"load-{number}")
            self.revision_by_name[loaded.unwrap().name] = loaded.unwrap().revision
        await store.close()

    async def publish_list(self) -> None:
        """Publish the daemons in the fake instance list."""
        entries = []
        for each in self.daemons:
            address = {"host": "127.0.0.1", "port": each.peers_port}
            place = {"region": each.region, "availability_zone": each.availability_zone}
            addresses = {"callers": address, "peers": address, "operators": address}
            entries.append({"id": each.id, **place, **addresses})
        url = self.list_url.replace("/instances", "/admin/instances")
        async with self.session.put(url, json={"instances": entries}):
            pass

    async def get(self, daemon: Daemon, path: str) -> Any:
        """Get a document from one daemon's admin port."""
        async with self.session.get(f"http://127.0.0.1:{daemon.admin_port}{path}") as reply:
            return await reply.json()

    async def get_all(self, path: str, daemons: list[Daemon]) -> list[Any]:
        """Get a document from the admin port of each of several daemons."""
        return await asyncio.gather(*(self.get(each, path) for each in daemons))

    async def post(self, daemon: Daemon, path: str, body: object) -> Any:
        """Post a document to one daemon's admin port and return the reply."""
        url = f"http://127.0.0.1:{daemon.admin_port}{path}"
        async with self.session.post(url, json=body) as reply:
            return await reply.json()

    async def post_all(self, path: str, body: object, daemons: list[Daemon]) -> None:
        """Post a document to the admin port of each of several daemons."""
        await asyncio.gather(*(self.post(each, path, body) for each in daemons))

    async def store_faults(self, **faults: object) -> None:
        """Set the faults of the fake store."""
        async with self.session.post(f"{self.store_url}/admin/faults", json=faults):
            pass

    async def store_calls(self) -> int:
        """Return the number of calls to the store so far; an open watch counts as one."""
        async with self.session.get(f"{self.store_url}/admin/calls") as reply:
            return sum((await reply.json()).values())

    async def wait_all(self, is_satisfied: Callable[[Any], bool], daemons: list[Daemon]) -> float:
        """Wait until the stats of all daemons satisfy a condition; return the seconds it took."""
        began_at = time.monotonic()
        pending: list[Any] = []
        while time.monotonic() - began_at < WAIT_TIMEOUT_S:
            try:
                stats = await self.get_all("/stats", daemons)
            except aiohttp.ClientError:
                await asyncio.sleep(POLL_INTERVAL_S)
                continue
            pairs = zip(daemons, stats, strict=True)
            pending = [(each.id, stat) for each, stat in pairs if not is_satisfied(stat)]
            if not pending:
                return time.monotonic() - began_at
            await asyncio.sleep(POLL_INTERVAL_S)
        raise TimeoutError(
            f"daemons did not reach the expected state within {WAIT_TIMEOUT_S} s; "
            f"logs are in {self.fleet.directory}; first that are pending: {pending[:3]}"
        )


def service_schema(number: int, upstreams: int, version: int = 0) -> ServiceSchema:
    """Create a service whose queue limit identifies its version."""
    return ServiceSchema.model_validate(
        {
            "name": f"service-{number:04}",
            "hosts": [f"service-{number:04}.example"],
            "queue_limit": 512 + version,
            "upstreams": [
                {
                    "id": f"u{number:04}-{each:03}",
                    "host": f"127.{number // 250 + 1}.{number % 250}.{each % 250 + 1}",
                    "port": 8000 + each,
                    "region": f"r{each % REGIONS}",
                    "availability_zone": f"r{each % REGIONS}z{each // REGIONS % ZONES}",
                }
                for each in range(upstreams)
            ],
        }
    )


@asynccontextmanager
async def control_fleet(count: int, services: int, upstreams: int) -> AsyncIterator[ControlFleet]:
    """Start a fleet with a configuration; leaving the context kills it."""
    timeout = aiohttp.ClientTimeout(total=REPLY_TIMEOUT_S)
    connector = aiohttp.TCPConnector(limit=0)
    with Fleet() as fleet:
        async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
            control = ControlFleet(fleet, session, count)
            await control.start(services, upstreams)
            yield control
