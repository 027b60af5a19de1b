"""Tests of `heatherhead.customers.usage_caps`, and of the messages and settings of caps."""

from __future__ import annotations

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from heatherhead.customers.usage_caps import (
    BucketTerms,
    CapBounds,
    CustomerUsage,
    LoanLedger,
    UsageBucket,
    is_owner,
    owners_per_zone,
)
from heatherhead.entry.settings import HostPort
from heatherhead.fleet.homes import rank_members
from heatherhead.fleet.members import Member
from heatherhead.fleet.peer_messages import (
    UsageBalance,
    UsageBalanceRow,
    UsageReport,
    UsageReportRow,
    decode_message,
    encode_message,
)
from heatherhead.routes.model import UsageCap
from heatherhead.tests.entry.instances import create_settings
from heatherhead.tests.fleet.simulated_usage import most_in_window

BOUNDS = CapBounds(5.0, 0.1, 20.0)
OWNERS = 6
CAPS = st.builds(UsageCap, st.floats(0.1, 100.0), st.floats(0.0, 200.0))
# After how long, the owner, where it lends its share next, and how many calls each place wants.
STEPS = st.lists(
    st.tuples(
        st.floats(0.0, 1.5), st.integers(0, OWNERS - 1), st.integers(0, 2), st.integers(0, 60)
    ),
    min_size=1,
    max_size=100,
)
LOAN_S = 1.1


def _terms(cap: UsageCap) -> BucketTerms:
    return BucketTerms(cap, BOUNDS.spare(OWNERS))


@given(CAPS, STEPS)
def test_buckets_together_stay_within_the_bound_however_shares_move(
    cap: UsageCap, steps: list[tuple[float, int, int, int]]
) -> None:
    """A bucket that kept the tokens of a share that is elsewhere now would grant them twice."""
    now = 100.0
    places = [(LoanLedger(now), UsageBucket()) for _ in range(3)]
    lent_until = [(0, now)] * OWNERS  # place and end of each owner's loan
    granted: list[float] = []
    for after_s, owner, place, wanted in steps:
        now += after_s
        held, until = lent_until[owner]
        if place == held or now >= until:
            places[place][0].lend(str(owner), 1 / OWNERS, now + LOAN_S, now)
            lent_until[owner] = (place, now + LOAN_S)
        for ledger, bucket in places:
            bucket.refill(_terms(cap), ledger, now)
            granted += [now] * bucket.take(wanted)
    credit = BOUNDS.credit(cap, OWNERS)
    assert most_in_window(granted) + credit <= (cap.calls_per_s * 5.0 + cap.burst) * 1.1 + 20.0


@given(CAPS, STEPS)
def test_bucket_that_is_seldom_used_holds_what_one_in_use_does(
    cap: UsageCap, steps: list[tuple[float, int, int, int]]
) -> None:
    """Tokens from before a share was lent elsewhere must not come back with it."""
    now = 100.0
    ledger, often, seldom = LoanLedger(now), UsageBucket(), UsageBucket()
    for after_s, owner, _, _ in steps[:25]:
        now += after_s
        ledger.lend(str(owner), 1 / OWNERS, now + LOAN_S, now)
        often.refill(_terms(cap), ledger, now)
    seldom.refill(_terms(cap), ledger, now)
    assert seldom.tokens == pytest.approx(often.tokens, abs=1e-6)


def test_bucket_that_missed_many_changes_holds_no_more_than_one_in_use() -> None:
    ledger, often, seldom = LoanLedger(0.0), UsageBucket(), UsageBucket()
    terms = _terms(UsageCap(10.0, 10.0))
    now = 0.0
    for _ in range(200):
        now += 2.0
        ledger.lend("a", 1.0, now + LOAN_S, now)
        often.refill(terms, ledger, now)
    seldom.refill(terms, ledger, now)
    assert 0.0 <= seldom.tokens <= often.tokens + 1e-6


@given(CAPS, st.integers(1, 24))
def test_credits_and_spare_tokens_fit_beside_the_cap(cap: UsageCap, owners: int) -> None:
    alone = owners  # a token each, whatever the share
    calls = cap.calls_per_s * 5.0 + cap.burst + alone
    calls += BOUNDS.credit(cap, owners) + BOUNDS.spare(owners)
    if owners <= 20:
        assert calls <= BOUNDS.allowed(cap)


def test_small_customers_have_a_credit_at_each_owner_of_six() -> None:
    assert BOUNDS.credit(UsageCap(1.0, 1.0), OWNERS) / OWNERS >= 1.0


def test_bucket_holds_the_lent_part_of_the_burst_only() -> None:
    """Each side of a partition would grant the whole burst."""
    terms = BucketTerms(UsageCap(10.0, 60.0), 4.0)
    assert terms.depth(1.0) == 64.0
    assert terms.depth(0.25) == 16.0
    assert terms.depth(0.0) == 0.0


