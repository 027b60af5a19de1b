"""An upstream of the soak: reports its load, drains, starts again, and gives some wrong answers.

Run as `python -m soak.server ID SERVICE HOST PORT ADVERTISED STORE RUN_LOG SEED`. Each execution of a
request is appended to the log before it begins, and each answer before it is written, so that a kill of
the process can't lose it.
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
from contextlib import suppress
from dataclasses import dataclass, field, replace
from email.utils import formatdate
from pathlib import Path
from random import Random

import aiohttp

from heatherhead.backoff import create_backoff
from soak.controls import read_spell, read_start, spell_path, start_path
from soak.customers import KEY_PREFIX
from soak.stutter import DUE_FORMS, AnswerBytes, StutteringWriter

__all__ = [
    "ANSWER_ROW",
    "COPY_ROW",
    "EVENT_ROWS",
    "LIMIT_AFTER_S",
    "LIMIT_DURATION_S",
    "LIMIT_ROW",
    "NAMED_LIMIT",
    "REFUSED_ROW",
    "START_ROW",
    "UNMARKED_ROW",
    "answer_body",
    "answer_stamp",
    "body_digest",
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
REFUSAL_STATUSES = (503, 503, 429)  # of an upstream that is not full
EARLY_REFUSAL_SHARE = 0.5  # of the refusals, which are written before the body is read
UNMARKED_STATUSES = (408, 421, 429, 503)
START_POLL_S = 0.05
# In place of a request id: an answer; or an event, namely that the upstream has started, has first
# named its limit, has refused a request, has written a refusal again where the next answer to its
# id is due, or has run an order and answers as if it had not, without saying so.
ANSWER_ROW = "answer"
START_ROW, LIMIT_ROW, REFUSED_ROW = "start", "limit", "refused"
COPY_ROW, UNMARKED_ROW = "copy", "unmarked"
EVENT_ROWS = (START_ROW, LIMIT_ROW, REFUSED_ROW, COPY_ROW, UNMARKED_ROW)


def request_digest(method: str, target: str, body: bytes) -> str:
    """Return the digest by which the records of callers and upstreams are matched."""
    return hashlib.sha256(f"{method} {target} ".encode() + body).hexdigest()[:16]


def body_digest(body: bytes) -> str:
    """Return the digest by which the body of an answer is matched."""
    return hashlib.sha256(body).hexdigest()[:16]


def answer_stamp(upstream: str, request_id: str, status: int) -> str:
    """Return the stamp that names an answer."""
    return f"{upstream}.{request_id}.{status}"


def answer_body(stamp: str) -> bytes:
    """Return the correct body of the answer with a stamp."""
    return (stamp.encode() * (ANSWER_BYTES // len(stamp) + 1))[:ANSWER_BYTES]


@dataclass(frozen=True, slots=True)
class _Request:
    """A request; `upstream` is the id that its process had when it came."""

    id: str
    upstream: str
    idempotent: bool = True
    customer: str = ""
    key_passed_on: bool = False


def _parse_head(data: bytes) -> tuple[str, str, dict[str, str]]:
    """Return the method, the target and the headers of a request."""
    lines = data.decode().split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers: dict[str, str] = {}
    for name, _, value in (line.partition(":") for line in lines[1:]):
        earlier = headers.get(name.lower())
        headers[name.lower()] = value.strip() if earlier is None else f"{earlier},{value.strip()}"
    return method, target, headers


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
    spell_path: Path = field(default_factory=Path)
    start_path: Path = field(default_factory=Path)
    start_number: int = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection, one request at a time."""
        answers = StutteringWriter(writer, self.rng)
        try:
            while await self._serve_request(reader, answers):
                pass
        except (asyncio.IncompleteReadError, OSError):
            return
        finally:
            writer.close()

    async def _serve_request(self, reader: asyncio.StreamReader, answers: StutteringWriter) -> bool:
        """Serve the next request of a connection; return whether the connection is kept."""
        head = await reader.readuntil(b"\r\n\r\n")
        method, target, headers = _parse_head(head)
        length = int(headers.get("content-length", "0"))
        if target == "/healthz":
            status = 200 if self.state == "ready" else 503
            await self._write(answers, status, _Request("", self.id))
            return True
        request = _Request(
            headers.get("x-heatherhead-request-id", ""),
            self.id,
            idempotent=method == "GET",
            customer=headers.get("x-heatherhead-tenant", ""),
            key_passed_on=KEY_PREFIX.encode() in head or "authorization" in headers,
        )
        refusal = self._refusal_status(headers.get("x-heatherhead-expect-instance", self.id))
        if refusal is None:
            body = await reader.readexactly(length)
            await self._execute(request, request_digest(method, target, body))
            return await self._send_answer(answers, request)
        if self.rng.random() < EARLY_REFUSAL_SHARE:
            await self._refuse(answers, refusal, request)
            await reader.readexactly(length)
        else:
            await reader.readexactly(length)
            await self._refuse(answers, refusal, request)
        return True

    async def _refuse(self, answers: StutteringWriter, status: int, request: _Request) -> None:
        self.log_event(REFUSED_ROW, request.id)
        await self._write(answers, status, request, not_run=True)

    async def _execute(self, request: _Request, digest: str) -> None:
        """Run a request, which is in the log before it begins."""
        self.in_progress += 1
        try:
            async with self.slots:
                row: list[object] = [request.id, request.upstream, self.service, digest]
                row += [time.time(), request.customer, request.key_passed_on]
                os.write(self.run_log, (json.dumps(row) + "\n").encode())
                await asyncio.sleep(self.rng.uniform(*SERVICE_TIME_RANGE_S))
        finally:
            self.in_progress -= 1

    def _refusal_status(self, expected_id: str) -> int | None:
        """Return the status with which a request is refused; `None` if it runs."""
        if expected_id != self.id:
            return 421
        if self.in_progress >= SLOTS + QUEUE_LIMIT:
            return 503
        spell = read_spell(self.spell_path)
        if spell is not None and self.rng.random() < spell.refused_share:
            return self.rng.choice(REFUSAL_STATUSES)
        return None

    def _names_limit(self) -> bool:
        """Return whether an answer names the limit; the first one is logged."""
        age_s = time.time() - self.started_unix_ms / 1000 - LIMIT_AFTER_S
        if self.gives_wrong_answers or not 0 <= age_s < LIMIT_DURATION_S:
            return False
        if self.limit_named_at is None:
            self.limit_named_at = time.time()
            self.log_event(LIMIT_ROW)
        return True

    def log_event(self, event: str, request_id: str = "") -> None:
        """Append an event of this start to the log, in place of a request id."""
        row = [event, self.id, self.service, request_id, time.time()]
        os.write(self.run_log, (json.dumps(row) + "\n").encode())

    def _log_answer(self, request: _Request, status: int, *, readable: bool) -> None:
        """Append the answer to an execution to the log, before any byte of it is written."""
        digest = body_digest(answer_body(answer_stamp(request.upstream, request.id, status)))
        row = [ANSWER_ROW, request.upstream, request.id, status, digest, readable, time.time()]
        os.write(self.run_log, (json.dumps(row) + "\n").encode())

    async def _send_answer(self, answers: StutteringWriter, request: _Request) -> bool:
        """Return whether the connection is kept."""
        status = self._answer_status(request)
        if status != 200:
            await self._write(answers, status, request)
            return True
        if not self.gives_wrong_answers or self.rng.random() > WRONG_ANSWER_FRACTION:
            await self._write(answers, 200, request)
            return True
        match self.rng.choice(["lost", "cut", "extra", "error", "other"]):
            case "lost":
                answers.abort()
                return False
            case "cut":
                await self._write(answers, 200, request, cut=True)
                return False
            case "extra":
                await self._write(answers, 200, request)
                await self._write(answers, 200, replace(request, id="f" * 16))
            case "error":
                await self._write(answers, 500, request)
            case _:
                await self._write(answers, 200, replace(request, id="e" * 16))
        return True

    def _answer_status(self, request: _Request) -> int:
        """Return the status of the answer to a request that ran."""
        spell = read_spell(self.spell_path)
        if spell is None:
            return 200
        if request.idempotent:
            return 500 if not spell.only_refusals and self.rng.random() < 0.5 else 200
        if self.rng.random() < spell.unmarked_share:
            self.log_event(UNMARKED_ROW, request.id)
            return self.rng.choice(UNMARKED_STATUSES)
        return 200

    async def _write(
        self,
        answers: StutteringWriter,
        status: int,
        request: _Request,
        *,
        not_run: bool = False,
        cut: bool = False,
    ) -> None:
        data = self._format(status, request, not_run=not_run)
        other = data if not_run or not request.id else self._format_other(status, request)
        answer = AnswerBytes(data, other, request.id, refusal=not_run)
        form = "" if cut else answers.choose_form(read_spell(self.spell_path), answer)
        readable = answers.keeps_readable(form) and not cut
        if request.id and not not_run:
            self._log_answer(request, status, readable=readable)
        if form in DUE_FORMS:
            self.log_event(COPY_ROW, request.id)
        if cut:
            answer = replace(answer, data=data[: -ANSWER_BYTES // 2])
        await answers.write(answer, form)

    def _format_other(self, status: int, request: _Request) -> bytes:
        """Return an answer to a request of another status than its right one."""
        if status != 200:
            return self._format(200, request)
        if self.rng.random() < 0.5:
            return self._format(500, request)
        return self._format(503, request, not_run=True)

    def _format(self, status: int, request: _Request, *, not_run: bool = False) -> bytes:
        queued = max(0, self.in_progress - SLOTS)
        ran = request.id and not not_run
        stamp = answer_stamp(request.upstream, request.id, status) if ran else ""
        body = answer_body(stamp) if stamp else b""
        lines = [
            f"HTTP/1.1 {status} Status",
            f"Date: {formatdate(usegmt=True)}",
            f"Content-Length: {len(body)}",
            f"X-Heatherhead-Server-Load: {min(self.in_progress, SLOTS)},{queued},{SLOTS},100",
            f"X-Heatherhead-Instance-Id: {request.upstream}",
        ]
        if request.id:
            lines.append(f"X-Heatherhead-Request-Id: {request.id}")
            if self._names_limit():
                lines.append(f"Server-Limit: {NAMED_LIMIT}")
        if not_run:
            lines.append("X-Heatherhead-Not-Executed: 1")
        elif stamp:
            lines.append(f"X-Heatherhead-Server-Stamp: {stamp}")
        if self.state != "ready":
            lines.append("Connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    async def run(self) -> None:
        """Maintain the entries of all starts in the store until the task is cancelled."""
        while True:
            registration = asyncio.create_task(self.register())
            try:
                await self._wait_next_start()
            finally:
                registration.cancel()  # the entry lapses with its lease

    async def _wait_next_start(self) -> None:
        """Wait for the next start, as which the process, its address and connections live on."""
        while True:
            await asyncio.sleep(START_POLL_S)
            if self.state == "ready" and self.start_again():
                return

    def start_again(self) -> bool:
        """Take the id of a later start, if there is one."""
        start = read_start(self.start_path)
        if start is None or start.number == self.start_number:
            return False
        self.id, self.start_number = start.id, start.number
        self.started_unix_ms = int(time.time() * 1000)
        self.limit_named_at = None
        self.log_event(START_ROW)
        return True

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
        spell_path=spell_path(Path(run_log), upstream_id),
        start_path=start_path(Path(run_log), upstream_id),
    )
    if not upstream.start_again():
        upstream.log_event(START_ROW)
    await asyncio.start_server(upstream.serve, host, int(port))
    terminated = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, terminated.set)
    registration = asyncio.create_task(upstream.run())
    await terminated.wait()
    upstream.state = "draining"
    await asyncio.sleep(HEARTBEAT_S + DRAIN_S + EXIT_DELAY_S)
    registration.cancel()
    with suppress(asyncio.CancelledError):
        await registration


def main() -> None:
    """Serve until SIGTERM, then drain and exit."""
    asyncio.run(_main(sys.argv[1:]))


if __name__ == "__main__":
    main()
