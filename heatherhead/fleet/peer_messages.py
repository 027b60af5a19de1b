"""Messages between instances, encoded as versioned msgpack arrays in datagrams."""

from __future__ import annotations

import math
from dataclasses import astuple, dataclass, field
from functools import singledispatch
from typing import Any

import msgpack

from heatherhead.dispatch.contention import ContentionEvidence
from heatherhead.dispatch.crashes import CrashedStart, CrashReport
from heatherhead.fleet.warmup_messages import (
    WARMUP_KINDS,
    WarmupMessage,
    WarmupPermitReply,
    WarmupPermitRequest,
    WarmupReport,
    decode_warmup_message,
    warmup_fields,
)

__all__ = [
    "CallCounts",
    "CrashNotice",
    "ContentionReport",
    "HomeStatus",
    "LeaveNotice",
    "LoadReport",
    "PeerMessage",
    "PermitReply",
    "PermitRequest",
    "RateLimitReport",
    "RateLimitRow",
    "ReachReport",
    "UsageBalance",
    "UsageBalanceRow",
    "UsageReport",
    "UsageReportRow",
    "decode_crashes",
    "decode_limit",
    "decode_message",
    "encode_crashes",
    "encode_limit",
    "encode_message",
]

VERSION = 1
# Raised by fields of another type, number or range than a message has.
_MALFORMED = (
    ValueError,
    TypeError,
    AttributeError,
    LookupError,
    ArithmeticError,
    msgpack.UnpackException,
)
(
    _STATUS,
    _LOADS,
    _CRASH,
    _LEAVE,
    _COUNTS,
    _CONTENTION,
    _RATE_LIMITS,
    _PERMIT_REQUEST,
    _PERMIT_REPLY,
    _REACH,
    _USAGE_REPORT,
    _USAGE_BALANCE,
) = range(12)


@dataclass(frozen=True, slots=True)
class HomeStatus:
    """The periodic status of a home; `revision` is that of its replica of the store."""

    sender: str
    incarnation: str
    ready: bool
    revision: int
    verified_age_s: float  # since any home last requested the store's revision
    store_ok: bool  # this home watches the store, and the store answers
    calls_per_s: int = 0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Loads that a home read: (upstream id, running, waiting, slots, slowdown, age in s)."""

    sender: str
    rows: tuple[tuple[str, int, int, int, float | None, float], ...] = ()


@dataclass(frozen=True, slots=True)
class CallCounts:
    """Calls that a home has in flight, by upstream; a complete list (`complete`) omits zeros."""

    sender: str
    complete: bool
    count_by_id: dict[str, int]


@dataclass(frozen=True, slots=True)
class CrashNotice:
    """The crashes of upstreams by one request."""

    sender: str
    report: CrashReport


@dataclass(frozen=True, slots=True)
class LeaveNotice:
    """An instance leaves; callers are no longer sent to this incarnation of it."""

    sender: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class ContentionReport:
    """A home's evidence of contention on full upstreams, by service."""

    sender: str
    evidence_by_service: dict[str, ContentionEvidence]


@dataclass(frozen=True, slots=True)
class RateLimitRow:
    """What an instance knows of the rate limit of one start of an upstream."""

    upstream_id: str
    started_ms: int
    calls_per_s: float | None  # None: it names no limit
    age_s: float = field(compare=False)  # of the evidence
    named_by_health_checks: bool


@dataclass(frozen=True, slots=True)
class RateLimitReport:
    """Rate limits of upstreams, as an instance knows them."""

    sender: str
    rows: tuple[RateLimitRow, ...]


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """Asks for permits to send calls to an upstream under its rate limit."""

    sender: str
    wanted: int
    limit: RateLimitRow  # as the sender knows it
    number: int = 0  # that the reply names; earlier versions have none


