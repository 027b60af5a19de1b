"""Measures the operators' interface of one instance at full size, and how it delays calls.

Usage: python -m bench.operators

An instance with 510 services and 10,000 upstreams runs in this process, its client in another one.
For each request it measures the time until the reply, and the longest time for which the request
blocked the instance's event loop, which also serves the calls. The last line is the result.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import sys
import time
from typing import TYPE_CHECKING, Any

from bench.fleet import rss_mb, save_result
from heatherhead.assembly import create_assembly
from heatherhead.commands.output import Output
from heatherhead.commands.paging import read_pages
from heatherhead.commands.session import Session
from heatherhead.configuration.schema import ServiceSchema
from heatherhead.membership.interface import Address
from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.client import create_operators_client
from heatherhead.operators.heatherhead_grpc import (
    ConfigurationStub,
    HistogramsStub,
    ServicesStub,
    UpstreamsStub,
)
from heatherhead.operators.messages import message_of_schema
from heatherhead.runtime import create_loop, tune_garbage_collector
from heatherhead.settings import parse_settings
from heatherhead.settings.telemetry import TelemetrySettings
from heatherhead.telemetry import CallOutcome, HistogramKind
from heatherhead.telemetry.recorder import create_telemetry

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from heatherhead.assembly import Assembly
    from heatherhead.operators.client import OperatorsClient

SERVICES = 510
UPSTREAMS = 10_000
LARGE_SERVICE_UPSTREAMS = 2_000
PAIRS_WITH_SAMPLES = 20
REQUEST_REPEATS = 5
LAG_PROBE_INTERVAL_S = 0.0005
RECORDS = 200_000
MILLISECONDS = 1000


def service_document(name: str, upstreams: int, queue_limit: int = 512) -> dict[str, Any]:
    """Return a service document with upstreams in six zones."""
    return {
        "name": name,
        "hosts": [f"{name}.example"],
        "queue_limit": queue_limit,
        "upstreams": [
            {
                "id": f"u{number}",
                "host": f"10.{number // 250}.{number % 250}.1",
                "port": 9000,
                "region": f"region-{number % 3}",
                "availability_zone": f"zone-{number % 6}",
            }
            for number in range(upstreams)
        ],
    }


class LoopLagProbe:
    """Measures the longest lag of the running event loop."""

    def __init__(self) -> None:
        self.max_lag_s = 0.0

    async def run(self) -> None:
        """Probe the lag until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + LAG_PROBE_INTERVAL_S
            await asyncio.sleep(LAG_PROBE_INTERVAL_S)
            self.max_lag_s = max(self.max_lag_s, loop.time() - due_at)


async def serve() -> dict[str, Any]:
    """Run the instance and its client, and collect the figures of each request."""
    any_port = {"listen": {"port": 0}}
    settings = parse_settings(
        json.dumps({"callers": any_port, "operators": any_port, "membership": any_port})
    )
    assembly = create_assembly(settings)
    await assembly.start()
    await _load_services(assembly)
    lag_probe = LoopLagProbe()
    ticking = asyncio.create_task(lag_probe.run())
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bench.operators",
        str(assembly.operators.address.port),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    assert child.stdin is not None
    assert child.stdout is not None
    result: dict[str, Any] = {}
    for name in REQUEST_BY_NAME:
        lag_probe.max_lag_s = 0.0
        child.stdin.write(f"{name}\n".encode())
        reply_ms = json.loads(await child.stdout.readline())
        result[f"{name}_ms"] = reply_ms
        result[f"{name}_holds_loop_ms"] = round(lag_probe.max_lag_s * MILLISECONDS, 2)
    lag_probe.max_lag_s = 0.0
    await asyncio.sleep(2)
    result["idle_holds_loop_ms"] = round(lag_probe.max_lag_s * MILLISECONDS, 2)
    result["rss_mb"] = round(rss_mb(os.getpid()), 1)
    child.stdin.close()
    await child.wait()
    ticking.cancel()
    await assembly.leave()
    await assembly.stop()
    return result


