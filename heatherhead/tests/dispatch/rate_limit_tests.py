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
    assert not limit.apply(RateLimitEvidence(None, 11.0, in_health_answer=True))
    assert not limit.apply(RateLimitEvidence(2.0, 12.0, in_health_answer=True))
    assert limit.apply(RateLimitEvidence(None, 13.0, in_health_answer=True))
    # Answers to calls contradict the health answers, which then end nothing.
    limit.apply(RateLimitEvidence(2.0, at=14.0))
    assert not limit.apply(RateLimitEvidence(None, 15.0, in_health_answer=True))
    assert limit.calls_per_s == 2.0
