"""Tests of the belief which services are out of an instance's reach."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import strategies as st

from heatherhead.dispatch.reach import MIN_SILENCE_S, MIN_UNANSWERED_S, create_reach

if TYPE_CHECKING:
    from heatherhead.dispatch.reach import Reach

UPSTREAMS = 4


class _Clock:
    now = 100.0


def _create(upstreams: int = UPSTREAMS) -> tuple[_Clock, Reach]:
    clock = _Clock()
    return clock, create_reach(lambda: clock.now, lambda _service: upstreams)


def test_service_is_out_of_reach_after_several_upstreams_failed_without_an_answer() -> None:
    clock, reach = _create()
    lost: list[str] = []
    reach.on_lost = lost.append
    reach.record_answer("stock")
    reach.record_failure("stock", "u1", "test", connected=False)
    reach.record_failure("stock", "u2", "test", connected=False)
    assert not reach.lost_services  # the last answer is too recent
    clock.now += MIN_SILENCE_S
    reach.record_failure("stock", "u1", "test", connected=False)
    assert reach.lost_services == {"stock"}
    assert lost == ["stock"]


def test_slow_upstreams_that_accept_connections_are_out_of_reach_only_after_longer() -> None:
    """A service whose slots are all taken may answer neither calls nor health checks for a while."""
    clock, reach = _create()
    probed: list[str] = []
    reach.probe = probed.append
    reach.record_answer("stock")
    while clock.now < 100.0 + MIN_UNANSWERED_S - 0.1:
        clock.now += 0.1
        for upstream in ("u1", "u2", "u3"):
            reach.record_failure("stock", upstream, "test", connected=True)
        assert not reach.lost_services
    assert "stock" in probed
    clock.now += 0.3
    reach.record_failure("stock", "u1", "test", connected=True)
    assert reach.lost_services == {"stock"}


def test_one_ill_upstream_puts_no_service_out_of_reach() -> None:
    clock, reach = _create()
    for _ in range(100):
        clock.now += 0.1
        reach.record_failure("stock", "u1", "test", connected=False)
    assert not reach.lost_services


def test_service_of_one_upstream_is_out_of_reach_with_it() -> None:
    _, reach = _create(upstreams=1)
    reach.record_failure("stock", "u1", "test", connected=False)
    assert reach.lost_services == {"stock"}


def test_service_stays_out_of_reach_until_an_upstream_answers_however_long_that_takes() -> None:
    clock, reach = _create()
    regained: list[tuple[str, float]] = []
    reach.on_regained = lambda *event: regained.append(event)
    for upstream in ("u1", "u2"):
        reach.record_failure("stock", upstream, "test", connected=False)
    clock.now += 3600.0
    assert reach.lost_services == {"stock"}
    reach.record_answer("orders")
    assert reach.lost_services == {"stock"}
    reach.record_answer("stock")
    assert not reach.lost_services
    assert regained == [("stock", 100.0)]


def test_instance_is_cut_only_if_all_services_with_upstreams_are_out_of_reach() -> None:
    clock = _Clock()
    reach = create_reach(lambda: clock.now, {"stock": 3, "orders": 3, "empty": 0}.__getitem__)
    for upstream in ("u1", "u2"):
        reach.record_failure("stock", upstream, "test", connected=False)
    assert not reach.is_cut({"stock", "orders", "empty"})
    for upstream in ("v1", "v2"):
        reach.record_failure("orders", upstream, "test", connected=False)
    assert reach.is_cut({"stock", "orders", "empty"})


@given(
    st.lists(
        st.tuples(st.floats(0.0, 1.0), st.sampled_from(["u1", "u2", "u3"]), st.booleans()),
        max_size=60,
    )
)
def test_no_order_of_answers_and_failures_loses_a_service_right_after_an_answer(
    events: list[tuple[float, str, bool]],
) -> None:
    clock, reach = _create(upstreams=3)
    answered_at = -1.0
    failed: set[str] = set()
    for pause_s, upstream, answers in events:
        clock.now += pause_s
        if answers:
            reach.record_answer("stock")
            answered_at = clock.now
            failed.clear()
            assert not reach.lost_services
        else:
            reach.record_failure("stock", upstream, "test", connected=False)
            failed.add(upstream)
        if reach.lost_services:
            assert clock.now - answered_at >= MIN_SILENCE_S
            assert len(failed) >= 2


def test_failures_of_calls_confined_to_other_regions_put_no_service_out_of_reach() -> None:
    """Guards against the loss of a region that looks like that of all links, and moves all calls."""
    clock, reach = _create()
    probed: list[str] = []
    reach.probe = probed.append
    for _ in range(20):
        clock.now += 0.1
        for upstream in ("u1", "u2", "u3", "u4"):
            reach.record_failure("stock", upstream, "test", connected=False, confined=True)
    assert not reach.lost_services
    assert "stock" in probed  # whose answers, or failures, decide
