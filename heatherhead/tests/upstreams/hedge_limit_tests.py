"""Tests of `heatherhead.upstreams.hedge_limit`."""

from __future__ import annotations

from heatherhead.upstreams.hedge_limit import WINDOW_S, create_hedge_limit


def test_hedges_stay_within_the_ratio_in_each_window_and_service() -> None:
    """A burst must not spend what earlier windows left."""
    limit = create_hedge_limit(0.05)
    sent_at: list[float] = []
    for step in range(4000):
        now = step * 0.01
        limit.record_call("stock", now)
        if now > 20.0 and limit.allows("stock", now):
            limit.record_hedge("stock", now)
            sent_at.append(now)
        assert not limit.allows("other", now)
    assert sent_at
    for at in sent_at:
        assert sum(at - WINDOW_S < each <= at for each in sent_at) <= 0.05 * WINDOW_S / 0.01


def test_ratio_of_zero_sets_no_limit() -> None:
    limit = create_hedge_limit(0.0)
    for _ in range(100):
        assert limit.allows("stock", 1.0)
        limit.record_hedge("stock", 1.0)


def test_removed_service_starts_anew() -> None:
    limit = create_hedge_limit(0.5)
    for _ in range(10):
        limit.record_call("stock", 1.0)
    limit.discard("stock")
    assert not limit.allows("stock", 1.0)
