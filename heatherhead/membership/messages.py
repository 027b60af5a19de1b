"""The codec of peer messages: numbered dataclasses, packed as msgpack arrays."""

from __future__ import annotations

from dataclasses import fields
from typing import TYPE_CHECKING, TypeVar

import msgpack

from heatherhead.exceptions import PeerProtocolError

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["MAX_MESSAGE_BYTES", "PROTOCOL_VERSION", "decode", "encode", "peer_message"]

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 2 * 1024 * 1024

MessageT = TypeVar("MessageT")

_class_by_number: dict[int, type] = {}
_number_by_class: dict[type, int] = {}


def peer_message(number: int) -> Callable[[type[MessageT]], type[MessageT]]:
    """Register a dataclass as the peer message `number`.

    Fields hold only values that msgpack encodes natively. A number is never reused. Ranges:
    1-19 membership, 20-39 configuration, 40-59 routing, 60-79 callers.
    """

    def register(cls: type[MessageT]) -> type[MessageT]:
        if number in _class_by_number:
            raise ValueError(f"peer message number {number} is taken; choose a free one")
        _class_by_number[number] = cls
        _number_by_class[cls] = number
        return cls

    return register


def encode(message: object) -> bytes:
    """Pack a registered message."""
    number = _number_by_class[type(message)]
    values = [getattr(message, each.name) for each in fields(message)]  # type: ignore[arg-type]
    return msgpack.packb([number, *values])


def decode(data: bytes) -> object | None:
    """Unpack a message; return `None` for an unknown number.

    Raises `PeerProtocolError` for malformed data.
    """
    try:
        if len(data) > MAX_MESSAGE_BYTES:
            raise ValueError(f"{len(data)} bytes exceed the limit")
        number, *values = msgpack.unpackb(data)
        cls = _class_by_number.get(number)
        return cls(*values) if cls else None
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise PeerProtocolError(
            f"unreadable peer message: {error}",
            remedy="check that the peers port is reached by heatherhead instances only",
        ) from error
