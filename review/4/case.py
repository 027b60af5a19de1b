"""Clients leave while their orders take the way over a peer, as their machine can't reach servers."""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

from review.standins.case import configuration, run_case, trouble
from review.standins.clients import Connection, resolve
from review.standins.daemons import Deployment
from review.standins.servers import Server
from review.standins.store import Store

if TYPE_CHECKING:
    from review.standins.daemons import Daemon
    from review.standins.record import Record

HOSTS = "127.35.4"
ZONES = {"rabat-a": "atlantic", "kenitra-b": "atlantic"}
MACHINES = ("rabat-a", "kenitra-b", "rabat-a", "kenitra-b")  # their zones
SERVICE, OTHER_SERVICE = "harvest-lab", "catalogue"
SERVERS = 3
WORK_S = 0.572  # of batch-upload
DEADLINE_S = 15.651
TARGET_S = 2.616
CLIENTS = 32  # each with one request at a time: the same load from the start to the end
LEAVE_SHARE = 0.2
LEAVE_AFTER_S = 0.3
CUT_S = 5.0
PAUSE_S = 5.0
ROUNDS = 4
CONTACT_S = 3.0
WARM_UP_S = 6.0
GONE_S = 0.5
A_FEW = 5  # requests; the rule names no number


class _Cut:
    """The cut between the servers of one service and one machine."""

    def __init__(self, daemon: Daemon) -> None:
        self.daemon = daemon
        self.active = False
        self._of_daemon: dict[int, bool] = {}

    def holds(self, port: int) -> bool:
        """Return whether a connection, by its port, is one of the machine, and cut."""
        if not self.active:
            return False
        if not self._of_daemon.get(port):
            self._of_daemon[port] = port in self.daemon.local_ports()
        return self._of_daemon[port]


async def _client(record: Record, daemon: Daemon, rng: Random, leaving: list[bool]) -> None:
    """Send uploads, each on a new connection, and leave some of them before they are answered."""
    await asyncio.sleep(rng.random())
    while True:
        connection = await Connection(record, daemon).open()
        request_id = connection.send("POST", "/batch/1", DEADLINE_S, b"photo" * 50)
        answer = asyncio.create_task(connection.receive(request_id))
        leaves = leaving[0] and rng.random() < LEAVE_SHARE
        await asyncio.wait([answer], timeout=LEAVE_AFTER_S if leaves else None)
        if not answer.done():
            answer.cancel()
            record.write("client_leaves", id=request_id)
        connection.close()
        await asyncio.sleep(0.02)


def _route(prefix: str, service: str) -> dict[str, object]:
    return {
        "Hostname": "shop.example",
        "Prefix": prefix,
        "RouteType": "upload",
        "TargetLatencyS": TARGET_S,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
    }


async def play(record: Record) -> bool:
    """Return whether no more than a few uploads reached a server long after their client left."""
    store = Store()
    await store.start(f"{HOSTS}.1")
    services = [SERVICE] * SERVERS + [OTHER_SERVICE] * SERVERS
    servers = [
        Server(record, store, f"i-{number}", service, "rabat-a", work_s=WORK_S)
        for number, service in enumerate(services)
    ]
    for server in servers:
        await server.start(f"{HOSTS}.2")
        server.register()
    routes = {"r-batch": _route("/batch/", SERVICE), "r-stock": _route("/stock/", OTHER_SERVICE)}
    store.put("op/config", configuration(7, routes, [SERVICE, OTHER_SERVICE]))
    deployment = Deployment(record, store.address, ZONES)
    for number, zone in enumerate(MACHINES):
        deployment.add(f"edge-{zone}-{number}", f"{HOSTS}.{10 + number}", zone)
    tasks: list[asyncio.Task[None]] = []
    try:
        for daemon in deployment.daemons:
            await daemon.start()
        for daemon in deployment.daemons:
            await daemon.wait_ready()
        await asyncio.sleep(CONTACT_S)
        named = await resolve(record, deployment)
        cut = _Cut(named[0])
        record.write("to_be_cut", daemon=named[0].name)
        for server in servers[:SERVERS]:
            server.is_cut = cut.holds
        leaving = [False]
        tasks = [
            asyncio.create_task(_client(record, named[n % len(named)], Random(n), leaving))
            for n in range(CLIENTS)
        ]
        await asyncio.sleep(WARM_UP_S)
        leaving[0] = True
        for _ in range(ROUNDS):
            cut.active = trouble()
            record.write("cut", active=cut.active)
            await asyncio.sleep(CUT_S)
            cut.active = False
            record.write("cut", active=False)
            await asyncio.sleep(PAUSE_S)
        left_at = {str(fields["id"]): at for at, fields in record.of("client_leaves")}
        late = 0
        for at, fields in record.of("arrives"):
            request_id = str(fields["id"])
            if at > left_at.get(request_id, at) + GONE_S:
                late += 1
                after_s = at - left_at[request_id]
                record.write("late", id=request_id, after_leaving_s=f"{after_s:.3f}")
        record.write("uploads", sent=len(record.of("sent")), left=len(left_at), late=late)
        return late <= A_FEW
    finally:
        for task in tasks:
            task.cancel()
        deployment.end()
        store.stop()
        for server in servers:
            server.stop()


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
