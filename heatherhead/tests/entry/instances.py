"""Several instances in one process, each on its own loopback address, with upstreams and calls."""

from __future__ import annotations

import asyncio
import json
import os
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING, Any

from heatherhead.entry.service import create_entry_service
from heatherhead.platform.daemon import PlatformDecoder
from heatherhead.platform.dialect import PlatformDialect
from heatherhead.platform.pages import PlatformPages
from heatherhead.platform.settings_file import settings_from_text
from heatherhead.tests.proxy.fakes import answer, read_answer, request

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from heatherhead.entry.service import EntryService
    from heatherhead.entry.settings import EntrySettings
    from heatherhead.store.interface import Store

__all__ = [
    "CONFIGURATION",
    "Instances",
    "LimitedUpstream",
    "create_settings",
    "loopback_prefix",
    "most_arrivals",
    "write",
]

PORTS = {"Front": 18481, "Readiness": 18488, "Directory": 18483}
PEER_PORTS = "17600,17615"
UPSTREAM_PORT = 18500
REGION_BY_ZONE = {f"z{n}": f"r{n % 3}" for n in range(6)}
START_TIMEOUT_S = 10.0
CALL_TIMEOUT_S = 3.0  # longer than any deadline of the calls
WINDOW_S = 4.0  # in which the platform counts the requests at an upstream that names a limit
# Only answers to calls have them; a load reading takes no other answer for its own.
CALL_ANSWER_HEADERS = (b"X-Heatherhead-Request-Id: \r\n", b"X-Heatherhead-Server-Stamp: stamp\r\n")
SETTINGS = """
NodeName={name}
Ip={ip}
Zone={zone}
Region={region}
{zones}
{listen}
InternalPorts={peers}
SeedNodes={ip}:18482
Limits.CpuShare=1.0
Bounds=DrainS=2.5,GraceS=6,RetryBudgetRatio=0.2,BudgetWindowS=10,BudgetSlack=56
PlatformConfig.Address=127.0.0.1:1
"""
CONFIGURATION: dict[str, Any] = {
    "ConfigVersion": 1,
    "Routes": {
        "read": {
            "Hostname": "shop.example",
            "Prefix": "/read/",
            "RouteType": "idempotent",
            "Service": "stock",
            "MaxAttempts": 2,
            "TimeoutS": 1.0,
            "TargetLatencyS": 0.2,
            "Priority": 1,
        }
    },
    "Services": {"stock": {"HealthCheck": "/healthz"}},
    "Limits": {},
}


async def write(store: Store, key: str, document: object) -> None:
    """Write a document to a key, whatever its revision."""
    listing = (await store.read_prefix(key)).unwrap()
    held = listing.by_key.get(key)
    revision = 0 if held is None else held.mod_revision
    written = await store.compare_and_swap(key, revision, json.dumps(document).encode(), 0)
    assert written.unwrap().succeeded


def loopback_prefix(number: int) -> str:
    """Return a prefix of loopback addresses that another run of the tests hardly uses."""
    return f"127.{number}.{1 + os.getpid() % 250}"


def create_settings(number: int, ip: str) -> EntrySettings:
    """Create the settings of an instance; zones and regions take turns."""
    zone = f"z{number % len(REGION_BY_ZONE)}"
    return settings_from_text(
        SETTINGS.format(
            name=f"edge-{number}",
            ip=ip,
            zone=zone,
            region=REGION_BY_ZONE[zone],
            zones="\n".join(f"Zones.{each}={region}" for each, region in REGION_BY_ZONE.items()),
            listen="\n".join(f"Listen.{key}={ip}:{port}" for key, port in PORTS.items()),
            peers=PEER_PORTS,
        )
    )


def most_arrivals(arrivals: Sequence[float], since: float, window_s: float = WINDOW_S) -> int:
    """Return the most arrivals within a window of those since a time."""
    times = sorted(each for each in arrivals if each >= since)
    return max((sum(at <= each < at + window_s for each in times) for at in times), default=0)


