"""A client of the platform's key-value store that implements the `Store` interface."""

from __future__ import annotations

import asyncio
import base64
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import aiohttp
from result import Err, Ok

from heatherhead.client_connections import create_client_connector
from heatherhead.platform.json_values import read_json
from heatherhead.platform.names import STORE_HISTORY
from heatherhead.platform.store_answers import find_misfit
from heatherhead.store.errors import (
    CompactedError,
    LeaseExpiredError,
    ambiguous_error,
    unavailable_error,
)
from heatherhead.store.history import history_of, plain_revision, ranked_revision
from heatherhead.store.interface import KeyValue, RangeAnswer, StoreLease, WatchEvent, WriteAnswer
from heatherhead.telemetry.bounded_logs import log_routine

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping

    from result import Result

    from heatherhead.exceptions import HeatherheadError

__all__ = ["PlatformStore", "create_platform_store"]

CALL_TIMEOUT_S = 1.0  # the store normally answers in 4 ms; when slow, in up to 100 times that
CONNECT_TIMEOUT_S = 1.0
WATCH_LONG_POLL_S = 25.0  # the platform allows 30 s at most
WATCH_TIMEOUT_MARGIN_S = 2.0  # time that a watch may take beyond the requested wait
CATCH_UP_WAIT_MS = 1  # the changes are known to exist, though maybe not below the prefix
WATCH_BATCH_DELAY_S = 0.3  # a series of changes is fetched in one call
KEEPALIVE_IDLE_S = 1  # a dead connection is detected in about 3 s
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
MAX_CONNECTIONS = 8
# The store says of no other failure that nothing was done.
REFUSAL_STATUSES = frozenset({400, 403, 404, 412, 413, 429, 503})


class _CallFailedError(Exception):
    """The call failed; `no_effect` is set if the store has certainly not executed it."""

    def __init__(self, reason: str, *, no_effect: bool) -> None:
        super().__init__(reason)
        self.no_effect = no_effect


@dataclass(frozen=True, slots=True)
class _Reply:
    """An answer of the store."""

    status: int
    body: dict[str, Any]
    history: int


