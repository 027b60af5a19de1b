"""Scripted upstreams, raw callers and an assembly in the test's own process."""

from __future__ import annotations

import asyncio
import time
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp import web

from heatherhead.assembly import create_assembly
from heatherhead.settings import Settings

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine

    from heatherhead.assembly import Assembly

__all__ = [
    "FakeUpstream",
    "RawCaller",
    "Stand",
    "raw_upstream",
    "run_shifted",
    "stand",
]

START_STEP_S = 0.1


class ShiftedLoop(asyncio.SelectorEventLoop):
    """A loop with sockets whose clock the test can move on, as a pause would."""

    shift_s = 0.0

    def time(self) -> float:
        """Return the shifted time in seconds."""
        return time.monotonic() + self.shift_s

    def advance(self, seconds: float) -> None:
        """Move the clock on; timers that are due then fire."""
        self.shift_s += seconds


def run_shifted(main: Coroutine[Any, Any, None]) -> None:
    """Run a test on a loop whose clock can be moved."""
    loop = ShiftedLoop()
    try:
        loop.run_until_complete(main)
    finally:
        loop.run_until_complete(loop.shutdown_asyncgens())
        loop.close()


@dataclass(slots=True)
class FakeUpstream:
    """An upstream that answers by a script and notes what it saw."""

    respond: Any = None
    port: int = 0
    seen: list[str] = field(default_factory=list)
    headers: list[dict[str, str]] = field(default_factory=list)
    bodies: list[bytes] = field(default_factory=list)
    cancelled: int = 0
    received: int = 0
    arrived: asyncio.Event = field(default_factory=asyncio.Event)
    go: asyncio.Event = field(default_factory=asyncio.Event)
    gone: asyncio.Event = field(default_factory=asyncio.Event)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        self.seen.append(f"{request.method} {request.raw_path}")
        self.headers.append(dict(request.headers))
        self.arrived.set()
        try:
            if self.respond is not None:
                return await self.respond(self, request)
            self.bodies.append(await self._read(request))
            return web.Response(text="hello")
        except asyncio.CancelledError:
            self.cancelled += 1
            self.gone.set()
            raise

    async def _read(self, request: web.BaseRequest) -> bytes:
        parts = []
        while part := await request.content.readany():
            self.received += len(part)
            parts.append(part)
        return b"".join(parts)

    async def wait_and_answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer once the test sets `go`."""
        self.bodies.append(await request.read())
        await self.go.wait()
        return web.Response(text="late")


async def refuse(_upstream: FakeUpstream, _request: web.BaseRequest) -> web.StreamResponse:
    """Promise that the call was not run."""
    return web.Response(status=503, headers={"Heatherhead-Not-Run": "true"})


async def hold(upstream: FakeUpstream, request: web.BaseRequest) -> web.StreamResponse:
    """Answer once the test allows it."""
    return await upstream.wait_and_answer(request)


@asynccontextmanager
async def raw_upstream(
    serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
) -> AsyncIterator[int]:
    """Run an upstream that writes bytes of its own; gives its port."""
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()


class RawCaller:
    """A caller that sends bytes of its own."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    async def send(self, data: bytes) -> None:
        """Send bytes."""
        self.writer.write(data)
        await self.writer.drain()

    async def head(self) -> str:
        """Read the head of an answer."""
        return (await self.reader.readuntil(b"\r\n\r\n")).decode()

    async def rest(self) -> bytes:
        """Read until the connection ends; a reset raises `ConnectionResetError`."""
        return await self.reader.read()

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


@dataclass(slots=True)
class Stand:
    """An assembly with its upstreams and a client session."""

    assembly: Assembly
    upstreams: list[FakeUpstream]
    session: aiohttp.ClientSession
    url: str
    callers: list[RawCaller] = field(default_factory=list)

    async def caller(self) -> RawCaller:
        """Connect a raw caller."""
        port = self.assembly.settings.callers.listen.port
        self.callers.append(RawCaller(*await asyncio.open_connection("127.0.0.1", port)))
        return self.callers[-1]

    async def grant(self) -> str:
        """Ask for a grant."""
        async with self.session.get(f"{self.url}/v1/addresses?service=orders") as answer:
            return (await answer.json())["grant"]


def settings_for(ports: list[int], **overrides: Any) -> dict[str, Any]:
    """Build settings of one instance with the service `orders` on upstream ports."""
    slots = overrides.pop("slots", 4)
    service = {
        "name": "orders",
        "path_prefixes": ["/"],
        "upstreams": [
            {"id": f"u{index}", "host": "127.0.0.1", "port": port, "slots": slots}
            for index, port in enumerate(ports)
        ],
        **overrides.pop("service", {}),
    }
    listeners = {name: {"listen": {"port": 0}} for name in ("callers", "operators", "membership")}
    listeners["callers"].update(overrides.pop("callers", {}))
    return {**listeners, "services": [service], **overrides}


@asynccontextmanager
async def started(document: dict[str, Any]) -> AsyncIterator[Assembly]:
    """Run an assembly in this process."""
    assembly = create_assembly(Settings.model_validate(document))
    await assembly.start()
    try:
        await _configured(assembly)
        yield assembly
    finally:
        await assembly.stop()


@asynccontextmanager
async def stand(
    *responses: Any, extra_ports: list[int] | None = None, **overrides: Any
) -> AsyncIterator[Stand]:
    """Run one assembly with a scripted upstream per response; `None` answers plainly."""
    upstreams = [FakeUpstream(respond) for respond in responses]
    servers = [await _serve(upstream) for upstream in upstreams]
    ports = [*(extra_ports or []), *(upstream.port for upstream in upstreams)]
    try:
        async with started(settings_for(ports, **overrides)) as assembly:
            url = f"http://127.0.0.1:{assembly.settings.callers.listen.port}"
            async with aiohttp.ClientSession() as session:
                here = Stand(assembly, upstreams, session, url)
                yield here
                for caller in here.callers:
                    caller.close()
    finally:
        for upstream in upstreams:
            upstream.go.set()
        for server in servers:
            await server.cleanup()


async def _configured(assembly: Assembly) -> None:
    """Wait for the configuration; a shifted clock makes that short."""
    loop = asyncio.get_running_loop()
    while isinstance(loop, ShiftedLoop) and not assembly.configuration.ready.is_set():
        loop.advance(START_STEP_S)
        await asyncio.sleep(0)
    await assembly.configuration.ready.wait()


async def _serve(upstream: FakeUpstream) -> web.ServerRunner:
    runner = web.ServerRunner(
        web.Server(upstream.handle, handler_cancellation=True), shutdown_timeout=0.0
    )
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    upstream.port = runner.addresses[0][1]
    return runner
