"""Tests of the decisions in `heatherhead.dispatch` that need no event loop."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from heatherhead.dispatch.admission_queue import AdmissionQueue, CapacityEstimate, WaitingCall
from heatherhead.dispatch.budget import create_retry_budget, slack_of
from heatherhead.dispatch.contention import Contention
from heatherhead.dispatch.crashes import CrashReport, ReportEffect, create_crash_table
from heatherhead.dispatch.estimates import ClientTimeoutEstimate, RouteEstimate
from heatherhead.dispatch.hedging import worth_hedging
from heatherhead.dispatch.placement import place
from heatherhead.dispatch.retry_after import RetryAfterSchedule
from heatherhead.dispatch.upstream_state import LoadReading
from heatherhead.tests.dispatch.fakes import create_demand, create_state

if TYPE_CHECKING:
    from heatherhead.dispatch.demand import Demand

NOW = 100.0
BASELINE = 2.0


def test_upstream_with_a_fresh_high_slowdown_gets_no_call() -> None:
    slow, fast = create_state("slow", 7.0), create_state("quick", 1.0, own=2)
    assert place([slow, fast], create_demand(), (), NOW, BASELINE).upstream is fast


def test_reading_decays_to_the_average_of_the_service() -> None:
    state = create_state("slow", 7.0)
    assert state.slowdown_now(NOW + 0.1, BASELINE) == 7.0
    assert 2.0 < state.slowdown_now(NOW + 1.0, BASELINE) < 4.0
    assert abs(state.slowdown_now(NOW + 10.0, BASELINE) - BASELINE) < 0.01


def test_call_waits_for_a_fast_upstream_instead_of_using_a_slow_one() -> None:
    slow, full = create_state("slow", 7.0), create_state("full", 1.0, own=4)
    placement = place([slow, full], create_demand(), (), NOW, BASELINE)
    assert placement.upstream is None
    assert "soon free" in placement.reason


def test_call_behind_many_others_uses_the_slow_upstream() -> None:
    slow, full = create_state("slow", 7.0), create_state("full", 1.0, own=4)
    assert place([slow, full], create_demand(), (), NOW, BASELINE, ahead=40).upstream is slow


def test_upload_stays_in_its_zone_and_a_small_call_may_leave_it() -> None:
    near = create_state("near", 1.0, own=1)
    far = create_state("far", 1.0, local_zone=False, transit_s=0.002)
    near_slow = create_state("near", 2.0)
    upload = create_demand(size_bytes=60_000)
    assert place([near, far], upload, (), NOW, BASELINE).upstream is near
    assert place([near_slow, far], create_demand(), (), NOW, BASELINE).upstream is far


def test_other_region_is_used_only_if_the_local_one_answers_later() -> None:
    far = create_state("far", 1.0, local_zone=False, local_region=False, transit_s=0.045)
    assert (
        place([create_state("near", 1.5), far], create_demand(), (), NOW, BASELINE).upstream
        is not far
    )
    assert (
        place([create_state("near", 7.0), far], create_demand(), (), NOW, BASELINE).upstream is far
    )


def test_upstream_without_load_readings_is_assumed_half_full() -> None:
    state = create_state("unread", 1.0, now=0.0)
    assert state.free_slots(NOW) == 2
    state.own_in_flight = 2
    assert state.free_slots(NOW) == 0


def test_failing_upstream_is_avoided_until_its_failure_rate_decays() -> None:
    failing, healthy = create_state("failing"), create_state("well", 2.0)
    for _ in range(5):
        failing.record_outcome(True, NOW)
    assert place([failing, healthy], create_demand(), (), NOW, BASELINE).upstream is healthy
    later = NOW + 12.0
    for state in (failing, healthy):
        state.apply_reading(LoadReading(0, 0, 4, state.slowdown, later))
    assert (
        place([failing, healthy], create_demand(now=later), (), later, BASELINE).upstream is failing
    )


def test_ejection_time_doubles_and_is_reset_by_a_success() -> None:
    state = create_state("dark")
    state.eject(NOW)
    first_s = state.ejected_until - NOW
    state.eject(NOW)
    assert state.ejected_until - NOW == 2 * first_s
    state.record_outcome(False, NOW)
    state.eject(NOW)
    assert state.ejected_until - NOW == first_s


def test_occupancy_counts_calls_of_peers_and_for_a_while_unattributed_calls() -> None:
    state = create_state("shared", own=1)
    state.reported_by_peer["p"] = 2
    state.apply_reading(LoadReading(4, 0, 4, 1.0, NOW + 0.01))
    assert state.occupancy(NOW + 0.02) == 4
    assert state.occupancy(NOW + 1.0) == 3


def _waiting(loop: asyncio.AbstractEventLoop, **changes: object) -> WaitingCall:
    return WaitingCall(create_demand(**changes), (), loop.create_future(), NOW)  # type: ignore[arg-type]


def test_calls_that_can_meet_their_target_precede_late_ones() -> None:
    loop = asyncio.new_event_loop()
    waiting = AdmissionQueue()
    late = _waiting(loop, target_at=NOW + 0.01, priority=0)
    urgent = _waiting(loop, target_at=NOW + 0.5, priority=0)
    soon = _waiting(loop, target_at=NOW + 0.2, priority=1)
    sooner = _waiting(loop, target_at=NOW + 0.1, priority=1)
    for call in (late, soon, sooner, urgent):
        waiting.add(call)
    assert waiting.in_order(NOW) == [urgent, sooner, soon, late]
    loop.close()


def test_call_that_can_no_longer_be_answered_is_infeasible() -> None:
    loop = asyncio.new_event_loop()
    waiting = AdmissionQueue()
    infeasible = _waiting(loop, give_up_at=NOW + 0.05)
    waiting.add(infeasible)
    waiting.add(_waiting(loop))
    assert waiting.infeasible(NOW, CapacityEstimate(4.0), arrivals_per_s=0.0) == [infeasible]
    loop.close()


def test_call_behind_too_many_urgent_ones_is_infeasible_before_its_timeout() -> None:
    loop = asyncio.new_event_loop()
    waiting = AdmissionQueue()
    moved_back = _waiting(loop, give_up_at=NOW + 0.5, target_at=NOW)
    waiting.add(moved_back)
    for _ in range(10):
        waiting.add(_waiting(loop))
    assert waiting.infeasible(NOW, CapacityEstimate(1.0), arrivals_per_s=0.0) == [moved_back]
    assert waiting.infeasible(NOW, CapacityEstimate(8.0), arrivals_per_s=0.0) == []
    assert waiting.infeasible(NOW, CapacityEstimate(8.0), arrivals_per_s=150.0) == [moved_back]
    loop.close()


def test_retry_of_a_caller_waits_behind_first_requests_that_can_meet_their_target() -> None:
    """After a power loss, callers of several seconds retry at once, on top of the normal load."""
    loop = asyncio.new_event_loop()
    waiting = AdmissionQueue()
    retry = _waiting(loop, target_at=NOW + 0.1, waited_before_s=0.5)
    waiting.add(retry)
    first_time = _waiting(loop, target_at=NOW + 0.2)
    assert waiting.ahead_of(first_time.demand, NOW) == 0
    waiting.add(first_time)
    assert waiting.in_order(NOW) == [first_time, retry]
    assert waiting.ahead_of(retry.demand, NOW) == 2
    loop.close()


def test_earlier_wait_of_a_caller_is_estimated_from_its_remaining_time() -> None:
    timeouts = ClientTimeoutEstimate()
    first = [timeouts.waited_before_s(1.7 + 0.01 * (n % 30)) for n in range(300)]
    assert max(first) == 0.0
    retries = [timeouts.waited_before_s(0.6) for _ in range(20)]
    assert all(0.8 < waited_s < 1.4 for waited_s in retries)


def test_rare_answers_change_the_service_time_no_faster_than_frequent_ones() -> None:
    """At a home with a call every few seconds the estimate was that of the last answer."""
    estimate = RouteEstimate()
    for _ in range(30):
        estimate.record(0.1, 1000, NOW)
    estimate.record(0.15, 1000, NOW + 5.0)
    assert estimate.work_s < 0.105
    estimate.record(0.07, 1000, NOW + 10.0)
    assert estimate.work_s > 0.098


def test_one_very_long_client_timeout_does_not_make_all_other_callers_late() -> None:
    timeouts = ClientTimeoutEstimate()
    for _ in range(100):
        timeouts.waited_before_s(2.0)
    timeouts.waited_before_s(60.0)
    assert timeouts.waited_before_s(2.0) == 0.0


def test_retry_after_times_of_rejected_callers_are_spread() -> None:
    schedule = RetryAfterSchedule()
    times = [schedule.next_retry_after_s(NOW, 0.1, 0.02) for _ in range(5)]
    steps = [round(later - earlier, 3) for earlier, later in zip(times, times[1:], strict=False)]
    assert round(times[0], 6) >= 0.1
    assert steps == [0.02] * 4


def test_budget_bounds_extra_attempts_of_all_instances() -> None:
    slacks = [slack_of(56.0, 2, 4, is_home=is_home) for is_home in (True, True, False, False)]
    budgets = [create_retry_budget(0.2, 10.0, slack) for slack in slacks]
    calls = extra_attempts = 0
    demand = create_demand()
    for step in range(1000):
        now = NOW + step * 0.01
        budget = budgets[step % 4]
        budget.record_call(now)
        calls += 1
        extra_attempts += budget.try_spend(now, demand) + budget.try_retry(now, demand)
    assert extra_attempts <= 0.2 * calls + 56.0


def test_slack_is_not_overspent_by_homes_that_have_just_changed() -> None:
    """A home fails, another instance replaces it, and one more assumes that it is a home too."""
    homes, members = 6, 14
    spent = 8 * slack_of(56.0, homes, members, is_home=True)
    spent += (members - homes) * slack_of(56.0, homes, members, is_home=False)
    assert spent <= 56.0


def test_budget_expires_what_left_the_window() -> None:
    budget, demand = create_retry_budget(0.0, 10.0, 2.0), create_demand()
    assert [budget.try_spend(NOW, demand) for _ in range(3)] == [True, True, False]
    assert budget.try_spend(NOW + 10.1, demand)


def _retries_of_a_shedding_service(priorities: tuple[int, int]) -> list[float]:
    """Return which part of the refused calls two routes may retry, while half are refused for 8 s.

    The first route has 10 calls a second, the second 60.
    """
    budget = create_retry_budget(0.2, 10.0, 30.0)
    for n in range(700):
        budget.record_call(NOW - 10.0 + n / 70)
    demands = [create_demand(priority=priority) for priority in priorities]
    refused, retried = [0, 0], [0, 0]
    for n in range(560):
        now = NOW + n / 70
        budget.record_call(now)
        route = int(n % 7 > 0)
        if n // 7 % 2:
            refused[route] += 1
            retried[route] += budget.try_retry(now, demands[route])
    return [done / wanted for done, wanted in zip(retried, refused, strict=True)]


def test_retries_of_urgent_calls_are_lost_to_those_of_other_routes() -> None:
    """Upstreams refused half of all calls; orders were retried no more often than reads."""
    orders, reads = _retries_of_a_shedding_service((0, 1))
    assert orders == 1.0
    assert reads > 0.3
    alike = _retries_of_a_shedding_service((1, 1))
    assert alike[0] < 0.7


def test_budget_is_not_kept_for_retries_that_have_ended() -> None:
    budget = create_retry_budget(0.0, 10.0, 10.0)
    urgent, other = create_demand(priority=0), create_demand(priority=1)
    assert all(budget.try_retry(NOW, urgent) for _ in range(3))
    assert not budget.try_spend(NOW + 0.5, other)
    assert budget.try_spend(NOW + 1.1, other)


def test_customer_s_priority_goes_before_that_of_the_route() -> None:
    budget = create_retry_budget(0.0, 10.0, 4.0)
    first = create_demand(priority=2, customer_priority=0)
    second = create_demand(priority=0, customer_priority=1)
    assert budget.try_retry(NOW, first)
    assert not budget.try_retry(NOW, second)
    assert budget.try_retry(NOW, first)


def test_last_slot_stays_free_if_full_upstreams_slow_down() -> None:
    contention = Contention()
    for share in (0.0, 1.0, 0.5, 1.0, 0.0, 1.0):
        contention.record(share, 0.09, 0.09 * (1.0 + 0.7 * share))
    assert abs(contention.speed_when_full - 1 / 1.7) < 0.01
    assert contention.usable_slots(3) == 2
    assert contention.usable_slots(1) == 1


def test_last_slot_is_used_if_full_upstreams_keep_their_speed() -> None:
    contention = Contention()
    for _ in range(20):
        contention.record(1.0, 0.06, 0.061)
    assert contention.usable_slots(4) == 4


def test_call_is_hedged_when_its_upstream_slowed_down() -> None:
    demand = create_demand()
    assert worth_hedging(demand, NOW + 0.03, 0.03, slowdown=7.0, second_s=0.07)
    assert not worth_hedging(demand, NOW + 0.03, 0.03, slowdown=1.0, second_s=0.07)


def test_call_is_not_hedged_if_the_hedge_would_not_be_answered_sooner() -> None:
    demand = create_demand()
    assert not worth_hedging(demand, NOW + 0.3, 0.3, slowdown=7.0, second_s=0.4)
    assert not worth_hedging(demand, NOW + 0.98, 0.98, slowdown=7.0, second_s=0.07)


def test_request_that_crashed_three_upstreams_is_quarantined_for_a_while() -> None:
    table = create_crash_table()
    assert [table.record_crash(7, start, NOW, NOW) for start in ("u1 1", "u2 1")] == [1, 2]
    assert not table.quarantined(7, NOW)
    table.record_crash(7, "u3 1", NOW, NOW)
    assert table.quarantined(7, NOW + 1)
    assert not table.quarantined(7, NOW + 61)


def test_crashes_reported_by_peers_count_and_an_answer_clears_them() -> None:
    table = create_crash_table()
    assert table.apply_report(CrashReport(7, 3), NOW) is ReportEffect.CHANGED
    assert table.quarantined(7, NOW)
    assert table.record_answer(7, NOW)
    assert not table.quarantined(7, NOW)


UPLOAD_BYTES = 60_000


def _upload(target_s: float, size_bytes: int = UPLOAD_BYTES) -> Demand:
    """Create an upload with a long client timeout."""
    return create_demand(
        work_s=0.5, target_at=NOW + target_s, give_up_at=NOW + 12.0, size_bytes=size_bytes
    )


def test_upload_stays_in_its_zone_while_it_meets_its_target_there() -> None:
    demand = _upload(2.5)
    slower = create_state("slower", 2.0)
    elsewhere = create_state("elsewhere", 1.0, local_zone=False)
    assert place([slower, elsewhere], demand, (), NOW, BASELINE).upstream is slower


def test_upload_leaves_its_zone_to_meet_its_target() -> None:
    demand = _upload(0.7)
    slower = create_state("slower", 7.0)
    elsewhere = create_state("elsewhere", 1.0, local_zone=False)
    assert place([slower, elsewhere], demand, (), NOW, BASELINE).upstream is elsewhere


@pytest.mark.parametrize(("size_bytes", "chosen"), [(1000, "far"), (UPLOAD_BYTES, "slower")])
def test_only_small_calls_leave_their_region_to_meet_their_target(
    size_bytes: int, chosen: str
) -> None:
    demand = _upload(0.7, size_bytes)
    slower = create_state("slower", 7.0)
    far = create_state("far", 1.0, transit_s=0.045, local_zone=False, local_region=False)
    placed = place([slower, far], demand, (), NOW, BASELINE).upstream
    assert placed is not None
    assert placed.entry.id == chosen


def test_call_that_ended_while_a_reading_was_in_transit_is_attributed() -> None:
    state = create_state("u1", own=2)
    state.reported_by_peer["peer"] = 1
    state.record_end(NOW + 0.05)
    state.own_in_flight = 1
    state.apply_reading(LoadReading(3, 0, 4, 1.0, NOW + 0.03))
    assert state.unattributed == 0
    state.apply_reading(LoadReading(3, 0, 4, 1.0, NOW + 0.06))
    assert state.unattributed == 1


def test_call_that_is_likely_to_be_given_up_before_its_answer_takes_no_slot() -> None:
    """Otherwise its upstream would serve it for nothing while other calls wait."""
    slow = create_state("slow", 7.0)
    short_timeout = create_demand(work_s=0.36, target_at=NOW + 0.4, give_up_at=NOW + 2.0)
    assert place([slow], short_timeout, (), NOW, BASELINE).upstream is None
    long_timeout = create_demand(work_s=0.36, target_at=NOW + 0.4, give_up_at=NOW + 4.0)
    assert place([slow], long_timeout, (), NOW, BASELINE).upstream is slow


def test_average_slowdown_holds_no_call_back_from_an_unread_upstream() -> None:
    """The average of a few readings stood for each upstream, so that none got a call."""
    unread = create_state("unread", 7.0, now=NOW - 10.0)
    demand = create_demand(work_s=0.3, target_at=NOW + 1.0, give_up_at=NOW + 0.97)
    assert place([unread], demand, (), NOW, 3.1).upstream is unread
    just_read = create_state("read", 7.0)
    assert place([just_read], demand, (), NOW, 3.1).upstream is None


@pytest.mark.parametrize(("slots", "usable"), [(2, 2), (3, 2)])
def test_last_slot_is_used_if_it_adds_capacity(slots: int, usable: int) -> None:
    """Full upstreams run at 0.59 of normal speed: two slots have a capacity of 1.18, three 1.76."""
    contention = Contention()
    for share in (0.0, 1.0, 0.5, 1.0, 0.0, 1.0):
        contention.record(share, 0.09, 0.09 * (1.0 + 0.7 * share))
    assert contention.usable_slots(slots) == usable
