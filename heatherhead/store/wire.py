"""JSON messages of the etcd v3 gateway: base64 keys and values, 64-bit numbers as strings.

Source: the published gRPC gateway of etcd v3, `rpc.proto` and `kv.proto`.
"""

from __future__ import annotations

from base64 import b64decode, b64encode
from typing import TYPE_CHECKING, Annotated, Any

from pydantic import BaseModel, BeforeValidator, Field

from heatherhead.store.interface import KeyValue, WatchEvent

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
    "ErrorReply",
    "KeepAliveReply",
    "LeaseReply",
    "RangeReply",
    "TxnReply",
    "WatchReply",
    "key_value",
    "range_body",
    "txn_body",
    "watch_body",
    "watch_events",
]

Base64 = Annotated[bytes, BeforeValidator(lambda text: b64decode(text, validate=True))]


class _Header(BaseModel):
    revision: int = 0


class _KeyValue(BaseModel):
    key: Base64
    value: Base64 = b""
    mod_revision: int = 0


class RangeReply(BaseModel):
    """Reply to a range request."""

    header: _Header = _Header()
    kvs: list[_KeyValue] = []
    more: bool = False


class _ResponseOp(BaseModel):
    response_range: RangeReply | None = None


class TxnReply(BaseModel):
    """Reply to a transaction; the gateway omits `succeeded` when it is false."""

    header: _Header = _Header()
    succeeded: bool = False
    responses: list[_ResponseOp] = []


class LeaseReply(BaseModel):
    """Reply to the grant or renewal of a lease; `TTL` is absent for an expired lease."""

    id: int = Field(default=0, alias="ID")
    ttl_s: int = Field(default=0, alias="TTL")


class KeepAliveReply(BaseModel):
    """One message of the renewal stream."""

    result: LeaseReply


class _Event(BaseModel):
    type: str = "PUT"
    kv: _KeyValue


class _WatchResult(BaseModel):
    created: bool = False
    canceled: bool = False
    compact_revision: int = 0
    cancel_reason: str = ""
    events: list[_Event] = []


class WatchReply(BaseModel):
    """One line of a watch stream."""

    result: _WatchResult


class ErrorReply(BaseModel):
    """Error reply of the gateway: a gRPC status code and its message."""

    code: int = 0
    message: str = ""


def range_body(prefix: str, first_key: str, limit: int, revision: int) -> dict[str, Any]:
    """Build a read of the keys below `prefix` from `first_key` on; revision 0 is the latest."""
    return {
        "key": _encode_base64(first_key.encode()),
        "range_end": _encode_base64(_prefix_end(prefix)),
        "limit": str(limit),
        "revision": str(revision),
    }


def txn_body(
    key: str, expected_revision: int, value: bytes | None, lease_id: int
) -> dict[str, Any]:
    """Build a transaction that writes if the key is at a revision, and else reads the key."""
    packed_key = _encode_base64(key.encode())
    compare = {
        "key": packed_key,
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(expected_revision),
    }
    if value is None:
        write: dict[str, Any] = {"request_delete_range": {"key": packed_key}}
    else:
        put = {"key": packed_key, "value": _encode_base64(value), "lease": str(lease_id)}
        write = {"request_put": put}
    return {
        "compare": [compare],
        "success": [write],
        "failure": [{"request_range": {"key": packed_key}}],
    }


def watch_body(prefix: str, from_revision: int) -> dict[str, Any]:
    """Build a request to watch the changes below a prefix from a revision on."""
    create = {
        "key": _encode_base64(prefix.encode()),
        "range_end": _encode_base64(_prefix_end(prefix)),
        "start_revision": str(from_revision),
    }
    return {"create_request": create}


def key_value(each: _KeyValue) -> KeyValue:
    """Convert a key-value pair of a reply."""
    return KeyValue(each.key.decode(), each.value, each.mod_revision)


def watch_events(reply: WatchReply) -> Iterable[WatchEvent]:
    """Convert the events in one line of a watch stream."""
    for event in reply.result.events:
        value = None if event.type == "DELETE" else event.kv.value
        yield WatchEvent(event.kv.key.decode(), value, event.kv.mod_revision)


def _encode_base64(data: bytes) -> str:
    return b64encode(data).decode()


def _prefix_end(prefix: str) -> bytes:
    """Return the first key after all keys that start with `prefix`."""
    data = prefix.encode()
    return data[:-1] + bytes([data[-1] + 1])
