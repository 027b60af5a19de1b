"""A stand-in for clients: one connection to a daemon, with its requests and answers recorded."""

from __future__ import annotations

import asyncio
import json
import secrets
from typing import TYPE_CHECKING

from review.standins.wire import Message, read_message, request_bytes

if TYPE_CHECKING:
    from review.standins.daemons import Daemon, Deployment
    from review.standins.record import Record

HOST_NAME = "shop.example"


class Connection:
    """One connection of a client to the front of a daemon."""

    def __init__(self, record: Record, daemon: Daemon) -> None:
        self.record = record
        self.daemon = daemon
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def open(self) -> Connection:
        """Open the connection."""
        self.reader, self.writer = await asyncio.open_connection(
            self.daemon.host, self.daemon.port_by_listener["Front"]
        )
        return self

    def send(
        self, method: str, target: str, deadline_s: float, body: bytes = b"", request_id: str = ""
    ) -> str:
        """Send a request, and return its id."""
        request_id = request_id or secrets.token_hex(8)
        headers = {
            "Host": HOST_NAME,
            "X-Heatherhead-Request-Id": request_id,
            "X-Heatherhead-Deadline-Ms": str(int(deadline_s * 1000)),
        }
        self.writer.write(request_bytes(method, target, headers, body))
        self.record.write("sent", id=request_id, daemon=self.daemon.name, target=target)
        return request_id

    async def receive(self, request_id: str) -> Message | None:
        """Read the next answer and record it, `None` if the connection ends first."""
        try:
            answer = await read_message(self.reader)
        except (asyncio.IncompleteReadError, OSError) as error:
            self.record.write("no_answer", id=request_id, end=type(error).__name__)
            return None
        self.record.write(
            "answered",
            id=request_id,
            status=answer.status,
            stamp=answer.headers.get("x-heatherhead-server-stamp", "-"),
            echoed=answer.headers.get("x-heatherhead-request-id", "-"),
        )
        return answer

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


async def resolve(record: Record, deployment: Deployment) -> list[Daemon]:
    """Ask the first machine where to connect, and return the machines that it names."""
    asked = deployment.daemons[0]
    reader, writer = await asyncio.open_connection(asked.host, asked.port_by_listener["Directory"])
    region = deployment.zones[asked.zone]
    target = f"/resolve?Name={HOST_NAME}&Region={region}&Zone={asked.zone}"
    writer.write(request_bytes("GET", target, {"Host": asked.host}))
    addresses = json.loads((await read_message(reader)).body)["Addresses"]
    writer.close()
    record.write("resolved", addresses=",".join(addresses))
    hosts = [each.rpartition(":")[0] for each in addresses]
    return [each for each in deployment.daemons if each.host in hosts]
