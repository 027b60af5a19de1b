"""Requests and issues permits for calls to upstreams that name a rate limit.

The first home of the upstream's region issues all permits, so that the limit holds for all
instances together without being divided in advance. An instance requests permits when it has a
call, by datagram; without one, it sends the call to another upstream.

Instances that can't reach each other may take different homes for the first. A home that stands in
for others of the region's ranking issues a fifth of the limit for each of them, so that all issuers
together stay below 1.25 times the limit, however many sides a partition has.
"""

from __future__ import annotations

import itertools
import math
import random
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from heatherhead.dispatch.rate_limits import MAX_PERMIT_WAIT_S, PermitBucket, RateLimitEvidence
from heatherhead.fleet.homes import rank_members
from heatherhead.fleet.peer_messages import (
    PermitReply,
    PermitRequest,
    RateLimitReport,
    RateLimitRow,
)
from heatherhead.telemetry.bounded_logs import log_routine
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from heatherhead.dispatch.dispatcher import Dispatcher
    from heatherhead.dispatch.upstream_state import UpstreamState
    from heatherhead.entry.settings import HostPort
    from heatherhead.fleet.home_view import HomeView
    from heatherhead.fleet.members import Member, MemberTable
    from heatherhead.fleet.peer_messages import PeerMessage

__all__ = ["PermitExchange", "create_permit_exchange"]

STAND_IN_SHARE = 1 / 5  # 1 + 1/5 + 1/25 and so on is 1.25
# Each issuer may issue a permit beyond its share at any moment, so no more than five issue any for
# cold upstreams, whose bound allows 8 calls beyond the rate.
MIN_WARMUP_SHARE = 0.9 * STAND_IN_SHARE**4
REQUESTED_S = 0.1  # of the limit; one request asks for that many permits, but at least one
REPLY_TIMEOUT_S = 0.2  # four round trips between regions
ALONE_AFTER_REQUESTS = 5  # without a reply: a second
AWAITED_REQUESTS = 2  # without a reply; calls don't wait for that to a third one
ALONE_SHARE = 0.5  # of the limit, for all instances together that reach no issuer
MAX_OPEN_REQUESTS = 8  # of one upstream, whose replies still count
NUMBER_BITS = 48  # of the first request's number, which differs from those before a restart
MIN_ALONE_INTERVAL_S = 5.0
MAX_ALONE_INTERVAL_S = 30.0  # bounds how late an instance that is alone notices the end of a limit
REPORT_INTERVAL_S = 1.0  # a home that has just started learns of limits by then
REPORTED_CHANGE = 0.1  # of a limit; smaller ones are told with requests and replies
# Assumed of what a followed home tells, so that newer evidence of the instance's own goes first.
RELAYED_AGE_S = 2.0


@dataclass(slots=True)
class _Requests:
    """The requests for permits of one start of an upstream."""

    next_at: float = -math.inf
    unanswered: int = 0  # in a row
    issuer: int = 0  # position among the possible issuers
    alone_until: float = -math.inf  # the next permit that is taken without an issuer
    open_numbers: deque[int] = field(default_factory=lambda: deque(maxlen=MAX_OPEN_REQUESTS))


