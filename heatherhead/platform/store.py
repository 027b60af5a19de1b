"""A client of the platform's key-value store that implements the `Store` interface."""

from __future__ import annotations

import asyncio
import base64
import json
import socket
from typing import TYPE_CHECKING, Any

import aiohttp
from result import Err, Ok

from heatherhead.store.errors import (
    CompactedError,
    LeaseExpiredError,
    ambiguous_error,
    unavailable_error,
)
from heatherhead.store.interface import KeyValue, RangeAnswer, StoreLease, WatchEvent, WriteAnswer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping

    from result import Result

    from heatherhead.exceptions import HeatherheadError

__all__ = ["PlatformStore", "create_platform_store"]

CALL_TIMEOUT_S = 1.0  # the store normally answers in 4 ms; when slow, in up to 100 times that
CONNECT_TIMEOUT_S = 1.0
WATCH_LONG_POLL_S = 25.0  # the platform allows 30 s at most
WATCH_TIMEOUT_MARGIN_S = 2.0  # time that a watch may take beyond the requested wait
WATCH_BATCH_DELAY_S = 0.3  # a series of changes is fetched in one call
KEEPALIVE_IDLE_S = 1  # a dead connection is detected in about 3 s
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
MAX_CONNECTIONS = 8


class _CallFailedError(Exception):
    """The call failed; `no_effect` is set if the store has certainly not executed it."""

    def __init__(self, reason: str, *, no_effect: bool) -> None:
        super().__init__(reason)
        self.no_effect = no_effect


