"""The platform's store as PROTOCOL.md describes it; it loses nothing and answers in 4 ms."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from contextlib import suppress
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from standins2.wire import read_head

ANSWER_S = 0.004
PAGE_ITEMS = 500


class Store:
    """Keys, leases and history, over HTTP/1.1."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.address = ""
        self.revision = 100
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 7000
        self.changed = asyncio.Event()

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, self.host, 0)
        self.address = f"{self.host}:{server.sockets[0].getsockname()[1]}"
        self._server = server
        self._expiry = asyncio.create_task(self._expire())

    def put(self, key: str, document: Any, lease: int = 0) -> None:
        """Write a key; `document` is bytes, or is encoded as JSON."""
        value = document if isinstance(document, bytes) else json.dumps(document).encode()
        self.revision += 1
        item = {
            "Key": key,
            "Value": base64.b64encode(value).decode(),
            "Revision": self.revision,
            "Created": self.items.get(key, {}).get("Created", self.revision),
            "LeaseId": lease,
        }
        self.items[key] = item
        self._add_event(item)

    def remove(self, key: str) -> None:
        """Remove a key if it exists."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._add_event({"Key": key, "Revision": self.revision, "Removed": True})

    def _add_event(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease in [each for each, (_, until) in self.leases.items() if until < now]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        for key in [key for key, item in self.items.items() if item["LeaseId"] == lease]:
            self.remove(key)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, EOFError):
            while True:
                line, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                method, target, _ = line.split(" ")
                await asyncio.sleep(ANSWER_S)
                status, answer = await self._call(method, target, body)
                data = json.dumps(answer).encode()
                head = f"HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        writer.close()

    async def _call(self, method: str, target: str, body: bytes) -> tuple[int, dict[str, Any]]:
        url = urlsplit(target)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        match url.path.split("/")[1]:
            case "kv-range":
                return 200, self._range(query)
            case "kv-key":
                item = self.items.get(query["Key"])
                return (404, {}) if item is None else (200, item | self._at_revision())
            case "kv-watch":
                return 200, await self._watch(query)
            case "kv-txn":
                return self._write(json.loads(body))
            case "kv-lease":
                return 200, self._grant_lease(json.loads(body)["TtlS_time"])
        lease = int(url.path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self._end_lease(lease)
            return 200, {}
        ttl_s = self.leases[lease][0]
        self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {"TtlS_time": ttl_s}

    def _at_revision(self) -> dict[str, Any]:
        return {"StoreRevision": self.revision}

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query["Prefix"], query.get("after", "")
        keys = sorted(each for each in self.items if each.startswith(prefix) and each > after)
        items = [self.items[each] for each in keys[:PAGE_ITEMS]]
        return {"items": items, "Truncated": len(keys) > PAGE_ITEMS} | self._at_revision()

    async def _watch(self, query: dict[str, str]) -> dict[str, Any]:
        after, prefix = int(query["after"]), query["Prefix"]
        until = time.monotonic() + int(query["WaitMs"]) / 1000
        while True:
            changed = self.changed
            events = [
                each
                for each in self.events
                if each["Revision"] > after and each["Key"].startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return {"events": events} | self._at_revision()
            with suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await changed.wait()

    def _write(self, call: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        expected = call.get("ExpectedRev", ())
        held = [self.items[row["Key"]] for row in expected if row["Key"] in self.items]
        for row in expected:
            if self.items.get(row["Key"], {}).get("Revision", 0) != row["Revision"]:
                return 412, {"items": held}
        writes = call.get("Writes", ())
        if any(each.get("LeaseId") and each["LeaseId"] not in self.leases for each in writes):
            return 404, {}
        for each in writes:
            self.put(each["Key"], base64.b64decode(each["Value"]), each.get("LeaseId", 0))
        for key in call.get("Remove", ()):
            self.remove(key)
        return 200, {"Revision": self.revision}

    def _grant_lease(self, ttl_s: float) -> dict[str, Any]:
        self.next_lease += 1
        self.leases[self.next_lease] = (ttl_s, time.monotonic() + ttl_s)
        return {"LeaseId": self.next_lease, "TtlS_time": ttl_s}
