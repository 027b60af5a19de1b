"""Clients as PROTOCOL.md describes them: they keep connections, and retry within their deadline."""

from __future__ import annotations

import asyncio
import json
import random
import time
from dataclasses import dataclass, field

from standins3 import fleet
from standins3.wire import BrokenMessageError, Message, is_whole, read_answer

CONNECT_S = 1.0
PROMISES = (408, 421, 429, 503)
FINAL = (400, 401, 404, 413, 431)


@dataclass
class Attempt:
    """One client attempt, which has an id of its own."""

    request_id: str
    kind: str
    host: str
    at: float
    kept: bool  # the connection had carried a request before
    sent: bool = False  # all of its bytes
    outcome: str = "open"
    ended_at: float = 0.0
    body_bytes: int = 0


@dataclass
class Kind:
    """A kind of request."""

    name: str
    method: str
    target: str
    idempotent: bool
    deadline_s: float
    body_bytes: int = 0
    retries: int = 2


@dataclass
class Clients:
    """Clients of one region, which share what they know of addresses."""

    directories: list[str]
    host_name: str
    region: str
    zone: str
    seed: int
    retries: bool = True
    attempts: list[Attempt] = field(default_factory=list)
    served: int = 0
    failed: int = 0
    addresses: list[str] = field(default_factory=list)
    resolved_until: float = 0.0
    _idle: dict[str, list[tuple[asyncio.StreamReader, asyncio.StreamWriter, float]]] = field(
        default_factory=dict
    )

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)

    async def resolve(self) -> None:
        """Ask the directory, nearest first, unless the last response still counts."""
        if time.monotonic() < self.resolved_until:
            return
        for host in self.directories:
            path = f"/resolve?Name={self.host_name}&Region={self.region}&Zone={self.zone}"
            found = await fleet.get(host, fleet.DIRECTORY, path)
            if found is not None and found[0] == 200:
                body = json.loads(found[1])
                if body.get("Addresses"):
                    self.addresses = body["Addresses"]
                    self.resolved_until = time.monotonic() + min(5.0, body["TtlS"])
                    return
        self.resolved_until = time.monotonic() + 0.5

    async def request(self, kind: Kind) -> bool:
        """Send a request, again if it may be; return whether it was served."""
        end = time.monotonic() + kind.deadline_s
        avoid: set[str] = set()
        for number in range(kind.retries + 1):
            await self.resolve()
            left_s = end - time.monotonic()
            if left_s < 0.05 or not self.addresses:
                break
            attempt, answer = await self._attempt(kind, end, avoid, fresh=number > 0)
            if answer is not None and 200 <= answer.status < 300:
                self.served += 1
                return True
            if answer is not None and answer.status in FINAL:
                break
            if not kind.idempotent and (answer is None or answer.status not in PROMISES):
                break
            if answer is None:
                avoid.add(attempt.host)
            pause_s = float(answer.headers.get("retry-after", "0")) if answer is not None else 0.0
            await asyncio.sleep(min(pause_s, max(0.0, end - time.monotonic()) / 3))
        self.failed += 1
        return False

    async def _attempt(
        self, kind: Kind, end: float, avoid: set[str], *, fresh: bool
    ) -> tuple[Attempt, Message | None]:
        names = [each for each in self.addresses if each.split(":")[0] not in avoid]
        host, port = self.random.choice(names or self.addresses).split(":")
        request_id = f"{self.random.getrandbits(64):016x}"
        attempt = Attempt(request_id, kind.name, host, time.monotonic(), False)
        attempt.body_bytes = kind.body_bytes
        self.attempts.append(attempt)
        writer = None
        try:
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + end - attempt.at):
                reader, writer = await self._connect(attempt, int(port), fresh=fresh)
                answer = await self._exchange(kind, attempt, reader, writer, end)
        except TimeoutError:
            answer, attempt.outcome = None, "deadline"
        except (OSError, BrokenMessageError) as error:
            answer, attempt.outcome = None, f"{type(error).__name__}"
        attempt.ended_at = time.monotonic()
        if answer is not None:
            attempt.outcome = str(answer.status)
            if 200 <= answer.status < 300 and not is_whole(request_id, answer):
                attempt.outcome += " not whole"
        if writer is not None:
            if answer is None or answer.headers.get("connection", "").lower() == "close":
                writer.transport.abort() if answer is None else writer.close()
            else:
                self._idle.setdefault(host, []).append((reader, writer, time.monotonic()))
        return attempt, answer

    async def _connect(
        self, attempt: Attempt, port: int, *, fresh: bool
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host = attempt.host
        idle = self._idle.get(host, [])
        while idle and not fresh:
            reader, writer, since = idle.pop()
            usable = not reader.at_eof() and not writer.transport.is_closing()
            if usable and time.monotonic() - since < 10.0:
                attempt.kept = True
                return reader, writer
            writer.close()
        async with asyncio.timeout(CONNECT_S):
            return await asyncio.open_connection(host, port, limit=2**20)

    async def _exchange(
        self,
        kind: Kind,
        attempt: Attempt,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        end: float,
    ) -> Message:
        left_ms = int((end - time.monotonic()) * 1000)
        head = (
            f"{kind.method} {kind.target} HTTP/1.1\r\nHost: {self.host_name}\r\n"
            f"X-Heatherhead-Request-Id: {attempt.request_id}\r\n"
            f"X-Heatherhead-Deadline-Ms: {left_ms}\r\n"
        )
        if kind.method != "GET":
            head += f"Content-Length: {kind.body_bytes}\r\n"
        sending = asyncio.create_task(self._send(writer, head, kind.body_bytes, attempt))
        try:
            answer = await read_answer(reader, kind.method)
        finally:
            sending.cancel()
        if answer is None:
            raise BrokenMessageError("the connection was closed")
        return answer

    async def _send(
        self, writer: asyncio.StreamWriter, head: str, size: int, attempt: Attempt
    ) -> None:
        writer.write((head + "\r\n").encode())
        block = attempt.request_id.encode() * 4096
        for start in range(0, size, len(block)):
            writer.write(block[: size - start])
            await writer.drain()
        await writer.drain()
        attempt.sent = True
