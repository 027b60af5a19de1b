"""A machine is stopped by SIGTERM while clients have sent several requests on a connection."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import TYPE_CHECKING

from review.standins.case import configuration, run_case, trouble
from review.standins.clients import Connection
from review.standins.daemons import Deployment
from review.standins.servers import Server
from review.standins.store import Store

if TYPE_CHECKING:
    from review.standins.daemons import Daemon
    from review.standins.record import Record

HOSTS = "127.35.2"
ZONES = {"rabat-a": "atlantic"}
SERVICE = "harvest-lab"
SERVERS = 6
WORK_S = 0.24  # of assay-read
DEADLINE_S = 5.0
TIMEOUT_S = 2.5
CLIENTS = 8
SEND_EVERY_S = 0.1  # of one client: a request is sent before the answer to the last one
CONTACT_S = 3.0
TRAFFIC_S = 4.0
GRACE_S = 6.0
LATEST_COUNTED_S = 2.0  # after the SIGTERM; all work of these ends long before `GRACE_S`


class _Client:
    """Sends idempotent requests on one connection and reads the answers in their order."""

    def __init__(self, record: Record, daemon: Daemon) -> None:
        self.record = record
        self.daemon = daemon
        self.unanswered: list[str] = []
        self.closing = False

    async def run(self, until: float) -> None:
        """Send until a time of the record, or until the connection ends; then await the answers."""
        connection = await Connection(self.record, self.daemon).open()
        reading = asyncio.create_task(self._read(connection))
        while self.record.now() < until and not reading.done() and not self.closing:
            self.unanswered.append(connection.send("GET", "/assay/7", DEADLINE_S))
            await asyncio.sleep(SEND_EVERY_S)
        while self.unanswered and not reading.done():
            await asyncio.sleep(0.02)
        reading.cancel()
        connection.close()

    async def _read(self, connection: Connection) -> None:
        while True:
            while not self.unanswered:
                await asyncio.sleep(0.002)
            answer = await connection.receive(self.unanswered[0])
            if answer is None:
                return
            self.unanswered.pop(0)
            self.closing = answer.headers.get("connection") == "close"


async def play(record: Record) -> bool:
    """Return whether each request that was passed on to a server was answered."""
    store = Store()
    await store.start(f"{HOSTS}.1")
    servers = [
        Server(record, store, f"i-{number}", SERVICE, "rabat-a", work_s=WORK_S)
        for number in range(SERVERS)
    ]
    for server in servers:
        await server.start(f"{HOSTS}.2")
        server.register()
    route = {
        "Hostname": "shop.example",
        "Prefix": "/assay/",
        "RouteType": "idempotent",
        "TimeoutS": TIMEOUT_S,
        "TargetLatencyS": 0.6,
        "Priority": 2,
        "Service": SERVICE,
        "MaxAttempts": 2,
    }
    store.put("op/config", configuration(7, {"r-assay": route}, [SERVICE]))
    deployment = Deployment(record, store.address, ZONES)
    daemon = deployment.add("edge-rabat-a-1", f"{HOSTS}.10", "rabat-a")
    try:
        await daemon.start()
        await daemon.wait_ready()
        await asyncio.sleep(CONTACT_S)
        clients = [_Client(record, daemon) for _ in range(CLIENTS)]
        until = record.now() + TRAFFIC_S
        tasks = [asyncio.create_task(each.run(until)) for each in clients]
        await asyncio.sleep(TRAFFIC_S / 2)
        stopped_at = record.now()
        if trouble():
            daemon.signal(signal.SIGTERM)
        await asyncio.gather(*tasks)
        sent_at = {str(fields["id"]): at for at, fields in record.of("sent")}
        passed_on = {str(fields["id"]) for _, fields in record.of("arrives")}
        lost = [
            each
            for client in clients
            for each in client.unanswered
            if each in passed_on and sent_at[each] < stopped_at + LATEST_COUNTED_S
        ]
        for each in lost:
            record.write("lost", id=each, sent_at=f"{sent_at[each]:.3f}")
        record.write("requests", sent=len(sent_at), passed_on=len(passed_on), lost=len(lost))
        return not lost
    finally:
        deployment.end()
        store.stop()
        for server in servers:
            server.stop()


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
