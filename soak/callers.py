"""Callers of the soak: they ask for addresses, keep connections and write down what they saw."""

from __future__ import annotations

import asyncio
import json
import time
from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from soak.server import digest_of
from soak.world import HOST_NAME, PORTS, ROUTES

if TYPE_CHECKING:
    from random import Random

    from soak.world import World

__all__ = ["Attempt", "Callers", "PROMISES"]

PROMISES = frozenset({408, 421, 429, 503})  # not run, and never will be
PATIENCE_S = 2.0
CONNECT_TIMEOUT_S = 1.0
RETRIES = 2
PAUSE_S = (0.0, 0.06)
REUSES = 6  # requests of a connection before it is given up
UPLOAD_BYTES = 60_000


@dataclass(slots=True)
class Attempt:
    """One request as its caller saw it; `status` 0 stands for no whole answer."""

    id: str
    prefix: str
    digest: str
    daemon: str
    sent_at: float  # Unix time
    status: int = 0
    stamped: bool = False
    body: bytes = b""
    echoed: str = ""
    ended_at: float = 0.0


@dataclass
class _Connection:
    daemon: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    uses: int = 0


@dataclass
class Callers:
    """All callers of a run and their ledger."""

    world: World
    rng: Random
    attempt_by_id: dict[str, Attempt] = field(default_factory=dict)
    _number: int = 0

    async def run(self, callers: int, until: float) -> None:
        """Send requests from several callers side by side until a moment of the loop."""
        await asyncio.gather(*(self._call_until(until) for _ in range(callers)))

    async def _call_until(self, until: float) -> None:
        loop = asyncio.get_running_loop()
        connection: _Connection | None = None
        addresses: list[str] = []
        asked_at = -1e9
        while loop.time() < until:
            if loop.time() - asked_at > 2.0 or not addresses:
                addresses = await self._resolve() or addresses
                asked_at = loop.time()
            prefix = self.rng.choice(list(ROUTES))
            for _ in range(1 + RETRIES):
                attempt, connection = await self._attempt(prefix, addresses, connection)
                if attempt is None or attempt.status // 100 == 2:
                    break
                if ROUTES[prefix][0] != "idempotent" and attempt.status not in PROMISES:
                    break
            await asyncio.sleep(self.rng.uniform(*PAUSE_S))
        if connection is not None:
            connection.writer.close()

    async def _resolve(self) -> list[str]:
        daemons = self.rng.sample(self.world.daemons, len(self.world.daemons))
        for daemon in daemons[:3]:
            with suppress(OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(daemon.ip, PORTS["Directory"])
                    writer.write(
                        f"GET /resolve?Name={HOST_NAME}&Region=r1&Zone=z1 HTTP/1.1\r\n"
                        "Host: x\r\nConnection: close\r\n\r\n".encode()
                    )
                    _, _, body = await _read_answer(reader)
                    writer.close()
                    return [each.partition(":")[0] for each in json.loads(body)["Addresses"]]
        return []

    async def _attempt(
        self, prefix: str, addresses: list[str], connection: _Connection | None
    ) -> tuple[Attempt | None, _Connection | None]:
        if not addresses:
            await asyncio.sleep(0.1)
            return None, connection
        if connection is None or connection.uses >= REUSES:
            if connection is not None:
                connection.writer.close()
            connection = await self._connect(self.rng.choice(addresses))
            if connection is None:
                return None, None
        connection.uses += 1
        attempt, data = self._request(prefix, connection.daemon)
        whole = await self._exchange(attempt, data, connection)
        attempt.ended_at = time.time()
        if not whole or attempt.status // 100 != 2:
            connection.writer.close()
            connection = None
        return attempt, connection

    async def _connect(self, ip: str) -> _Connection | None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return _Connection(ip, *await asyncio.open_connection(ip, PORTS["Front"]))
        except (OSError, TimeoutError):
            return None

    def _request(self, prefix: str, daemon: str) -> tuple[Attempt, bytes]:
        self._number += 1
        request_id = f"{self._number:08x}{self.rng.getrandbits(32):08x}"
        method = "GET" if prefix == "/read/" else "POST"
        target = f"{prefix}x{self._number % 97}"
        size = {"/read/": 0, "/order/": 300, "/upload/": UPLOAD_BYTES}[prefix]
        body = self.rng.randbytes(size)
        digest = digest_of(method, target, body)
        attempt = Attempt(request_id, prefix, digest, daemon, time.time())
        self.attempt_by_id[request_id] = attempt
        head = (
            f"{method} {target} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
            f"X-Heatherhead-Request-Id: {request_id}\r\n"
            f"X-Heatherhead-Deadline-Ms: {int(PATIENCE_S * 1000)}\r\n"
        )
        if size:
            head += f"Content-Length: {size}\r\n"
        return attempt, head.encode() + b"\r\n" + body

    async def _exchange(self, attempt: Attempt, data: bytes, connection: _Connection) -> bool:
        """Send a request and read its answer; tells whether the connection can be used again."""
        try:
            async with asyncio.timeout(PATIENCE_S):
                connection.writer.write(data)
                await connection.writer.drain()
                status, headers, body = await _read_answer(connection.reader)
        except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
            return False
        attempt.status, attempt.body = status, body
        attempt.echoed = headers.get("x-heatherhead-request-id", "")
        attempt.stamped = "x-heatherhead-server-stamp" in headers
        return headers.get("connection", "") != "close"


async def _read_answer(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    lines = head.split("\r\n")
    status = int(lines[0].split(" ")[1])
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines[1:])
    }
    return status, headers, await reader.readexactly(int(headers.get("content-length", "0")))
