"""A scripted upstream and the path from callers to upstreams over loopback.

Routes below `/read/` are idempotent, those below `/order/` and `/upload/` are not.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Protocol, TypeVar

from heatherhead.customers.usage import CapDecision
from heatherhead.dispatch.crashes import create_crash_table
from heatherhead.dispatch.dispatcher import create_dispatcher
from heatherhead.dispatch.reach import create_reach
from heatherhead.dispatch.tail_hedging import create_tail_hedging
from heatherhead.dispatch.upstream_state import LoadReading
from heatherhead.platform.dialect import PlatformDialect
from heatherhead.proxy.answer_memory import create_answer_memory
from heatherhead.proxy.caller_connection import create_caller_connections
from heatherhead.proxy.detour import create_detours
from heatherhead.proxy.forwarder import create_forwarder
from heatherhead.proxy.upstream_pool import create_upstream_pool
from heatherhead.routes.model import (
    CallerLimits,
    RepeatRule,
    Route,
    RouteConfiguration,
    TrafficPart,
)
from heatherhead.routes.table import create_route_table
from heatherhead.telemetry.entry_metrics import create_entry_metrics
from heatherhead.telemetry.logs import add_event_listener, remove_event_listener
from heatherhead.tests.dispatch.fakes import create_entry

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator, Mapping, Sequence

    from heatherhead.customers.usage import UsageCaps
    from heatherhead.dispatch.crashes import CrashReport
    from heatherhead.entry.settings import HostPort
    from heatherhead.routes.model import Customer

__all__ = [
    "EntryPath",
    "ScriptedUpstream",
    "UpstreamServer",
    "answer",
    "recorded_events",
    "request",
    "run_path",
    "run_servers",
    "status_of",
]

LINGER_ZERO = struct.pack("ii", 1, 0)  # SO_LINGER of 0 s: close sends RST
PART_INTERVAL_S = 0.01  # so that the parts of an answer are read one by one
TEST_TIMEOUT_S = 20.0  # only reached by a test that hangs


def request(
    path: str = "/read/x",
    request_id: str = "r1",
    method: str = "GET",
    body: bytes = b"",
    **extra: str,
) -> bytes:
    """Build a caller's request."""
    headers = {"Host": "shop.example", "X-Heatherhead-Request-Id": request_id}
    headers["X-Heatherhead-Deadline-Ms"] = "2000"
    if body:
        headers["Content-Length"] = str(len(body))
    headers.update({name.replace("_", "-"): value for name, value in extra.items()})
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body


def answer(
    request_id: str = "r1", status: int = 200, body: bytes = b"whole", **extra: str
) -> bytes:
    """Build an upstream's answer."""
    headers = {"X-Heatherhead-Request-Id": request_id, "Content-Length": str(len(body))}
    if status < 300:
        headers["X-Heatherhead-Server-Stamp"] = "stamp"
    headers.update({name.replace("_", "-"): value for name, value in extra.items()})
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 {status} Word\r\n{lines}\r\n".encode() + body


@dataclass
class ScriptedUpstream:
    """Answers each request with the next step of its script.

    A step is the bytes of an answer, a tuple of these and 'close' or 'reset', a tuple of 'wait',
    seconds and an answer, a list of bytes to write one after the other, or one of the words 'reset'
    and 'hang'.
    """

    script: list[Any]
    requests: list[bytes] = field(default_factory=list)
    connections: int = 0
    lost: asyncio.Event = field(default_factory=asyncio.Event)
    arrived: asyncio.Event = field(default_factory=asyncio.Event)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = 0
                for line in head.split(b"\r\n"):
                    if line.lower().startswith(b"content-length:"):
                        length = int(line.split(b":")[1])
                body = await reader.readexactly(length) if length else b""
                self.requests.append(head + body)
                self.arrived.set()
                step = self.script.pop(0) if self.script else answer()
                if step == "reset":
                    writer.transport.abort()
                    return
                if step == "hang":
                    await reader.read(1)
                    self.lost.set()
                    return
                if isinstance(step, tuple) and step[0] == "wait":
                    await asyncio.sleep(step[1])
                    step = step[2]
                if isinstance(step, list):
                    for part in step[:-1]:
                        writer.write(part)
                        await asyncio.sleep(PART_INTERVAL_S)
                    step = step[-1]
                close = isinstance(step, tuple)
                writer.write(step[0] if close else step)
                await writer.drain()
                if close:
                    if step[1] == "reset":
                        await asyncio.sleep(0.05)
                        connection = writer.get_extra_info("socket")
                        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
                        writer.transport.abort()
                    else:
                        writer.close()
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()