class PlatformStore:
    """Implements the store interface over HTTP; each watch keeps its own position.

    All revisions are ranked, as the store may come back from a copy.
    """

    def __init__(self, address: str, session: aiohttp.ClientSession) -> None:
        self._history = 0  # the newest that an answer has named
        self._base = f"http://{address}"
        self._session = session

    async def read_prefix(
        self, prefix: str, *, stale: bool = False
    ) -> Result[RangeAnswer, HeatherheadError]:
        """Read all keys with a prefix at one revision.

        Pages are no snapshot: what changed between them is read from the history. A stale read may
        return data that is seconds old and of several revisions; it costs a tenth.
        """
        by_key: dict[str, KeyValue] = {}
        first: _Reply | None = None
        after = ""
        while True:
            query: dict[str, Any] = {"Prefix": prefix, **({"after": after} if after else {})}
            if stale:
                query["AllowStale"] = 1
            try:
                reply = await self._call("GET", "/kv-range", query)
            except _CallFailedError as error:
                return Err(unavailable_error(str(error)))
            if reply.status != 200:
                return Err(unavailable_error(f"status {reply.status}"))
            first = first or reply
            if reply.history != first.history:
                return Err(unavailable_error("it came back from a copy between two pages"))
            items = [_item(each, reply.history) for each in reply.body["items"]]
            by_key.update((item.key, item) for item in items)
            if not reply.body.get("Truncated") or not items:
                break
            after = items[-1].key
        revision = first.body["StoreRevision"]
        if not stale and reply.body["StoreRevision"] > revision:
            return await self._apply_changes(by_key, prefix, first, reply.body["StoreRevision"])
        return Ok(RangeAnswer(ranked_revision(first.history, revision), by_key))

    async def _apply_changes(
        self, by_key: dict[str, KeyValue], prefix: str, first: _Reply, last_revision: int
    ) -> Result[RangeAnswer, HeatherheadError]:
        """Bring pages to one revision with the changes since the first, up to the last or later."""
        history, revision = first.history, first.body["StoreRevision"]
        while revision < last_revision:
            query = {"Prefix": prefix, "after": revision, "WaitMs": CATCH_UP_WAIT_MS}
            try:
                reply = await self._call("GET", "/kv-watch", query)
            except _CallFailedError as error:
                return Err(unavailable_error(f"changes between two pages: {error}"))
            if reply.status not in (200, 410):
                return Err(unavailable_error(f"changes between two pages: status {reply.status}"))
            gone = reply.status == 410 or reply.history != history
            if gone or reply.body["StoreRevision"] <= revision:
                return Err(CompactedError(ranked_revision(history, revision + 1)))
            for event in reply.body["events"]:
                _apply_event(by_key, _event(event, history))
            revision = reply.body["StoreRevision"]
        return Ok(RangeAnswer(ranked_revision(history, revision), by_key))

    async def compare_and_swap(
        self, key: str, expected_revision: int, value: bytes | None, lease_id: int = 0
    ) -> Result[WriteAnswer, HeatherheadError]:
        """Write `value` (or delete, for `None`) if the key is at `expected_revision`."""
        if expected_revision and history_of(expected_revision) < self._history:
            return await self._conflict(key)
        body: dict[str, Any] = {
            "ExpectedRev": [{"Key": key, "Revision": plain_revision(expected_revision)}],
            "Writes": [],
            "Remove": [],
        }
        if value is None:
            body["Remove"] = [key]
        else:
            encoded = base64.b64encode(value).decode()
            body["Writes"] = [{"Key": key, "Value": encoded, "LeaseId": lease_id}]
        try:
            reply = await self._call("POST", "/kv-txn", body=body)
        except _CallFailedError as error:
            return Err(_write_error(error))
        if reply.status == 200:
            return Ok(WriteAnswer(True, ranked_revision(reply.history, reply.body["Revision"])))
        if reply.status == 404:
            return Err(LeaseExpiredError(lease_id))
        if reply.status == 412:
            conflicting_items = [
                _item(each, reply.history)
                for each in reply.body["items"]
                if each.get("Value") is not None
            ]
            current_item = next((item for item in conflicting_items if item.key == key), None)
            return Ok(_conflict_with(current_item))
        return Err(_status_error(reply.status))

    async def _conflict(self, key: str) -> Result[WriteAnswer, HeatherheadError]:
        """Return the conflict with a key's current item: a lost revision matches nothing.

        The number may have been given out again, for another change of the key.
        """
        listing = await self.read_prefix(key)
        return listing.map(lambda answer: _conflict_with(answer.by_key.get(key)))

    async def grant_lease(self, ttl_s: float) -> Result[StoreLease, HeatherheadError]:
        """Create a lease."""
        try:
            reply = await self._call("POST", "/kv-lease", body={"TtlS_time": ttl_s})
        except _CallFailedError as error:
            return Err(_write_error(error))
        if reply.status != 200:
            return Err(_status_error(reply.status))
        return Ok(StoreLease(reply.body["LeaseId"], reply.body["TtlS_time"]))

    async def renew_lease(self, lease_id: int) -> Result[StoreLease, HeatherheadError]:
        """Renew a lease; returns `Err` if it has expired."""
        try:
            reply = await self._call("POST", f"/kv-keep/{lease_id}")
        except _CallFailedError as error:
            return Err(_write_error(error))
        if reply.status == 404:
            return Err(LeaseExpiredError(lease_id))
        if reply.status != 200:
            return Err(_status_error(reply.status))
        return Ok(StoreLease(lease_id, reply.body["TtlS_time"]))

    async def revoke_lease(self, lease_id: int) -> Result[None, HeatherheadError]:
        """Revoke a lease, which deletes the keys bound to it."""
        try:
            reply = await self._call("DELETE", f"/kv-lease-end/{lease_id}")
        except _CallFailedError as error:
            return Err(_write_error(error))
        if reply.status == 404:
            return Err(LeaseExpiredError(lease_id))
        return Ok(None) if reply.status == 200 else Err(_status_error(reply.status))

    async def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Iterate over the changes from a revision on.

        Raises `StoreUnavailableError` if a call fails and `CompactedError` if the store no longer
        holds the history since `from_revision`, which may be of another history.
        """
        history, after = history_of(from_revision), plain_revision(from_revision) - 1
        while True:
            query = {"Prefix": prefix, "after": after, "WaitMs": int(WATCH_LONG_POLL_S * 1000)}
            try:
                reply = await self._call(
                    "GET", "/kv-watch", query, timeout_s=WATCH_LONG_POLL_S + WATCH_TIMEOUT_MARGIN_S
                )
            except _CallFailedError as error:
                raise unavailable_error(f"watch: {error}") from error
            if reply.status == 410 or reply.history != history:
                raise CompactedError(from_revision)
            if reply.status != 200:
                raise unavailable_error(f"watch: status {reply.status}")
            for event in reply.body["events"]:
                yield _event(event, history)
            after = max(after, reply.body["StoreRevision"])
            if reply.body["events"]:
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
    ) -> _Reply:
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with self._session.request(
                method, self._base + path, params=query, json=body, timeout=timeout
            ) as reply:
                data = await reply.read()
                history = self._history_of(reply.headers)
        except aiohttp.ClientConnectorError as error:
            raise _CallFailedError(f"can't connect: {error}", no_effect=True) from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise _CallFailedError(f"{type(error).__name__}: {error}", no_effect=False) from error
        if reply.status in (429, 503):
            raise _CallFailedError(f"status {reply.status}", no_effect=True)
        try:
            answer = read_json(data) if data else {}
        except ValueError as error:
            raise _CallFailedError(f"unreadable answer: {error}", no_effect=False) from error
        misfit = find_misfit(path, query, body, reply.status, answer)
        if misfit is not None:
            log_routine("store_answer_refused", call=path, status=reply.status, reason=misfit)
            raise _CallFailedError(f"an answer to another call: {misfit}", no_effect=False)
        return _Reply(reply.status, answer, history)

    def _history_of(self, headers: Mapping[str, str]) -> int:
        """Return the number of the store's history that an answer is of."""
        text = headers.get(STORE_HISTORY, "")
        if not text.isdecimal():
            return self._history
        history = int(text)
        self._history = max(self._history, history)
        return history


