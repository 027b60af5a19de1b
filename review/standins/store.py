"""A stand-in for the platform's store: items, pages, watches, transactions and leases.

It is linearizable and answers each call after `answer_s`, 4 ms as the users' pages say. All of its
callers are `link_s` away, one way.
"""

from __future__ import annotations

import asyncio
import base64
import json
from contextlib import suppress
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, urlsplit

from review.standins.wire import Message, answer_bytes, read_message

if TYPE_CHECKING:
    from collections.abc import Callable

ANSWER_S = 0.004
PAGE_ITEMS = 500


class Store:
    """All keys in memory; nothing that was acknowledged is lost."""

    def __init__(self, page_items: int = PAGE_ITEMS, link_s: float = 0.0) -> None:
        self.page_items = page_items
        self.answer_s = ANSWER_S
        self.link_s = link_s
        self.revision = 100
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.expiry_by_lease: dict[int, tuple[float, float]] = {}
        self.last_lease = 7000
        # Called with the prefix, the `after` and the answer of each listing, once it is taken.
        self.on_page: Callable[[str, str, dict[str, Any]], None] = lambda *_: None
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()
        self._waiting: set[asyncio.StreamWriter] = set()
        self._expiry: asyncio.Task[None] | None = None
        self.address = ""

    async def start(self, host: str) -> None:
        """Listen on a free port of a loopback address."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"
        self._expiry = asyncio.create_task(self._expire())

    def stop(self) -> None:
        """Close all connections."""
        if self._expiry is not None:
            self._expiry.cancel()
        if self._server is not None:
            self._server.close()
        for writer in self._connections:
            writer.close()

    def cut_waiting_watches(self) -> int:
        """Cut the watches that wait, as the store may do at any time; return how many."""
        waiting = list(self._waiting)
        for writer in waiting:
            writer.transport.abort()
        return len(waiting)

    def put(self, key: str, document: Any, lease: int = 0) -> int:
        """Write a JSON document, and return the revision: the store's acknowledgement."""
        return self._write(key, base64.b64encode(json.dumps(document).encode()).decode(), lease)

    def _write(self, key: str, value: str, lease: int) -> int:
        self.revision += 1
        created = self.items.get(key, {}).get("Created", self.revision)
        item = {"Key": key, "Value": value, "Revision": self.revision}
        self.items[key] = {**item, "Created": created, "LeaseId": lease}
        self._record(dict(self.items[key]))
        return self.revision

    def remove(self, key: str) -> int:
        """Remove a key, and return the revision."""
        self.revision += 1
        del self.items[key]
        self._record({"Key": key, "Revision": self.revision, "Removed": True})
        return self.revision

    def _record(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = asyncio.get_running_loop().time()
            for lease in [each for each, (_, at) in self.expiry_by_lease.items() if at <= now]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self.expiry_by_lease[lease]
        for key in [key for key, item in self.items.items() if item["LeaseId"] == lease]:
            self.remove(key)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        try:
            while True:
                request = await read_message(reader)
                await asyncio.sleep(self.link_s)
                status, body = await self._handle(request, writer)
                await asyncio.sleep(self.answer_s + self.link_s)
                headers = {"Content-Type": "application/json"}
                writer.write(answer_bytes(status, headers, json.dumps(body).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self._connections.discard(writer)
            self._waiting.discard(writer)
            writer.close()

    async def _handle(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> tuple[int, dict[str, Any]]:
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        body = json.loads(request.body) if request.body else {}
        match request.method, url.path:
            case "GET", "/kv-key":
                item = self.items.get(query["Key"])
                found = {**item, "StoreRevision": self.revision} if item else {}
                return (200, found) if item else (404, {})
            case "GET", "/kv-range":
                return 200, self._range(query.get("Prefix", ""), query.get("after", ""))
            case "GET", "/kv-watch":
                return 200, await self._watch(query, writer)
            case "POST", "/kv-txn":
                return self._txn(body)
            case "POST", "/kv-lease":
                self.last_lease += 1
                return 200, self._renew(self.last_lease, float(body["TtlS_time"]))
        name = url.path.rpartition("/")[2]
        lease = int(name) if name.isdecimal() else 0
        if lease not in self.expiry_by_lease:
            return 404, {}
        if url.path.startswith("/kv-keep/"):
            return 200, self._renew(lease, self.expiry_by_lease[lease][0])
        self._end_lease(lease)
        return 200, {}

    def _renew(self, lease: int, ttl_s: float) -> dict[str, Any]:
        now = asyncio.get_running_loop().time()
        self.expiry_by_lease[lease] = (ttl_s, now + ttl_s)
        return {"LeaseId": lease, "TtlS_time": ttl_s}

    def _range(self, prefix: str, after: str) -> dict[str, Any]:
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = keys[: self.page_items]
        answer = {
            "items": [self.items[key] for key in page],
            "Truncated": len(keys) > len(page),
            "StoreRevision": self.revision,
        }
        copied: dict[str, Any] = json.loads(json.dumps(answer))
        self.on_page(prefix, after, copied)
        return copied

    async def _watch(self, query: dict[str, str], writer: asyncio.StreamWriter) -> dict[str, Any]:
        prefix, after = query.get("Prefix", ""), int(query["after"])
        loop = asyncio.get_running_loop()
        end = loop.time() + int(query.get("WaitMs", "0")) / 1000
        while True:
            events = [
                each
                for each in self.events
                if each["Revision"] > after and each["Key"].startswith(prefix)
            ]
            left_s = end - loop.time()
            if events or left_s <= 0:
                return {"events": events, "StoreRevision": self.revision}
            self._waiting.add(writer)
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)
            self._waiting.discard(writer)
            if writer.transport.is_closing():
                raise ConnectionResetError

    def _txn(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        expected = body.get("ExpectedRev", [])
        for row in expected:
            if self.items.get(row["Key"], {}).get("Revision", 0) != row["Revision"]:
                names = [each["Key"] for each in expected]
                return 412, {"items": [self.items[each] for each in names if each in self.items]}
        for row in body.get("Writes", []):
            if row.get("LeaseId") and row["LeaseId"] not in self.expiry_by_lease:
                return 404, {}
        for row in body.get("Writes", []):
            self._write(row["Key"], row["Value"], row.get("LeaseId", 0))
        for key in body.get("Remove", []):
            if key in self.items:
                self.remove(key)
        return 200, {"Revision": self.revision}
