"""The processes of one run: daemons and back ends on loopback, the store's stand-in and the links."""

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
from soak.links import Link

if TYPE_CHECKING:
    from pathlib import Path
    from random import Random

__all__ = ["HOST_NAME", "ROUTES", "Backend", "Daemon", "World", "create_world"]

SERVICES = ("stock", "orders")
HOST_NAME = "shop.example"
PORTS = {"Front": 18081, "Readiness": 18088, "Control": 18082, "Directory": 18083}
PEER_PORTS = "17200,17215"
BACKEND_PORT = 18100
STORE_PAGE_ITEMS = 500
EXPIRE_S = 0.1
READY_POLL_S = 0.05
GRACE_S = 6.0

# Prefix: kind and services, as in the first configuration.
ROUTES: dict[str, tuple[str, tuple[str, ...]]] = {
    "/read/": ("idempotent", ("stock",)),
    "/order/": ("non_idempotent", ("orders",)),
    "/upload/": ("upload", ("orders", "stock")),
}

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
    """A process that this run started, and ends by its id."""

    name: str
    arguments: list[str]
    environment: dict[str, str]
    log: Path
    popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start it, its output going to its log."""
        with self.log.open("ab") as output:
            self.popen = subprocess.Popen(
                [sys.executable, *self.arguments],
                env={**os.environ, **self.environment},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    @property
    def running(self) -> bool:
        """Tell whether it lives."""
        return self.popen is not None and self.popen.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal, if it lives."""
        if self.popen is not None and self.running:
            self.popen.send_signal(number)

    async def end(self, grace_s: float) -> None:
        """Send SIGTERM, and SIGKILL after the grace."""
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
    """One daemon under test, with its link to the store."""

    ip: str
    process: _Process
    store_link: Link
    busy: bool = False  # something is being done to it


@dataclass(eq=False)
class Backend:
    """One back end, with the link that daemons reach it by."""

    service: str
    process: _Process
    link: Link
    busy: bool = False


@dataclass
class World:
    """All processes of a run."""

    directory: Path
    rng: Random
    base_ip: str
    store: FakePlatformStore
    run_log: Path
    daemons: list[Daemon] = field(default_factory=list)
    backends: list[Backend] = field(default_factory=list)
    version: int = 0
    services_by_prefix: dict[str, set[str]] = field(default_factory=dict)
    background: list[asyncio.Task[None]] = field(default_factory=list)

    def write_configuration(self, moved: dict[str, tuple[str, ...]] | None = None) -> None:
        """Write the next version; `moved` sends routes to other services."""
        self.version += self.rng.randint(1, 4)
        routes = {}
        for prefix, (kind, services) in ROUTES.items():
            used = (moved or {}).get(prefix, services)
            self.services_by_prefix.setdefault(prefix, set()).update(used)
            routes["r" + prefix.strip("/")] = {
                "Hostname": HOST_NAME,
                "Prefix": prefix,
                "RouteType": kind,
                "TrafficSplit": [{"Service": each, "Weight": 1} for each in used],
                "MaxAttempts": 2,
                "TimeoutS": 1.5,
                "TargetLatencyS": 0.3,
                "Priority": 1,
            }
        document = {
            "ConfigVersion": self.version,
            "Routes": routes,
            "Services": {each: {"HealthCheck": "/healthz"} for each in SERVICES},
            "Limits": {},
        }
        self.store.put("op/config", json.dumps(document).encode())

    async def start(self) -> None:
        """Start all processes and wait until the daemons are ready."""
        self.background.append(asyncio.create_task(self._expire_leases()))
        self.write_configuration()
        for backend in self.backends:
            backend.process.start()
        for daemon in self.daemons:
            daemon.process.start()
        for daemon in self.daemons:
            await wait_ready(daemon)

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_S)
            self.store.expire_leases(asyncio.get_running_loop().time())

    async def stop(self) -> None:
        """End everything that this run started."""
        processes = [each.process for each in [*self.daemons, *self.backends]]
        await asyncio.gather(*(process.end(GRACE_S) for process in processes))
        for link in [each.store_link for each in self.daemons] + [e.link for e in self.backends]:
            link.stop()
        for task in self.background:
            task.cancel()
        await self.store.stop()


async def wait_ready(daemon: Daemon) -> None:
    """Wait until a daemon is ready, or has ended again."""
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
    directory: Path, rng: Random, base_ip: str, daemons: int, backends: int
) -> World:
    """Lay out a run; `base_ip` is a prefix of loopback addresses that no other run uses."""
    store = FakePlatformStore(page=STORE_PAGE_ITEMS)
    store_host, _, store_port = (await store.start(f"{base_ip}.1")).partition(":")
    world = World(directory, rng, base_ip, store, directory / "runs.log")
    seeds = ",".join(f"{base_ip}.{10 + n}:{PORTS['Control']}" for n in range(min(3, daemons)))
    for number in range(daemons):
        ip, name = f"{base_ip}.{10 + number}", f"edge-{number}"
        link = Link(f"{base_ip}.2", store_host, int(store_port))
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
                store=f"{base_ip}.2:{link.port}",
            )
        )
        process = _Process(
            name,
            ["-m", "heatherhead.platform"],
            {"HEATHERHEAD_BOOT": str(settings)},
            directory / f"{name}.log",
        )
        world.daemons.append(Daemon(ip, process, link))
    for number in range(backends):
        world.backends.append(await _create_backend(world, number, f"{store_host}:{store_port}"))
    return world


async def _create_backend(world: World, number: int, store: str) -> Backend:
    service, ip = SERVICES[number % len(SERVICES)], f"{world.base_ip}.{100 + number}"
    link = Link(f"{world.base_ip}.3", ip, BACKEND_PORT)
    await link.start()
    name = f"i-{service}-{number // len(SERVICES)}"
    advertised = f"{world.base_ip}.3:{link.port}"
    arguments = [name, service, ip, str(BACKEND_PORT), advertised, store, str(world.run_log)]
    process = _Process(
        name,
        ["-m", "soak.server", *arguments, str(world.rng.random())],
        {},
        world.directory / f"{name}.log",
    )
    return Backend(service, process, link)
