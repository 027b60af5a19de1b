"""Tests of homes that share upstreams, under overload and with long service times."""

from __future__ import annotations

from statistics import mean

import pytest

from heatherhead.dispatch.contention import Contention
from heatherhead.tests.dispatch.homes_replay import PATTERN_BY_NAME, replay

SEED = 11
SEEDS = (11, 12, 13, 14)


@pytest.mark.parametrize(("name", "max_miss_ratio"), [("usual", 1.0), ("overload", 2 / 3)])
def test_homes_meet_more_targets_than_least_loaded(name: str, max_miss_ratio: float) -> None:
    """Least loaded sees all counts at once; under overload homes miss a third fewer targets."""
    homes, least = (
        replay(PATTERN_BY_NAME[name], SEED, with_dispatcher=with_dispatcher)
        for with_dispatcher in (True, False)
    )
    assert 1 - homes.in_target < (1 - least.in_target) * max_miss_ratio


def test_overload_is_rejected_early() -> None:
    """On average, a rejected call waits for at most an eighth of its client timeout per attempt."""
    pattern = PATTERN_BY_NAME["overload"]
    overload = replay(pattern, SEED)
    refused = overload.ends["refused"]
    assert refused > 0
    assert overload.waited_s / refused <= pattern.deadline_s / 8 * pattern.attempts


@pytest.mark.parametrize("name", ["long work", "long work, burst"])
def test_long_calls_meet_their_targets_as_often_as_with_least_loaded(name: str) -> None:
    """Guards against mistaking long service times for contention on full upstreams."""
    homes, least = (
        mean(
            replay(PATTERN_BY_NAME[name], seed, with_dispatcher=with_dispatcher).in_target
            for seed in SEEDS
        )
        for with_dispatcher in (True, False)
    )
    assert homes >= least - 0.01  # seeds differ by up to 0.03


def test_error_in_the_expected_service_time_is_not_contention() -> None:
    """All calls take a fifth longer than expected, on full upstreams or not: all slots are used."""
    contention = Contention()
    for share in (0.0, 1.0, 0.5, 1.0, 0.0, 1.0) * 10:
        contention.record(share, 0.47, 0.47 * 1.2)
    assert contention.usable_slots(4) == 4


def test_two_homes_serve_an_overload_nearly_as_well_as_one() -> None:
    """A single home, which sees all counts without delay, met 0.63 of the targets."""
    shares = [replay(PATTERN_BY_NAME["overload"], seed).in_target for seed in SEEDS]
    assert mean(shares) >= 0.6


def test_homes_agree_on_the_usable_slots() -> None:
    """A home that fills the last slots would starve those that keep them free."""
    first, second = Contention(), Contention()
    for share in (0.0, 1.0, 0.5, 1.0, 0.0, 1.0):
        first.record(share, 0.09, 0.09 * (1.0 + 0.7 * share))
    assert second.usable_slots(3) == 3
    second.reported_by_peer["first"] = first.own
    assert second.usable_slots(3) == first.usable_slots(3) == 2
