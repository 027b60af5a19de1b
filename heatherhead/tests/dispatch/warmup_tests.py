"""Tests of what an instance knows of warm-ups, and of their limits."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest

from heatherhead.dispatch.dispatcher import create_dispatcher
from heatherhead.dispatch.rate_limits import (
    PermitBucket,
    RateLimit,
    RateLimitEvidence,
)
from heatherhead.dispatch.warmup import Warmup, WarmupEvidence, WarmupRow
from heatherhead.tests.base import run_with_paused_clock
from heatherhead.tests.dispatch.fakes import create_demand, create_entry

if TYPE_CHECKING:
    from heatherhead.dispatch.dispatcher import Dispatcher
    from heatherhead.dispatch.upstream_state import UpstreamState

PER_S = 3.7
COLD = create_entry("u", started_ms=1, warmup_left_s=3.0, sequence=1)


def create(per_s: float = PER_S) -> Dispatcher:
    """Create a dispatcher for a service with a rule."""
    dispatcher = create_dispatcher("a", {"a": "r"}, 0.2, 10.0, 5.0)
    dispatcher.warmups.calls_per_s = lambda _: per_s
    return dispatcher


def state_of(dispatcher: Dispatcher) -> UpstreamState:
    """Return the state of the upstream."""
    state = dispatcher.state("u")
    assert state is not None
    return state


def test_answer_without_a_limit_ends_the_warmup() -> None:
    """Answers to calls carry no warm-up state, and each of them names no rate limit."""

    async def main() -> None:
        now = asyncio.get_running_loop().time
        dispatcher = create()
        dispatcher.on_entry(None, COLD)
        state = state_of(dispatcher)
        dispatcher.add_permits(state, 1)
        dispatcher.record_rate_limit(state, RateLimitEvidence(None, now() + 0.1))
        assert dispatcher.limited_states() == [state]
        assert state.rate_limit.calls_per_s == PER_S
        assert state.rate_limit.permits(now()) == 1
        dispatcher.record_rate_limit(state, RateLimitEvidence(1.0, now() + 0.2))
        assert state.rate_limit.calls_per_s == 1.0
        dispatcher.record_rate_limit(state, RateLimitEvidence(9.0, now() + 0.3))
        assert state.rate_limit.calls_per_s == PER_S
        await asyncio.sleep(3.1)
        assert state.rate_limit.calls_per_s == 9.0
        dispatcher.record_rate_limit(state, RateLimitEvidence(None, now() + 0.4))
        assert not dispatcher.limited_states()

    run_with_paused_clock(main())


def test_waiting_call_is_not_placed_when_the_warmup_ends_by_time() -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        dispatcher = create()
        dispatcher.on_entry(None, replace(COLD, warmup_left_s=0.5))
        began = loop.time()
        demand = create_demand(began, give_up_at=began + 5.0)
        slot = await dispatcher.acquire(demand, ())
        assert 0.499 <= loop.time() - began <= 0.52
        dispatcher.release(slot)
        assert not dispatcher.limited_states()
        assert not dispatcher.warmups.cold

    run_with_paused_clock(main())


@pytest.mark.parametrize("from_answer", [True, False])
def test_answer_under_way_when_the_upstream_became_cold_ends_the_warmup(from_answer: bool) -> None:
    warmup = Warmup()
    if from_answer:
        assert warmup.apply_answer(WarmupEvidence(13.0, 10.0), 10.0)
    else:
        warmup.apply_entry(3.0, 1, 10.0)
    assert not warmup.apply_answer(WarmupEvidence(None, 9.99), 10.01)
    assert warmup.cold(10.02)
    assert warmup.apply_answer(WarmupEvidence(None, 10.02), 10.03)
    assert not warmup.cold(10.03)


def test_upstream_that_stays_cold_is_reported_with_each_answer_or_never() -> None:
    """Its end moves with each answer; others have to learn that, but not from each answer."""
    warmup = Warmup()
    reports = [
        warmup.apply_answer(WarmupEvidence(13.0 + at, 10.0 + at), 10.0 + at)
        for at in (0.0, 0.06, 0.12, 0.18, 0.24)
    ]
    assert reports == [True, False, True, False, True]
    assert warmup.until == 13.24
    same = [
        warmup.apply_answer(WarmupEvidence(13.24 + jitter, 11.0 + jitter), 11.0)
        for jitter in (0.01, 0.02, 0.03)
    ]
    assert not any(same)


@pytest.mark.parametrize(("ended_at", "told"), [(11.0, True), (12.4, True), (12.6, False)])
def test_end_that_the_entry_told_is_reported_or_an_earlier_one_is_not(
    ended_at: float, told: bool
) -> None:
    """Each warm-up that had ended by its time was reported to all homes and followers."""
    warmup = Warmup()
    warmup.apply_entry(3.0, 1, 10.0)
    assert not warmup.apply_answer(WarmupEvidence(12.9, 10.1), 10.1)  # the entry came late
    assert warmup.cold(ended_at)
    assert warmup.apply_answer(WarmupEvidence(None, ended_at), ended_at) is told
    assert warmup.is_told(ended_at) is told
    assert not warmup.cold(ended_at)
    assert not warmup.apply_answer(WarmupEvidence(None, 13.1), 13.1)
    assert warmup.apply_answer(WarmupEvidence(16.0, 13.2), 13.2)


def test_cold_again_before_the_told_end_of_an_earlier_warmup_is_not_reported() -> None:
    """Others have heard of the early end, so the same time as before is news to them."""
    warmup = Warmup()
    warmup.apply_entry(3.0, 1, 10.0)
    assert warmup.apply_answer(WarmupEvidence(None, 11.0), 11.0)
    assert warmup.apply_answer(WarmupEvidence(13.0, 11.5), 11.5)
    assert warmup.is_reported(11.5)


def test_entry_ends_the_news_that_goes_further_than_it() -> None:
    """Instances that start later know the shorter time of the entry only."""
    warmup = Warmup()
    assert warmup.apply_answer(WarmupEvidence(15.0, 10.0), 10.0)
    warmup.apply_entry(3.0, 1, 10.1)
    assert warmup.is_reported(10.1)
    warmup.apply_entry(6.0, 2, 10.2)
    assert not warmup.is_reported(10.2)


def test_entry_that_is_read_twice_makes_the_upstream_cold_twice() -> None:
    """A restored store lists the same entry with another revision."""

    async def main() -> None:
        dispatcher = create()
        dispatcher.on_entry(None, COLD)
        await asyncio.sleep(3.1)
        again = replace(COLD, revision=9)
        dispatcher.on_entry(COLD, again)
        assert not dispatcher.limited_states()
        assert state_of(dispatcher).warmup.revision == 9
        dispatcher.on_entry(again, replace(COLD, revision=10, sequence=2))
        assert dispatcher.limited_states()

    run_with_paused_clock(main())


def test_rewritten_entry_without_a_time_ends_the_warmup() -> None:
    """It may be rewritten for another reason, such as its slots."""

    async def main() -> None:
        dispatcher = create()
        dispatcher.on_entry(None, COLD)
        other = replace(COLD, revision=2, sequence=2, warmup_left_s=0.0, slots=8)
        dispatcher.on_entry(COLD, other)
        assert dispatcher.limited_states()
        shorter = replace(COLD, revision=3, sequence=3, warmup_left_s=0.5)
        dispatcher.on_entry(other, shorter)
        await asyncio.sleep(1.0)
        assert dispatcher.limited_states()

    run_with_paused_clock(main())


@pytest.mark.parametrize(
    ("row", "cold"),
    [
        (WarmupRow("u", 1, 0.0, 3600.0, 5, from_answer=False), False),
        (WarmupRow("u", 1, 0.0, 3600.0, 6, from_answer=False), False),
        (WarmupRow("u", 1, 0.0, 3600.0, 4, from_answer=False), True),
        (WarmupRow("u", 1, 0.0, 3600.0, 0, from_answer=True), True),
        (WarmupRow("u", 1, 0.0, 0.2, 0, from_answer=True), False),
        (WarmupRow("u", 1, 0.0, 0.9, 0, from_answer=True), True),
        (WarmupRow("u", 1, 2.0, 0.2, 5, from_answer=True), True),
    ],
    ids=["same entry", "later entry", "earlier entry", "old answer", "new", "before", "cold"],
)
def test_other_instance_ends_a_warmup_that_it_does_not_know(row: WarmupRow, cold: bool) -> None:
    warmup = Warmup()
    warmup.apply_entry(3.0, 5, 10.0)
    warmup.apply_row(row, 10.5)
    assert warmup.cold(10.5) is cold


@pytest.mark.parametrize(
    ("row", "cold"),
    [
        (WarmupRow("u", 1, 2.0, 1.0, 5, from_answer=False), False),
        (WarmupRow("u", 1, 2.0, 1.0, 6, from_answer=False), True),
        (WarmupRow("u", 1, 2.0, 1.0, 5, from_answer=True), False),
        (WarmupRow("u", 1, 2.0, 0.1, 0, from_answer=True), True),
    ],
    ids=["same entry", "later entry", "old answer", "new answer"],
)
def test_old_entry_that_another_instance_has_read_makes_the_upstream_cold(
    row: WarmupRow, cold: bool
) -> None:
    warmup = Warmup()
    warmup.apply_entry(3.0, 5, 10.0)
    warmup.apply_answer(WarmupEvidence(None, 10.3), 10.3)
    warmup.apply_row(row, 10.5)
    assert warmup.cold(10.5) is cold


def test_late_answer_of_an_earlier_start_limits_the_new_one() -> None:
    async def main() -> None:
        now = asyncio.get_running_loop().time()
        dispatcher = create()
        dispatcher.on_entry(None, COLD)
        earlier = state_of(dispatcher)
        restarted = replace(COLD, started_ms=2, revision=2, warmup_left_s=0.0)
        dispatcher.on_entry(COLD, restarted)
        dispatcher.warmups.apply_answer(earlier, WarmupEvidence(now + 9.0, now + 0.1))
        assert not dispatcher.limited_states()
        assert not dispatcher.warmups.cold
        assert dispatcher.try_acquire(create_demand(now), ()) is not None

    run_with_paused_clock(main())


def test_permit_of_a_late_reply_is_used_in_a_second_that_has_others() -> None:
    """The bound holds in each second, so the time from the request on counts."""
    limit = RateLimit()
    limit.set_warmup(PER_S)
    limit.add_permits(1, now=10.3, requested_at=10.0)
    assert limit.permits(10.3) == 0
    limit.add_permits(1, now=10.1, requested_at=10.0)
    limit.add_permits(1, now=10.1, requested_at=9.95)
    assert [limit.permits(at) for at in (10.1, 10.16, 10.2)] == [2, 1, 0]
    limit.add_permits(2, now=11.0)
    limit.set_warmup(None)
    assert limit.permits(11.0) == 0


@pytest.mark.parametrize("per_s", [0.5, PER_S, 20.0, 400.0])
def test_all_issuers_together_exceed_the_bound(per_s: float) -> None:
    """Each of five issuers has saved what it may when the second begins."""
    limit = RateLimit()
    limit.set_warmup(per_s)
    used = 0
    for rank in range(5):
        share = (1 / 5) ** rank
        bucket = PermitBucket(0.0)
        rate, most = limit.issued_per_s(share), limit.most_saved(share)
        for step in range(1201):  # a permit is used up to 0.2 s after it was issued
            used += bucket.take(10**6, rate, 1000.0 + step / 1000, most)
    assert used <= 1.5 * per_s + 8


def test_trial_calls_under_a_named_limit_exceed_the_share_of_the_warmup() -> None:
    limit = RateLimit()
    limit.set_warmup(PER_S)
    assert limit.issued_per_s(0.01) == pytest.approx(0.01 * PER_S)
    limit.apply(RateLimitEvidence(0.0, at=1.0))
    assert limit.issued_per_s(1.0) == 0.2
    assert limit.issued_per_s(0.01) == pytest.approx(0.01 * PER_S)


def test_upstream_that_is_not_cold_is_told_to_followers_for_ever() -> None:
    """Each health check's answer brings new evidence; only an end is news, and not for long."""
    warmup = Warmup()
    warmup.apply_answer(WarmupEvidence(None, 9.0), 9.0)
    assert not warmup.is_told(9.0)
    warmup.apply_answer(WarmupEvidence(13.0, 10.0), 10.0)
    assert warmup.is_told(12.0)
    for at in (11.0, 12.0, 14.0):
        warmup.apply_answer(WarmupEvidence(None, at), at)
    assert warmup.is_told(12.5)
    assert not warmup.is_told(14.0)


def test_evidence_from_before_a_suspension_is_newer_than_what_others_heard_meanwhile() -> None:
    warmup = Warmup()
    warmup.apply_answer(WarmupEvidence(None, 10.0), 10.0)
    warmup.apply_suspension(5.0, 10.1)
    row = WarmupRow("u", 1, 2.0, 1.0, 0, from_answer=True)
    assert warmup.apply_row(row, 10.2)
    assert warmup.cold(10.2)
