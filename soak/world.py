"""The processes of one run: daemons and upstreams on loopback, a fake store and the links."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from heatherhead.tests.platform.fake_platform_store import FakePlatformStore
from soak.client_names import owner_by_port
from soak.configuration import ROUTES, SERVICES, create_document, prefixes_of
from soak.links import Link

if TYPE_CHECKING:
    from collections.abc import Collection
    from pathlib import Path
    from random import Random

    from soak.customers import Customers

__all__ = ["Daemon", "Upstream", "World", "create_world"]

PORTS = {"Front": 18081, "Readiness": 18088, "Control": 18082, "Directory": 18083}
PEER_PORTS = "17200,17215"
UPSTREAM_PORT = 18100
STORE_PAGE_ITEMS = 500
LEASE_CHECK_INTERVAL_S = 0.1
READY_POLL_S = 0.05
LOOKUP_DELAY_S = 0.03  # gathers the connections that are opened meanwhile
STOP_GRACE_S = 6.0

SETTINGS = """
NodeName={name}
Ip={ip}
Zone=z{zone}
Region=r1
Zones.z1=r1
Zones.z2=r1
{listen}
InternalPorts={peers}
SeedNodes={seeds}
Limits.CpuShare=1.0
Limits.CpuCores=1
Limits.MemoryMb=300
Limits.MaxFds=4100
Limits.LinkMbps=1000
Bounds=DrainS=2.5,GraceS=6,ConfigApplyS=2.5,RetryBudgetRatio=0.2,BudgetWindowS=10,BudgetSlack=56,ttl_max_s=5
PlatformConfig.Address={store}
PlatformConfig.MinTtlS=1
"""


@dataclass(eq=False)
class _Process:
    """A process that this run starts and ends by its process id."""

    name: str
    arguments: list[str]
    environment: dict[str, str]
    log: Path
    popen: subprocess.Popen[bytes] | None = None
    first_build: Path | None = None  # the checkout that its first start runs

    def start(self) -> None:
        """Start the process, with its output appended to its log."""
        build, self.first_build = self.first_build, None
        with self.log.open("ab") as output:
            self.popen = subprocess.Popen(
                [sys.executable, *self.arguments],
                cwd=build,
                env={**os.environ, **self.environment},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                process_group=0,  # else a shell that ends resumes the suspended ones
            )

    @property
    def running(self) -> bool:
        """Return whether the process is alive."""
        return self.popen is not None and self.popen.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal if the process is alive."""
        if self.popen is not None and self.running:
            self.popen.send_signal(number)

    async def end(self, grace_s: float) -> None:
        """Send SIGTERM, and SIGKILL after the grace period."""
        if self.popen is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        with suppress(TimeoutError):
            async with asyncio.timeout(grace_s):
                while self.running:
                    await asyncio.sleep(READY_POLL_S)
        self.signal(signal.SIGKILL)
        await asyncio.to_thread(self.popen.wait)


@dataclass(eq=False)
class Daemon:
    """A daemon under test and its link to the store."""

    ip: str
    process: _Process
    store_link: Link
    reserved: bool = False  # a fault is being injected
    lost_at: float | None = None  # Unix time from which it is off for good


@dataclass(eq=False)
class Upstream:
    """An upstream and the link by which daemons reach it."""

    service: str
    process: _Process
    link: Link
    id: str  # of its last start
    reserved: bool = False
    starts: int = 0  # in which its process lived on


