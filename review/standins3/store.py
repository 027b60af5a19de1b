"""The platform's store of PROTOCOL.md, in memory."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import time
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from standins3.wire import BrokenMessageError, Message, read_request

PAGE = 500


@dataclass
class Item:
    """A key's value."""

    key: str
    value: bytes
    revision: int
    created: int
    lease: int

    def row(self) -> dict[str, Any]:
        """Return the item as the store answers it."""
        return {
            "Key": self.key,
            "Value": base64.b64encode(self.value).decode(),
            "Revision": self.revision,
            "Created": self.created,
            "LeaseId": self.lease,
        }


class Store:
    """Serves one address; `up` set to False closes each connection unanswered."""

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self.revision = 100
        self.items: dict[str, Item] = {}
        self.events: list[tuple[int, str, dict[str, Any]]] = []
        self.leases: dict[int, tuple[float, float]] = {}  # the time to live, and its end
        self.changed = asyncio.Event()
        self.up = True
        self.delay_s = 0.004
        self._numbers = 7000
        self._tasks: list[asyncio.Task[None]] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)
        self._tasks.append(asyncio.create_task(self._expire()))

    async def stop(self) -> None:
        """Stop listening."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()

    def put(self, key: str, document: Any, lease: int = 0) -> int:
        """Write a document; returns the revision."""
        value = document if isinstance(document, bytes) else json.dumps(document).encode()
        return self._write([(key, value, lease)], [])

    def remove(self, key: str) -> None:
        """Remove a key."""
        if key in self.items:
            self._write([], [key])

    def _write(self, writes: list[tuple[str, bytes, int]], removals: list[str]) -> int:
        self.revision += 1
        for key, value, lease in writes:
            held = self.items.get(key)
            created = held.created if held else self.revision
            item = self.items[key] = Item(key, value, self.revision, created, lease)
            self.events.append((self.revision, key, item.row()))
        for key in removals:
            if self.items.pop(key, None) is not None:
                row = {"Key": key, "Revision": self.revision, "Removed": True}
                self.events.append((self.revision, key, row))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease in [each for each, (_, end) in self.leases.items() if end < now]:
                self._end(lease)

    def _end(self, lease: int) -> None:
        del self.leases[lease]
        keys = [key for key, item in self.items.items() if item.lease == lease]
        if keys:
            self._write([], keys)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while self.up and (request := await read_request(reader)) is not None:
                status, body = await self._answer(request)
                if not self.up:
                    return
                data = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (OSError, BrokenMessageError, asyncio.CancelledError):
            pass
        finally:
            with contextlib.suppress(Exception):
                writer.close()

    async def _answer(self, request: Message) -> tuple[int, dict[str, Any]]:
        await asyncio.sleep(self.delay_s)
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        body = json.loads(request.body) if request.body else {}
        path = url.path
        if path == "/kv-key":
            item = self.items.get(query["Key"])
            if item is None:
                return 404, {"StoreRevision": self.revision}
            return 200, {**item.row(), "StoreRevision": self.revision}
        if path == "/kv-range":
            return self._range(query)
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._transact(body)
        if path == "/kv-lease":
            self._numbers += 1
            ttl = max(1.0, float(body["TtlS_time"]))
            self.leases[self._numbers] = (ttl, time.monotonic() + ttl)
            return 200, {"LeaseId": self._numbers, "TtlS_time": ttl}
        lease = int(unquote(path).rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/kv-keep/"):
            ttl, _ = self.leases[lease]
            self.leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, {"LeaseId": lease, "TtlS_time": ttl}
        self._end(lease)
        return 200, {}

    def _range(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        prefix, after = query.get("Prefix", ""), query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        rows = [self.items[key].row() for key in keys[:PAGE]]
        truncated = len(keys) > PAGE
        return 200, {"items": rows, "Truncated": truncated, "StoreRevision": self.revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        prefix, after = query.get("Prefix", ""), int(query["after"])
        end = time.monotonic() + int(query["WaitMs"]) / 1000
        while True:
            changed = self.changed
            rows = [row for at, key, row in self.events if at > after and key.startswith(prefix)]
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, {"events": rows, "StoreRevision": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        expected = body.get("ExpectedRev", [])
        for row in expected:
            held = self.items.get(row["Key"])
            if (held.revision if held else 0) != row["Revision"]:
                items = [
                    (
                        self.items[each["Key"]].row()
                        if each["Key"] in self.items
                        else {"Key": each["Key"], "Revision": 0}
                    )
                    for each in expected
                ]
                return 412, {"items": items, "StoreRevision": self.revision}
        writes = [
            (each["Key"], base64.b64decode(each["Value"]), each.get("LeaseId", 0))
            for each in body.get("Writes", [])
        ]
        if any(lease and lease not in self.leases for _, _, lease in writes):
            return 404, {}
        revision = self._write(writes, list(body.get("Remove", [])))
        return 200, {"Revision": revision, "StoreRevision": self.revision}
