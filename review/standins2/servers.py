"""A sound server: it registers itself, tells its load, and runs a few requests at a time."""

from __future__ import annotations

import asyncio
import random
import socket
import time
from contextlib import suppress
from typing import TYPE_CHECKING

from standins2.wire import REQUEST_ID, read_body, read_head

if TYPE_CHECKING:
    from standins2.deployment import Deployment

SLOTS = 4
QUEUE = 16
Headers = dict[str, str]


class Server:
    """One server; cases replace `finish` or `request` to bring about a disruption."""

    def __init__(
        self, deployment: Deployment, name: str, service: str, zone: str, work_s: float
    ) -> None:
        self.deployment = deployment
        self.name, self.service, self.zone, self.work_s = name, service, zone, work_s
        self.running = self.waiting = 0
        self.slots = asyncio.Semaphore(SLOTS)
        self.receive_buffer_bytes = 0  # 0: as the kernel has it
        self.ran_at: dict[str, float] = {}  # when each request began to run
        self.writers: set[asyncio.StreamWriter] = set()  # of the open connections

    async def start(self) -> None:
        """Listen on a free port and register."""
        listener = socket.socket()
        if self.receive_buffer_bytes:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer_bytes)
        listener.bind((self.deployment.server_host, 0))
        listener.listen(512)
        self.address = f"{self.deployment.server_host}:{listener.getsockname()[1]}"
        self._server = await asyncio.start_server(self._serve, sock=listener)
        entry = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "ConfigVersion": "v1",
            "Slots": SLOTS,
            "State": "ready",
            "WarmupLeftS": 0,
            "Sequence": 1,
            "born": int(time.time() * 1000),
        }
        self.deployment.store.put(f"servers/{self.name}", entry)

    def head(self, status: int, request_id: str = "", **headers: str) -> bytes:
        """Return the head of an answer, without the line that ends it."""
        lines = [
            f"HTTP/1.1 {status} Answer",
            f"X-Heatherhead-Server-Load: {self.running},{self.waiting},{SLOTS},100",
            "Keep-Alive: timeout=10",
        ]
        if request_id:
            lines.append(f"{REQUEST_ID}: {request_id}")
        lines.extend(f"{name.replace('_', '-')}: {value}" for name, value in headers.items())
        return "\r\n".join([*lines, ""]).encode()

    def answer(self, status: int, request_id: str = "", body: bytes = b"", **headers: str) -> bytes:
        """Return a whole answer."""
        head = self.head(status, request_id, **headers)
        return head + f"Content-Length: {len(body)}\r\n\r\n".encode() + body

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with suppress(OSError, EOFError):
            while await self._serve_one(reader, writer):
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        line, headers = await read_head(reader)
        method, target, _ = line.split(" ")
        if target == "/healthz":
            writer.write(self.answer(200, X_Heatherhead_Instance_Id=self.name))
            return True
        request_id = headers.get(REQUEST_ID.lower(), "")
        if headers.get("x-heatherhead-expect-instance", self.name) != self.name:
            await read_body(reader, headers)
            writer.write(self.answer(421, request_id, X_Heatherhead_Instance_Id=self.name))
            return True
        return await self.request(reader, writer, method, headers, request_id)

    async def request(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        method: str,
        headers: Headers,
        request_id: str,
    ) -> bool:
        """Serve a request that is meant for this server; return whether to keep the connection."""
        size = await read_body(reader, headers)
        if self.running + self.waiting >= SLOTS + QUEUE:
            writer.write(self.answer(503, request_id, X_Heatherhead_Not_Executed="1"))
            return True
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            self.running += 1
            self.ran_at[request_id] = time.monotonic()
            self.deployment.record("run", id=request_id, server=self.name, bytes=size)
            await asyncio.sleep(self.work_s * random.uniform(0.7, 1.3))
            self.running -= 1
        return await self.finish(writer, request_id)

    async def finish(self, writer: asyncio.StreamWriter, request_id: str) -> bool:
        """Answer a request that has run; return whether to keep the connection."""
        stamp = f"{self.name}.{request_id}"
        writer.write(self.answer(200, request_id, stamp.encode(), X_Heatherhead_Server_Stamp=stamp))
        return True