@dataclass
class World:
    """All processes of a run."""

    directory: Path
    rng: Random
    ip_prefix: str
    store: FakePlatformStore
    run_log: Path
    daemons: list[Daemon] = field(default_factory=list)
    upstreams: list[Upstream] = field(default_factory=list)
    customers: Customers | None = None
    configuration_version: int = 0
    last_configuration: bytes = b""
    allowed_services_by_prefix: dict[str, set[str]] = field(default_factory=dict)
    background_tasks: list[asyncio.Task[None]] = field(default_factory=list)
    _wanted_ports: set[int] = field(default_factory=set)
    _lookup: asyncio.Task[dict[int, str]] | None = None

    async def names_of_clients(self, ports: Collection[int]) -> dict[int, str]:
        """Return the names of the daemons that have connections with some local ports.

        All links look them up together, since each lookup reads the sockets of all daemons.
        """
        self._wanted_ports.update(ports)
        if self._lookup is None:
            self._lookup = asyncio.create_task(self._look_up_clients())
        name_by_port = await asyncio.shield(self._lookup)
        return {port: name_by_port[port] for port in ports if port in name_by_port}

    async def _look_up_clients(self) -> dict[int, str]:
        await asyncio.sleep(LOOKUP_DELAY_S)
        ports, self._wanted_ports, self._lookup = self._wanted_ports, set(), None
        by_pid = {
            each.process.popen.pid: each.process.name
            for each in self.daemons
            if each.process.popen is not None
        }
        owners = await asyncio.to_thread(owner_by_port, ports, by_pid)
        return {port: by_pid[pid] for port, pid in owners.items()}

    def write_configuration(
        self, replaced_services: dict[str, tuple[str, ...]] | None = None
    ) -> None:
        """Write the next configuration; `replaced_services` overrides services by prefix."""
        self.configuration_version += self.rng.randint(1, 4)
        used_by_prefix = {}
        for prefix in prefixes_of(ROUTES, self.customers):
            used = (replaced_services or {}).get(prefix, ROUTES[prefix][1])
            self.allowed_services_by_prefix.setdefault(prefix, set()).update(used)
            used_by_prefix[prefix] = used
        document = create_document(self.configuration_version, used_by_prefix, self.customers)
        self.last_configuration = json.dumps(document).encode()
        self.rewrite_configuration()

    def rewrite_configuration(self) -> None:
        """Write the newest configuration, which a restored store may lack."""
        self.store.put("op/config", self.last_configuration)

    async def start(self) -> None:
        """Start all processes and wait until the daemons are ready to serve."""
        self.background_tasks.append(asyncio.create_task(self._expire_leases()))
        self.write_configuration()
        for upstream in self.upstreams:
            upstream.process.start()
        for daemon in self.daemons:
            daemon.process.start()
        for daemon in self.daemons:
            await wait_ready(daemon)

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            self.store.expire_leases(asyncio.get_running_loop().time())

    async def stop(self) -> None:
        """End all processes, links and tasks of the run."""
        processes = [each.process for each in [*self.daemons, *self.upstreams]]
        await asyncio.gather(*(process.end(STOP_GRACE_S) for process in processes))
        for link in [each.store_link for each in self.daemons] + [e.link for e in self.upstreams]:
            link.stop()
        for task in self.background_tasks:
            task.cancel()
        await self.store.stop()


async def wait_ready(daemon: Daemon) -> None:
    """Wait until a daemon is ready or its process has ended."""
    while daemon.process.running:
        with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(daemon.ip, PORTS["Readiness"])
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    return
        await asyncio.sleep(READY_POLL_S)


async def create_world(
    directory: Path,
    rng: Random,
    ip_prefix: str,
    daemons: int,
    upstreams: int,
    earlier_build: Path | None = None,
    customers: Customers | None = None,
) -> World:
    """Create the processes of a run without starting them.

    `ip_prefix` is a prefix of loopback addresses that no other run uses. The daemons run the
    checkout `earlier_build`, if there is one, until they are started again.
    """
    store = FakePlatformStore(page=STORE_PAGE_ITEMS)
    store_host, _, store_port = (await store.start(f"{ip_prefix}.1")).partition(":")
    world = World(directory, rng, ip_prefix, store, directory / "runs.log", customers=customers)
    seeds = ",".join(f"{ip_prefix}.{10 + n}:{PORTS['Control']}" for n in range(min(3, daemons)))
    for number in range(daemons):
        ip, name = f"{ip_prefix}.{10 + number}", f"edge-{number}"
        link = Link(f"{ip_prefix}.2", store_host, int(store_port))
        await link.start()
        settings = directory / f"{name}.conf"
        settings.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                zone=1 + number % 2,
                listen="\n".join(f"Listen.{key}={ip}:{port}" for key, port in PORTS.items()),
                peers=PEER_PORTS,
                seeds=seeds,
                store=f"{ip_prefix}.2:{link.port}",
            )
        )
        process = _Process(
            name,
            ["-m", "heatherhead.platform"],
            {"HEATHERHEAD_BOOT": str(settings)},
            directory / f"{name}.log",
            first_build=earlier_build,
        )
        world.daemons.append(Daemon(ip, process, link))
    for number in range(upstreams):
        world.upstreams.append(await _create_upstream(world, number, f"{store_host}:{store_port}"))
    return world


async def _create_upstream(world: World, number: int, store: str) -> Upstream:
    service, ip = SERVICES[number % len(SERVICES)], f"{world.ip_prefix}.{100 + number}"
    link = Link(f"{world.ip_prefix}.3", ip, UPSTREAM_PORT, client_names=world.names_of_clients)
    await link.start()
    name = f"i-{service}-{number // len(SERVICES)}"
    advertised = f"{world.ip_prefix}.3:{link.port}"
    arguments = [name, service, ip, str(UPSTREAM_PORT), advertised, store, str(world.run_log)]
    process = _Process(
        name,
        ["-m", "soak.server", *arguments, str(world.rng.random())],
        {},
        world.directory / f"{name}.log",
    )
    return Upstream(service, process, link, name)
