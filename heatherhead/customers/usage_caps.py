"""Decides which calls of customers are within their caps, over all instances together.

Designed for about a hundred customers, most with less than one call per second and a few with up
to a hundred, on about two instances in each of three regions 40 ms apart. A customer may exceed its
usual rate six times for some seconds.

A few instances, the owners, own equal shares of all caps. An owner lends its share for a short time
to a coordinator, or uses it itself; a share is never at two places. The coordinator of a customer
holds a token bucket for the shares that it was lent, so all buckets together never exceed the cap,
whoever can reach whom. Calls are admitted by tokens of the bucket. To admit a call without waiting
for the coordinator, an owner uses a credit, which tokens restore later; all credits together fit
into what the bound allows beyond the cap.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from heatherhead.fleet.members import Member
    from heatherhead.routes.model import UsageCap

__all__ = [
    "BucketTerms",
    "CapBounds",
    "CustomerUsage",
    "LoanLedger",
    "UsageAccount",
    "UsageBucket",
    "is_owner",
    "owners_per_zone",
]

MIN_OWNERS = 6  # the loss of one costs a sixth of the caps, until another takes its place
# Of the overage; the rest is for calls that wait between admission and upstream, and for an owner
# that is replaced while it still runs, cut off from all others.
CREDIT_OVERAGE_SHARE = 0.5
# Of the slack, less a token for each owner. Calls of small customers come at random, so that an exact
# burst of 1 refuses a part of them at any rate; the spare tokens admit most of these.
CREDIT_SLACK_SHARE = 0.5
SPARE_SLACK_SHARE = 0.25
KEPT_TOKENS = 8.0  # or a quarter of the burst; below these, tokens are for waiting calls only
KEPT_SHARE = 0.25
MAX_LEDGER_CHANGES = 64  # a bucket that was not used for more of them starts empty at the oldest
SHARE_DIGITS = 6
ROUNDING = 1e-6  # of a token
MAX_SESSIONS = 4  # accounts of one customer at coordinators whose balances may still come
MIN_WAIT_S = 0.02  # before an instance asks again that was granted too few tokens
MAX_WAIT_S = 0.5  # calls are admitted within a second after a burst


@dataclass(frozen=True, slots=True)
class CapBounds:
    """What all instances together may exceed a cap by, in any window."""

    window_s: float
    overage: float
    slack: float

    def allowed(self, cap: UsageCap) -> float:
        """Return the most calls of a customer that may be sent within a window."""
        return (cap.calls_per_s * self.window_s + cap.burst) * (1 + self.overage) + self.slack

    def credit(self, cap: UsageCap, owners: int) -> float:
        """Return the calls that all owners together may admit before they have tokens for them."""
        overage = self.overage * (cap.calls_per_s * self.window_s + cap.burst)
        slack = CREDIT_SLACK_SHARE * self._usable_slack(owners)
        return slack + CREDIT_OVERAGE_SHARE * overage

    def spare(self, owners: int) -> float:
        """Return the tokens that the buckets of a customer together save beyond its burst."""
        return SPARE_SLACK_SHARE * self._usable_slack(owners)

    def _usable_slack(self, owners: int) -> float:
        """Return the slack less a token for each owner, which holds one alone, whatever its share."""
        return max(0.0, self.slack - owners)


@dataclass(frozen=True, slots=True)
class BucketTerms:
    """What a bucket holds at most: its cap, and the spare tokens."""

    cap: UsageCap
    spare: float

    def depth(self, lent: float) -> float:
        """Return the most tokens for a lent share; a single one, however small the share is."""
        return max(1.0, lent * (self.cap.burst + self.spare)) if lent > 0 else 0.0

    def kept(self, lent: float) -> float:
        """Return the tokens that restore no credit; a full bucket always restores some."""
        burst = max(1.0, self.cap.burst)
        kept = min(burst, max(KEPT_TOKENS, KEPT_SHARE * burst)) * lent
        return min(kept, self.depth(lent) - 1.0)


def owners_per_zone(zones: int) -> int:
    """Return how many instances of each zone own shares."""
    return max(1, math.ceil(MIN_OWNERS / max(1, zones)))


def is_owner(own: Member, ranked: Iterable[Member], count: int) -> int:
    """Return the number of owners in the zone of a member that is one of them, else 0.

    `ranked` are the members of its region, which follow from the store's table and not from who
    hears whom, so that instances that can't reach each other agree on the owners.
    """
    zone_ids = [each.id for each in ranked if each.availability_zone == own.availability_zone]
    owner_ids = zone_ids[:count]
    return len(owner_ids) if own.id in owner_ids else 0


@dataclass(slots=True)
class _Loan:
    """The share that one owner has lent."""

    share: float
    until: float


@dataclass(slots=True)
class LoanLedger:
    """The shares that a coordinator was lent for one group of customers, now and before."""

    updated_at: float
    lent: float = 0.0
    lent_seconds: float = 0.0  # the integral of `lent` over time
    changes: int = 0  # of `lent`
    _loan_by_owner: dict[str, _Loan] = field(default_factory=dict)
    # At each change, `lent_seconds` and the lower one of `lent` before and after it.
    _recent: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=MAX_LEDGER_CHANGES)
    )

    def lend(self, owner: str, share: float, until: float, now: float) -> None:
        """Add or prolong a loan; one of the same owner is replaced."""
        self.update(now)
        if until <= now:
            return
        loan = self._loan_by_owner.get(owner)
        until = until if loan is None else max(until, loan.until)
        self._loan_by_owner[owner] = _Loan(share, until)
        self._set_lent()

    def release(self, owner: str, now: float) -> None:
        """End the loan of an owner."""
        self.update(now)
        if self._loan_by_owner.pop(owner, None) is not None:
            self._set_lent()

    def update(self, now: float) -> None:
        """End the loans whose time is over, each as of its end."""
        while self._loan_by_owner:
            owner, loan = min(self._loan_by_owner.items(), key=lambda pair: pair[1].until)
            if loan.until > now:
                break
            self._integrate(loan.until)
            del self._loan_by_owner[owner]
            self._set_lent()
        self._integrate(now)

    def clear(self, now: float) -> None:
        """End all loans."""
        self.update(now)
        self._loan_by_owner.clear()
        self._set_lent()

    def _integrate(self, until: float) -> None:
        self.lent_seconds += self.lent * max(0.0, until - self.updated_at)
        self.updated_at = max(self.updated_at, until)

    def _set_lent(self) -> None:
        # Tables of members that differ for a moment may make shares that exceed the whole.
        total = round(sum(each.share for each in self._loan_by_owner.values()), SHARE_DIGITS)
        lent = min(1.0, total)
        if lent != self.lent:
            self.changes += 1
            self._recent.append((self.lent_seconds, min(lent, self.lent)))
        self.lent = lent

    def changes_since(self, changes: int) -> tuple[list[tuple[float, float]], bool]:
        """List the changes after the first `changes`, and whether these are all."""
        missed = self.changes - changes
        recent = list(self._recent)
        return recent[max(0, len(recent) - missed) :], missed <= len(recent)


@dataclass(slots=True)
class UsageAccount:
    """What one start of an instance got of a bucket; the totals make up for lost datagrams."""

    number: int
    granted: int = 0
    returned: int = 0
    seen_at: float = -math.inf


@dataclass(slots=True)
class UsageBucket:
    """The tokens of one customer at a coordinator.

    It fills from the time of the first loan, so that it is full by the first call, but empty after
    all instances restarted. When a loan ends, the tokens beyond the rest of the shares are lost, as
    the owner may lend its share elsewhere; a new loan brings no tokens.
    """

    tokens: float = 0.0
    account_by_instance: dict[tuple[str, str], UsageAccount] = field(default_factory=dict)
    _filled_until: float = 0.0  # in `lent_seconds`
    _changes: int = 0

    def refill(self, terms: BucketTerms, ledger: LoanLedger, now: float) -> None:
        """Add the tokens since the last refill."""
        ledger.update(now)
        changes, complete = ledger.changes_since(self._changes)
        if not complete:
            self.tokens, self._filled_until = 0.0, changes[0][0]
        for lent_seconds, lent in changes:
            self._fill(terms, lent_seconds, lent)
        self._fill(terms, ledger.lent_seconds, ledger.lent)
        self._changes = ledger.changes

    def _fill(self, terms: BucketTerms, until: float, lent: float) -> None:
        tokens = self.tokens + terms.cap.calls_per_s * max(0.0, until - self._filled_until)
        self.tokens = min(tokens, terms.depth(lent))
        self._filled_until = max(until, self._filled_until)

    def take(self, wanted: int) -> int:
        """Take up to `wanted` tokens for calls; return how many were taken."""
        taken = max(0, min(wanted, math.floor(self.tokens + ROUNDING)))
        self.tokens = max(0.0, self.tokens - taken)
        return taken

    def take_spare(self, wanted: int, terms: BucketTerms, lent: float) -> int:
        """Take tokens to restore credits, except for those kept for calls."""
        spare = math.floor(self.tokens - terms.kept(lent) + ROUNDING)
        return self.take(min(wanted, spare)) if lent and spare > 0 else 0

    def put_back(self, tokens: int, terms: BucketTerms, lent: float) -> None:
        """Add tokens of calls that have not run."""
        self.tokens = min(self.tokens + tokens, max(self.tokens, terms.depth(lent)))

    def wait_s(self, cap: UsageCap, lent: float) -> float:
        """Return the time until there is a token, after which an instance asks again."""
        per_s = cap.calls_per_s * lent
        if per_s <= 0:
            return MAX_WAIT_S
        return min(MAX_WAIT_S, max(MIN_WAIT_S, (1.0 - self.tokens) / per_s))


@dataclass(slots=True)
class CustomerUsage:
    """The credit of one instance for one customer, and its accounts at coordinators.

    The credit starts empty, as it may just have been used before a restart.
    """

    credit: float = 0.0
    limit: float = 0.0
    account: int = 0  # the number of the newest account
    refused_until: float = -math.inf  # the coordinator has no tokens until then
    _received_by_account: dict[int, int] = field(default_factory=dict)
    _returned_by_account: dict[int, int] = field(default_factory=dict)
    _next_return_at: float = -math.inf  # of refused callers

    def set_limit(self, limit: float) -> None:
        """Apply a limit of the credit, which follows from the cap and the own share."""
        self.limit = limit
        self.credit = min(self.credit, limit)

    def use_credit(self) -> bool:
        """Use the credit for a call; return whether there was one."""
        if self.credit < 1:
            return False
        self.credit -= 1
        return True

    @property
    def deficit(self) -> int:
        """Return the tokens that the credit lacks."""
        return max(0, math.floor(self.limit - self.credit))

    @property
    def received(self) -> int:
        """Return the tokens received from the newest account."""
        return self._received_by_account.get(self.account, 0)

    @property
    def returned(self) -> int:
        """Return the tokens given back to the newest account."""
        return self._returned_by_account.get(self.account, 0)

    def receive(self, account: int, granted: int) -> int:
        """Return the tokens that a balance adds to those received before."""
        received = self._received_by_account.setdefault(account, 0)
        self._received_by_account[account] = max(received, granted)
        self.account = account
        while len(self._received_by_account) > MAX_SESSIONS:
            oldest = next(iter(self._received_by_account))
            del self._received_by_account[oldest]
            self._returned_by_account.pop(oldest, None)
        return max(0, granted - received)

    def restore(self, tokens: int) -> None:
        """Restore the credit; give back what it does not hold."""
        restored = min(tokens, self.deficit)
        self.credit += restored
        if tokens > restored and self.account:
            self._returned_by_account[self.account] = self.returned + tokens - restored

    def retry_after_s(
        self, wait_s: float, calls_per_s: float, longest_s: float, now: float
    ) -> float:
        """Return when a refused caller may come back: the next ones a token apart."""
        at = max(now + wait_s, self._next_return_at + 1.0 / calls_per_s)
        self._next_return_at = min(at, now + longest_s)
        return self._next_return_at - now
