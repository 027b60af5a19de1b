"""Tests of `heatherhead.admission.key_table`."""

from __future__ import annotations

import asyncio

import pytest
from loguru import logger

from heatherhead.admission.grants import Grant, GrantIssuer, create_grant_issuer, parse_key
from heatherhead.admission.key_errors import (
    GrantClosedError,
    GrantExpiredError,
    KeyMismatchError,
    KeyTableFullError,
)
from heatherhead.admission.key_table import (
    KeyInProgress,
    KeyResult,
    KeyRun,
    KeyState,
    KeyTable,
    KeyTableLimits,
    RecordedAnswer,
    create_key_table,
    request_fingerprint,
)
from heatherhead.calls import AttemptState
from heatherhead.exceptions import ReportedOutcome
from heatherhead.tests.base import run_with_paused_clock

LIFETIME_S = 30.0
RETENTION_S = 60.0
NOW = 1_000.0
ANSWER = RecordedAnswer(201, (("Location", "/orders/7"),), b"done")


class Owner:
    """A grant issuer and the key table of the same process."""

    def __init__(self, max_entries: int = 100, max_recorded_bytes: int = 100_000) -> None:
        self.issuer: GrantIssuer = create_grant_issuer("entry-1", "a1", LIFETIME_S)
        limits = KeyTableLimits(max_entries, max_recorded_bytes, 10_000, RETENTION_S)
        self.table: KeyTable = create_key_table(self.issuer, limits)

    def grant(self, now: float = NOW) -> Grant:
        claim = parse_key(f"{self.issuer.issue(now)}.x").unwrap().grant
        return self.issuer.verify(claim).unwrap()

    def begin(self, grant: Grant, caller_id: str = "k", now: float = NOW) -> KeyRun:
        run = self.table.begin(grant, caller_id, 1, now).unwrap()
        assert isinstance(run, KeyRun)
        return run


def finish_with_answer(run: KeyRun, answer: RecordedAnswer | None = ANSWER) -> KeyResult:
    assert run.begin_attempt()
    run.end_attempt(AttemptState.ANSWERED)
    return run.finish_answered(answer)


def test_a_resend_gets_the_recorded_answer() -> None:
    owner = Owner()
    grant = owner.grant()
    finish_with_answer(owner.begin(grant))
    assert owner.table.begin(grant, "k", 1, NOW).unwrap() == KeyResult(KeyState.RECORDED, ANSWER)


def test_resend_after_an_answer_too_large_to_store_is_reported_as_ran() -> None:
    owner = Owner()
    grant = owner.grant()
    finish_with_answer(owner.begin(grant), None)
    error = owner.table.begin(grant, "k", 1, NOW).unwrap().error()
    assert error.outcome is ReportedOutcome.RAN


def test_answers_are_evicted_oldest_first_and_their_keys_stay() -> None:
    owner = Owner(max_recorded_bytes=2 * ANSWER.size_bytes)
    grant = owner.grant()
    for caller_id in "abc":
        finish_with_answer(owner.begin(grant, caller_id))
    states = [owner.table.state(grant, caller_id) for caller_id in "abc"]
    assert states == [KeyState.RAN, KeyState.RECORDED, KeyState.RECORDED]
    assert owner.table.recorded_bytes == 2 * ANSWER.size_bytes


def test_waiters_get_the_result_and_cancelling_one_does_not_affect_the_others() -> None:
    async def scenario() -> None:
        owner = Owner()
        grant = owner.grant()
        run = owner.begin(grant)
        running = owner.table.begin(grant, "k", 1, NOW).unwrap()
        assert isinstance(running, KeyInProgress)
        waits = [asyncio.ensure_future(owner.table.wait(running)) for _ in range(3)]
        await asyncio.sleep(0)
        waits[0].cancel()
        await asyncio.sleep(0)
        finish_with_answer(run)
        ends = await asyncio.gather(*waits, return_exceptions=True)
        assert isinstance(ends[0], asyncio.CancelledError)
        assert ends[1:] == [KeyResult(KeyState.RECORDED, ANSWER)] * 2

    run_with_paused_clock(scenario())


def test_key_reported_as_not_run_never_runs() -> None:
    owner = Owner()
    grant = owner.grant()
    run = owner.begin(grant)
    assert run.begin_attempt()
    run.end_attempt(AttemptState.REFUSED)
    assert run.finish_not_run().state is KeyState.CLOSED
    assert not run.begin_attempt()
    end = owner.table.begin(grant, "k", 1, NOW).unwrap()
    assert end == KeyResult(KeyState.CLOSED)
    assert end.error().outcome is ReportedOutcome.NOT_RUN


@pytest.mark.parametrize("state", [AttemptState.UNKNOWN, AttemptState.ANSWERED, None])
def test_call_that_may_have_run_is_neither_retried_nor_reported_as_not_run(
    state: AttemptState | None,
) -> None:
    owner = Owner()
    run = owner.begin(owner.grant())
    assert run.begin_attempt()
    if state is not None:
        run.end_attempt(state)
    assert not run.begin_attempt()
    assert run.finish_not_run().state is KeyState.UNKNOWN


