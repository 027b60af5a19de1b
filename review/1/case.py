"""The store cuts waiting watches while servers join and the configuration changes."""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any

from review.standins.case import configuration, run_case, trouble
from review.standins.clients import Connection
from review.standins.daemons import Deployment
from review.standins.servers import Server
from review.standins.store import Store

if TYPE_CHECKING:
    from review.standins.daemons import Daemon
    from review.standins.record import Record

HOSTS = "127.35.1"
ZONES = {"nord-a": "nord", "centre-a": "centre", "centre-b": "centre"}
MACHINES = ("centre-a", "centre-b", "centre-a")  # their zones
LINK_S = 0.02  # one way between two regions; the store stands in nord
PAGE_ITEMS = 50  # as in the site file
SERVERS_PER_SERVICE = 90
SERVICES = ("archives", "registre", "tournees")
JOIN_EVERY = 10  # of the servers, in the order of their keys, one joins in each round
JOIN_WITHIN_S = 0.5
CHANGE_WITHIN_S = 0.4  # of the last cut, at any moment
CONFIG_APPLY_S = 3.0
CONTACT_S = 4.0
MARGIN_S = 0.2  # beyond the bound, in favour of the system
ROUNDS = 18
PAUSE_S = 0.8  # from the removal of the joined servers to the next round
CUTS = 2  # of each round; the daemon's client repeats a call on a new connection once by itself
CUT_PAUSE_S = 0.2
UPLOADS = 2  # to each machine, after the bound of each version
DEADLINE_S = 4.578
SEED = 35


def _configuration(version: int, service: str) -> dict[str, object]:
    """Return a version whose one route goes to a service."""
    route = {
        "Hostname": "shop.example",
        "Prefix": "/sheet/",
        "RouteType": "upload",
        "TimeoutS": 1.0,
        "TargetLatencyS": 0.4,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
    }
    return configuration(version, {"r-sheet": route}, list(SERVICES))


class _Operator:
    """Writes new versions, each of which sends the route to another service."""

    def __init__(self, record: Record, store: Store) -> None:
        self.record = record
        self.store = store
        self.version = 7
        self.service = SERVICES[0]
        self.acked_at = 0.0
        store.on_page = self._on_page

    def write(self) -> None:
        """Write the next version."""
        self.version += 2
        self.service = SERVICES[(SERVICES.index(self.service) + 1) % len(SERVICES)]
        revision = self.store.put("op/config", _configuration(self.version, self.service))
        self.acked_at = self.record.write(
            "config_acked", version=self.version, service=self.service, revision=revision
        )

    def _on_page(self, prefix: str, after: str, answer: dict[str, Any]) -> None:
        if not prefix:
            self.record.write(
                "listing",
                after=after or "-",
                items=len(answer["items"]),
                truncated=answer["Truncated"],
                revision=answer["StoreRevision"],
            )


async def _upload(record: Record, daemon: Daemon) -> str:
    """Send an upload, and return the service that ran it."""
    connection = await Connection(record, daemon).open()
    request_id = connection.send("POST", "/sheet/1", DEADLINE_S, b"photo" * 200)
    answer = await connection.receive(request_id)
    connection.close()
    if answer is None or answer.status != 200:
        return "none"
    return answer.body.decode().split(" ", 1)[0]


async def _join(record: Record, server: Server, delay_s: float) -> None:
    await asyncio.sleep(delay_s)
    record.write("server_joins", server=server.id, revision=server.register())


async def _change(operator: _Operator, delay_s: float) -> None:
    await asyncio.sleep(delay_s)
    operator.write()


async def _round(
    record: Record, operator: _Operator, joining: list[Server], daemons: list[Daemon], rng: Random
) -> int:
    """Return how many uploads, sent after the bound of a version, an older one's service has run."""
    for number in range(CUTS if trouble() else 0):
        await asyncio.sleep(CUT_PAUSE_S if number else 0.0)
        record.write("watches_cut", count=operator.store.cut_waiting_watches())
    await asyncio.gather(
        _change(operator, rng.uniform(0.0, CHANGE_WITHIN_S)),
        *(_join(record, server, rng.uniform(0.0, JOIN_WITHIN_S)) for server in joining),
    )
    bound_at = operator.acked_at + CONFIG_APPLY_S + MARGIN_S
    await asyncio.sleep(bound_at - record.now())
    stale = 0
    for _ in range(UPLOADS):
        for daemon in daemons:
            service = await _upload(record, daemon)
            if service not in (operator.service, "none"):
                stale += 1
                record.write("stale", daemon=daemon.name, run_by=service, wanted=operator.service)
    for server in joining:
        operator.store.remove(server.key)
    await asyncio.sleep(PAUSE_S)
    return stale


async def play(record: Record) -> bool:
    """Return whether no upload sent after a version's bound was run by an older one's service."""
    rng = Random(SEED)
    store = Store(PAGE_ITEMS, LINK_S)
    await store.start(f"{HOSTS}.1")
    servers = []
    for service in SERVICES:
        for number in range(SERVERS_PER_SERVICE):
            server = Server(record, store, f"i-{service}-{number:02}", service, "centre-a")
            await server.start(f"{HOSTS}.2")
            servers.append(server)
    joining = servers[JOIN_EVERY - 1 :: JOIN_EVERY]
    store.put("op/config", _configuration(7, SERVICES[0]))
    for server in servers:
        if server not in joining:
            server.register()
    deployment = Deployment(record, store.address, ZONES)
    for number, zone in enumerate(MACHINES):
        deployment.add(f"edge-{zone}-{number}", f"{HOSTS}.{10 + number}", zone)
    try:
        for daemon in deployment.daemons:
            await daemon.start()
        for daemon in deployment.daemons:
            await daemon.wait_ready()
        await asyncio.sleep(2 * CONTACT_S)
        operator = _Operator(record, store)
        stale = [
            await _round(record, operator, joining, deployment.daemons, rng) for _ in range(ROUNDS)
        ]
        record.write("run_by_an_old_service", rounds=",".join(map(str, stale)))
        return not any(stale)
    finally:
        deployment.end()
        store.stop()
        for server in servers:
            server.stop()


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
