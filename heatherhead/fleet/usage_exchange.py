"""Exchanges the usage of customers, so that their caps hold for all instances together.

Customers form a group for each region. The first member of that region's ranking coordinates the
group: the owners of shares (`customers/usage_caps.py`) lend them to it, and instances get tokens for
calls from it, by datagram. Where it doesn't answer, they turn to the next in the ranking, then to
those of other regions, at last to themselves. An owner lends a share elsewhere only when the loan
before has ended or was given back.

The ranking is that of homes, but not of those that are heard: an instance that is cut from upstreams
or leaves coordinates as long as it answers, since a change of the coordinator costs its tokens.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import random
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from heatherhead.customers.usage import CapDecision
from heatherhead.customers.usage_caps import (
    BucketTerms,
    CustomerUsage,
    LoanLedger,
    UsageAccount,
    UsageBucket,
    is_owner,
    owners_per_zone,
)
from heatherhead.fleet.home_view import STATUS_INTERVAL_S
from heatherhead.fleet.homes import hash_of, rank_members
from heatherhead.fleet.peer_messages import (
    UsageBalance,
    UsageBalanceRow,
    UsageReport,
    UsageReportRow,
)
from heatherhead.telemetry.bounded_logs import log_routine
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from heatherhead.customers.usage_caps import CapBounds
    from heatherhead.entry.settings import HostPort
    from heatherhead.fleet.members import Member, MemberTable
    from heatherhead.fleet.peer_messages import PeerMessage
    from heatherhead.routes.model import Customer, UsageCap

__all__ = ["UsageExchange", "create_usage_exchange"]

LOAN_S = 1.1  # four reports; two in a row may be lost, and a coordinator is replaced in a second
FAILED_AFTER_S = 0.6  # without an answer to reports, two of which may be lost
PROBE_INTERVAL_S = 1.0  # to a coordinator that has not answered
BATCH_DELAY_S = 0.005  # calls that wait
CREDIT_DELAY_S = 0.05  # while less than half of the credit is left; else with the next report
RESEND_S = 0.07  # a round trip between regions, and half as much again
WAIT_S = 0.2  # of a call, for tokens; two datagrams may be lost
IDLE_S = 0.3  # an instance without loans is not asked for that long
FORGOTTEN_AFTER_S = 10.0  # without calls; of peers, by an instance that owns no share
ACCOUNT_TTL_S = 60.0
# Members of a zone may be gone from the store's table because they are cut from the store, and still
# admit calls. So their zone's share is not divided among the others for that long.
ZONE_TTL_S = 900.0
START_S = 3.0  # by then, the other instances of a fleet that starts as a whole are in the table
# An instance without peers may have lost its place in the table, whose leases end after 20 s and are
# renewed every 6 s.
ALONE_AFTER_S = 12.0
ALONE_SHARE = 0.25
PEER_SILENT_S = 1.0
CANDIDATES_PER_REGION = 2  # that may coordinate; the next ones would hardly be reached either
STALLED_S = 0.25  # that a tick is late; answers of peers may then wait to be read
MAX_ROWS = 24  # in a datagram, which then fits one packet
ID_BITS = 32  # of epochs and accounts, which differ from those before a restart
EXCEEDED_LOG_S = 5.0  # without a refusal, before the next one is logged as a change


@dataclass(slots=True)
class _Peer:
    """What was heard of a possible coordinator."""

    epoch: int = 0
    stamp_ms: int = 0
    heard_at: float = -math.inf
    unanswered_since: float | None = None
    sent_at: float = -math.inf

    def failed(self, now: float) -> bool:
        """Return whether it does not answer."""
        since = self.unanswered_since
        return since is not None and now - since > FAILED_AFTER_S


@dataclass(eq=False)
class _Group:
    """The customers of one region: where this instance lends its share, and what it was lent."""

    region: str
    ledger: LoanLedger
    candidates: list[Member] = field(default_factory=list)
    target_id: str = ""
    lent_to: Member | None = None
    promised_until: float = -math.inf
    release_number: int | None = None  # of the first report that gives back the loan
    # The newest report of each start of an owner, and when it came.
    number_by_owner: dict[tuple[str, str], tuple[int, float]] = field(default_factory=dict)
    asked_at: float = -math.inf
    idle_until_by_id: dict[str, float] = field(default_factory=dict)  # coordinators without loans
    changed: set[str] = field(default_factory=set)  # customers to report
    timer: asyncio.TimerHandle | None = None


@dataclass(eq=False)
class _Local:
    """A customer with calls at this instance, and those that wait."""

    usage: CustomerUsage = field(default_factory=CustomerUsage)
    waiting: deque[asyncio.Future[CapDecision]] = field(default_factory=deque)
    refused_at: float = -math.inf


class UsageExchange:
    """Admits calls within the caps of their customers, and coordinates groups of customers."""

    def __init__(
        self,
        bounds: CapBounds,
        regions: Iterable[str],
        zones: Iterable[str],
        members: MemberTable,
        customers: Callable[[], Mapping[str, Customer]],
        send: Callable[[Iterable[HostPort], PeerMessage], None],
        events: Counter[str],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._now = self._loop.time
        self._bounds = bounds
        self._members = members
        self._customers = customers
        self._send = send
        self._events = events
        self._epoch = random.getrandbits(ID_BITS) + 1
        self._started_at = self._now()
        names = sorted({*regions, members.own.region})
        self._group_by_region = {each: _Group(each, LoanLedger(self._started_at)) for each in names}
        for group in self._group_by_region.values():
            # A start before this one may have lent the share.
            group.promised_until = self._started_at + LOAN_S
        # The zones of the settings count at first, until the table is known.
        first_until = self._started_at + START_S
        self._zone_until = {each: first_until for each in {*zones, members.own.availability_zone}}
        self._ranked_members: frozenset[Member] = frozenset()
        self._ranked_by_region: dict[str, list[Member]] = {}
        self._numbers = itertools.count(1)
        self._ticked_at = self._started_at
        self.own_share = 0.0
        self._owners = len(self._zone_until) * owners_per_zone(len(self._zone_until))
        self._peer_heard_at = self._started_at
        self._alone = False
        self._peer_by_id: dict[str, _Peer] = {}
        self._group_by_customer: dict[str, _Group] = {}
        self._bucket_by_customer: dict[str, UsageBucket] = {}
        self._local_by_customer: dict[str, _Local] = {}
        self._known_customers: Mapping[str, Customer] | None = None

    # Admission.

    async def admit(self, customer: Customer) -> CapDecision:
        """Count a call, or return when there is room for it."""
        cap = customer.cap
        if cap is None:
            return CapDecision(admitted=True)
        group = self._group_of(customer.name)
        local = self._local_by_customer.setdefault(customer.name, _Local())
        usage = local.usage
        usage.set_limit(self._credit_limit(cap))
        now = self._now()
        group.asked_at = now
        if not local.waiting:
            if self._is_target(group) and self._take_own(customer.name, cap, group):
                return CapDecision(admitted=True)
            if usage.use_credit():
                self._report_credit(group, customer.name, usage)
                return CapDecision(admitted=True)
        if self._is_target(group):
            wait_s = self._own_wait_s(customer.name, cap, group)
            return self._refuse(customer, local, wait_s, "no tokens")
        if now < usage.refused_until:
            return self._refuse(customer, local, usage.refused_until - now, "no tokens")
        return await self._wait(customer, local, group)

    async def _wait(self, customer: Customer, local: _Local, group: _Group) -> CapDecision:
        """Wait for tokens of the coordinator."""
        self._events["cap_waits"] += 1
        future: asyncio.Future[CapDecision] = self._loop.create_future()
        local.waiting.append(future)
        until = self._now() + WAIT_S
        try:
            while not future.done() and (left_s := until - self._now()) > 0:
                self._schedule(group, customer.name, BATCH_DELAY_S)
                await asyncio.wait([future], timeout=min(RESEND_S, left_s))
        except asyncio.CancelledError:
            if future.done() and future.result().admitted:
                self.give_back(customer)
            raise
        finally:
            if future in local.waiting:
                local.waiting.remove(future)
        if not future.done():
            return self._refuse(customer, local, RESEND_S, "no balance")
        decision = future.result()
        if decision.admitted:
            return decision
        return self._refuse(customer, local, decision.retry_after_s, "no tokens")

    def give_back(self, customer: Customer) -> None:
        """Count a call no more that was admitted and has not run."""
        cap = customer.cap
        local = self._local_by_customer.get(customer.name)
        if cap is None or local is None:
            return
        group = self._group_of(customer.name)
        if self._is_target(group):
            bucket = self._bucket(customer.name, cap, group)
            bucket.put_back(1, self._terms(cap), group.ledger.lent)
            return
        local.usage.restore(1)
        if local.usage.returned:
            self._schedule(group, customer.name, CREDIT_DELAY_S)

    def _refuse(self, customer: Customer, local: _Local, wait_s: float, reason: str) -> CapDecision:
        cap = customer.cap
        assert cap is not None
        now = self._now()
        group = self._group_of(customer.name)
        self._events["cap_unconfirmed" if reason == "no balance" else "cap_exceeded"] += 1
        if now - local.refused_at > EXCEEDED_LOG_S:
            peer = self._peer_by_id.get(group.target_id)
            heard_at = now if self._is_target(group) or peer is None else peer.heard_at
            log_event(
                "cap_exceeded",
                customer=customer.name,
                reason=reason,
                calls_per_s=cap.calls_per_s,
                burst=cap.burst,
                credit=f"{local.usage.credit:.1f}",
                waiting=len(local.waiting),
                coordinator=group.target_id or "none",
                balance_age_s=f"{min(99.0, now - heard_at):.3f}",
            )
        local.refused_at = now
        longest_s = self._bounds.window_s
        retry_after_s = local.usage.retry_after_s(wait_s, cap.calls_per_s, longest_s, now)
        return CapDecision(admitted=False, retry_after_s=retry_after_s, reason=reason)

    def _credit_limit(self, cap: UsageCap) -> float:
        if not self.own_share:
            return 0.0
        return self._bounds.credit(cap, self._owners) * self.own_share

    # The coordinator.

    def _cap_of(self, name: str) -> UsageCap | None:
        customer = self._customers().get(name)
        return None if customer is None else customer.cap

    def _bucket(self, name: str, cap: UsageCap, group: _Group) -> UsageBucket:
        bucket = self._bucket_by_customer.setdefault(name, UsageBucket())
        bucket.refill(self._terms(cap), group.ledger, self._now())
        return bucket

    def _terms(self, cap: UsageCap) -> BucketTerms:
        return BucketTerms(cap, self._bounds.spare(self._owners))

    def _take_own(self, name: str, cap: UsageCap, group: _Group) -> bool:
        return self._bucket(name, cap, group).take(1) == 1

    def _own_wait_s(self, name: str, cap: UsageCap, group: _Group) -> float:
        return self._bucket(name, cap, group).wait_s(cap, group.ledger.lent)

    def _account(self, bucket: UsageBucket, instance: str, incarnation: str) -> UsageAccount:
        account = bucket.account_by_instance.get((instance, incarnation))
        if account is None:
            account = UsageAccount(random.getrandbits(ID_BITS) + 1)
            bucket.account_by_instance[instance, incarnation] = account
        account.seen_at = self._now()
        return account

    def apply_report(self, report: UsageReport, sender: HostPort) -> None:
        """Take over the share that another instance lends, and grant it tokens."""
        group = self._group_by_region.get(report.group)
        if group is None:
            return
        now = self._now()
        self._peer_heard_at = now
        if report.epoch == self._epoch:
            self._take_over(group, report, now)
        rows = [self._grant(report, row, group) for row in report.rows]
        balance = UsageBalance(
            self._members.own.id,
            group.region,
            self._epoch,
            math.floor((now - self._started_at) * 1000),
            group.ledger.lent,
            report.number,
            tuple(row for row in rows if row is not None),
        )
        self._send([sender], balance)

    def _take_over(self, group: _Group, report: UsageReport, now: float) -> None:
        """Apply the loan of a report, unless it was overtaken by a later one."""
        owner = (report.sender, report.incarnation)
        newest, _ = group.number_by_owner.get(owner, (0, now))
        if report.number <= newest:
            return
        group.number_by_owner[owner] = (report.number, now)
        if report.share:
            until = self._started_at + report.stamp_ms / 1000 + LOAN_S
            group.ledger.lend(report.sender, report.share, min(until, now + LOAN_S), now)
        else:
            group.ledger.release(report.sender, now)

    def _grant(
        self, report: UsageReport, row: UsageReportRow, group: _Group
    ) -> UsageBalanceRow | None:
        cap = self._cap_of(row.customer)
        if cap is None or self._group_of(row.customer) is not group:
            return None  # versions of the configuration or settings differ
        bucket = self._bucket(row.customer, cap, group)
        account = self._account(bucket, report.sender, report.incarnation)
        lent = group.ledger.lent
        received = 0
        if row.account == account.number:
            received = row.received
            bucket.put_back(max(0, row.returned - account.returned), self._terms(cap), lent)
            account.returned = max(account.returned, row.returned)
        on_the_way = max(0, account.granted - received)
        wanted = max(0, row.waiting - on_the_way)
        taken = bucket.take(wanted)
        deficit = row.deficit - max(0, on_the_way - row.waiting)
        account.granted += taken + bucket.take_spare(deficit, self._terms(cap), lent)
        wait_s = 0.0 if taken == wanted else bucket.wait_s(cap, lent)
        log_routine(
            "usage_granted",
            customer=row.customer,
            to=report.sender,
            wanted=wanted,
            granted=taken,
            tokens=f"{bucket.tokens:.1f}",
            lent=f"{lent:.3f}",
        )
        return UsageBalanceRow(row.customer, account.number, account.granted, wait_s)

    # Reports and balances.

    def _report_credit(self, group: _Group, name: str, usage: CustomerUsage) -> None:
        if usage.credit < usage.limit / 2 and not self._is_target(group):
            self._schedule(group, name, CREDIT_DELAY_S)

    def _schedule(self, group: _Group, name: str, delay_s: float) -> None:
        group.changed.add(name)
        due_at = self._now() + delay_s
        if group.timer is not None:
            if group.timer.when() <= due_at:
                return
            group.timer.cancel()
        group.timer = self._loop.call_at(due_at, self._report_changes, group)

    def _report_changes(self, group: _Group) -> None:
        group.timer = None
        changed, group.changed = sorted(group.changed), set()
        target = self._coordinator_of(group)
        if target.id == self._members.own.id:
            self._grant_to_own(group)
            return
        for first in range(0, len(changed), MAX_ROWS):
            self._report(group, target, changed[first : first + MAX_ROWS])

    def _report(self, group: _Group, target: Member, names: Iterable[str] = ()) -> int:
        """Send a report and return its number."""
        now = self._now()
        peer = self._peer_by_id.setdefault(target.id, _Peer())
        share = self._share_for(group, target, now)
        if share and peer.epoch:
            # The coordinator counts from its stamp, which it set before the balance was received.
            group.promised_until = max(group.promised_until, peer.heard_at + LOAN_S)
        own = self._members.own
        report = UsageReport(
            own.id,
            own.incarnation,
            group.region,
            peer.epoch,
            peer.stamp_ms,
            share,
            next(self._numbers),
            tuple(self._row(name) for name in names),
        )
        peer.sent_at = now
        if peer.unanswered_since is None:
            peer.unanswered_since = now
        self._send([target.peer_address], report)
        return report.number

    def _row(self, name: str) -> UsageReportRow:
        local = self._local_by_customer.setdefault(name, _Local())
        usage = local.usage
        return UsageReportRow(
            name,
            usage.account,
            usage.received,
            usage.returned,
            len(local.waiting),
            usage.deficit,
        )

    def apply_balance(self, balance: UsageBalance) -> None:
        """Apply what a coordinator granted to this instance."""
        peer = self._peer_by_id.get(balance.sender)
        if peer is None:
            return
        now = self._now()
        self._peer_heard_at = now
        if balance.epoch != peer.epoch or balance.stamp_ms >= peer.stamp_ms:
            peer.epoch, peer.stamp_ms, peer.heard_at = balance.epoch, balance.stamp_ms, now
            peer.unanswered_since = None
        self._apply_loan(balance, now)
        for row in balance.rows:
            local = self._local_by_customer.get(row.customer)
            if local is not None:
                self._apply_balance_row(local, row, now)

    def _apply_loan(self, balance: UsageBalance, now: float) -> None:
        group = self._group_by_region.get(balance.group)
        if group is None:
            return
        if balance.lent:
            group.idle_until_by_id.pop(balance.sender, None)
        else:
            group.idle_until_by_id[balance.sender] = now + IDLE_S
        released = group.release_number
        is_lender = group.lent_to is not None and group.lent_to.id == balance.sender
        if is_lender and released is not None and balance.number >= released:
            group.promised_until, group.release_number = now, None
            self._lend(group, now)

    def _apply_balance_row(self, local: _Local, row: UsageBalanceRow, now: float) -> None:
        tokens = local.usage.receive(row.account, row.granted)
        while tokens and local.waiting:
            future = local.waiting.popleft()
            if not future.done():
                future.set_result(CapDecision(admitted=True))
                tokens -= 1
        local.usage.restore(tokens)
        if not row.wait_s:
            return
        local.usage.refused_until = now + row.wait_s
        for future in local.waiting:
            if not future.done():
                future.set_result(CapDecision(admitted=False, retry_after_s=row.wait_s))
        local.waiting.clear()

    # Loans.

    def tick(self) -> None:
        """Lend the own share anew, and forget what has become old."""
        customers = self._customers()
        if customers is not self._known_customers:
            self._known_customers = customers
            self._forget_customers(customers)
        if not customers:
            return
        now = self._now()
        self._forgive_silence(now)
        self._update_share(now)
        for group in self._group_by_region.values():
            group.candidates = self._find_candidates(group.region)
            group.ledger.update(now)
            if self.own_share:
                self._lend(group, now)
                self._probe(group, now)
            elif now - group.asked_at < FORGOTTEN_AFTER_S:
                self._probe(group, now)
        if not self.own_share and all(
            now - each.asked_at >= FORGOTTEN_AFTER_S for each in self._group_by_region.values()
        ):
            self._peer_by_id.clear()
        self._forget_accounts(now)

    def drop(self) -> None:
        """End all loans to this instance: the loop's clock stood still while they ran out."""
        now = self._now()
        for group in self._group_by_region.values():
            group.ledger.clear(now)

    def lent(self) -> float:
        """Return the largest part of a group's caps that this instance was lent."""
        return max(each.ledger.lent for each in self._group_by_region.values())

    def _forgive_silence(self, now: float) -> None:
        """Count the silence of peers anew if this instance itself has not run."""
        late_s = now - self._ticked_at - STATUS_INTERVAL_S
        self._ticked_at = now
        if late_s > STALLED_S:
            for peer in self._peer_by_id.values():
                if peer.unanswered_since is not None:
                    peer.unanswered_since = now

    def _rank(self) -> None:
        """Rank the members of each region anew if they have changed."""
        members = frozenset(self._members.by_id.values())
        if members != self._ranked_members:
            self._ranked_members = members
            regions = {each.region for each in members}
            self._ranked_by_region = {each: rank_members(members, each) for each in regions}

    def _update_share(self, now: float) -> None:
        self._rank()
        for each in self._ranked_members:
            self._zone_until[each.availability_zone] = now + ZONE_TTL_S
        self._zone_until = {zone: at for zone, at in self._zone_until.items() if at > now}
        zones = len(self._zone_until)
        count = owners_per_zone(zones)
        own = self._members.own
        zone_owners = is_owner(own, self._ranked_by_region.get(own.region, ()), count)
        self._owners = zones * count
        share = 1.0 / (zones * zone_owners) if zone_owners else 0.0
        silent_s = now - self._peer_heard_at
        alone = bool(share) and len(self._ranked_members) > 1 and silent_s > PEER_SILENT_S
        if alone != self._alone:
            self._alone = alone
            event = "usage_alone" if alone else "usage_peers_heard"
            log_event(event, level="WARNING", share=f"{share:.3f}", silent_s=f"{silent_s:.2f}")
        if alone and silent_s > ALONE_AFTER_S:
            share *= ALONE_SHARE
        self.own_share = share

    def _lend(self, group: _Group, now: float) -> None:
        target = self._choose_target(group)
        self._give_back_loan(group, target, now)
        if target.id != self._members.own.id:
            names = [name for name, each in self._capped_of(group) if each.usage.deficit]
            if len(names) > MAX_ROWS:
                names = random.sample(names, MAX_ROWS)
            self._report(group, target, names)
            return
        share = self._share_for(group, target, now)
        if share:
            group.ledger.lend(target.id, share, now + LOAN_S, now)
            group.promised_until = now + LOAN_S
        self._grant_to_own(group)

    def _give_back_loan(self, group: _Group, target: Member, now: float) -> None:
        """Have the former coordinator end the loan, so that another one gets it sooner."""
        former = group.lent_to
        if former is None or former.id == target.id or now >= group.promised_until:
            return
        if former.id == self._members.own.id:
            group.ledger.release(former.id, now)
            group.promised_until = now
            return
        number = self._report(group, former)
        if group.release_number is None:
            group.release_number = number

    def _capped_of(self, group: _Group) -> list[tuple[str, _Local]]:
        """List the capped customers of a group, so that their credits are full by the first call."""
        rows = []
        for name, customer in self._customers().items():
            if customer.cap is not None and self._group_of(name) is group:
                local = self._local_by_customer.setdefault(name, _Local())
                local.usage.set_limit(self._credit_limit(customer.cap))
                rows.append((name, local))
        return rows

    def _grant_to_own(self, group: _Group) -> None:
        """Restore the own credits, and admit calls that wait, where this is the coordinator."""
        for name, local in self._capped_of(group):
            cap = self._cap_of(name)
            if cap is None or not (local.waiting or local.usage.deficit):
                continue
            bucket = self._bucket(name, cap, group)
            while local.waiting:
                future = local.waiting.popleft()
                if not future.done():
                    admitted = bucket.take(1) == 1
                    future.set_result(CapDecision(admitted, 0.0 if admitted else RESEND_S))
            deficit = local.usage.deficit
            local.usage.restore(bucket.take_spare(deficit, self._terms(cap), group.ledger.lent))

    def _share_for(self, group: _Group, target: Member, now: float) -> float:
        """Return the share to lend to a coordinator, 0 until another one's loan has ended."""
        if target.id != group.target_id:
            return 0.0
        if group.lent_to is None or group.lent_to.id != target.id:
            if now < group.promised_until and not _renews_loan(group, target):
                return 0.0
            group.lent_to = target
        group.release_number = None
        return self.own_share

    def _probe(self, group: _Group, now: float) -> None:
        """Ask the coordinators before the chosen one whether they answer again."""
        for member in group.candidates:
            if member.id in (group.target_id, self._members.own.id):
                return
            peer = self._peer_by_id.get(member.id)
            if peer is None or now - peer.sent_at >= PROBE_INTERVAL_S:
                self._report(group, member)

    # Coordinators.

    def _group_of(self, name: str) -> _Group:
        group = self._group_by_customer.get(name)
        if group is None:
            region = max(self._group_by_region, key=lambda each: hash_of(f"{name}/{each}"))
            group = self._group_by_customer[name] = self._group_by_region[region]
        return group

    def _find_candidates(self, region: str) -> list[Member]:
        """List the possible coordinators of a group, the same order on all instances."""
        order = sorted(
            self._ranked_by_region,
            key=lambda each: (each != region, hash_of(f"{region}/{each}")),
        )
        return [
            member
            for each in order
            for member in self._ranked_by_region[each][:CANDIDATES_PER_REGION]
        ]

    def _choose_target(self, group: _Group) -> Member:
        """Return the first possible coordinator that answers, at last this instance."""
        own = self._members.own
        now = self._now()
        chosen = own
        for member in group.candidates:
            peer = self._peer_by_id.get(member.id)
            if member.id == own.id or peer is None:
                chosen = member
                break
            idle = now < group.idle_until_by_id.get(member.id, now)
            if not peer.failed(now) and (self.own_share or not idle):
                chosen = member
                break
        if chosen.id != group.target_id and group.candidates:
            log_event(
                "usage_coordinator",
                group=group.region,
                coordinator=chosen.id,
                before=group.target_id or "none",
                share=f"{self.own_share:.3f}",
            )
            group.target_id = chosen.id
        return chosen

    def _coordinator_of(self, group: _Group) -> Member:
        """Return whom to ask for tokens: the former coordinator, until the new one has the loan."""
        target = self._choose_target(group)
        former = group.lent_to
        now = self._now()
        if former is None or former.id == target.id or now >= group.promised_until:
            return target
        peer = self._peer_by_id.get(former.id)
        return target if peer is None or peer.failed(now) else former

    def _is_target(self, group: _Group) -> bool:
        return self._coordinator_of(group).id == self._members.own.id

    # What is forgotten.

    def _forget_customers(self, customers: Mapping[str, Customer]) -> None:
        self._group_by_customer.clear()
        capped = {name for name, each in customers.items() if each.cap is not None}
        for name in self._bucket_by_customer.keys() - capped:
            del self._bucket_by_customer[name]
        for name in self._local_by_customer.keys() - capped:
            if not self._local_by_customer[name].waiting:
                del self._local_by_customer[name]

    def _forget_accounts(self, now: float) -> None:
        for group in self._group_by_region.values():
            numbers = group.number_by_owner.items()
            # Loans of earlier reports have ended by then.
            group.number_by_owner = {k: v for k, v in numbers if now - v[1] <= 2 * LOAN_S}
        for bucket in self._bucket_by_customer.values():
            accounts = bucket.account_by_instance
            old = [key for key, each in accounts.items() if now - each.seen_at > ACCOUNT_TTL_S]
            for key in old:
                del accounts[key]


def _renews_loan(group: _Group, target: Member) -> bool:
    """Return whether a start's first loan replaces one of the start before it.

    That lent to the first candidate, unless it did not answer. So a restart of all instances, which ends
    all loans, does not leave the customers without tokens until these would have run out.
    """
    return group.lent_to is None and target.id == group.candidates[0].id


def create_usage_exchange(
    bounds: CapBounds,
    region_by_zone: Mapping[str, str],
    members: MemberTable,
    customers: Callable[[], Mapping[str, Customer]],
    send: Callable[[Iterable[HostPort], PeerMessage], None],
    events: Counter[str],
) -> UsageExchange:
    """Create an exchange inside the running loop.

    `customers` returns those of the configuration by name, `send` sends a message to the peers at
    the given addresses, `events` counts what is shown as metrics.
    """
    return UsageExchange(
        bounds,
        region_by_zone.values(),
        region_by_zone,
        members,
        customers,
        send,
        events,
    )