@dataclass(eq=False)
class LimitedUpstream:
    """An upstream that may name a limit in its answers to calls and to health checks."""

    id: str
    host: str
    work_s: float = 0.02
    slots: int = 4
    limit: str | None = None
    limit_in_health_answers: bool = False
    arrivals: list[float] = field(default_factory=list)
    health_checks: int = 0
    arrivals_by_customer: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    running: int = 0
    cold_until: float = 0.0
    cold_arrivals: list[float] = field(default_factory=list)  # while it was cold

    @property
    def warmup_left_s(self) -> float:
        """Return for how long the upstream stays cold."""
        return max(0.0, self.cold_until - asyncio.get_running_loop().time())

    def entry(self, number: int) -> dict[str, object]:
        """Return the entry that the upstream writes about itself."""
        return {
            "Service": "stock",
            "Address": f"{self.host}:{UPSTREAM_PORT}",
            "Zone": f"z{number % len(REGION_BY_ZONE)}",
            "Slots": self.slots,
            "State": "ready",
            "Sequence": 1,
            "born": 1_700_000_000_000 + number,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                load = f"{self.running},0,{self.slots},100"
                extra = {"X_Heatherhead_Server_Load": load}
                if head.startswith("GET /healthz"):
                    if self.warmup_left_s:
                        extra["X_Heatherhead_Warmup_Ms"] = str(int(self.warmup_left_s * 1000))
                    if self.limit is not None and self.limit_in_health_answers:
                        extra["Server_Limit"] = self.limit
                    extra["X_Heatherhead_Instance_Id"] = self.id
                    self.health_checks += 1
                    data = answer("", **extra)
                    for header in CALL_ANSWER_HEADERS:
                        data = data.replace(header, b"")
                    writer.write(data)
                    continue
                self.arrivals.append(asyncio.get_running_loop().time())
                if self.warmup_left_s:
                    self.cold_arrivals.append(self.arrivals[-1])
                named = head.partition("X-Heatherhead-Tenant: ")[2]
                self.arrivals_by_customer[named.partition("\r\n")[0]].append(self.arrivals[-1])
                self.running += 1
                await asyncio.sleep(self.work_s)
                self.running -= 1
                if self.limit is not None:
                    extra["Server_Limit"] = self.limit
                request_id = head.split("X-Heatherhead-Request-Id: ")[1].split("\r\n")[0]
                writer.write(answer(request_id, **extra))
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()


@dataclass(eq=False)
class Instances:
    """Instances that share a store, and the upstreams of one service."""

    store: Store
    ip_prefix: str
    create_store: Callable[[], Store] | None = None  # of an instance; else all share `store`
    services: list[EntryService] = field(default_factory=list)
    upstreams: list[LimitedUpstream] = field(default_factory=list)
    statuses: Counter[int] = field(default_factory=Counter)
    statuses_by_key: dict[str, Counter[int]] = field(default_factory=lambda: defaultdict(Counter))
    rejected_after_s: list[float] = field(default_factory=list)
    _servers: list[asyncio.Server] = field(default_factory=list)
    _numbers: count[int] = field(default_factory=count)

    async def add_upstreams(self, number: int, **changes: Any) -> None:
        """Start upstreams of the service `stock` and write their entries."""
        for _ in range(number):
            position = len(self.upstreams)
            host = f"{self.ip_prefix}.{100 + position}"
            upstream = LimitedUpstream(f"i-{position}", host, **changes)
            self.upstreams.append(upstream)
            server = await asyncio.start_server(upstream.serve, host, UPSTREAM_PORT)
            self._servers.append(server)
            await write(self.store, f"servers/{upstream.id}", upstream.entry(position))

    async def start(
        self, instances: int, configuration: dict[str, object] | None = None, **rules: Any
    ) -> None:
        """Write the configuration, start instances and wait until all are ready.

        `rules` are added to those of the service, unless a `configuration` is given.
        """
        if configuration is None:
            await self.configure(1, **rules)
        else:
            await write(self.store, "op/config", configuration)
        await asyncio.gather(*(self.add_instance(number) for number in range(instances)))

    async def configure(self, version: int, **rules: Any) -> None:
        """Write a version of the configuration."""
        services = {"stock": CONFIGURATION["Services"]["stock"] | rules}
        document = {**CONFIGURATION, "ConfigVersion": version, "Services": services}
        await write(self.store, "op/config", document)

    async def add_instance(self, number: int) -> EntryService:
        """Start an instance and wait until it is ready."""
        settings = create_settings(number, f"{self.ip_prefix}.{10 + number}")
        dialect = PlatformDialect()
        store = self.create_store() if self.create_store else self.store
        service = create_entry_service(settings, store, PlatformDecoder(), dialect)
        self.services.append(service)
        await service.start(PlatformPages(service))
        async with asyncio.timeout(START_TIMEOUT_S):
            while not (service.ready and service.dispatcher.states):
                await asyncio.sleep(0.02)
        return service

    async def call(
        self, service: EntryService, key: str | None = None, path: str = "/read/1", **extra: str
    ) -> int:
        """Send one call to an instance and return the status of the answer, 0 for none.

        With a customer's `key`, the status is also counted for the key.
        """
        request_id = f"r{next(self._numbers)}"
        host = service.settings.host
        reader, writer = await asyncio.open_connection(host, PORTS["Front"])
        sent_at = asyncio.get_running_loop().time()
        headers = {"X_Heatherhead_Request_Id": request_id, "X_Heatherhead_Deadline_Ms": "1000"}
        if key is not None:
            headers["Authorization"] = f"Token {key}"
        writer.write(request(path, **headers, **extra))
        try:
            received = await asyncio.wait_for(read_answer(reader), CALL_TIMEOUT_S)
        except TimeoutError:
            received = b""
        writer.close()
        status = int(received.split(b" ", 2)[1]) if received else 0
        self.statuses[status] += 1
        if key is not None:
            self.statuses_by_key[key][status] += 1
        if status == 503:
            self.rejected_after_s.append(asyncio.get_running_loop().time() - sent_at)
        return status

    def isolate(self, service: EntryService) -> None:
        """Drop the datagrams of an instance, in both directions."""
        channel = service.exchange._channel
        channel._on_message = lambda _message, _sender: None
        channel.send_to = lambda _addresses, _message: None

    async def send_calls(
        self,
        calls_per_s: float,
        for_s: float,
        choose: Callable[[int], EntryService] | None = None,
        key: str | None = None,
    ) -> None:
        """Send calls at a constant rate, to each instance in turn unless `choose` names one."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        async with asyncio.TaskGroup() as tasks:
            for number in range(int(calls_per_s * for_s)):
                await asyncio.sleep(began + number / calls_per_s - loop.time())
                service = choose(number) if choose else self.services[number % len(self.services)]
                tasks.create_task(self.call(service, key))

    async def stop(self) -> None:
        """Stop all instances and upstreams."""
        for service in self.services:
            for server in service._servers:
                server.close()
            await service.announcement.leave()
            await service.stop()
        for server in self._servers:
            server.close()
