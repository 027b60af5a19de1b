"""Scripted upstreams, raw callers and an instance that runs in the process of the test."""

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
    "InstanceHarness",
    "raw_upstream",
    "run_with_shifted_clock",
    "running_instance",
]

STARTUP_STEP_S = 0.1


class ShiftedClockLoop(asyncio.SelectorEventLoop):
    """A selector loop whose clock the test can advance, as a pause of the process would."""

    shift_s = 0.0

    def time(self) -> float:
        """Return the monotonic time plus the shift, in seconds."""
        return time.monotonic() + self.shift_s

    def advance(self, seconds: float) -> None:
        """Advance the clock; timers that become due fire."""
        self.shift_s += seconds


def run_with_shifted_clock(main: Coroutine[Any, Any, None]) -> None:
    """Run a test on a loop whose clock can be advanced."""
    loop = ShiftedClockLoop()
    try:
        loop.run_until_complete(main)
    finally:
        loop.run_until_complete(loop.shutdown_asyncgens())
        loop.close()


@dataclass(slots=True)
class FakeUpstream:
    """An upstream that answers with `respond` and records the requests it receives.

    `arrived` is set when a request arrives and `call_cancelled` when one is cancelled.
    `respond_when_allowed` answers once the test has set `answer_allowed`.
    """

    respond: Any = None
    port: int = 0
    seen: list[str] = field(default_factory=list)
    headers: list[dict[str, str]] = field(default_factory=list)
    bodies: list[bytes] = field(default_factory=list)
    cancelled: int = 0
    received_bytes: int = 0
    arrived: asyncio.Event = field(default_factory=asyncio.Event)
    answer_allowed: asyncio.Event = field(default_factory=asyncio.Event)
    call_cancelled: asyncio.Event = field(default_factory=asyncio.Event)

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
            self.call_cancelled.set()
            raise

    async def _read(self, request: web.BaseRequest) -> bytes:
        parts = []
        while part := await request.content.readany():
            self.received_bytes += len(part)
            parts.append(part)
        return b"".join(parts)

    async def wait_and_answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer once the test has set `answer_allowed`."""
        self.bodies.append(await request.read())
        await self.answer_allowed.wait()
        return web.Response(text="late")


async def respond_not_run(_upstream: FakeUpstream, _request: web.BaseRequest) -> web.StreamResponse:
    """Refuse a call with the promise that it did not run."""
    return web.Response(status=503, headers={"Heatherhead-Not-Run": "true"})


async def respond_when_allowed(
    upstream: FakeUpstream, request: web.BaseRequest
) -> web.StreamResponse:
    """Answer once the test has set `answer_allowed` of the upstream."""
    return await upstream.wait_and_answer(request)


@asynccontextmanager
async def raw_upstream(
    serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
) -> AsyncIterator[int]:
    """Run an upstream that writes raw bytes; yield its port."""
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()


class RawCaller:
    """A caller that sends raw bytes on one connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    async def send(self, data: bytes) -> None:
        """Send bytes."""
        self.writer.write(data)
        await self.writer.drain()

    async def read_head(self) -> str:
        """Read the head of an answer."""
        return (await self.reader.readuntil(b"\r\n\r\n")).decode()

    async def read_rest(self) -> bytes:
        """Read until the connection is closed; raises `ConnectionResetError` on a reset."""
        return await self.reader.read()

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


@dataclass(slots=True)
class InstanceHarness:
    """A running instance with its upstreams and a client session."""

    assembly: Assembly
    upstreams: list[FakeUpstream]
    session: aiohttp.ClientSession
    url: str
    callers: list[RawCaller] = field(default_factory=list)

    async def connect_caller(self) -> RawCaller:
        """Connect a raw caller."""
        port = self.assembly.settings.callers.listen.port
        self.callers.append(RawCaller(*await asyncio.open_connection("127.0.0.1", port)))
        return self.callers[-1]

    async def request_grant(self) -> str:
        """Request a new grant."""
        async with self.session.get(f"{self.url}/v1/addresses?service=orders") as answer:
            return (await answer.json())["grant"]


def settings_for(ports: list[int], **overrides: Any) -> dict[str, Any]:
    """Build the settings of an instance that serves `orders` from upstreams on the given ports."""
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
async def running_assembly(document: dict[str, Any]) -> AsyncIterator[Assembly]:
    """Run an instance in this process."""
    assembly = create_assembly(Settings.model_validate(document))
    await assembly.start()
    try:
        await _wait_until_configured(assembly)
        yield assembly
    finally:
        await assembly.stop()


@asynccontextmanager
async def running_instance(
    *responses: Any, extra_ports: list[int] | None = None, **overrides: Any
) -> AsyncIterator[InstanceHarness]:
    """Run an instance with one upstream per response; for `None` it answers "hello"."""
    upstreams = [FakeUpstream(respond) for respond in responses]
    servers = [await _start_upstream(upstream) for upstream in upstreams]
    ports = [*(extra_ports or []), *(upstream.port for upstream in upstreams)]
    try:
        async with running_assembly(settings_for(ports, **overrides)) as assembly:
            url = f"http://127.0.0.1:{assembly.settings.callers.listen.port}"
            async with aiohttp.ClientSession() as session:
                harness = InstanceHarness(assembly, upstreams, session, url)
                yield harness
                for caller in harness.callers:
                    caller.close()
    finally:
        for upstream in upstreams:
            upstream.answer_allowed.set()
        for server in servers:
            await server.cleanup()


async def _wait_until_configured(assembly: Assembly) -> None:
    """Wait for the configuration, advancing the clock if it can be shifted."""
    loop = asyncio.get_running_loop()
    while isinstance(loop, ShiftedClockLoop) and not assembly.configuration.ready.is_set():
        loop.advance(STARTUP_STEP_S)
        await asyncio.sleep(0)
    await assembly.configuration.ready.wait()


async def _start_upstream(upstream: FakeUpstream) -> web.ServerRunner:
    runner = web.ServerRunner(
        web.Server(upstream.handle, handler_cancellation=True), shutdown_timeout=0.0
    )
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    upstream.port = runner.addresses[0][1]
    return runner
