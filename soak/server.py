"""An upstream of the soak: reports its load, drains, and gives some wrong answers on purpose.

Run as `python -m soak.server ID SERVICE HOST PORT ADVERTISED STORE RUN_LOG SEED`. Each execution of a
request is appended to the log before it begins, so that a kill of the process can't lose it.
"""

from __future__ import annotations

import asyncio
import base64
import hashlib
import json
import os
import signal
import sys
import time
from dataclasses import dataclass, field
from random import Random

import aiohttp

from heatherhead.backoff import create_backoff

__all__ = [
    "LIMIT_AFTER_S",
    "LIMIT_DURATION_S",
    "NAMED_LIMIT",
    "answer_body",
    "main",
    "request_digest",
]

SLOTS = 4
QUEUE_LIMIT = 4
HEARTBEAT_S = 0.5
LEASE_TTL_S = 1.5  # three heartbeats
DRAIN_S = 2.5
EXIT_DELAY_S = 1.0
SERVICE_TIME_RANGE_S = (0.005, 0.06)
WRONG_ANSWER_FRACTION = 0.04  # of the answers of an upstream with an odd number
ANSWER_BYTES = 2000
NAMED_LIMIT = 2.0  # requests a second; named for a while by upstreams with an even number
LIMIT_AFTER_S = 1.0  # since the start of the process
LIMIT_DURATION_S = 9.0


def request_digest(method: str, target: str, body: bytes) -> str:
    """Return the digest by which the records of callers and upstreams are matched."""
    return hashlib.sha256(f"{method} {target} ".encode() + body).hexdigest()[:16]


