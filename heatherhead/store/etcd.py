"""Store adapter for the JSON gateway of etcd v3."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, TypeVar

from pydantic import BaseModel, ValidationError
from result import Err, Ok

from heatherhead.exceptions import HeatherheadError
from heatherhead.store.errors import (
    CompactedError,
    LeaseExpiredError,
    ambiguous_error,
    unavailable_error,
)
from heatherhead.store.gateway import GatewayRefusedError, create_gateway
from heatherhead.store.interface import KeyValue, RangeAnswer, StoreLease, WriteAnswer
from heatherhead.store.wire import (
    KeepAliveReply,
    LeaseReply,
    RangeReply,
    TxnReply,
    WatchReply,
    key_value,
    range_body,
    txn_body,
    watch_body,
    watch_events,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from typing import Any

    from result import Result

    from heatherhead.settings.store import StoreSettings
    from heatherhead.store.gateway import Gateway
    from heatherhead.store.interface import WatchEvent

__all__ = ["EtcdStore", "create_etcd_store"]

KEYS_PER_PAGE = 1_000
MAX_PAGES = 20
GRPC_NOT_FOUND = 5  # status code for an unknown lease

ReplyT = TypeVar("ReplyT", bound=BaseModel)


class EtcdStore:
    """Implements `Store` with calls to the gateway."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway

    async def read_prefix(
        self, prefix: str, *, stale: bool = False
    ) -> Result[RangeAnswer, HeatherheadError]:
        """Read all keys below a prefix at one revision, page by page."""
        by_key: dict[str, KeyValue] = {}
        first_key, revision = prefix, 0
        for _ in range(MAX_PAGES):
            body = range_body(prefix, first_key, KEYS_PER_PAGE, revision)
            if stale:
                body["serializable"] = True
            answer = await self._call("/v3/kv/range", body, RangeReply, is_write=False)
            if isinstance(answer, Err):
                return answer
            page = answer.ok_value
            revision = revision or page.header.revision
            by_key.update((each.key, each) for each in map(key_value, page.kvs))
            if not page.more or not page.kvs:
                return Ok(RangeAnswer(revision, by_key))
            first_key = page.kvs[-1].key.decode() + "\0"
        return Err(unavailable_error(f"more than {KEYS_PER_PAGE * MAX_PAGES} keys below {prefix}"))

    async def compare_and_swap(
        self, key: str, expected_revision: int, value: bytes | None, lease_id: int = 0
    ) -> Result[WriteAnswer, HeatherheadError]:
        """Write `value` (or delete, for `None`) if the key is at `expected_revision`."""
        body = txn_body(key, expected_revision, value, lease_id)
        try:
            answer = await self._call("/v3/kv/txn", body, TxnReply, is_write=True)
        except GatewayRefusedError as error:
            return Err(_lease_error(error, lease_id))
        if isinstance(answer, Err):
            return answer
        reply = answer.ok_value
        return Ok(WriteAnswer(reply.succeeded, reply.header.revision, _current_value(reply)))

    async def grant_lease(self, ttl_s: float) -> Result[StoreLease, HeatherheadError]:
        """Request a new lease."""
        body = {"TTL": str(math.ceil(ttl_s)), "ID": "0"}
        return await self._lease_call("/v3/lease/grant", body, 0)

    async def renew_lease(self, lease_id: int) -> Result[StoreLease, HeatherheadError]:
        """Renew a lease; the result is `Err` if it has expired."""
        body = {"ID": str(lease_id)}
        try:
            answer = await self._call("/v3/lease/keepalive", body, KeepAliveReply, is_write=True)
        except GatewayRefusedError as error:
            return Err(_lease_error(error, lease_id))
        if isinstance(answer, Err):
            return answer
        lease = answer.ok_value.result
        if lease.ttl_s <= 0:
            return Err(LeaseExpiredError(lease_id))
        return Ok(StoreLease(lease_id, lease.ttl_s))

    async def revoke_lease(self, lease_id: int) -> Result[None, HeatherheadError]:
        """Revoke a lease, which deletes the keys attached to it."""
        body = {"ID": str(lease_id)}
        try:
            answer = await self._call("/v3/lease/revoke", body, BaseModel, is_write=True)
        except GatewayRefusedError as error:
            return Err(_lease_error(error, lease_id))
        return answer.map(lambda _: None)

    async def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Iterate over changes from a revision on; see `Store.watch`."""
        body = watch_body(prefix, from_revision)
        async with self._gateway.stream("/v3/watch", body) as lines:
            async for line in lines:
                reply = _parse(line, WatchReply)
                self._gateway.circuit.record_success()
                if reply.result.compact_revision:
                    raise CompactedError(from_revision)
                if reply.result.canceled:
                    raise unavailable_error(f"watch cancelled: {reply.result.cancel_reason}")
                for event in watch_events(reply):
                    yield event
        raise unavailable_error("watch ended")

    async def close(self) -> None:
        """Close the connections."""
        await self._gateway.close()

    async def _lease_call(
        self, path: str, body: dict[str, Any], lease_id: int
    ) -> Result[StoreLease, HeatherheadError]:
        try:
            answer = await self._call(path, body, LeaseReply, is_write=True)
        except GatewayRefusedError as error:
            return Err(_lease_error(error, lease_id))
        return answer.map(lambda lease: StoreLease(lease.id, lease.ttl_s))

    async def _call(
        self, path: str, body: dict[str, Any], reply_class: type[ReplyT], *, is_write: bool
    ) -> Result[ReplyT, HeatherheadError]:
        try:
            answer = await self._gateway.post(path, body, is_write=is_write)
        except GatewayRefusedError as error:
            if is_write:
                raise
            return Err(unavailable_error(f"refused: {error}"))
        if isinstance(answer, Err):
            return answer
        try:
            return Ok(_parse(answer.ok_value, reply_class))
        except HeatherheadError as error:
            return Err(ambiguous_error(error.reason) if is_write else error)


def _parse(data: bytes, reply_class: type[ReplyT]) -> ReplyT:
    try:
        return reply_class.model_validate_json(data)
    except ValidationError as error:
        raise unavailable_error(f"unreadable reply: {error.errors()[0]['msg']}") from error


def _current_value(reply: TxnReply) -> KeyValue | None:
    for each in reply.responses:
        if each.response_range is not None and each.response_range.kvs:
            return key_value(each.response_range.kvs[0])
    return None


def _lease_error(error: GatewayRefusedError, lease_id: int) -> HeatherheadError:
    if error.code == GRPC_NOT_FOUND:
        return LeaseExpiredError(lease_id)
    return HeatherheadError(
        f"the store refused the request: {error}", remedy="check the store's URLs and its log"
    )


def create_etcd_store(settings: StoreSettings) -> EtcdStore:
    """Create the adapter for the URLs in the settings."""
    return EtcdStore(create_gateway(settings))