async def _load_services(assembly: Assembly) -> None:
    each = UPSTREAMS // SERVICES
    for number in range(SERVICES):
        document = service_document(f"service-{number:03}", each)
        schema = ServiceSchema.model_validate(document)
        (await assembly.configuration.put(schema, 0, f"fill-{number}")).unwrap()
    generator = random.Random(1)
    for number in range(PAIRS_WITH_SAMPLES):
        for kind in HistogramKind:
            for _ in range(1000):
                value = generator.expovariate(500)
                assembly.telemetry.observe(f"service-{number:03}", "default", kind, value)


async def _list_services(session: Session) -> None:
    request = pb.ListServicesRequest()
    async for _ in read_pages(session, request, lambda channel: ServicesStub(channel).List):
        pass


async def _list_upstreams(session: Session) -> None:
    request = pb.ListUpstreamsRequest()
    async for _ in read_pages(session, request, lambda channel: UpstreamsStub(channel).List):
        pass


async def _list_histograms(session: Session) -> None:
    request = pb.ListHistogramsRequest(encoded=True)
    async for _ in read_pages(session, request, lambda channel: HistogramsStub(channel).List):
        pass


async def _status(session: Session) -> None:
    await session.client.read(
        lambda channel, _: ConfigurationStub(channel).Status(pb.StatusRequest())
    )


async def _put_usual(session: Session) -> None:
    await _put(session.client, service_document("service-007", 20, _any_limit()))


async def _put_large(session: Session) -> None:
    await _put(session.client, service_document("large", LARGE_SERVICE_UPSTREAMS, _any_limit()))


def _any_limit() -> int:
    return random.randrange(1, 100_000)


async def _put(client: OperatorsClient, document: dict[str, Any]) -> None:
    name = document["name"]
    listed = await client.read(
        lambda channel, _: ServicesStub(channel).List(pb.ListServicesRequest())
    )
    revisions = {each.name: each.revision for each in listed.services}
    request = pb.PutServiceRequest(
        service=message_of_schema(ServiceSchema.model_validate(document)),
        expected_revision=revisions.get(name, 0),
        change_id=f"bench-{random.getrandbits(64):x}",
    )
    await client.change(request.change_id, lambda channel, _: ServicesStub(channel).Put(request))


REQUEST_BY_NAME: dict[str, Callable[[Session], Awaitable[None]]] = {
    "list_services": _list_services,
    "list_upstreams": _list_upstreams,
    "list_histograms": _list_histograms,
    "status": _status,
    "put_usual": _put_usual,
    "put_large": _put_large,
}


async def run_client(port: int) -> None:
    """Send the requests named on standard input and print the median time in ms of each."""
    client = create_operators_client([Address("127.0.0.1", port)])
    session = Session(client, Output(sys.stdout, sys.stderr, as_json=True), sys.stdin)
    for line in sys.stdin:
        times_ms = []
        for _ in range(REQUEST_REPEATS):
            began = time.perf_counter()
            await REQUEST_BY_NAME[line.strip()](session)
            times_ms.append((time.perf_counter() - began) * MILLISECONDS)
        sys.stdout.write(f"{sorted(times_ms)[REQUEST_REPEATS // 2]:.2f}\n")
        sys.stdout.flush()
    client.close()


def record_cost_us() -> dict[str, float]:
    """Return the time to record one observation and one outcome, in microseconds."""
    telemetry = create_telemetry(TelemetrySettings())
    generator = random.Random(1)
    values = [generator.expovariate(1250) for _ in range(RECORDS)]
    began = time.perf_counter()
    for value in values:
        telemetry.observe("orders", "default", HistogramKind.ADDED, value)
    observed = time.perf_counter()
    for _ in values:
        telemetry.count_outcome("orders", "default", CallOutcome.ANSWERED)
    counted = time.perf_counter()
    scale = 1_000_000 / RECORDS
    return {
        "observe_us": round((observed - began) * scale, 3),
        "count_outcome_us": round((counted - observed) * scale, 3),
    }


def main() -> None:
    """Run the measurement, or its client if a port is given."""
    with asyncio.Runner(loop_factory=create_loop) as runner:
        if len(sys.argv) > 1:
            runner.run(run_client(int(sys.argv[1])))
            return
        tune_garbage_collector()
        result = runner.run(serve())
    save_result("operators", {**record_cost_us(), **result})


if __name__ == "__main__":
    main()
