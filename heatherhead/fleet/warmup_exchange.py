"""Tells other instances of cold upstreams, and requests and issues the permits for these.

The permits are those of rate limits (`fleet/permits.py`), with the same issuers and shares. What
differs is the load: all 31 upstreams of a zone may become cold at once, and over a hundred instances
may have calls for them. So one request names up to 16 upstreams any of which would do, and an
instance that got nothing is told to ask again after its turn among those that asked.

An instance that reaches no issuer sends no calls to cold upstreams. Unlike the end of a rate limit,
that of a warm-up comes by time, so that no trial calls are needed.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from heatherhead.fleet.warmup_messages import (
    WarmupGrant,
    WarmupPermitReply,
    WarmupPermitRequest,
    WarmupReport,
)
from heatherhead.telemetry.bounded_logs import log_routine

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from heatherhead.dispatch.dispatcher import Dispatcher
    from heatherhead.dispatch.upstream_state import UpstreamState
    from heatherhead.dispatch.warmup import WarmupRow
    from heatherhead.entry.settings import HostPort
    from heatherhead.fleet.home_view import HomeView
    from heatherhead.fleet.members import MemberTable
    from heatherhead.fleet.peer_messages import PeerMessage
    from heatherhead.fleet.permits import PermitExchange

__all__ = ["WarmupExchange", "create_warmup_exchange"]

MAX_REQUEST_ROWS = 16  # half of a zone; a datagram of about 600 bytes
MAX_REPORT_ROWS = 30  # per datagram, which then fits one packet
REPORT_BATCH_DELAY_S = 0.02  # all upstreams of a zone become cold at about the same time
REPORT_INTERVAL_S = 1.0  # a home that has just started learns of warm-ups by then
REPLY_TIMEOUT_S = 0.2  # four round trips between regions
AWAITED_REQUESTS = 2  # without a reply; calls don't wait for that to a third one
MAX_OPEN_REQUESTS = 8  # to one region, whose replies still count
MAX_TURN_S = 1.0  # until a refused instance asks again
TURN_JITTER = 0.25  # refused instances don't come back all at once
ASKED_WINDOW_S = 1.0  # over which instances that ask are counted
NUMBER_BITS = 48  # of the first request's number, which differs from those before a restart
MAX_UNPLACED = 256  # rows
UNPLACED_TTL_S = 5.0  # an entry takes less to arrive than that


@dataclass(frozen=True, slots=True)
class _Request:
    """One request for permits for any of some upstreams of a service."""

    sent_at: float
    states: list[UpstreamState]


@dataclass(slots=True)
class _Requests:
    """The requests for permits to the issuers of one region."""

    unanswered: int = 0  # reply timeouts in a row
    awaited_since: float | None = None  # the first request since the last reply or timeout
    issuer_id: str | None = None  # the instance that sent the last reply
    position: int = 0  # among the possible issuers, while none replies
    open_by_number: dict[int, _Request] = field(default_factory=dict)  # whose replies still count

    def count_timeout(self, now: float) -> None:
        """Turn to the next possible issuer if no reply has come in time."""
        if self.awaited_since is None:
            self.awaited_since = now
        elif now - self.awaited_since >= REPLY_TIMEOUT_S:
            self.awaited_since = now
            self.unanswered += 1
            self.position = 0 if self.issuer_id else self.position + 1
            self.issuer_id = None


class WarmupExchange:
    """Reports warm-ups, and exchanges the permits for cold upstreams."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        permits: PermitExchange,
        homes: HomeView,
        members: MemberTable,
        send: Callable[[Iterable[HostPort], PeerMessage], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._now = self._loop.time
        self._dispatcher = dispatcher
        self._warmups = dispatcher.warmups
        self._permits = permits
        self._homes = homes
        self._members = members
        self._send = send
        self._next_at_by_state: dict[UpstreamState, float] = {}
        self._requests_by_region: dict[str, _Requests] = {}
        self._asked_at_by_service: dict[str, dict[str, float]] = {}  # by instance
        self._numbers = itertools.count(random.getrandbits(NUMBER_BITS) + 1)
        self._reported_at = -math.inf
        self._unreported: dict[str, UpstreamState] = {}
        self._report_timer: asyncio.TimerHandle | None = None
        self._unplaced: list[tuple[WarmupRow, float, str]] = []  # of upstreams not known yet
        dispatcher.may_request_warmup = self.may_request
        dispatcher.request_warmup_permits = self.request
        self._warmups.on_answer = self._add_to_report
        self._warmups.on_change = self._notify_soon
        self._notice_timer: asyncio.TimerHandle | None = None
        self.notify_followers: Callable[[], None] = lambda: None

    def stop(self) -> None:
        """Cancel the messages that are due."""
        for timer in (self._report_timer, self._notice_timer):
            if timer is not None:
                timer.cancel()

    def tick(self) -> None:
        """Report cold upstreams that this instance issues for, and forget what has ended.

        Not those that are cold by a new entry: the other homes have got it too.
        """
        now = self._now()
        cold = self._limited_cold()
        held = set(cold)
        self._next_at_by_state = {k: v for k, v in self._next_at_by_state.items() if k in held}
        unplaced, self._unplaced = self._unplaced, []
        for row, at, source in unplaced:
            if now - at < UNPLACED_TTL_S:
                self._apply_row(row, source, at)
        reported = [state for state in cold if state.warmup.is_reported(now)]
        issued = [state for state in reported if self._permits.issues_for(state)]
        if issued and now - self._reported_at >= REPORT_INTERVAL_S:
            self._reported_at = now
            self._report(issued)

    def apply_suspension(self, suspended_s: float) -> None:
        """Ignore the replies to requests so far: the loop's clock stood still meanwhile."""
        for requests in self._requests_by_region.values():
            requests.open_by_number.clear()
        for state in self._dispatcher.states:
            state.warmup.apply_suspension(suspended_s, self._now())

    def _limited_cold(self) -> list[UpstreamState]:
        states = self._dispatcher.limited_states()
        return [each for each in states if each.rate_limit.warmup_per_s is not None]

    def rows(self) -> tuple[WarmupRow, ...]:
        """List what only answers to health checks told lately, for the followers of this instance."""
        now = self._now()
        return tuple(
            self._warmups.row_of(state)
            for state in self._dispatcher.states
            if state.warmup.is_told(now) and self._warmups.limits(state)
        )

    def _add_to_report(self, state: UpstreamState) -> None:
        self._unreported[state.entry.id] = state
        if self._report_timer is None:
            self._report_timer = self._loop.call_later(REPORT_BATCH_DELAY_S, self._report_changes)

    def _notify_soon(self) -> None:
        if self._notice_timer is None:
            self._notice_timer = self._loop.call_later(REPORT_BATCH_DELAY_S, self._notify)

    def _notify(self) -> None:
        self._notice_timer = None
        if self.rows():
            self._warmups.changes += 1
            self.notify_followers()

    def _report_changes(self) -> None:
        self._report_timer = None
        states, self._unreported = list(self._unreported.values()), {}
        # Not those whose entries came a little later than the answers to health checks.
        self._report([state for state in states if state.warmup.news])

    def _report(self, states: Sequence[UpstreamState]) -> None:
        own = self._members.own
        homes = [each for each in self._homes.homes_of_all_regions() if each.id != own.id]
        rows = tuple(self._warmups.row_of(state) for state in states)
        self._send_rows([each.peer_address for each in homes], rows)

    def _send_rows(self, addresses: list[HostPort], rows: tuple[WarmupRow, ...]) -> None:
        for first in range(0, len(rows), MAX_REPORT_ROWS):
            report = WarmupReport(self._members.own.id, rows[first : first + MAX_REPORT_ROWS])
            self._send(addresses, report)

    def apply_report(self, report: WarmupReport, sender: HostPort) -> None:
        """Apply what another instance reports; tell it of ends that it has not heard of.

        It may have read an entry that was written long ago, and can't know that.
        """
        ended = []
        for row in report.rows:
            state = self._apply_row(row, report.sender)
            if state is not None and row.left_s and not state.warmup.cold(self._now()):
                ended.append(self._warmups.row_of(state))
        if ended:
            self._send_rows([sender], tuple(ended))

    def apply_relayed(self, rows: Iterable[WarmupRow]) -> None:
        """Apply what the followed home knows."""
        for row in rows:
            self._apply_row(row, "relay")

    def _apply_row(
        self, row: WarmupRow, source: str, received_at: float | None = None
    ) -> UpstreamState | None:
        """Apply a row to the start that it is of; keep it until the entry of that start comes."""
        now = self._now()
        state = self._dispatcher.state(row.upstream_id)
        if state is None or state.entry.started_ms < row.started_ms:
            if len(self._unplaced) < MAX_UNPLACED:
                self._unplaced.append((row, now if received_at is None else received_at, source))
            return None
        if state.entry.started_ms != row.started_ms:
            return None
        if received_at is not None:
            row = row.aged(now - received_at)
        self._warmups.apply_row(state, row, source)
        return state

    def may_request(self, state: UpstreamState) -> bool:
        """Return whether permits for a cold upstream may be requested now."""
        return self._now() >= self._next_at_by_state.get(state, -math.inf)

    def request(self, states: list[UpstreamState], wanted: int) -> None:
        """Request permits for any of some cold upstreams, the best one first.

        Those that are issued elsewhere than the best one's are left out.
        """
        region = self._permits.region_of(states[0])
        asked = [each for each in states if self._permits.region_of(each) == region]
        asked = asked[:MAX_REQUEST_ROWS]
        if self._permits.issues_for(asked[0]):
            self._issue_to_itself(asked, wanted)
        else:
            self._request_of(region, asked, wanted)

    def _issue_to_itself(self, states: list[UpstreamState], wanted: int) -> None:
        now = self._now()
        own_id, service = self._members.own.id, states[0].entry.service
        permits_by_state, wait_s = self._issue(own_id, service, states, wanted)
        for state, permits in permits_by_state.items():
            state.rate_limit.add_permits(permits, now)
            self._next_at_by_state[state] = now + (0.0 if permits else wait_s)

    def _request_of(self, region: str, states: list[UpstreamState], wanted: int) -> None:
        now = self._now()
        requests = self._requests_by_region.setdefault(region, _Requests())
        requests.count_timeout(now)
        for state in states:
            self._next_at_by_state[state] = now + REPLY_TIMEOUT_S
        if requests.unanswered < AWAITED_REQUESTS:
            for state in states[:wanted]:
                state.rate_limit.await_permits(1, now + REPLY_TIMEOUT_S)
        own_id = self._members.own.id
        issuers = [each for each in self._permits.issuers(region) if each.id != own_id]
        if not issuers:
            return
        issuer = issuers[requests.position % len(issuers)]
        issuer = next((each for each in issuers if each.id == requests.issuer_id), issuer)
        number = next(self._numbers)
        requests.open_by_number[number] = _Request(now, states)
        if len(requests.open_by_number) > MAX_OPEN_REQUESTS:
            del requests.open_by_number[next(iter(requests.open_by_number))]
        rows = tuple(self._warmups.row_of(state) for state in states)
        self._send([issuer.peer_address], WarmupPermitRequest(own_id, number, wanted, rows))

    def _issue(
        self, asker: str, service: str, states: list[UpstreamState], wanted: int
    ) -> tuple[dict[UpstreamState, int], float]:
        """Issue permits for cold upstreams; return them, and the time until there may be more."""
        permits_by_state = {}
        soonest_s = MAX_TURN_S
        for state in states:
            permits, wait_s = self._permits.issue(state, wanted)
            permits_by_state[state] = permits
            wanted -= permits
            soonest_s = min(soonest_s, wait_s) if not permits else soonest_s
        turn_s = self._turn_s(asker, service) * random.uniform(1.0 - TURN_JITTER, 1.0)
        return permits_by_state, max(soonest_s, turn_s)

    def _turn_s(self, asker: str, service: str) -> float:
        """Return the time in which all instances that ask get a permit each."""
        now = self._now()
        asked_at = self._asked_at_by_service.setdefault(service, {})
        asked_at[asker] = now
        for each in [each for each, at in asked_at.items() if at < now - ASKED_WINDOW_S]:
            del asked_at[each]
        per_s = sum(
            each.rate_limit.calls_per_s or 0.0
            for each in self._limited_cold()
            if each.entry.service == service and self._permits.issues_for(each)
        )
        return min(MAX_TURN_S, len(asked_at) / per_s) if per_s else MAX_TURN_S

    def apply_request(self, request: WarmupPermitRequest, sender: HostPort) -> None:
        """Issue permits to another instance if this one is the first home."""
        known = [self._apply_row(row, request.sender) for row in request.rows]
        states = [each for each in known if each is not None and self._permits.issues_for(each)]
        if not states:
            return  # the requester then asks the next home
        cold = [each for each in states if each.rate_limit.warmup_per_s is not None]
        permits_by_state, wait_s = {}, REPLY_TIMEOUT_S
        if cold:
            service = cold[0].entry.service
            permits_by_state, wait_s = self._issue(request.sender, service, cold, request.wanted)
        grants = tuple(
            WarmupGrant(permits_by_state.get(each, 0), self._warmups.row_of(each))
            for each in states
            if permits_by_state.get(each) or each not in cold
        )
        reply = WarmupPermitReply(self._members.own.id, request.number, wait_s, grants)
        self._send([sender], reply)
        log_routine(
            "warmup_permits_issued",
            to=request.sender,
            permits=sum(permits_by_state.values()),
            wanted=request.wanted,
            upstreams=len(request.rows),
            known=len(states),
            cold=len(cold),
            wait_s=f"{wait_s:.3f}",
        )

    def apply_reply(self, reply: WarmupPermitReply) -> None:
        """Apply the reply to a request for permits, unless it has come before."""
        request = self._take_request(reply)
        if request is None:
            permits = sum(each.permits for each in reply.grants)
            log_routine("warmup_permits_ignored", sender=reply.sender, permits=permits)
            return
        now = self._now()
        for state in request.states:
            self._next_at_by_state[state] = now + reply.wait_s
            state.rate_limit.add_permits(0, now)
        for grant in reply.grants:
            granted = self._apply_row(grant.row, reply.sender)
            if granted in request.states and grant.permits:
                self._next_at_by_state[granted] = now
                granted.rate_limit.add_permits(grant.permits, now, request.sent_at)
        # All are of one service; its waiting calls are placed once for all.
        self._dispatcher.add_permits(request.states[0], 0)

    def _take_request(self, reply: WarmupPermitReply) -> _Request | None:
        """Return the request that a reply answers, if it still counts, and discard it."""
        for requests in self._requests_by_region.values():
            request = requests.open_by_number.pop(reply.number, None)
            if request is not None:
                requests.unanswered, requests.awaited_since = 0, None
                requests.issuer_id = reply.sender
                return request
        return None


def create_warmup_exchange(
    dispatcher: Dispatcher,
    permits: PermitExchange,
    homes: HomeView,
    members: MemberTable,
    send: Callable[[Iterable[HostPort], PeerMessage], None],
) -> WarmupExchange:
    """Create an exchange; `send` sends a message to the peers at the given addresses."""
    return WarmupExchange(dispatcher, permits, homes, members, send)
