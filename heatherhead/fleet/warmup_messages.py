"""Messages on cold upstreams: what is known of them, and permits to send calls there.

A request names several cold upstreams any of which would do. When all upstreams of a zone become
cold at once, an instance then sends a datagram for its waiting calls and not one for each upstream.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from heatherhead.dispatch.warmup import WarmupRow

__all__ = [
    "WARMUP_KINDS",
    "WarmupGrant",
    "WarmupMessage",
    "WarmupPermitReply",
    "WarmupPermitRequest",
    "WarmupReport",
    "decode_warmup",
    "decode_warmup_message",
    "encode_warmup",
    "warmup_fields",
]

# Apart from the other kinds, which are numbered from 0.
_REPORT, _REQUEST, _REPLY = WARMUP_KINDS = (20, 21, 22)


@dataclass(frozen=True, slots=True)
class WarmupReport:
    """Warm-ups of upstreams, as an instance knows them."""

    sender: str
    rows: tuple[WarmupRow, ...]


@dataclass(frozen=True, slots=True)
class WarmupPermitRequest:
    """Asks for so many permits for any of some cold upstreams; the reply names the `number`."""

    sender: str
    number: int
    wanted: int
    rows: tuple[WarmupRow, ...]  # as the sender knows them


@dataclass(frozen=True, slots=True)
class WarmupGrant:
    """The permits for one of the upstreams, with its warm-up as the issuer knows it."""

    permits: int
    row: WarmupRow


@dataclass(frozen=True, slots=True)
class WarmupPermitReply:
    """Issues permits, and tells which upstreams are not cold to the issuer.

    Those that are not named may have permits after `wait_s`.
    """

    sender: str
    number: int
    wait_s: float
    grants: tuple[WarmupGrant, ...]


WarmupMessage = WarmupReport | WarmupPermitRequest | WarmupPermitReply


def warmup_fields(message: WarmupMessage) -> list[Any]:
    """Return the kind and the fields of a message."""
    match message:
        case WarmupReport():
            return [_REPORT, message.sender, [encode_warmup(row) for row in message.rows]]
        case WarmupPermitRequest():
            rows = [encode_warmup(row) for row in message.rows]
            return [_REQUEST, message.sender, message.number, message.wanted, rows]
        case WarmupPermitReply():
            grants = [[each.permits, *encode_warmup(each.row)] for each in message.grants]
            wait_ms = round(message.wait_s * 1000)
            return [_REPLY, message.sender, message.number, wait_ms, grants]


def decode_warmup_message(kind: int, sender: str, fields: list[Any]) -> WarmupMessage:
    """Decode a message; raises `ValueError`, `TypeError` or `LookupError` if it is malformed."""
    if kind == _REPORT:
        return WarmupReport(sender, _rows(fields[0]))
    number = int(fields[0])
    if kind == _REQUEST:
        return WarmupPermitRequest(sender, number, int(fields[1]), _rows(fields[2]))
    grants = tuple(WarmupGrant(int(each[0]), decode_warmup(each[1:])) for each in fields[2])
    return WarmupPermitReply(sender, number, _seconds(fields[1]), grants)


def encode_warmup(row: WarmupRow) -> list[Any]:
    """Return the row of a warm-up in messages and relay streams."""
    left_ms = math.ceil(row.left_s * 1000)  # no instance ends a warm-up before another
    age_ms = round(row.age_s * 1000)
    return [row.upstream_id, row.started_ms, left_ms, age_ms, row.revision, row.from_answer]


def decode_warmup(row: list[Any]) -> WarmupRow:
    """Decode a warm-up; raises `ValueError` or `TypeError` if it is malformed."""
    upstream_id, started_ms, left_ms, age_ms, revision, from_answer = row[:6]
    return WarmupRow(
        str(upstream_id),
        int(started_ms),
        _seconds(left_ms),
        _seconds(age_ms),
        int(revision),
        bool(from_answer),
    )


def _rows(rows: list[Any]) -> tuple[WarmupRow, ...]:
    return tuple(decode_warmup(row) for row in rows)


def _seconds(milliseconds: Any) -> float:
    """Return a time in seconds; raises `ValueError` if it is not finite."""
    seconds = float(milliseconds) / 1000
    if not math.isfinite(seconds):
        raise ValueError(f"{seconds} is not finite")
    return max(0.0, seconds)