class UpstreamServer(Protocol):
    """Serves connections of instances."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        ...


class UncappedUsage:
    """Implements `UsageCaps` and admits all calls."""

    async def admit(self, _customer: Customer) -> CapDecision:
        """Admit a call."""
        return CapDecision(admitted=True)

    def give_back(self, _customer: Customer) -> None:
        """Do nothing, as nothing was counted."""


_Server = TypeVar("_Server", bound=UpstreamServer)


class EntryPath:
    """A listener and a forwarder in the process of the test."""

    def __init__(
        self,
        port_by_upstream: dict[str, int],
        max_attempts: int = 2,
        caps: UsageCaps | None = None,
        hedge_ratio: float = 0.0,
    ) -> None:
        self.table = create_route_table()
        self.dispatcher = create_dispatcher("a", {"a": "r"}, 0.2, 10.0, 100.0)
        self.crash_reports: list[CrashReport] = []
        self.crashes = create_crash_table()
        self.pool = create_upstream_pool()
        loop = asyncio.get_running_loop()
        self.reach = create_reach(
            loop.time, lambda service: len(self.dispatcher.states_of(service))
        )
        self.peers: list[HostPort] = []
        self.detours = create_detours(
            create_answer_memory(), PlatformDialect(), lambda _service, _regions: self.peers
        )
        metrics = create_entry_metrics()
        self.forwarder = create_forwarder(
            self.table,
            self.dispatcher,
            self.pool,
            PlatformDialect(),
            self.crashes,
            self.crash_reports.append,
            metrics,
            self.reach,
            self.detours,
            caps or UncappedUsage(),
            create_tail_hedging(self.dispatcher, hedge_ratio, 10.0, metrics.events, loop.time),
        )
        self.callers = create_caller_connections(
            self.forwarder.handle,
            lambda: self.table.configuration.limits,
            single_names=PlatformDialect.single_request_headers,
        )
        self.port_by_upstream = port_by_upstream
        self._max_attempts = max_attempts
        self.port = 0

    def configure(self, timeout_s: float = 1.5, max_body_bytes: int = 10_000) -> None:
        """Apply the routes of the test and add its upstreams."""
        rules = {
            "/read/": RepeatRule.IDEMPOTENT,
            "/order/": RepeatRule.NON_IDEMPOTENT,
            "/upload/": RepeatRule.UPLOAD,
        }
        routes = {
            prefix: Route(
                prefix,
                "shop.example",
                prefix,
                repeat,
                (TrafficPart("stock", 1.0),),
                self._max_attempts,
                timeout_s,
                0.5,
            )
            for prefix, repeat in rules.items()
        }
        limits = CallerLimits(max_body_bytes=max_body_bytes)
        self.table.apply(RouteConfiguration(1, routes, {}, limits))
        now = asyncio.get_running_loop().time()
        for name, port in self.port_by_upstream.items():
            self.dispatcher.on_entry(None, create_entry(name, host="127.0.0.1", port=port))
            state = self.dispatcher.state(name)
            assert state is not None
            self.dispatcher.apply_reading(state, LoadReading(0, 0, 4, 1.0, now))

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect as a caller."""
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def send(self, data: bytes) -> bytes:
        """Send a request on a new connection and read its answer."""
        reader, writer = await self.connect()
        writer.write(data)
        received = await read_answer(reader)
        writer.close()
        return received


@contextmanager
def recorded_events(name: str) -> Iterator[list[Mapping[str, object]]]:
    """Collect the fields of the lines of an event."""
    lines: list[Mapping[str, object]] = []

    def record(event: str, _level: str, fields: Mapping[str, object]) -> None:
        if event == name:
            lines.append(fields)

    add_event_listener(record)
    try:
        yield lines
    finally:
        remove_event_listener(record)


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    """Read one answer, or the part of it that a truncated connection delivered."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        length = 0
        for line in head.split(b"\r\n"):
            if line.lower().startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        return head + await reader.readexactly(length)
    except asyncio.IncompleteReadError as error:
        return error.partial


def status_of(received: bytes) -> int:
    """Return the status of an answer, 0 for none."""
    return int(received.split(b" ", 2)[1]) if received else 0


def run_path(
    scenario: Callable[[EntryPath, list[ScriptedUpstream]], Awaitable[None]],
    *scripts: list[Any],
    max_attempts: int = 2,
    hedge_ratio: float = 0.0,
) -> None:
    """Run a scenario against an entry path with one upstream per script."""
    upstreams = [ScriptedUpstream(list(script)) for script in scripts]
    names = [(f"u{number}",) for number in range(len(scripts))]
    run_servers(scenario, upstreams, names, max_attempts, hedge_ratio)


def run_servers(
    scenario: Callable[[EntryPath, list[_Server]], Awaitable[None]],
    servers: list[_Server],
    names: Sequence[Sequence[str]],
    max_attempts: int = 2,
    hedge_ratio: float = 0.0,
) -> None:
    """Run a scenario against an entry path that knows each server under its names."""

    async def main() -> None:
        listeners = [await asyncio.start_server(each.serve, "127.0.0.1", 0) for each in servers]
        ports = {
            name: listener.sockets[0].getsockname()[1]
            for listener, listed in zip(listeners, names, strict=True)
            for name in listed
        }
        path = EntryPath(ports, max_attempts, hedge_ratio=hedge_ratio)
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(path.callers.create_connection, "127.0.0.1", 0)
        path.port = listener.sockets[0].getsockname()[1]
        try:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await scenario(path, servers)
        finally:
            path.callers.stop()
            path.pool.close()
            path.detours.close()
            for each in (listener, *listeners):
                each.close()

    asyncio.run(main())
