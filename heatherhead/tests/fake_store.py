"""A fake of the platform's store over HTTP, with faults on request.

Implements the JSON gateway of etcd v3. Run it as `python -m heatherhead.tests.fake_store PORT`;
`POST /admin/faults` sets the faults and `GET /admin/calls` returns the number of calls by kind.
"""

from __future__ import annotations

import asyncio
import json
import sys
from base64 import b64decode, b64encode
from collections import Counter
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

from aiohttp import web
from result import Err

from heatherhead.store.errors import CompactedError
from heatherhead.store.memory import create_memory_store

if TYPE_CHECKING:
    from heatherhead.store.interface import KeyValue, WatchEvent

__all__ = ["FakeStore", "Faults", "create_fake_store"]

MAX_BODY_BYTES = 16 * 1024 * 1024
WATCH_POLL_S = 0.05


@dataclass
class Faults:
    """The current faults.

    `lose_replies` is the number of transactions that take effect and are not answered; `status` is
    the HTTP status of all answers unless it is 0.
    """

    outage: bool = False
    delay_s: float = 0.0
    lose_replies: int = 0
    status: int = 0


class FakeStore:
    """Serves an in-memory store over HTTP and counts the calls."""

    def __init__(self) -> None:
        self.store = create_memory_store()
        self.faults = Faults()
        self.calls: Counter[str] = Counter()
        self.range_revisions: list[int] = []  # at which listings were requested
        self._runner: web.AppRunner | None = None

    async def start(self, port: int = 0) -> str:
        """Listen on the loopback interface and return the base URL."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        kinds = {
            "/v3/kv/range": self._range,
            "/v3/kv/txn": self._txn,
            "/v3/lease/grant": self._grant,
            "/v3/lease/keepalive": self._keep_alive,
            "/v3/lease/revoke": self._revoke,
            "/v3/kv/lease/revoke": self._revoke,
        }
        for path, handler in kinds.items():
            app.router.add_post(path, self._with_faults(path.rsplit("/", 1)[1], handler))
        app.router.add_post("/v3/watch", self._watch)
        app.router.add_post("/admin/faults", self._set_faults)
        app.router.add_get("/admin/calls", self._get_calls)
        app.router.add_post("/admin/compact", self._compact)
        app.router.add_post("/admin/lapse", self._lapse)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1, handle_signals=False)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", port)
        await site.start()
        return f"http://127.0.0.1:{self._runner.addresses[0][1]}"

    async def stop(self) -> None:
        """Stop listening and end the watches."""
        if self._runner is not None:
            await self._runner.cleanup()

    def _with_faults(self, kind: str, handler: Any) -> Any:
        async def handle(request: web.Request) -> web.StreamResponse:
            self.calls[kind] += 1
            if self.faults.outage:
                return _abort(request)
            body = await request.json()
            if self.faults.delay_s:
                await asyncio.sleep(self.faults.delay_s)
            if self.faults.status:
                return web.json_response({"code": 14}, status=self.faults.status)
            answer = await handler(body)
            if kind == "txn" and self.faults.lose_replies > 0:
                self.faults.lose_replies -= 1
                return _abort(request)
            return answer

        return handle

    async def _range(self, body: dict[str, Any]) -> web.Response:
        first, end = b64decode(body["key"]), b64decode(body.get("range_end", ""))
        limit = int(body.get("limit", 0))
        self.range_revisions.append(int(body.get("revision", 0)))
        answer = (await self.store.read_prefix("")).ok_value
        keys = sorted(key for key in answer.by_key if _is_between(key, first, end))
        page = keys[:limit] if limit else keys
        return self._reply(
            kvs=[_encode_key_value(answer.by_key[key]) for key in page], more=len(page) < len(keys)
        )

    async def _txn(self, body: dict[str, Any]) -> web.Response:
        compare, success = body["compare"][0], body["success"][0]
        put = success.get("request_put")
        answer = await self.store.compare_and_swap(
            b64decode(compare["key"]).decode(),
            int(compare["mod_revision"]),
            b64decode(put["value"]) if put else None,
            int(put.get("lease", 0)) if put else 0,
        )
        if isinstance(answer, Err):
            return _not_found()
        written = answer.ok_value
        if written.succeeded:
            return self._reply(succeeded=True, responses=[{}])
        kvs = [_encode_key_value(written.current)] if written.current else []
        return self._reply(responses=[{"response_range": {"kvs": kvs}}])

    async def _grant(self, body: dict[str, Any]) -> web.Response:
        lease = (await self.store.grant_lease(float(body["TTL"]))).ok_value
        return self._reply(ID=str(lease.id), TTL=str(int(lease.ttl_s)))

    async def _keep_alive(self, body: dict[str, Any]) -> web.Response:
        answer = await self.store.renew_lease(int(body["ID"]))
        result = {"ID": body["ID"]}
        if not isinstance(answer, Err):
            result["TTL"] = str(int(answer.ok_value.ttl_s))
        return web.json_response({"result": result})

    async def _revoke(self, body: dict[str, Any]) -> web.Response:
        answer = await self.store.revoke_lease(int(body["ID"]))
        return _not_found() if isinstance(answer, Err) else self._reply()

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        self.calls["watch"] += 1
        if self.faults.outage:
            return _abort(request)
        create = (await request.json())["create_request"]
        first, end = b64decode(create["key"]), b64decode(create["range_end"])
        response = web.StreamResponse()
        await response.prepare(request)
        await _write_line(response, {"created": True})
        events = self.store.watch("", int(create["start_revision"]))
        task = asyncio.ensure_future(anext(events))
        try:
            while not self.faults.outage:
                done, _ = await asyncio.wait([task], timeout=WATCH_POLL_S)
                if not done:
                    continue
                event = task.result()
                if self.faults.delay_s:
                    await asyncio.sleep(self.faults.delay_s)
                if _is_between(event.key, first, end):
                    await _write_line(response, {"events": [_encode_event(event)]})
                task = asyncio.ensure_future(anext(events))
        except CompactedError:
            compacted = str(self.store.compacted_revision)
            await _write_line(response, {"canceled": True, "compact_revision": compacted})
            return response
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await events.aclose()
        return _abort(request)

    async def _set_faults(self, request: web.Request) -> web.Response:
        for name, value in (await request.json()).items():
            setattr(self.faults, name, value)
        return web.json_response(asdict(self.faults))

    async def _get_calls(self, request: web.Request) -> web.Response:
        return web.json_response(dict(self.calls))

    async def _compact(self, request: web.Request) -> web.Response:
        self.store.compact(self.store.revision)
        return self._reply()

    async def _lapse(self, request: web.Request) -> web.Response:
        self.store.expire_lease(int((await request.json())["ID"]))
        return self._reply()

    def _reply(self, **fields: Any) -> web.Response:
        header = {"revision": str(self.store.revision)}
        return web.json_response({"header": header, **fields})


def _is_between(key: str, first: bytes, end: bytes) -> bool:
    data = key.encode()
    return first <= data < end if end else data == first


def _encode_key_value(each: KeyValue) -> dict[str, str]:
    return {
        "key": b64encode(each.key.encode()).decode(),
        "value": b64encode(each.value).decode(),
        "mod_revision": str(each.mod_revision),
    }


def _encode_event(event: WatchEvent) -> dict[str, Any]:
    kv = {"key": b64encode(event.key.encode()).decode(), "mod_revision": str(event.mod_revision)}
    if event.value is None:
        return {"type": "DELETE", "kv": kv}
    return {"kv": {**kv, "value": b64encode(event.value).decode()}}


def _not_found() -> web.Response:
    reply = {"code": 5, "message": "etcdserver: requested lease not found"}
    return web.json_response(reply, status=404)


def _abort(request: web.Request) -> web.Response:
    """Abort the connection without a reply."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


async def _write_line(response: web.StreamResponse, result: dict[str, Any]) -> None:
    await response.write(json.dumps({"result": result}).encode() + b"\n")


def create_fake_store() -> FakeStore:
    """Create a fake store that does not listen yet."""
    return FakeStore()


async def _serve(port: int) -> None:
    print(await create_fake_store().start(port), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_serve(int(sys.argv[1]) if len(sys.argv) > 1 else 0))
