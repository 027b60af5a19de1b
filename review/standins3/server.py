"""A server of a service, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from standins3.wire import (
    DEADLINE,
    EXPECT,
    ID,
    INSTANCE,
    LOAD,
    NOT_RUN,
    STAMP,
    BrokenMessageError,
    Message,
    read_request,
    stamp,
)

if TYPE_CHECKING:
    from standins3.store import Store

KEEP_ALIVE_S = 10


@dataclass
class Run:
    """One request that a server began to work on."""

    request_id: str
    server: str
    at: float
    method: str
    target: str
    body: bytes
    ended: str = "at work"
    slowed: bool = False
    headers: dict[str, str] = field(default_factory=dict)


Work = Callable[["Server", Run, Message], Awaitable[bytes | None]]


class Server:
    """Runs `slots` requests at a time; more wait, up to `queue`, and then it is full."""

    def __init__(
        self,
        store: Store,
        server_id: str,
        service: str,
        host: str,
        port: int,
        zone: str,
        *,
        slots: int = 4,
        queue: int = 16,
        work_s: float = 0.05,
        answer_bytes: int = 400,
    ) -> None:
        self.store, self.id, self.service = store, server_id, service
        self.host, self.port, self.zone = host, port, zone
        self.slots, self.queue = slots, queue
        self.work_s, self.answer_bytes = work_s, answer_bytes
        self.runs: list[Run] = []
        self.work: Work | None = None  # replaces the plain work if set
        # Writes the answer of a run in place of the plain way if set.
        self.reply: Callable[[asyncio.StreamWriter, Run, bytes], Awaitable[bool]] | None = None
        self.sequence = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._server: asyncio.Server | None = None
        self._beat: asyncio.Task[None] | None = None
        self.connections: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen and register."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port, limit=2**22)
        self._beat = asyncio.create_task(self._beats())

    async def stop(self) -> None:
        """Stop listening, and drop all connections."""
        if self._beat is not None:
            self._beat.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def register(self) -> None:
        """Write the entry."""
        self.sequence += 1
        self.store.put(
            f"servers/{self.id}",
            {
                "Service": self.service,
                "Address": f"{self.host}:{self.port}",
                "Zone": self.zone,
                "ConfigVersion": "v1",
                "Slots": self.slots,
                "State": self.state,
                "WarmupLeftS": 0,
                "Sequence": self.sequence,
                "born": self.born,
            },
        )

    async def _beats(self) -> None:
        while True:
            self.register()
            await asyncio.sleep(1.5)

    def load(self) -> str:
        """Return the load header."""
        running = self.slots - self._free._value
        return f"{running},{self._waiting},{self.slots},100"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        try:
            while True:
                async with asyncio.timeout(KEEP_ALIVE_S):
                    request = await read_request(reader)
                if request is None or not await self._answer(request, reader, writer):
                    return
        except (OSError, BrokenMessageError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def _answer(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        headers = request.headers
        if request.target == "/healthz":
            return await self._write(writer, 200, b"", {INSTANCE: self.id})
        request_id = headers.get(ID)
        if headers.get(EXPECT, self.id) != self.id:
            return await self._write(writer, 421, b"", {INSTANCE: self.id, **_id(request_id)})
        if request_id is None:
            return await self._write(writer, 400, b"", {NOT_RUN: "1"})
        if self._free.locked() and self._waiting >= self.queue:
            return await self._write(writer, 503, b"", {NOT_RUN: "1", **_id(request_id)})
        deadline_s = float(headers.get(DEADLINE, "30000")) / 1000
        end = time.monotonic() + deadline_s
        self._waiting += 1
        try:
            async with asyncio.timeout(deadline_s):
                await self._free.acquire()
        except TimeoutError:
            return await self._write(writer, 503, b"", {NOT_RUN: "1", **_id(request_id)})
        finally:
            self._waiting -= 1
        run = Run(
            request_id,
            self.id,
            time.monotonic(),
            request.method,
            request.target,
            request.body,
            headers=headers,
        )
        self.runs.append(run)
        try:
            body = await self._work(run, request, reader, end)
        finally:
            self._free.release()
        if body is None:
            return False
        if self.reply is not None:
            return await self.reply(writer, run, body)
        headers = {ID: request_id, STAMP: stamp(request_id, self.id, body)}
        return await self._write(writer, 200, body, headers)

    async def _work(
        self, run: Run, request: Message, reader: asyncio.StreamReader, end: float
    ) -> bytes | None:
        """Work until the deadline, or until the connection closes."""
        task = asyncio.ensure_future(self._plain(run, request))
        closed = asyncio.ensure_future(_closed(reader))
        try:
            await asyncio.wait(
                [task, closed],
                timeout=max(0.0, end - time.monotonic()),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not task.done():
                run.ended = "connection closed" if closed.done() else "deadline"
                return None
            body = task.result()
            run.ended = "done" if body is not None else "broken off"
            return body
        finally:
            task.cancel()
            closed.cancel()

    async def _plain(self, run: Run, request: Message) -> bytes | None:
        if self.work is not None:
            return await self.work(self, run, request)
        await asyncio.sleep(self.work_s)
        return (run.request_id.encode() + b".") * (self.answer_bytes // 17 + 1)

    async def _write(
        self, writer: asyncio.StreamWriter, status: int, body: bytes, headers: dict[str, str]
    ) -> bool:
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += [f"{LOAD}: {self.load()}", f"Keep-Alive: timeout={KEEP_ALIVE_S}"]
        lines += [f"Content-Length: {len(body)}", "", ""]
        writer.write("\r\n".join(lines).encode() + body)
        await writer.drain()
        return True


def _id(request_id: str | None) -> dict[str, str]:
    return {} if request_id is None else {ID: request_id}


async def _closed(reader: asyncio.StreamReader) -> None:
    """Return once the connection has ended; a request that comes meanwhile stays unread."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.01)
