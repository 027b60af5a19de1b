"""Tests of what an instance knows of upstreams' rate limits."""

from __future__ import annotations

import asyncio

from heatherhead.dispatch.dispatcher import create_dispatcher
from heatherhead.dispatch.rate_limits import RateLimit, RateLimitEvidence
from heatherhead.entry.settings import HostPort
from heatherhead.fleet.home_view import create_home_view
from heatherhead.fleet.members import Member, create_member_table
from heatherhead.fleet.permits import create_permit_exchange
from heatherhead.tests.base import run_with_paused_clock
from heatherhead.tests.dispatch.fakes import create_entry


def test_answer_under_way_when_a_limit_is_named_does_not_end_it() -> None:
    limit = RateLimit()
    assert limit.apply(RateLimitEvidence(2.0, at=10.0))
    assert not limit.apply(RateLimitEvidence(None, at=9.9))
    assert limit.calls_per_s == 2.0
    assert limit.apply(RateLimitEvidence(None, at=10.1))
    assert limit.calls_per_s is None


def test_health_answer_ends_a_limit_only_if_health_answers_name_it() -> None:
    limit = RateLimit()
    limit.apply(RateLimitEvidence(2.0, at=10.0))
    assert not limit.apply(RateLimitEvidence(None, 11.0, in_health_answer=True))
    assert not limit.apply(RateLimitEvidence(2.0, 12.0, in_health_answer=True))
    assert limit.apply(RateLimitEvidence(None, 13.0, in_health_answer=True))
    # Answers to calls contradict the health answers, which then end nothing.
    limit.apply(RateLimitEvidence(2.0, at=14.0))
    assert not limit.apply(RateLimitEvidence(None, 15.0, in_health_answer=True))
    assert limit.calls_per_s == 2.0


def test_permits_expire_and_are_dropped_when_the_limit_falls() -> None:
    limit = RateLimit()
    limit.apply(RateLimitEvidence(8.0, at=1.0))
    limit.add_permits(3, now=10.0)
    limit.use_permit(10.1)
    assert [limit.permits(at) for at in (10.4, 10.5)] == [2, 0]
    limit.add_permits(3, now=11.0)
    limit.apply(RateLimitEvidence(2.0, at=11.1))
    assert limit.permits(11.2) == 0


def test_permits_from_before_a_suspension_are_dropped() -> None:
    """The loop's clock stands still meanwhile, so they would seem to be valid."""

    async def main() -> None:
        table = create_member_table(Member("i", "1", "a", "r", HostPort("h", 1), 2, 1.0, 1.0))
        dispatcher = create_dispatcher("a", {"a": "r"}, 0.2, 10.0, 5.0)
        dispatcher.on_entry(None, create_entry("u"))
        now = asyncio.get_running_loop().time
        exchange = create_permit_exchange(
            dispatcher, create_home_view(table, now), table, lambda _addresses, _message: None, now
        )
        state = dispatcher.state("u")
        assert state is not None
        dispatcher.record_rate_limit(state, RateLimitEvidence(8.0, at=now()), "peer")
        dispatcher.add_permits(state, 3)
        assert state.usable_now(now()) > 0
        exchange.drop()
        assert state.lacks_permit(now())

    run_with_paused_clock(main())
