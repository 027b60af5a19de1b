"""A daemon with an additional port for observing its control traffic and injecting faults.

Usage: python -m bench.control_daemon SETTINGS ADMIN_PORT
"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING, Any

from aiohttp import web
from result import Err

from heatherhead.assembly import create_assembly
from heatherhead.configuration.schema import ServiceSchema
from heatherhead.membership.interface import InstanceState, Traffic
from heatherhead.membership.member_messages import Heartbeat, Ping, Pong
from heatherhead.membership.messages import encode
from heatherhead.runtime import create_loop
from heatherhead.settings import load_settings
from heatherhead.telemetry.logs import configure_logs

if TYPE_CHECKING:
    from heatherhead.assembly import Assembly
    from heatherhead.configuration.model import ServiceRecord

UNREACHABLE_URL = "http://127.0.0.1:9"


@dataclass(slots=True)
class Observations:
    """Changes that a daemon has observed, with times of the machine's monotonic clock."""

    in_force: list[tuple[str, int, float]] = field(default_factory=list)
    reverts: int = 0
    states: list[tuple[str, str, float]] = field(default_factory=list)


class Probe:
    """Observes one daemon and injects faults into its peer streams."""

    def __init__(self, assembly: Assembly) -> None:
        self.observations = Observations()
        self.unreachable_ids: set[str] = set()
        self.heartbeat_loss = 0.0
        self.bytes_by_type: Counter[str] = Counter()
        self._assembly = assembly
        self._random = Random(assembly.settings.instance.id)
        self._revision_by_name: dict[str, int] = {}
        self._urls: list[str] = []
        assembly.replica.subscribe(self._on_record)
        assembly.membership.table.subscribe(self._on_member)
        self._inject_stream_faults(assembly.membership.network)

    def _on_record(self, record: ServiceRecord) -> None:
        known_revision = self._revision_by_name.get(record.name, 0)
        self.observations.reverts += record.revision <= known_revision
        self._revision_by_name[record.name] = record.revision
        now = asyncio.get_running_loop().time()
        self.observations.in_force.append((record.name, record.revision, now))

    def _on_member(self, member: Any) -> None:
        now = asyncio.get_running_loop().time()
        self.observations.states.append((member.id, member.state.value, now))

    def _inject_stream_faults(self, network: Any) -> None:
        """Drop heartbeats at the loss rate, and everything to instances cut off by a partition."""
        send, add = network.send, network._add_connection

        def faulty_send(instance_id: str, message: object, traffic: Traffic) -> bool:
            is_heartbeat = isinstance(message, Heartbeat | Ping | Pong)
            is_lost = is_heartbeat and self._random.random() < self.heartbeat_loss
            if is_lost or instance_id in self.unreachable_ids:
                return True
            is_sent = send(instance_id, message, traffic)
            if is_sent:
                self.bytes_by_type[type(message).__name__] += len(encode(message))
            return is_sent

        def faulty_add(connection: Any) -> None:
            if connection.peer.id in self.unreachable_ids:
                connection.abort()
            else:
                add(connection)

        network.send, network._add_connection = faulty_send, faulty_add
        network._dialer._on_connected = faulty_add

    async def set_partition(self, ids: set[str], *, is_store_cut: bool) -> None:
        """Cut this instance off from these instances, and from the store if `is_store_cut`."""
        self.unreachable_ids = ids
        gateway = self._assembly.store._gateway
        self._urls = self._urls or list(gateway._urls)
        gateway._urls = [UNREACHABLE_URL] if is_store_cut else list(self._urls)
        if is_store_cut:
            await gateway.close()
            gateway._session = None


def _admin(assembly: Assembly, probe: Probe) -> web.Application:
    configuration, membership = assembly.configuration, assembly.membership

    async def stats(_: web.Request) -> web.Response:
        budget = membership.network.budget
        control = sum(size for link, size in budget.sent.items() if link[0] is Traffic.CONTROL)
        document = {
            "ready": configuration.ready.is_set(),
            "applied": configuration.table.applied,
            "heard_of": configuration.table.reported_revision,
            "neighbours": membership.network.neighbours(),
            "compared_with": sorted(configuration._dissemination.digest_by_peer),
            "is_watching": configuration.is_watching,
            "services": len(assembly.replica.by_name),
            "live": len(membership.view.live()),
            "is_live": membership.view.own.state is InstanceState.LIVE,
            "links": len(membership.network.connected_ids()),
            "control_bytes": control,
            "received_bytes": sum(budget.received.values()),
            "refused_bytes": sum(budget.refused.values()),
            "bytes_by_type": probe.bytes_by_type,
            "reverts": probe.observations.reverts,
        }
        return web.json_response(document)

    async def seen(_: web.Request) -> web.Response:
        document = {"in_force": probe.observations.in_force, "states": probe.observations.states}
        probe.observations.in_force, probe.observations.states = [], []
        return web.json_response(document)

    async def put(request: web.Request) -> web.Response:
        body = await request.json()
        loop = asyncio.get_running_loop()
        requested_at = loop.time()
        schema = ServiceSchema.model_validate(body["service"])
        answer = await configuration.put(schema, body["expected_revision"], body["change_id"])
        if isinstance(answer, Err):
            return web.json_response({"error": str(answer.err_value)}, status=409)
        document = {"revision": answer.ok_value.revision, "asked_at": requested_at}
        return web.json_response({**document, "accepted_at": loop.time()})

    async def missing(request: web.Request) -> web.Response:
        return web.json_response(configuration.missing(int(request.query["revision"])))

    async def faults(request: web.Request) -> web.Response:
        body = await request.json()
        probe.heartbeat_loss = body.get("heartbeat_loss", probe.heartbeat_loss)
        if body.get("without_routing"):
            for name in assembly.replica.by_name:
                assembly.router.update_service(name, None)
        if "cut" in body:
            await probe.set_partition(set(body["cut"]), is_store_cut=body["is_store_cut"])
        return web.json_response({})

    app = web.Application(client_max_size=4 * 1024 * 1024)
    app.router.add_get("/stats", stats)
    app.router.add_get("/seen", seen)
    app.router.add_get("/missing", missing)
    app.router.add_post("/put", put)
    app.router.add_post("/faults", faults)
    return app


async def _run(settings_path: str, admin_port: int) -> None:
    assembly = create_assembly(load_settings(settings_path))
    probe = Probe(assembly)
    await assembly.start()
    runner = web.AppRunner(_admin(assembly, probe), handle_signals=False)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", admin_port).start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    configure_logs("INFO")
    loop = create_loop()
    asyncio.set_event_loop(loop)
    loop.run_until_complete(_run(sys.argv[1], int(sys.argv[2])))