def test_bounds_of_zero_leave_the_cap() -> None:
    bounds = CapBounds(5.0, 0.0, 0.0)
    cap = UsageCap(10.0, 20.0)
    assert bounds.credit(cap, OWNERS) == bounds.spare(OWNERS) == 0.0
    assert BucketTerms(cap, 0.0).depth(1.0) == 20.0
    assert bounds.allowed(cap) == 70.0


def test_spare_tokens_restore_credits_only_above_those_kept_for_calls() -> None:
    """Restoring credits first would refuse a small customer's calls for seconds after a burst."""
    ledger, bucket = LoanLedger(0.0), UsageBucket()
    terms = _terms(UsageCap(1.0, 1.0))
    for second in range(60):
        ledger.lend("a", 1.0, second + LOAN_S, float(second))
    bucket.refill(terms, ledger, 60.0)
    taken = bucket.take_spare(100, terms, 1.0)
    assert taken >= 1
    assert bucket.tokens >= 1.0
    assert bucket.take_spare(100, terms, 1.0) == 0
    assert bucket.take(1) == 1


def test_share_too_small_for_a_token_still_gives_one_now_and_then() -> None:
    ledger, bucket = LoanLedger(0.0), UsageBucket()
    terms = _terms(UsageCap(1.0, 1.0))
    taken = 0
    for step in range(600):
        now = step / 10
        ledger.lend("a", 1 / 24, now + LOAN_S, now)
        bucket.refill(terms, ledger, now)
        taken += bucket.take(1)
    assert taken == 2  # of 60 s at a call in 24 s


def test_credit_starts_empty_and_is_restored_up_to_its_limit() -> None:
    usage = CustomerUsage()
    usage.set_limit(2.5)
    assert not usage.use_credit()
    usage.restore(5)
    assert usage.use_credit()
    assert usage.use_credit()
    assert not usage.use_credit()
    usage.restore(1)
    usage.set_limit(0.0)
    assert not usage.use_credit()


def test_tokens_beyond_the_credit_are_given_back_to_their_account() -> None:
    usage = CustomerUsage()
    usage.set_limit(1.0)
    tokens = usage.receive(7, 4)
    usage.restore(tokens)
    assert (usage.account, usage.received, usage.returned) == (7, 4, 3)
    assert usage.receive(8, 2) == 2
    assert (usage.account, usage.received, usage.returned) == (8, 2, 0)
    assert usage.receive(7, 4) == 0  # a late balance of the account before


def _member(number: int, zone: str, region: str) -> Member:
    return Member(f"i{number}", "1", zone, region, HostPort("10.0.0.1", 1), 2, 1.0, 1000.0)


@pytest.mark.parametrize("zones", [1, 2, 3, 6, 16])
def test_shares_of_all_owners_add_up_to_one_and_there_are_enough_of_them(zones: int) -> None:
    members = [_member(n, f"z{n % zones}", f"r{n % zones % 3}") for n in range(48)]
    count = owners_per_zone(zones)
    shares = []
    for each in members:
        ranked = rank_members(members, each.region)
        owners = is_owner(each, ranked, count)
        shares += [1.0 / (zones * owners)] if owners else []
    assert sum(shares) == pytest.approx(1.0)
    assert len(shares) >= min(6, len(members))


REPORT = UsageReport(
    "a", "1f", "r1", 2**32, 123_456, 1 / 6, 9, (UsageReportRow("shop", 2**32, 10, 1, 2, 3),)
)
BALANCE = UsageBalance("b", "r1", 5, 1_000, 0.5, 9, (UsageBalanceRow("shop", 4, 12, 0.25),))


@pytest.mark.parametrize("message", [REPORT, BALANCE])
def test_messages_survive_encoding(message: UsageReport | UsageBalance) -> None:
    assert decode_message(encode_message(message)) == message


@pytest.mark.parametrize(
    ("message", "position", "value"),
    [
        (REPORT, 7, 1.5),
        (REPORT, 7, float("nan")),
        (REPORT, 8, -1),
        (REPORT, 9, [["shop", 1, -1, 0, 0, 0]]),
        (REPORT, 9, [["shop", 1]]),
        (BALANCE, 6, float("inf")),
        (BALANCE, 8, [["shop", 1, -4, 0]]),
        (BALANCE, 8, 3),
    ],
)
def test_malformed_messages_are_not_read(
    message: UsageReport | UsageBalance, position: int, value: object
) -> None:
    row = msgpack.unpackb(encode_message(message))
    row[position] = value
    assert decode_message(msgpack.packb(row)) is None


def test_settings_have_the_platforms_defaults() -> None:
    settings = create_settings(0, "127.0.0.1")
    assert (settings.cap_window_s, settings.cap_overage, settings.cap_slack) == (5.0, 0.1, 20.0)
