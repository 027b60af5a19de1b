"""Tests of `heatherhead.admission.retry_budget`."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from heatherhead.admission.retry_budget import create_retry_budget


@given(
    share=st.sampled_from([0.0, 0.05, 0.1, 0.5, 1.0]),
    is_first_attempt_flags=st.lists(st.booleans(), max_size=200),
)
def test_extra_attempts_never_exceed_their_share_plus_the_burst(
    share: float, is_first_attempt_flags: list[bool]
) -> None:
    budget = create_retry_budget(share, 5.0)
    first = retries = 0
    for is_first in is_first_attempt_flags:
        if is_first:
            budget.earn()
            first += 1
        elif budget.spend():
            retries += 1
        assert retries <= share * first + (5.0 if share else 0.0) + 1e-9


def test_first_attempts_refill_the_budget() -> None:
    budget = create_retry_budget(0.25, 1.0)
    assert budget.spend()
    for _ in range(3):
        budget.earn()
        assert not budget.spend()
    budget.earn()
    assert budget.spend()