def answer_body(request_id: str) -> bytes:
    """Return the correct body of the answer to a request."""
    return (request_id.encode() * (ANSWER_BYTES // len(request_id) + 1))[:ANSWER_BYTES]


@dataclass
class _Upstream:
    id: str
    service: str
    store: str
    advertised: str
    run_log: int
    rng: Random
    gives_wrong_answers: bool
    in_progress: int = 0
    state: str = "ready"
    started_unix_ms: int = field(default_factory=lambda: int(time.time() * 1000))
    slots: asyncio.Semaphore = field(default_factory=lambda: asyncio.Semaphore(SLOTS))
    limit_named_at: float | None = None

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection, one request at a time."""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                method, target, _ = head.split(" ", 2)
                headers = {
                    name.lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in head.split("\r\n")[1:])
                }
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                if not await self._answer(method, target, headers, body, writer):
                    return
        except (asyncio.IncompleteReadError, OSError):
            return
        finally:
            writer.close()

    async def _answer(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if target == "/healthz":
            self._write(writer, 200 if self.state == "ready" else 503, "", b"")
            return True
        request_id = headers.get("x-heatherhead-request-id", "")
        if headers.get("x-heatherhead-expect-instance", self.id) != self.id:
            self._write(writer, 421, request_id, b"", not_run=True)
            return True
        if self.in_progress >= SLOTS + QUEUE_LIMIT:
            self._write(writer, 503, request_id, b"", not_run=True)
            return True
        self.in_progress += 1
        try:
            async with self.slots:
                row = [request_id, self.id, self.service, request_digest(method, target, body)]
                os.write(self.run_log, (json.dumps([*row, time.time()]) + "\n").encode())
                await asyncio.sleep(self.rng.uniform(*SERVICE_TIME_RANGE_S))
        finally:
            self.in_progress -= 1
        return self._send_answer(writer, request_id)

    def _names_limit(self) -> bool:
        """Return whether an answer names the limit; the first one is logged."""
        age_s = time.time() - self.started_unix_ms / 1000 - LIMIT_AFTER_S
        if self.gives_wrong_answers or not 0 <= age_s < LIMIT_DURATION_S:
            return False
        if self.limit_named_at is None:
            self.limit_named_at = time.time()
            self.log_event("limit")
        return True

    def log_event(self, event: str) -> None:
        """Append an event of this start to the log, in place of a request id."""
        row = [event, self.id, self.service, "", time.time()]
        os.write(self.run_log, (json.dumps(row) + "\n").encode())

    def _send_answer(self, writer: asyncio.StreamWriter, request_id: str) -> bool:
        body = answer_body(request_id)
        if not self.gives_wrong_answers or self.rng.random() > WRONG_ANSWER_FRACTION:
            self._write(writer, 200, request_id, body)
            return True
        match self.rng.choice(["lost", "cut", "extra", "error", "other"]):
            case "lost":
                writer.transport.abort()
                return False
            case "cut":
                self._write(writer, 200, request_id, body[: len(body) // 2], length=len(body))
                return False
            case "extra":
                self._write(writer, 200, request_id, body)
                self._write(writer, 200, "f" * 16, answer_body("f" * 16))
            case "error":
                self._write(writer, 500, request_id, b"failed")
            case _:
                self._write(writer, 200, "e" * 16, answer_body("e" * 16))
        return True

    def _write(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        request_id: str,
        body: bytes,
        *,
        not_run: bool = False,
        length: int | None = None,
    ) -> None:
        queued = max(0, self.in_progress - SLOTS)
        lines = [
            f"HTTP/1.1 {status} Status",
            f"Content-Length: {len(body) if length is None else length}",
            f"X-Heatherhead-Server-Load: {min(self.in_progress, SLOTS)},{queued},{SLOTS},100",
            f"X-Heatherhead-Instance-Id: {self.id}",
        ]
        if request_id:
            lines.append(f"X-Heatherhead-Request-Id: {request_id}")
            if self._names_limit():
                lines.append(f"Server-Limit: {NAMED_LIMIT}")
        if not_run:
            lines.append("X-Heatherhead-Not-Executed: 1")
        elif request_id:
            lines.append(f"X-Heatherhead-Server-Stamp: {self.id}.{request_id}")
        if self.state != "ready":
            lines.append("Connection: close")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    async def register(self) -> None:
        """Maintain the upstream's entry in the store until the task is cancelled."""
        backoff = create_backoff(0.1, 0.5)
        lease, sequence, published_state = 0, 0, ""
        async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0)) as session:
            while True:
                try:
                    if lease:
                        async with session.post(f"{self.store}/kv-keep/{lease}") as answer:
                            lease = lease if answer.status == 200 else 0
                    if not lease or published_state != self.state:
                        sequence += 1
                        lease, published_state = (
                            await self._write_entry(session, lease, sequence),
                            self.state,
                        )
                    backoff.reset()
                    await asyncio.sleep(HEARTBEAT_S)
                except (aiohttp.ClientError, TimeoutError, OSError, KeyError):
                    await asyncio.sleep(backoff.next_delay_s())

    async def _write_entry(self, session: aiohttp.ClientSession, lease: int, sequence: int) -> int:
        if not lease:
            body = json.dumps({"TtlS_time": LEASE_TTL_S})
            async with session.post(f"{self.store}/kv-lease", data=body) as answer:
                lease = (await answer.json())["LeaseId"]
        entry = {
            "Service": self.service,
            "Address": self.advertised,
            "Zone": "z1",
            "ConfigVersion": "v1",
            "Slots": SLOTS,
            "State": self.state,
            "WarmupLeftS": 0,
            "Sequence": sequence,
            "born": self.started_unix_ms,
        }
        value = base64.b64encode(json.dumps(entry).encode()).decode()
        write = {"Key": f"servers/{self.id}", "Value": value, "LeaseId": lease}
        body = json.dumps({"ExpectedRev": [], "Writes": [write], "Remove": []})
        async with session.post(f"{self.store}/kv-txn", data=body) as answer:
            answer.raise_for_status()
        return lease


async def _main(arguments: list[str]) -> None:
    upstream_id, service, host, port, advertised, store, run_log, seed = arguments
    descriptor = os.open(run_log, os.O_WRONLY | os.O_APPEND | os.O_CREAT)
    number = int(upstream_id.rpartition("-")[2])
    upstream = _Upstream(
        upstream_id,
        service,
        f"http://{store}",
        advertised,
        descriptor,
        Random(seed),
        number % 2 == 1,
    )
    upstream.log_event("start")
    await asyncio.start_server(upstream.serve, host, int(port))
    terminated = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, terminated.set)
    registration = asyncio.create_task(upstream.register())
    await terminated.wait()
    upstream.state = "draining"
    await asyncio.sleep(HEARTBEAT_S + DRAIN_S + EXIT_DELAY_S)
    registration.cancel()


def main() -> None:
    """Serve until SIGTERM, then drain and exit."""
    asyncio.run(_main(sys.argv[1:]))


if __name__ == "__main__":
    main()
