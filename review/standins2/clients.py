"""Clients that keep their connections, and what became of each of their requests."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from standins2.wire import new_id, read_body, read_head, request_head

if TYPE_CHECKING:
    from standins2.deployment import Daemon, Deployment

HOST = "jepu9.example"
CHUNK_BYTES = 256 * 1024


@dataclass
class Sent:
    """One client attempt."""

    id: str
    daemon: str
    kept: bool  # the connection had carried a request before
    whole: bool = False  # all bytes were sent
    status: int = 0  # 0: no complete answer
    closed: bool = False  # the connection ended before a complete answer
    ended_s: float = 0.0


@dataclass
class Route:
    """What a client sends."""

    method: str
    path: str
    deadline_ms: int
    size: int = 0


class Client:
    """Sends one request after the other over a kept connection to one daemon at a time."""

    def __init__(self, deployment: Deployment, route: Route) -> None:
        self.deployment, self.route = deployment, route
        self.sent: list[Sent] = []
        self._connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._daemon: Daemon | None = None

    async def send(self) -> None:
        """Send a request and read its answer."""
        deployment, route = self.deployment, self.route
        kept = self._connection is not None
        if self._connection is None:
            running = [each for each in deployment.daemons if each.running]
            if not running:
                await asyncio.sleep(0.1)
                return
            self._daemon = random.choice(running)
            try:
                self._connection = await asyncio.open_connection(
                    self._daemon.host, deployment.first_port
                )
            except OSError:
                return
        assert self._daemon is not None
        attempt = Sent(new_id(), self._daemon.name, kept)
        self.sent.append(attempt)
        deployment.record(
            "sent", id=attempt.id, to=attempt.daemon, path=route.path, bytes=route.size
        )
        try:
            async with asyncio.timeout(route.deadline_ms / 1000):
                keep = await self._exchange(attempt)
        except TimeoutError:
            keep = False
        except (OSError, EOFError):
            attempt.closed, keep = True, False
        attempt.ended_s = time.monotonic()
        outcome = attempt.status or ("closed" if attempt.closed else "no answer")
        deployment.record("answered", id=attempt.id, outcome=outcome)
        if not keep:
            self._connection[1].close()
            self._connection = None

    async def _exchange(self, attempt: Sent) -> bool:
        assert self._connection is not None
        reader, writer = self._connection
        route = self.route
        head = request_head(
            route.method, route.path, HOST, attempt.id, route.deadline_ms, route.size
        )
        writer.write(head)
        for start in range(0, route.size, CHUNK_BYTES):
            writer.write(bytes(min(CHUNK_BYTES, route.size - start)))
            await writer.drain()
        attempt.whole = True
        line, headers = await read_head(reader)
        await read_body(reader, headers)
        attempt.status = int(line.split(" ")[1])
        return headers.get("connection", "").lower() != "close"

    async def send_until(self, until: float, pause_s: float) -> None:
        """Send requests one after the other, with pauses between them."""
        while time.monotonic() < until:
            await self.send()
            await asyncio.sleep(pause_s * random.uniform(0.5, 1.5))


def find_lost(deployment: Deployment, clients: list[Client]) -> dict[str, list[Sent]]:
    """List, by daemon, the requests of kept connections that ran and whose connection was closed."""
    ran = {request_id for server in deployment.servers for request_id in server.ran_at}
    lost: dict[str, list[Sent]] = {}
    for client in clients:
        for each in client.sent:
            if each.kept and each.whole and each.closed and not each.status and each.id in ran:
                lost.setdefault(each.daemon, []).append(each)
    return lost
