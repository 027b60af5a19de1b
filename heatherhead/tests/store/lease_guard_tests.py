"""Tests of `heatherhead.store.lease_guard`."""

from __future__ import annotations

import asyncio

import pytest

from heatherhead.store import LeaseExpiredError
from heatherhead.store.lease_guard import LeaseGuard, create_lease_guard
from heatherhead.tests.base import PausedClockLoop, run_with_paused_clock

NOW = 1_000.0
TTL_S = 10.0
MARGIN_S = 0.5
MAX_DRIFT_FRACTION = 0.01
USABLE_S = TTL_S * (1 - MAX_DRIFT_FRACTION) - MARGIN_S


def create_held_guard(lease_id: int = 7) -> LeaseGuard:
    guard = create_lease_guard(MARGIN_S, MAX_DRIFT_FRACTION)
    guard.record_grant(lease_id, TTL_S, NOW)
    return guard


@pytest.mark.parametrize(
    ("after_s", "allowed"), [(USABLE_S - 0.01, True), (USABLE_S + 0.01, False)]
)
def test_actions_stop_before_the_lease_ends_by_margin_and_drift(
    after_s: float, allowed: bool
) -> None:
    assert create_held_guard().permit(NOW + after_s).is_ok() is allowed


def test_an_action_that_would_end_after_the_lease_does_not_begin() -> None:
    assert create_held_guard().permit(NOW + 5, duration_s=USABLE_S - 5 + 0.01).is_err()
    assert create_held_guard().permit(NOW + 5, duration_s=USABLE_S - 5 - 0.01).is_ok()


def test_no_permit_without_a_lease() -> None:
    assert isinstance(create_lease_guard().permit(NOW).unwrap_err(), LeaseExpiredError)


def test_a_pause_between_check_and_action_stops_the_action() -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, PausedClockLoop)
        guard = create_lease_guard(MARGIN_S, MAX_DRIFT_FRACTION)
        guard.record_grant(7, TTL_S, loop.time())
        permit = guard.permit(loop.time()).unwrap()
        assert guard.is_valid(permit, loop.time())
        loop.advance(TTL_S)
        assert not guard.is_valid(permit, loop.time())
        assert guard.remaining_s(loop.time()) == 0.0

    run_with_paused_clock(scenario())


def test_clock_reading_older_than_a_pause_does_not_revive_an_expired_lease() -> None:
    guard = create_held_guard()
    assert guard.permit(NOW + TTL_S).is_err()
    assert guard.permit(NOW).is_err()


def test_renewal_counts_from_its_sending_and_a_late_reply_does_not_shorten_it() -> None:
    guard = create_held_guard()
    guard.record_grant(7, TTL_S, sent_at=NOW + 4)
    guard.record_grant(7, TTL_S, sent_at=NOW + 2)
    assert guard.remaining_s(NOW + 4) == pytest.approx(USABLE_S)


def test_permit_is_invalid_after_its_lease_is_lost() -> None:
    guard = create_held_guard()
    permit = guard.permit(NOW).unwrap()
    guard.record_loss()
    assert not guard.is_valid(permit, NOW)
    guard.record_grant(8, TTL_S, NOW)
    assert not guard.is_valid(permit, NOW)
    assert guard.permit(NOW).unwrap().lease_id == 8