@dataclass(frozen=True, slots=True)
class PermitReply:
    """Issues permits for an upstream; `wait_s` is the time until there may be more.

    `number` is that of the request, so that a reply counts once; earlier versions name none.
    """

    sender: str
    permits: int
    wait_s: float
    limit: RateLimitRow  # as the issuer knows it
    number: int = 0


@dataclass(frozen=True, slots=True)
class ReachReport:
    """The services out of an instance's reach; `cut` if these are all that have upstreams.

    Sent as long as there is one, and once when there is none any more.
    """

    sender: str
    cut: bool
    lost_services: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class UsageReportRow:
    """What an instance has got and wants of a customer's tokens; `account` is 0 at first."""

    customer: str
    account: int
    received: int  # in total
    returned: int  # in total
    waiting: int  # calls
    deficit: int  # of the credit


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Lends a share of the caps of a group of customers, and asks for tokens.

    `epoch` and `stamp_ms` are those of the last balance: the loan counts from that on. Later reports
    have a greater `number`. One without a share gives back the loan.
    """

    sender: str
    incarnation: str
    group: str
    epoch: int
    stamp_ms: int
    share: float
    number: int
    rows: tuple[UsageReportRow, ...] = ()


@dataclass(frozen=True, slots=True)
class UsageBalanceRow:
    """The tokens granted to an instance so far; with a wait, it was granted too few."""

    customer: str
    account: int
    granted: int  # in total
    wait_s: float


@dataclass(frozen=True, slots=True)
class UsageBalance:
    """The answer to a `UsageReport`; `stamp_ms` is the time of this start (`epoch`) of the sender.

    `lent` is the sum of the shares that the sender was lent for the group, `number` that of the report.
    """

    sender: str
    group: str
    epoch: int
    stamp_ms: int
    lent: float
    number: int
    rows: tuple[UsageBalanceRow, ...] = ()


PeerMessage = (
    HomeStatus
    | LoadReport
    | CallCounts
    | CrashNotice
    | LeaveNotice
    | ContentionReport
    | RateLimitReport
    | PermitRequest
    | PermitReply
    | ReachReport
    | WarmupMessage
    | UsageReport
    | UsageBalance
)


@singledispatch
def _row_of(message: object) -> list[Any]:
    raise TypeError(f"no datagram for {type(message).__name__}")


@_row_of.register
def _(message: HomeStatus) -> list[Any]:
    return [
        _STATUS,
        message.sender,
        message.incarnation,
        message.ready,
        message.revision,
        round(message.verified_age_s * 1000),
        message.store_ok,
        message.calls_per_s,
    ]


@_row_of.register
def _(message: LoadReport) -> list[Any]:
    rows = [
        [name, running, waiting, slots, _percent(slowdown), round(age_s * 1000)]
        for name, running, waiting, slots, slowdown, age_s in message.rows
    ]
    return [_LOADS, message.sender, rows]


@_row_of.register
def _(message: CallCounts) -> list[Any]:
    return [_COUNTS, message.sender, message.complete, message.count_by_id]


@_row_of.register
def _(message: ContentionReport) -> list[Any]:
    rows = {
        name: [round(figure, 3) for figure in astuple(evidence)]
        for name, evidence in message.evidence_by_service.items()
    }
    return [_CONTENTION, message.sender, rows]


@_row_of.register
def _(message: CrashNotice) -> list[Any]:
    return [_CRASH, message.sender, *encode_crashes(message.report)]


@_row_of.register
def _(message: LeaveNotice) -> list[Any]:
    return [_LEAVE, message.sender, message.incarnation]


@_row_of.register
def _(message: RateLimitReport) -> list[Any]:
    return [_RATE_LIMITS, message.sender, [encode_limit(row) for row in message.rows]]


@_row_of.register
def _(message: PermitRequest) -> list[Any]:
    limit = encode_limit(message.limit)
    return [_PERMIT_REQUEST, message.sender, message.wanted, limit, message.number]


@_row_of.register
def _(message: PermitReply) -> list[Any]:
    wait_ms = round(message.wait_s * 1000)
    limit = encode_limit(message.limit)
    return [_PERMIT_REPLY, message.sender, message.permits, wait_ms, limit, message.number]


@_row_of.register
def _(message: ReachReport) -> list[Any]:
    return [_REACH, message.sender, message.cut, message.lost_services]


@_row_of.register(WarmupReport)
@_row_of.register(WarmupPermitRequest)
@_row_of.register(WarmupPermitReply)
def _(message: WarmupMessage) -> list[Any]:
    return warmup_fields(message)


@_row_of.register
def _(message: UsageReport) -> list[Any]:
    rows = [
        [row.customer, row.account, row.received, row.returned, row.waiting, row.deficit]
        for row in message.rows
    ]
    terms = [message.group, message.epoch, message.stamp_ms, message.share, message.number]
    return [_USAGE_REPORT, message.sender, message.incarnation, *terms, rows]


@_row_of.register
def _(message: UsageBalance) -> list[Any]:
    rows = [
        [row.customer, row.account, row.granted, round(row.wait_s * 1000)] for row in message.rows
    ]
    return [
        _USAGE_BALANCE,
        message.sender,
        message.group,
        message.epoch,
        message.stamp_ms,
        message.lent,
        message.number,
        rows,
    ]


def encode_message(message: PeerMessage) -> bytes:
    """Encode a message."""
    packed: bytes = msgpack.packb([VERSION, *_row_of(message)])
    return packed


def decode_message(data: bytes) -> PeerMessage | None:
    """Decode a datagram; None for one that this version can't read."""
    try:
        version, kind, sender, *rest = msgpack.unpackb(data)
        if version != VERSION:
            return None
        if kind == _STATUS:
            incarnation, ready, revision, age_ms, store_ok, calls_per_s = rest
            return HomeStatus(
                str(sender),
                str(incarnation),
                bool(ready),
                int(revision),
                _finite(age_ms) / 1000,
                bool(store_ok),
                int(calls_per_s),
            )
        if kind == _LOADS:
            return LoadReport(str(sender), tuple(_load_row(row) for row in rest[0]))
        if kind == _COUNTS:
            counts = {str(name): int(count) for name, count in rest[1].items()}
            return CallCounts(str(sender), bool(rest[0]), counts)
        if kind == _CONTENTION:
            evidence = {str(name): _evidence(row) for name, row in rest[0].items()}
            return ContentionReport(str(sender), evidence)
        if kind == _CRASH:
            return CrashNotice(str(sender), decode_crashes(rest))
        if kind == _LEAVE:
            return LeaveNotice(str(sender), str(rest[0]))
        if kind == _RATE_LIMITS:
            return RateLimitReport(str(sender), tuple(decode_limit(row) for row in rest[0]))
        if kind == _PERMIT_REQUEST:
            limit, number = decode_limit(rest[1]), _number(rest, 2)
            return PermitRequest(str(sender), int(rest[0]), limit, number)
        if kind == _PERMIT_REPLY:
            wait_s = _finite(rest[1]) / 1000
            limit, number = decode_limit(rest[2]), _number(rest, 3)
            return PermitReply(str(sender), int(rest[0]), wait_s, limit, number)
        if kind == _REACH:
            return ReachReport(str(sender), bool(rest[0]), tuple(str(each) for each in rest[1]))
        if kind in WARMUP_KINDS:
            return decode_warmup_message(kind, str(sender), rest)
        if kind == _USAGE_REPORT:
            return _usage_report(str(sender), rest)
        if kind == _USAGE_BALANCE:
            group, epoch, stamp_ms, lent, number, rows = rest
            return UsageBalance(
                str(sender),
                str(group),
                int(epoch),
                int(stamp_ms),
                _share(lent),
                _count(number),
                tuple(_usage_balance_row(row) for row in rows),
            )
    except _MALFORMED:
        return None
    return None


