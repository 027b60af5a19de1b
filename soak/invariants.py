"""Checks invariants of a run by comparing the records of callers and upstreams."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from soak.callers import CLIENT_TIMEOUT_S, NOT_RUN_STATUSES
from soak.configuration import ROUTES
from soak.customer_checks import UNAUTHORIZED, check_customer
from soak.server import (
    ANSWER_ROW,
    EVENT_ROWS,
    LIMIT_AFTER_S,
    LIMIT_DURATION_S,
    LIMIT_ROW,
    NAMED_LIMIT,
    START_ROW,
    answer_stamp,
    body_digest,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from soak.callers import Attempt, Callers
    from soak.world import World

__all__ = [
    "Execution",
    "GivenAnswer",
    "count_events",
    "find_violations",
    "read_answers",
    "read_executions",
]

EARLY_END_SHARE = 0.7  # of the client timeout; a later end without an answer may be a time-out
RECOVERY_S = 15.0  # after the last fault (the platform's RecoveryS)
MIN_SERVED_FRACTION = 0.25  # of the requests sent after that
LIMIT_SETTLE_S = 3.0  # after that (the platform's ContactS)
LIMIT_WINDOW_S = 4.0
MAX_NAMED_AFTER_S = 3.0  # after an instance is off (the platform's ContactS)
DELIVERED_AFTER_S = 0.5  # of an answer, on links without a fault
MAX_IN_WINDOW = 1.5 * NAMED_LIMIT * LIMIT_WINDOW_S + 5


@dataclass(frozen=True, slots=True)
class Execution:
    """One execution of a request, as logged by its upstream before it began."""

    request_id: str
    upstream: str
    service: str
    digest: str
    started_at: float  # Unix time
    customer: str = ""  # all names that came with it
    key_passed_on: bool = False


@dataclass(frozen=True, slots=True)
class GivenAnswer:
    """The answer to one execution, as logged by its upstream before it was written."""

    upstream: str
    request_id: str
    status: int
    body_digest: str
    readable: bool  # nothing on its connection made it inseparable from other answers
    given_at: float  # Unix time


def _read_rows(world: World) -> list[list[Any]]:
    if not world.run_log.exists():
        return []
    return [json.loads(line) for line in world.run_log.read_text().splitlines()]


def read_executions(world: World) -> list[Execution]:
    """Read the executions that the upstreams have logged."""
    return [Execution(*row) for row in _read_rows(world) if row[0] != ANSWER_ROW]


def read_answers(world: World) -> dict[str, list[GivenAnswer]]:
    """Read the answers that the upstreams have logged, by request id."""
    answers_by_id: dict[str, list[GivenAnswer]] = {}
    for row in _read_rows(world):
        if row[0] == ANSWER_ROW:
            answer = GivenAnswer(*row[1:])
            answers_by_id.setdefault(answer.request_id, []).append(answer)
    return answers_by_id


def count_events(world: World) -> Counter[str]:
    """Count the events that the upstreams have logged, by kind."""
    return Counter(row[0] for row in _read_rows(world) if row[0] in EVENT_ROWS)


def find_violations(
    world: World, callers: Callers, faults_ended_at: float, planned_only: bool
) -> Iterator[str]:
    """Yield a line for each violated invariant; `faults_ended_at` is when the last fault ended."""
    rows = read_executions(world)
    executions = [each for each in rows if each.request_id not in EVENT_ROWS]
    if planned_only:  # a killed or paused daemon is excused, and the log doesn't name daemons
        for row in rows:
            if row.request_id == LIMIT_ROW:
                yield from _check_limit(row, rows)
    executions_by_id: dict[str, list[Execution]] = {}
    for execution in executions:
        executions_by_id.setdefault(execution.request_id, []).append(execution)
        attempt = callers.attempt_by_id.get(execution.request_id)
        if attempt is None or attempt.digest != execution.digest:
            yield f"execution without a matching request: {execution}"
        elif execution.service not in world.allowed_services_by_prefix[attempt.prefix]:
            yield f"executed by a service that no configuration routes to: {execution}"
    answers_by_id = read_answers(world)
    for attempt in callers.attempt_by_id.values():
        given = answers_by_id.get(attempt.id, [])
        if ROUTES[attempt.prefix][0] != "idempotent":
            yield from _check_order(attempt, executions_by_id.get(attempt.id, []), given)
        if world.customers is not None:
            ran = executions_by_id.get(attempt.id, [])
            yield from check_customer(world.customers, attempt, ran, planned_only)
        elif attempt.status == UNAUTHORIZED:
            yield f"valid request refused: {_describe(attempt)}"
        yield from _check_attempt(attempt, planned_only)
        for send in (*attempt.earlier, attempt):
            yield from _check_answer(send, given, planned_only)
    yield from _check_recovery(callers, faults_ended_at)
    yield from _check_addresses(world, callers)


def _check_order(
    attempt: Attempt, executions: list[Execution], given: list[GivenAnswer]
) -> Iterator[str]:
    """Check that an order ran once at most, and not if its last send was refused as not run.

    An earlier send was refused too: the order may only have run since it was sent again.
    """
    details = f"{_describe(attempt)} executions={executions} given={given}"
    if len(executions) > 1:
        yield f"executed {len(executions)} times: {details}"
    if executions and attempt.status in NOT_RUN_STATUSES:
        yield f"answered as not executed, but was executed: {details}"
    elif attempt.earlier and any(each.started_at < attempt.sent_at for each in executions):
        yield f"answered as not executed, but was executed before it was sent again: {details}"


def _check_attempt(attempt: Attempt, planned_only: bool) -> Iterator[str]:
    details = _describe(attempt)
    if attempt.status // 100 == 2 and not (
        len(attempt.stamps) == 1 and attempt.echoed_ids == [attempt.id]
    ):
        yield f"success without the complete answer of an upstream: {details}"
    if attempt.status in (403, 404, 413, 431):
        yield f"valid request refused: {details}"
    lasted_s = attempt.ended_at - attempt.sent_at
    if planned_only and attempt.status == 0 and 0 < lasted_s < EARLY_END_SHARE * CLIENT_TIMEOUT_S:
        yield f"no complete answer, though nothing failed: {details}"


def _check_answer(attempt: Attempt, given: list[GivenAnswer], planned_only: bool) -> Iterator[str]:
    """Check that a caller got the answer of one upstream, as that one gave it."""
    details = f"{_describe(attempt)} stamps={attempt.stamps} given={given}"
    if len(attempt.stamps) > 1:
        yield f"mixed: more than one stamp: {details}"
    if any(each != attempt.id for each in attempt.echoed_ids) or len(attempt.echoed_ids) > 1:
        yield f"mixed: ids {attempt.echoed_ids}: {details}"
    for stamp in attempt.stamps:
        named = [
            each
            for each in given
            if answer_stamp(each.upstream, each.request_id, each.status) == stamp
        ]
        if not named:
            yield f"mixed: a stamp that no upstream gave to this call: {details}"
        elif named[0].status != attempt.status:
            what = "success" if attempt.status // 100 == 2 else "failure"
            yield f"mixed: {what} where the upstream answered {named[0].status}: {details}"
        elif body_digest(attempt.body) not in [each.body_digest for each in named]:
            yield f"mixed: a body that the upstream did not give: {details}"
    if planned_only and attempt.status == 504 and not attempt.stamps:
        for each in given:
            late_s = attempt.ended_at - each.given_at
            if each.readable and each.status == 200 and late_s > DELIVERED_AFTER_S:
                yield f"timed out {late_s:.2f} s after its answer was written: {details}"


def _describe(attempt: Attempt) -> str:
    described = (
        f"id={attempt.id} prefix={attempt.prefix} daemon={attempt.daemon} status={attempt.status}"
        f" sent_at={attempt.sent_at:.3f} ended_at={attempt.ended_at:.3f}"
    )
    for send in attempt.earlier:
        described += f" refused={send.status},{send.daemon},{send.sent_at:.3f},{send.ended_at:.3f}"
    return described


def _check_limit(named: Execution, rows: list[Execution]) -> Iterator[str]:
    """Check the limit that one start of an upstream has named, until its next start."""
    of_upstream = [each for each in rows if each.upstream == named.upstream]
    ends_at = min(
        (
            each.started_at
            for each in of_upstream
            if each.request_id == START_ROW and each.started_at > named.started_at
        ),
        default=named.started_at + LIMIT_DURATION_S,
    )
    # It counts from the start of the process, which may name it late for want of calls.
    began_at = max(
        (
            each.started_at
            for each in of_upstream
            if each.request_id == START_ROW and each.started_at <= named.started_at
        ),
        default=named.started_at - LIMIT_AFTER_S,
    )
    ends_at = min(ends_at, began_at + LIMIT_AFTER_S + LIMIT_DURATION_S)
    times = [
        each.started_at
        for each in of_upstream
        if each.request_id not in EVENT_ROWS
        and named.started_at + LIMIT_SETTLE_S <= each.started_at < ends_at
    ]
    most = max((sum(at <= each < at + LIMIT_WINDOW_S for each in times) for at in times), default=0)
    if most > MAX_IN_WINDOW:
        yield f"limit exceeded: {most} requests in {LIMIT_WINDOW_S} s at {named.upstream}"


def _check_addresses(world: World, callers: Callers) -> Iterator[str]:
    lost_at_by_ip = {each.ip: each.lost_at for each in world.daemons if each.lost_at is not None}
    for answered_at, daemon, named in callers.address_answers:
        for ip in named:
            late_s = answered_at - lost_at_by_ip.get(ip, answered_at)
            if late_s > MAX_NAMED_AFTER_S:
                yield f"{daemon} named {ip} {late_s:.2f} s after it was off, at {answered_at:.3f}"


def _check_recovery(callers: Callers, faults_ended_at: float) -> Iterator[str]:
    later = [
        each
        for each in callers.attempt_by_id.values()
        if each.sent_at > faults_ended_at + RECOVERY_S and each.ended_at
    ]
    served = sum(each.status == 200 for each in later)
    if len(later) >= 20 and served < MIN_SERVED_FRACTION * len(later):
        yield f"not recovered: {served} of {len(later)} requests served after the faults"
