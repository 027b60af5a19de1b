"""Tests of what an instance knows of upstreams' rate limits."""

from __future__ import annotations

from heatherhead.dispatch.rate_limits import RateLimit, RateLimitEvidence


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
    assert not limit.apply_health_answer(RateLimitEvidence(None, at=11.0))
    assert not limit.apply_health_answer(RateLimitEvidence(2.0, at=12.0))
    assert limit.apply_health_answer(RateLimitEvidence(None, at=13.0))
    # Answers to calls contradict the health answers, which then end nothing.
    limit.apply(RateLimitEvidence(2.0, at=14.0))
    assert not limit.apply_health_answer(RateLimitEvidence(None, at=15.0))
    assert limit.calls_per_s == 2.0