class PermitExchange:
    """Requests permits for this instance, and issues them where it is the first home."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        homes: HomeView,
        members: MemberTable,
        send: Callable[[Iterable[HostPort], PeerMessage], None],
        now: Callable[[], float],
    ) -> None:
        self._dispatcher = dispatcher
        self._homes = homes
        self._members = members
        self._send = send
        self._now = now
        self._share: float | None = None
        self._regions: set[str] = set()
        self._reported_at = -math.inf
        self._requests_by_start: dict[tuple[str, int], _Requests] = {}
        self._numbers = itertools.count(random.getrandbits(NUMBER_BITS) + 1)
        self._bucket_by_start: dict[tuple[str, int], PermitBucket] = {}
        self._reported_limit_by_id: dict[str, float | None] = {}
        dispatcher.may_request = self.may_request
        dispatcher.request_permits = self.request
        dispatcher.on_rate_limit = self.report_change

    def tick(self) -> None:
        """Forget ended limits, and report to the homes those that this instance issues for."""
        self._share = None
        self._regions = {each.region for each in self._members.by_id.values()}
        limited = self._dispatcher.limited_states()
        starts = {_start_of(state) for state in limited}
        self._requests_by_start = {k: v for k, v in self._requests_by_start.items() if k in starts}
        self._bucket_by_start = {k: v for k, v in self._bucket_by_start.items() if k in starts}
        now = self._now()
        named = [state for state in limited if state.rate_limit.named_per_s is not None]
        issued = [state for state in named if self.issues_for(state)]
        if issued and now - self._reported_at >= REPORT_INTERVAL_S:
            self._reported_at = now
            self._report(issued)

    def drop(self) -> None:
        """Drop all permits: the loop's clock stood still while they ran out."""
        for state in self._dispatcher.limited_states():
            state.rate_limit.drop_permits()
        for requests in self._requests_by_start.values():
            requests.open_numbers.clear()  # replies may have waited as long

    def limits(self) -> tuple[RateLimitRow, ...]:
        """List the named limits that are in force, for the followers of this instance."""
        limited = self._dispatcher.limited_states()
        return tuple(
            self._row(state) for state in limited if state.rate_limit.named_per_s is not None
        )

    def report_change(self, state: UpstreamState) -> None:
        """Report a limit that this instance has found changed to the homes of all regions."""
        limit = state.rate_limit.named_per_s
        reported = self._reported_limit_by_id.get(state.entry.id)
        if limit is None:
            self._reported_limit_by_id.pop(state.entry.id, None)
        else:
            self._reported_limit_by_id[state.entry.id] = limit
        if limit is None or reported is None or abs(limit - reported) > REPORTED_CHANGE * reported:
            self._report([state])

    def _report(self, states: Iterable[UpstreamState]) -> None:
        own = self._members.own
        homes = [home for home in self._homes.homes_of_all_regions() if home.id != own.id]
        report = RateLimitReport(own.id, tuple(self._row(state) for state in states))
        self._send(map(_address_of, homes), report)

    def _row(self, state: UpstreamState) -> RateLimitRow:
        limit = state.rate_limit
        return RateLimitRow(
            *_start_of(state),
            limit.named_per_s,
            max(0.0, self._now() - limit.evidence_at),
            limit.health_answers_name_it,
        )

    def apply_report(self, report: RateLimitReport) -> None:
        """Apply the limits that another instance reports."""
        for row in report.rows:
            self._apply_row(row, report.sender)

    def apply_relayed(self, rows: Iterable[RateLimitRow]) -> None:
        """Apply the limits that the followed home knows of."""
        for row in rows:
            if row.calls_per_s is not None:
                self._apply_row(row, "relay", RELAYED_AGE_S)

    def _apply_row(self, row: RateLimitRow, source: str, min_age_s: float = 0.0) -> None:
        state = self._dispatcher.state(row.upstream_id)
        if state is None or state.entry.started_ms != row.started_ms:
            return
        at = self._now() - max(row.age_s, min_age_s)
        evidence = RateLimitEvidence(row.calls_per_s, at)
        if row.named_by_health_checks and evidence.at > state.rate_limit.evidence_at:
            state.rate_limit.health_answers_name_it = row.calls_per_s is not None
        self._dispatcher.record_rate_limit(state, evidence, source)

    def region_of(self, state: UpstreamState) -> str:
        """Return the region that issues the permits: the upstream's, if it has instances."""
        region = self._dispatcher.region_of(state.entry.availability_zone) or ""
        if region in self._regions or not self._regions:
            return region
        return min(self._regions)

    def issuers(self, region: str) -> list[Member]:
        """List the members that may issue the permits of a region, the most probable one first."""
        if region == self._members.own.region:
            return self._homes.current
        return self._homes.probable_homes_of(region)

    def issues_for(self, state: UpstreamState) -> bool:
        """Return whether this instance issues the permits of an upstream."""
        own = self._members.own
        if self.region_of(state) != own.region:
            return False
        homes = self._homes.current
        return bool(homes) and homes[0].id == own.id

    def may_request(self, state: UpstreamState) -> bool:
        """Return whether a request for permits may be sent now."""
        requests = self._requests_by_start.get(_start_of(state))
        return requests is None or self._now() >= requests.next_at

    def request(self, state: UpstreamState) -> None:
        """Request permits for an upstream; the issuer itself gets them at once."""
        now = self._now()
        requests = self._requests_by_start.setdefault(_start_of(state), _Requests())
        limit = state.rate_limit
        assert limit.calls_per_s is not None
        wanted = max(1, math.ceil(limit.calls_per_s * REQUESTED_S))
        if self.issues_for(state):
            permits, wait_s = self.issue(state, wanted)
            limit.add_permits(permits, now)
            requests.next_at = now + wait_s
            return
        requests.next_at = now + REPLY_TIMEOUT_S
        requests.unanswered += 1
        if requests.unanswered > ALONE_AFTER_REQUESTS:
            self._take_alone(state, requests, now)
        elif requests.unanswered <= AWAITED_REQUESTS:
            limit.await_permits(wanted, requests.next_at)
        own_id = self._members.own.id
        issuers = [each for each in self.issuers(self.region_of(state)) if each.id != own_id]
        if issuers:
            if requests.unanswered > 1:
                requests.issuer += 1
            issuer = issuers[requests.issuer % len(issuers)]
            number = next(self._numbers)
            requests.open_numbers.append(number)
            request = PermitRequest(own_id, wanted, self._row(state), number)
            self._send([_address_of(issuer)], request)

    def _take_alone(self, state: UpstreamState, requests: _Requests, now: float) -> None:
        """Take a permit now and then while no issuer replies: the limit may have ended."""
        if now < requests.alone_until:
            return
        per_s = ALONE_SHARE * (state.rate_limit.calls_per_s or 0.0)
        interval_s = len(self._members.by_id) / per_s if per_s else math.inf
        requests.alone_until = now + min(
            MAX_ALONE_INTERVAL_S, max(MIN_ALONE_INTERVAL_S, interval_s)
        )
        state.rate_limit.add_permits(1, now)
        log_event("permit_taken_alone", upstream=state.entry.id, unanswered=requests.unanswered)

    def issue(self, state: UpstreamState, wanted: int) -> tuple[int, float]:
        """Issue permits; return their number and, if there are none, the time until the next."""
        now = self._now()
        bucket = self._bucket_by_start.get(_start_of(state))
        if bucket is None:
            bucket = self._bucket_by_start[_start_of(state)] = PermitBucket(now)
        limit = state.rate_limit
        share = self._own_share()
        if limit.warmup_per_s is not None and share < MIN_WARMUP_SHARE:
            return 0, MAX_PERMIT_WAIT_S
        per_s = limit.issued_per_s(share)
        permits = bucket.take(wanted, per_s, now, limit.most_saved(share))
        return permits, 0.0 if permits else bucket.wait_s(per_s)

    def _own_share(self) -> float:
        """Return the part of a limit for which this instance may issue permits."""
        if self._share is None:
            own = self._members.own
            ranked = rank_members(self._members.by_id.values(), own.region)
            rank = next((n for n, each in enumerate(ranked) if each.id == own.id), 0)
            self._share = STAND_IN_SHARE**rank
        return self._share

    def apply_request(self, request: PermitRequest, sender: HostPort) -> None:
        """Issue permits to another instance if this one is the first home."""
        self._apply_row(request.limit, request.sender)
        state = self._dispatcher.state(request.limit.upstream_id)
        if (
            state is None
            or state.entry.started_ms != request.limit.started_ms
            or not self.issues_for(state)
        ):
            return  # the requester then asks the next home
        permits, wait_s = 0, 0.0
        if state.rate_limit.calls_per_s is not None:
            permits, wait_s = self.issue(state, request.wanted)
        log_routine(
            "permits_issued",
            upstream=state.entry.id,
            to=request.sender,
            permits=permits,
            wanted=request.wanted,
            calls_per_s=state.rate_limit.calls_per_s,
            share=f"{self._own_share():.2f}",
            evidence_age_s=f"{self._now() - state.rate_limit.evidence_at:.3f}",
        )
        row = self._row(state)
        reply = PermitReply(self._members.own.id, permits, wait_s, row, request.number)
        self._send([sender], reply)

    def apply_reply(self, reply: PermitReply) -> None:
        """Apply the reply to a request for permits, unless it has come before."""
        if not self._is_awaited(reply):
            log_routine(
                "permits_ignored",
                upstream=reply.limit.upstream_id,
                sender=reply.sender,
                permits=reply.permits,
            )
            return
        self._apply_row(reply.limit, reply.sender)
        state = self._dispatcher.state(reply.limit.upstream_id)
        if state is None or state.entry.started_ms != reply.limit.started_ms:
            return
        now = self._now()
        requests = self._requests_by_start.setdefault(_start_of(state), _Requests())
        requests.unanswered = 0
        requests.next_at = now + reply.wait_s
        # Those of a named limit don't keep to a warm-up that began while the reply was under way.
        cold = state.rate_limit.warmup_per_s is not None
        self._dispatcher.add_permits(state, 0 if cold else reply.permits)

    def _is_awaited(self, reply: PermitReply) -> bool:
        """Return whether a reply is the first to its request; earlier versions don't tell."""
        if not reply.number:
            return True
        requests = self._requests_by_start.get((reply.limit.upstream_id, reply.limit.started_ms))
        if requests is None or reply.number not in requests.open_numbers:
            return False
        requests.open_numbers.remove(reply.number)
        return True


def _start_of(state: UpstreamState) -> tuple[str, int]:
    return state.entry.id, state.entry.started_ms


def _address_of(member: Member) -> HostPort:
    return member.peer_address


def create_permit_exchange(
    dispatcher: Dispatcher,
    homes: HomeView,
    members: MemberTable,
    send: Callable[[Iterable[HostPort], PeerMessage], None],
    now: Callable[[], float],
) -> PermitExchange:
    """Create an exchange; `send` sends a message to the peers at the given addresses."""
    return PermitExchange(dispatcher, homes, members, send, now)