def _number(fields: list[Any], position: int) -> int:
    """Return the number of a question, 0 from earlier versions, which have none."""
    return int(fields[position]) if len(fields) > position else 0


def _finite(figure: Any) -> float:
    """Return a figure as a float; raises `ValueError` if it is not finite."""
    number = float(figure)
    if not math.isfinite(number):
        raise ValueError(f"{number} is not finite")
    return number


def encode_crashes(report: CrashReport) -> list[Any]:
    """Return the crashes by a request in messages and relay streams; earlier versions count them."""
    starts = [[start.name, round(start.age_s * 1000)] for start in report.starts]
    answered_age_s = report.answered_age_s
    answered_age_ms = None if answered_age_s is None else round(answered_age_s * 1000)
    return [report.fingerprint, report.crashes, starts, answered_age_ms]


def decode_crashes(row: list[Any]) -> CrashReport:
    """Decode the crashes by a request; raises `ValueError` or `TypeError` if it is malformed."""
    fingerprint, crashes, starts, answered_age_ms = [*row, (), None][:4]
    return CrashReport(
        int(fingerprint),
        int(crashes),
        tuple(CrashedStart(str(name), _age_s(age_ms)) for name, age_ms in starts),
        None if answered_age_ms is None else _age_s(answered_age_ms),
    )