@pytest.mark.parametrize("state", [AttemptState.UNKNOWN, AttemptState.REFUSED])
def test_call_without_an_answer_is_not_reported_as_ran(state: AttemptState) -> None:
    owner = Owner()
    run = owner.begin(owner.grant())
    assert run.begin_attempt()
    run.end_attempt(state)
    assert run.finish_answered(None).state is KeyState.UNKNOWN


def test_refused_attempt_may_be_retried() -> None:
    owner = Owner()
    run = owner.begin(owner.grant())
    assert run.begin_attempt()
    run.end_attempt(AttemptState.REFUSED)
    assert run.begin_attempt()


def test_unfinished_run_ends_as_unknown_and_a_late_result_is_ignored() -> None:
    owner = Owner()
    grant = owner.grant()
    with pytest.raises(ZeroDivisionError), owner.begin(grant) as run:
        run.begin_attempt()
        raise ZeroDivisionError
    run.end_attempt(AttemptState.REFUSED)
    assert run.finish_not_run().state is KeyState.UNKNOWN
    assert owner.table.state(grant, "k") is KeyState.UNKNOWN


def test_a_full_table_closes_all_grants_issued_so_far_without_an_entry() -> None:
    owner = Owner(max_entries=1)
    first, second = owner.grant(), owner.grant()
    owner.begin(first)
    refused = owner.table.begin(second, "late", 1, NOW).unwrap_err()
    assert isinstance(refused, KeyTableFullError)
    assert len(owner.table) == 1


def test_full_table_is_logged_at_a_limited_rate() -> None:
    lines: list[str] = []
    sink = logger.add(lines.append, format="{message}")
    try:
        owner = Owner(max_entries=1)
        owner.begin(owner.grant())
        for after_s in (0, 1, 9, 11):
            owner.table.begin(owner.grant(NOW + after_s), "k", 1, NOW + after_s)
    finally:
        logger.remove(sink)
    assert lines == ["event=key_table_full entries=1\n"] * 2


def test_rejected_key_stays_rejected_after_the_table_has_room_again() -> None:
    owner = Owner(max_entries=1)
    old = owner.grant()
    owner.begin(old).finish_not_run()
    closed = owner.grant(NOW + 80)
    assert isinstance(owner.table.begin(closed, "k", 1, NOW + 80).unwrap_err(), KeyTableFullError)
    fresh = owner.grant(NOW + 92)
    owner.begin(fresh, now=NOW + 92)
    assert isinstance(owner.table.begin(closed, "k", 1, NOW + 92).unwrap_err(), GrantClosedError)


def test_absent_keys_of_an_expired_grant() -> None:
    owner = Owner()
    grant = owner.grant()
    begin = owner.table.begin
    assert isinstance(begin(grant, "a", 1, NOW + LIFETIME_S).unwrap_err(), GrantExpiredError)
    forgotten = begin(grant, "b", 1, NOW + LIFETIME_S + RETENTION_S).unwrap_err()
    assert forgotten.outcome is ReportedOutcome.UNKNOWN


def test_clock_reading_older_than_a_pause_does_not_revive_an_expired_grant() -> None:
    owner = Owner()
    grant = owner.grant()
    assert owner.table.begin(grant, "k", 1, NOW + LIFETIME_S).is_err()
    assert isinstance(owner.table.begin(grant, "k", 1, NOW).unwrap_err(), GrantExpiredError)


def test_entries_are_kept_until_retention_ends_and_while_in_progress() -> None:
    owner = Owner()
    grant = owner.grant()
    finish_with_answer(owner.begin(grant, "done"))
    running = owner.begin(grant, "running")
    due = NOW + LIFETIME_S + RETENTION_S
    owner.table.begin(owner.grant(due), "x", 1, due - 0.001)
    assert owner.table.state(grant, "done") is KeyState.RECORDED
    owner.table.begin(owner.grant(due), "y", 1, due + 2)
    assert owner.table.state(grant, "done") is KeyState.ABSENT
    assert owner.table.state(grant, "running") is KeyState.RUNNING
    assert owner.table.recorded_bytes == 0
    finish_with_answer(running)


def test_same_key_with_another_request_is_rejected_with_unknown_outcome() -> None:
    owner = Owner()
    grant = owner.grant()
    owner.begin(grant)
    error = owner.table.begin(grant, "k", 2, NOW).unwrap_err()
    assert isinstance(error, KeyMismatchError)
    assert (error.status, error.outcome) == (422, ReportedOutcome.UNKNOWN)


def test_different_requests_have_different_fingerprints() -> None:
    one = request_fingerprint("POST", "/orders", 10)
    assert one == request_fingerprint("POST", "/orders", 10)
    others = [("PUT", "/orders", 10), ("POST", "/orders/7", 10), ("POST", "/orders", None)]
    assert one not in [request_fingerprint(*other) for other in others]