def _write_error(error: _CallFailedError) -> HeatherheadError:
    return unavailable_error(str(error)) if error.no_effect else ambiguous_error(str(error))


def _status_error(status: int) -> HeatherheadError:
    """Return the error of a write that the store answered with a failure."""
    error_of = unavailable_error if status in REFUSAL_STATUSES else ambiguous_error
    return error_of(f"status {status}")


def _item(item: Mapping[str, Any], history: int) -> KeyValue:
    revision = ranked_revision(history, item["Revision"])
    return KeyValue(item["Key"], base64.b64decode(item["Value"]), revision)


def _event(event: Mapping[str, Any], history: int) -> WatchEvent:
    value = None if event.get("Removed") else base64.b64decode(event["Value"])
    return WatchEvent(event["Key"], value, ranked_revision(history, event["Revision"]))


def _apply_event(by_key: dict[str, KeyValue], event: WatchEvent) -> None:
    """Apply a change to items, each of which may already be newer."""
    held = by_key.get(event.key)
    if held is not None and held.mod_revision >= event.mod_revision:
        return
    if event.value is None:
        by_key.pop(event.key, None)
    else:
        by_key[event.key] = KeyValue(event.key, event.value, event.mod_revision)


def _conflict_with(item: KeyValue | None) -> WriteAnswer:
    return WriteAnswer(False, item.mod_revision if item else 0, item)


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
    connector = create_client_connector(
        limit=MAX_CONNECTIONS,
        force_close=True,  # a kept one may bring the answer to another call
        use_dns_cache=False,
        resolver=aiohttp.ThreadedResolver(),
        happy_eyeballs_delay=None,
        socket_factory=_keepalive_socket,
    )
    return PlatformStore(address, aiohttp.ClientSession(connector=connector))
