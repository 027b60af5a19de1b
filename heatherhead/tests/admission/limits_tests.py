"""Tests of `heatherhead.admission.limits`."""

from __future__ import annotations

from heatherhead.admission.limits import create_limit


def test_limit_of_a_cold_upstream_grows_by_one_with_each_quick_answer() -> None:
    limit = create_limit(4, cold=True)
    seen = []
    for _ in range(5):
        seen.append(limit.allowed)
        limit.on_quick_answer()
    assert seen == [1, 2, 3, 4, 4]


def test_slow_answers_decrease_the_limit_to_no_less_than_one() -> None:
    limit = create_limit(4, cold=False)
    for _ in range(10):
        limit.on_slow_answer()
    assert limit.allowed == 1


def test_limit_grows_slowly_above_the_level_of_load_shedding() -> None:
    limit = create_limit(4, cold=False)
    limit.on_shed(in_flight=3)
    assert limit.allowed == 2
    for _ in range(10):
        limit.on_quick_answer()
    assert limit.allowed == 2
    for _ in range(60):
        limit.on_quick_answer()
    assert limit.allowed == 4


def test_resize_raises_the_limit_at_once_only_if_it_was_at_its_maximum() -> None:
    full, ramping = create_limit(2, cold=False), create_limit(2, cold=True)
    full.resize(6)
    ramping.resize(6)
    assert (full.allowed, ramping.allowed) == (6, 1)
