"""A fake of the platform's store that implements its HTTP interface and injects faults."""

from __future__ import annotations

import asyncio
import base64
import json
from contextlib import suppress
from copy import deepcopy
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["FakePlatformStore"]

COPIED_FIELDS = ("revision", "items", "events", "leases", "renewed_at_by_lease")


@dataclass
class FakePlatformStore:
    """Keys, leases and history; each call consumes one of `faults`: a status or 'lost'."""

    page: int = 2
    revision: int = 10
    items: dict[str, dict[str, Any]] = field(default_factory=dict)
    events: list[dict[str, Any]] = field(default_factory=list)
    compacted: int = 0
    leases: dict[int, float] = field(default_factory=dict)
    renewed_at_by_lease: dict[int, float] = field(default_factory=dict)
    faults: list[Any] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    era: int = 0  # rises each time that the store comes back from a copy
    away: bool = False
    on_page: Callable[[int], None] = lambda _: None  # called with the number of each page served
    pages_served: int = 0
    deaf_at: int | None = None  # the revision behind which watches hear nothing

    def copy(self) -> dict[str, Any]:
        """Return a copy from which the store may be restored."""
        return deepcopy({name: getattr(self, name) for name in COPIED_FIELDS})

    def restore(self, copied: dict[str, Any]) -> None:
        """Come back from a copy: what was written since is lost, and its revisions are reused."""
        for name, value in deepcopy(copied).items():
            setattr(self, name, value)
        self.era += 1
        self._wake_watches()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key."""
        self.revision += 1
        created = self.items.get(key, {}).get("Created", self.revision)
        self.items[key] = {
            "Key": key,
            "Value": base64.b64encode(value).decode(),
            "Revision": self.revision,
            "Created": created,
            "LeaseId": lease,
        }
        self._record_event(self.items[key])

    def remove(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        del self.items[key]
        self._record_event({"Key": key, "Revision": self.revision, "Removed": True})

    def _record_event(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        self._wake_watches()

    def _wake_watches(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def start(self, host: str = "127.0.0.1") -> str:
        """Start listening and return the address."""

        @web.middleware
        async def fault(request: web.Request, handler: Any) -> web.StreamResponse:
            return await self._fault(request, handler)

        app = web.Application(middlewares=[fault])
        app.router.add_get("/kv-range", self._range)
        app.router.add_get("/kv-watch", self._watch)
        app.router.add_post("/kv-txn", self._txn)
        app.router.add_post("/kv-lease", self._lease)
        app.router.add_post("/kv-keep/{id}", self._keep)
        app.router.add_delete("/kv-lease-end/{id}", self._end)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, 0)
        await site.start()
        port = self._runner.addresses[0][1]
        return f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()

    async def _fault(self, request: web.Request, handler: Any) -> web.StreamResponse:
        fault = self.faults.pop(0) if self.faults else None
        if self.away:
            fault = 503
        if isinstance(fault, int):
            return web.Response(status=fault)
        response: web.StreamResponse = await handler(request)
        response.headers["Store-Era"] = str(self.era)
        if fault == "lost":
            assert request.transport is not None
            request.transport.abort()
        return response

    async def _range(self, request: web.Request) -> web.Response:
        prefix, after = request.query["Prefix"], request.query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [self.items[key] for key in keys[: self.page]]
        truncated = len(keys) > self.page
        answer = _json({"items": page, "Truncated": truncated, "StoreRevision": self.revision})
        self.pages_served += 1
        self.on_page(self.pages_served)
        return answer

    async def _watch(self, request: web.Request) -> web.Response:
        after, era = int(request.query["after"]), self.era
        if after < self.compacted or after > self.revision:
            return web.Response(status=410)
        prefix = request.query["Prefix"]
        loop = asyncio.get_running_loop()
        end = loop.time() + int(request.query["WaitMs"]) / 1000
        while not (found := self._changes(prefix, after)) and loop.time() < end:
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), end - loop.time())
            if self.era != era:
                return web.Response(status=410)
        heard = self.revision if self.deaf_at is None else self.deaf_at
        return _json({"events": found, "StoreRevision": heard})

    def _changes(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            each
            for each in self.events
            if each["Revision"] > after
            and each["Key"].startswith(prefix)
            and (self.deaf_at is None or each["Revision"] <= self.deaf_at)
        ]

    async def _txn(self, request: web.Request) -> web.Response:
        body = await request.json()
        current = [self.items.get(row["Key"]) for row in body["ExpectedRev"]]
        for row, item in zip(body["ExpectedRev"], current, strict=True):
            if (item["Revision"] if item else 0) != row["Revision"]:
                return _json({"items": [item for item in current if item]}, 412)
        for write in body["Writes"]:
            if write.get("LeaseId") and write["LeaseId"] not in self.leases:
                return web.Response(status=404)
            self.put(write["Key"], base64.b64decode(write["Value"]), write.get("LeaseId", 0))
        for key in body["Remove"]:
            self.remove(key)
        return _json({"Revision": self.revision})

    async def _lease(self, request: web.Request) -> web.Response:
        ttl_s = (await request.json())["TtlS_time"]
        lease_id = len(self.renewed_at_by_lease) + 1
        self.leases[lease_id] = ttl_s
        self.renewed_at_by_lease[lease_id] = asyncio.get_running_loop().time()
        return _json({"LeaseId": lease_id, "TtlS_time": ttl_s})

    async def _keep(self, request: web.Request) -> web.Response:
        lease_id = int(request.match_info["id"])
        if lease_id not in self.leases:
            return web.Response(status=404)
        self.renewed_at_by_lease[lease_id] = asyncio.get_running_loop().time()
        return _json({"TtlS_time": self.leases[lease_id]})

    async def _end(self, request: web.Request) -> web.Response:
        lease_id = int(request.match_info["id"])
        self.end_lease(lease_id)
        return _json({})

    def end_lease(self, lease_id: int) -> None:
        """End a lease and remove its keys."""
        self.leases.pop(lease_id, None)
        for key in [key for key, item in self.items.items() if item["LeaseId"] == lease_id]:
            self.remove(key)

    def expire_leases(self, now: float) -> None:
        """End the leases that were not renewed within their TTL."""
        for lease_id, ttl_s in list(self.leases.items()):
            if now - self.renewed_at_by_lease[lease_id] > ttl_s:
                self.end_lease(lease_id)


def _json(body: dict[str, Any], status: int = 200) -> web.Response:
    return web.Response(status=status, text=json.dumps(body), content_type="application/json")
