"""Fake upstreams: HTTP servers with a limited number of slots and switchable faults.

Run as `python -m bench.fake_upstream SCRIPT.json`; one process serves all upstreams of the script.
`GET /__health` answers health checks, `GET /__state` returns the upstream's counters,
`POST /__fault` switches its faults, and `POST /__spells` restarts its slow periods.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import sys
from collections import Counter
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

import uvloop
from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["Fault", "SlowPeriods", "UpstreamScript", "main"]

HEALTH_PATH = "/__health"
LOAD_HEADER = "Heatherhead-Load"
NOT_RUN_HEADER = "Heatherhead-Not-Run"
RUN_ID_HEADER = "Heatherhead-Bench-Run"
CRASH_HEADER = "Heatherhead-Bench-Crash"
COLD_SLOWDOWN_FACTOR = 5.0
COLD_START_CALLS = 200
MISREPORTED_IN_FLIGHT = 0
REQUEST_BODY_LIMIT_BYTES = 4 * 1024**3
READ_CHUNK_BYTES = 256 * 1024
MAX_RUN_IDS = 1_000_000


@dataclass(slots=True)
class Fault:
    """The faults of an upstream; each can be switched while it runs.

    `lying` reports no load in `Heatherhead-Load`; `lying_health` inverts the health status.
    """

    fail_fast: bool = False
    draining: bool = False
    lying: bool = False
    cold: bool = False
    shedding: bool = False
    stalled: bool = False
    lying_health: bool = False


@dataclass(slots=True)
class UpstreamScript:
    """One fake upstream and its slow periods.

    Slow periods last `slow_s` seconds, in which calls take `slow_factor` times as long. They start
    at random, on average `slow_every_s` seconds apart, from a generator seeded with `seed`; 0 means
    none. See `SlowPeriods` for `epoch`. The id of each run is appended to the file `run_log` before
    the run starts, so that it survives a kill of the process.
    """

    port: int
    host: str = "127.0.0.1"
    slots: int = 4
    service_s: float = 0.010
    answer_bytes: int = 1024
    slow_every_s: float = 0.0
    slow_s: float = 0.2
    slow_factor: float = 10.0
    seed: int = 1
    epoch: float = 0.0
    run_log: str = ""
    fault: Fault = field(default_factory=Fault)


class SlowPeriods:
    """Periods in which an upstream is slower by a factor, from a seeded generator.

    The same seed and `epoch` (a time on the machine's monotonic clock) give the same periods in
    every process. Without an epoch, the first call of `slowdown_at` sets it.
    """

    def __init__(
        self, every_s: float, period_s: float, factor: float, seed: int, epoch: float = 0.0
    ) -> None:
        self._every_s = every_s
        self._period_s = period_s
        self._slowdown = factor
        self._random = random.Random(seed)
        self._slow_until = 0.0
        self._next_start_at = (
            epoch + self._random.expovariate(1 / every_s) if epoch and every_s else 0.0
        )

    def slowdown_at(self, now: float) -> float:
        """Return the slowdown of a call that starts at `now`, which must never decrease."""
        if self._every_s <= 0:
            return 1.0
        if self._next_start_at == 0.0:
            self._next_start_at = now + self._random.expovariate(1 / self._every_s)
        while now >= self._next_start_at:
            self._slow_until = self._next_start_at + self._period_s
            self._next_start_at = self._slow_until + self._random.expovariate(1 / self._every_s)
        return self._slowdown if now < self._slow_until else 1.0


class FakeUpstream:
    """Serves calls in its slots in order of arrival, more slowly in its slow periods."""

    def __init__(self, script: UpstreamScript) -> None:
        self.script = script
        self.fault = script.fault
        self.calls = 0
        self.cancelled = 0
        self.refused = 0
        self.health_checks = 0
        self.in_flight = 0
        self.in_flight_max = 0
        self.runs_by_id: Counter[str] = Counter()
        self.answered_by_id: Counter[str] = Counter()
        self._run_log = (
            os.open(script.run_log, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
            if script.run_log
            else None
        )
        self._slots = asyncio.Semaphore(script.slots)
        self._slow_periods = self._create_slow_periods()
        self._body = b"x" * script.answer_bytes

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        if request.path == "/__state":
            return web.json_response(self.state())
        if request.path == "/__fault":
            return await self._switch_fault(request)
        if request.path == "/__spells":
            return await self._restart_slow_periods(request)
        if request.path == HEALTH_PATH:
            return await self._health()
        if self.fault.draining or self.fault.shedding:
            self.refused += 1
            return self._refusal()
        if self.fault.fail_fast:
            return web.Response(status=500, text="failing fast")
        return await self._run_call(request)

    def state(self) -> dict[str, object]:
        """Return the counters and faults of this upstream."""
        return {
            "port": self.script.port,
            "calls": self.calls,
            "cancelled": self.cancelled,
            "refused": self.refused,
            "health_checks": self.health_checks,
            "in_flight": self.in_flight,
            "in_flight_max": self.in_flight_max,
            "fault": asdict(self.fault),
            "runs_by_id": dict(self.runs_by_id),
        }

    def service_s(self, now: float) -> float:
        """Return the service time in seconds of a call that starts at `now`."""
        factor = self._slow_periods.slowdown_at(now)
        if self.fault.cold and self.calls < COLD_START_CALLS:
            factor *= COLD_SLOWDOWN_FACTOR
        return self.script.service_s * factor

    async def _health(self) -> web.Response:
        """Answer a health check: 503 while draining; `lying_health` inverts the status."""
        self.health_checks += 1
        while self.fault.stalled:
            await asyncio.sleep(0.01)
        is_healthy = self.fault.draining == self.fault.lying_health
        return web.Response(
            status=200 if is_healthy else 503, headers={LOAD_HEADER: str(self.in_flight)}
        )

    async def _run_call(self, request: web.BaseRequest) -> web.StreamResponse:
        self.in_flight += 1
        self.in_flight_max = max(self.in_flight_max, self.in_flight)
        try:
            async with self._slots:
                return await self._run_in_slot(request)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.in_flight -= 1

    async def _run_in_slot(self, request: web.BaseRequest) -> web.StreamResponse:
        self.calls += 1
        run_id = request.headers.get(RUN_ID_HEADER)
        if run_id and len(self.runs_by_id) < MAX_RUN_IDS:
            self.runs_by_id[run_id] += 1
            if self._run_log is not None:
                os.write(self._run_log, f"{run_id}\n".encode())
        if CRASH_HEADER in request.headers:
            os._exit(1)
        received = await _read_body(request)
        await asyncio.sleep(self.service_s(asyncio.get_running_loop().time()))
        while self.fault.stalled:
            await asyncio.sleep(0.01)
        return self._answer(run_id, received)

    def _answer(self, run_id: str | None, received: int) -> web.Response:
        headers = {LOAD_HEADER: str(MISREPORTED_IN_FLIGHT if self.fault.lying else self.in_flight)}
        if received:
            headers["Heatherhead-Bench-Received"] = str(received)
        if run_id:
            headers[RUN_ID_HEADER] = run_id
        if self.fault.draining:
            headers["Connection"] = "close"
        return web.Response(body=self._body, headers=headers)

    def _refusal(self) -> web.Response:
        headers = {NOT_RUN_HEADER: "true"}
        if self.fault.draining:
            headers["Connection"] = "close"
        return web.Response(status=503, headers=headers, text="not run")

    def _create_slow_periods(self) -> SlowPeriods:
        script = self.script
        return SlowPeriods(
            script.slow_every_s, script.slow_s, script.slow_factor, script.seed, script.epoch
        )

    async def _restart_slow_periods(self, request: web.BaseRequest) -> web.Response:
        changes: Mapping[str, float] = json.loads(await request.read())
        self.script.epoch = changes["epoch"]
        self.script.slow_every_s = changes["slow_every_s"]
        self._slow_periods = self._create_slow_periods()
        self.calls = 0
        self.cancelled = 0
        return web.json_response({})

    async def _switch_fault(self, request: web.BaseRequest) -> web.Response:
        changes: Mapping[str, bool] = json.loads(await request.read())
        for name, value in changes.items():
            setattr(self.fault, name, bool(value))
        return web.json_response(asdict(self.fault))


async def _read_body(request: web.BaseRequest) -> int:
    received = 0
    if request.body_exists:
        async for chunk in request.content.iter_chunked(READ_CHUNK_BYTES):
            received += len(chunk)
    return received


def _load_script(path: str) -> list[UpstreamScript]:
    document = json.loads(Path(path).read_text(encoding="utf-8"))
    return [
        UpstreamScript(**{**each, "fault": Fault(**each.get("fault", {}))}) for each in document
    ]


async def _serve(scripts: list[UpstreamScript]) -> None:
    runners = []
    for script in scripts:
        server = web.Server(FakeUpstream(script).handle, handler_cancellation=True)
        runner = web.ServerRunner(server)
        await runner.setup()
        await web.TCPSite(runner, script.host, script.port, backlog=1024).start()
        runners.append(runner)
    print("ready", flush=True)
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    await stopped.wait()
    for runner in runners:
        await runner.cleanup()


def main() -> None:
    """Serve the upstreams of the script named on the command line until SIGTERM."""
    uvloop.run(_serve(_load_script(sys.argv[1])))


if __name__ == "__main__":
    main()