def _age_s(age_ms: Any) -> float:
    return max(0.0, _finite(age_ms) / 1000)


def encode_limit(row: RateLimitRow) -> list[Any]:
    """Return the row of a rate limit in messages and relay streams."""
    age_ms = round(row.age_s * 1000)
    health = row.named_by_health_checks
    return [row.upstream_id, row.started_ms, row.calls_per_s, age_ms, health]


def decode_limit(row: list[Any]) -> RateLimitRow:
    """Decode a rate limit; raises `ValueError` or `TypeError` if it is malformed."""
    upstream_id, started_ms, calls_per_s, age_ms, health = row
    limit = None if calls_per_s is None else _finite(calls_per_s)
    if limit is not None and limit < 0:
        raise ValueError(f"{limit} is no rate")
    age_s = max(0.0, _finite(age_ms) / 1000)
    return RateLimitRow(str(upstream_id), int(started_ms), limit, age_s, bool(health))


def _usage_report(sender: str, fields: list[Any]) -> UsageReport:
    incarnation, group, epoch, stamp_ms, share, number, rows = fields
    return UsageReport(
        sender,
        str(incarnation),
        str(group),
        int(epoch),
        int(stamp_ms),
        _share(share),
        _count(number),
        tuple(_usage_report_row(row) for row in rows),
    )


def _usage_report_row(row: list[Any]) -> UsageReportRow:
    customer, *counts = row
    account, received, returned, waiting, deficit = (_count(each) for each in counts)
    return UsageReportRow(str(customer), account, received, returned, waiting, deficit)


def _usage_balance_row(row: list[Any]) -> UsageBalanceRow:
    customer, account, granted, wait_ms = row
    wait_s = max(0.0, _finite(wait_ms) / 1000)
    return UsageBalanceRow(str(customer), _count(account), _count(granted), wait_s)


def _share(figure: Any) -> float:
    share = _finite(figure)
    if not 0.0 <= share <= 1.0:
        raise ValueError(f"{share} is no share")
    return share


def _count(figure: Any) -> int:
    number = int(figure)
    if number < 0:
        raise ValueError(f"{number} is no count")
    return number


def _evidence(row: list[Any]) -> ContentionEvidence:
    answers, full_share, full_share_squared, service_time, product = map(_finite, row)
    return ContentionEvidence(answers, full_share, full_share_squared, service_time, product)


def _percent(slowdown: float | None) -> int | None:
    return None if slowdown is None else round(slowdown * 100)


def _load_row(row: list[Any]) -> tuple[str, int, int, int, float | None, float]:
    name, running, waiting, slots, percent, age_ms = row
    slowdown = None if percent is None else _finite(percent) / 100
    return str(name), int(running), int(waiting), int(slots), slowdown, _finite(age_ms) / 1000