class PlatformStore:
    """Implements the store interface over HTTP; each watch keeps its own position."""

    def __init__(self, address: str, session: aiohttp.ClientSession) -> None:
        self._base = f"http://{address}"
        self._session = session

    async def read_prefix(
        self, prefix: str, *, stale: bool = False
    ) -> Result[RangeAnswer, HeatherheadError]:
        """Read all keys with a prefix; the revision is that of the first page.

        A stale read may return data that is seconds old and costs a tenth of a consistent one.
        """
        by_key: dict[str, KeyValue] = {}
        revision: int | None = None
        after = ""
        while True:
            query: dict[str, Any] = {"Prefix": prefix, **({"after": after} if after else {})}
            if stale:
                query["AllowStale"] = 1
            try:
                status, body = await self._call("GET", "/kv-range", query)
            except _CallFailedError as error:
                return Err(unavailable_error(str(error)))
            if status != 200:
                return Err(unavailable_error(f"status {status}"))
            revision = body["StoreRevision"] if revision is None else revision
            items = [_item(each) for each in body["items"]]
            by_key.update((item.key, item) for item in items)
            if not body.get("Truncated") or not items:
                return Ok(RangeAnswer(revision, by_key))
            after = items[-1].key

    async def compare_and_swap(
        self, key: str, expected_revision: int, value: bytes | None, lease_id: int = 0
    ) -> Result[WriteAnswer, HeatherheadError]:
        """Write `value` (or delete, for `None`) if the key is at `expected_revision`."""
        body: dict[str, Any] = {
            "ExpectedRev": [{"Key": key, "Revision": expected_revision}],
            "Writes": [],
            "Remove": [],
        }
        if value is None:
            body["Remove"] = [key]
        else:
            encoded = base64.b64encode(value).decode()
            body["Writes"] = [{"Key": key, "Value": encoded, "LeaseId": lease_id}]
        try:
            status, answer = await self._call("POST", "/kv-txn", body=body)
        except _CallFailedError as error:
            return Err(_write_error(error))
        if status == 200:
            return Ok(WriteAnswer(True, answer["Revision"]))
        if status == 404:
            return Err(LeaseExpiredError(lease_id))
        if status == 412:
            conflicting_items = [
                _item(each) for each in answer["items"] if each.get("Value") is not None
            ]
            current_item = next((item for item in conflicting_items if item.key == key), None)
            return Ok(
                WriteAnswer(False, current_item.mod_revision if current_item else 0, current_item)
            )
        return Err(unavailable_error(f"status {status}"))

    async def grant_lease(self, ttl_s: float) -> Result[StoreLease, HeatherheadError]:
        """Create a lease."""
        try:
            status, answer = await self._call("POST", "/kv-lease", body={"TtlS_time": ttl_s})
        except _CallFailedError as error:
            return Err(_write_error(error))
        if status != 200:
            return Err(unavailable_error(f"status {status}"))
        return Ok(StoreLease(answer["LeaseId"], answer["TtlS_time"]))

    async def renew_lease(self, lease_id: int) -> Result[StoreLease, HeatherheadError]:
        """Renew a lease; returns `Err` if it has expired."""
        try:
            status, answer = await self._call("POST", f"/kv-keep/{lease_id}")
        except _CallFailedError as error:
            return Err(_write_error(error))
        if status == 404:
            return Err(LeaseExpiredError(lease_id))
        if status != 200:
            return Err(unavailable_error(f"status {status}"))
        return Ok(StoreLease(lease_id, answer["TtlS_time"]))

    async def revoke_lease(self, lease_id: int) -> Result[None, HeatherheadError]:
        """Revoke a lease, which deletes the keys bound to it."""
        try:
            status, _ = await self._call("DELETE", f"/kv-lease-end/{lease_id}")
        except _CallFailedError as error:
            return Err(_write_error(error))
        return Ok(None) if status == 200 else Err(LeaseExpiredError(lease_id))

    async def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Iterate over the changes from a revision on.

        Raises `StoreUnavailableError` if a call fails and `CompactedError` if the store no longer
        holds the history since `from_revision`.
        """
        after = from_revision - 1
        while True:
            query = {"Prefix": prefix, "after": after, "WaitMs": int(WATCH_LONG_POLL_S * 1000)}
            try:
                status, body = await self._call(
                    "GET", "/kv-watch", query, timeout_s=WATCH_LONG_POLL_S + WATCH_TIMEOUT_MARGIN_S
                )
            except _CallFailedError as error:
                raise unavailable_error(f"watch: {error}") from error
            if status == 410:
                raise CompactedError(from_revision)
            if status != 200:
                raise unavailable_error(f"watch: status {status}")
            for event in body["events"]:
                yield _event(event)
            after = max(after, body["StoreRevision"])
            if body["events"]:
                await asyncio.sleep(WATCH_BATCH_DELAY_S)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def _call(
        self,
        method: str,
        path: str,
        query: Mapping[str, Any] | None = None,
        body: Mapping[str, Any] | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, dict[str, Any]]:
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with self._session.request(
                method, self._base + path, params=query, json=body, timeout=timeout
            ) as reply:
                data = await reply.read()
        except aiohttp.ClientConnectorError as error:
            raise _CallFailedError(f"can't connect: {error}", no_effect=True) from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise _CallFailedError(f"{type(error).__name__}: {error}", no_effect=False) from error
        if reply.status in (429, 503):
            raise _CallFailedError(f"status {reply.status}", no_effect=True)
        try:
            answer = json.loads(data) if data else {}
        except ValueError as error:
            raise _CallFailedError(f"unreadable answer: {error}", no_effect=False) from error
        return reply.status, answer


def _write_error(error: _CallFailedError) -> HeatherheadError:
    return unavailable_error(str(error)) if error.no_effect else ambiguous_error(str(error))


def _item(item: Mapping[str, Any]) -> KeyValue:
    return KeyValue(item["Key"], base64.b64decode(item["Value"]), item["Revision"])


def _event(event: Mapping[str, Any]) -> WatchEvent:
    value = None if event.get("Removed") else base64.b64decode(event["Value"])
    return WatchEvent(event["Key"], value, event["Revision"])


def _keepalive_socket(address_info: Any) -> socket.socket:
    family, kind, protocol, _, _ = address_info
    connection = socket.socket(family, kind, protocol)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    return connection


def create_platform_store(address: str) -> PlatformStore:
    """Create a store client; must be called inside the running loop."""
    connector = aiohttp.TCPConnector(
        limit=MAX_CONNECTIONS,
        keepalive_timeout=30.0,
        use_dns_cache=False,
        resolver=aiohttp.ThreadedResolver(),
        happy_eyeballs_delay=None,
        socket_factory=_keepalive_socket,
    )
    return PlatformStore(address, aiohttp.ClientSession(connector=connector))
