"""Decides when a call in flight is hedged, within a limit that the operator sets.

Designed for upstreams of which some are up to seven times slower for about half a second while
half of the slots are free. A call that met one lasts longer than nearly all others of its route,
and a second attempt elsewhere is likely to be answered first. That does not hold where the whole
service or a zone is slow, nor where some requests take long on any upstream. The first is seen by
how many calls of the last few were late, the second by hedges that do not win.

`docs/design/tail-hedging.md` compares the alternatives.
"""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from heatherhead.dispatch.budget import RATIO_SAFETY_FACTOR, create_retry_budget
from heatherhead.dispatch.hedging import worth_hedging
from heatherhead.telemetry.bounded_logs import log_routine
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable, Collection

    from heatherhead.dispatch.budget import RetryBudget
    from heatherhead.dispatch.demand import Demand
    from heatherhead.dispatch.dispatcher import Dispatcher, Slot
    from heatherhead.dispatch.upstream_state import UpstreamState

__all__ = [
    "CallHedging",
    "LateShare",
    "RecentDurations",
    "TailHedging",
    "WinRecord",
    "create_tail_hedging",
]

MIN_QUANTILE = 0.95  # a lower one would hedge calls of usual length
MAX_QUANTILE = 0.99
MAX_DURATIONS = 400  # per route; four of them lie above the highest quantile
DURATIONS_TTL_S = 30.0
LATE_WEIGHT = 1 / 12  # of the latest call; an upstream's slots alone must not make a service late
LATE_SERVICE_SHARE = 0.5  # slow upstreams make up to a third of the calls late
MAX_SECOND_SLOWDOWN = 2.0  # by load readings; if all are slower, the whole service is slow
SLOW_FRACTION = 0.8  # a second attempt must be expected to take less of the first one's time
TIMER_TOLERANCE_S = 1e-6  # a timer may fire earlier than its time by a rounding error
WIN_WEIGHT = 0.1  # of the latest hedge
INITIAL_WIN_SHARE = 0.5
MIN_WIN_SHARE = 0.2  # nine losses at the start lead below it
MIN_TRIAL_INTERVAL_S = 2.0  # between hedges of a route whose hedges do not win
MAX_TRIAL_INTERVAL_S = 30.0


class RecentDurations:
    """The durations of the last attempts of a route, and a quantile of them."""

    def __init__(self, quantile: float) -> None:
        self._quantile = quantile
        self._recorded: deque[tuple[float, float]] = deque()  # times with durations
        self._ascending: list[float] = []

    def record(self, duration_s: float, now: float) -> None:
        """Record the duration of an attempt, or a lower bound above the quantile."""
        self._recorded.append((now, duration_s))
        insort(self._ascending, duration_s)
        if len(self._recorded) > MAX_DURATIONS:
            self._remove_oldest()

    def threshold_s(self, now: float) -> float:
        """Return the quantile; infinite as long as no duration lies above it."""
        while self._recorded and self._recorded[0][0] < now - DURATIONS_TTL_S:
            self._remove_oldest()
        count = len(self._ascending)
        position = math.ceil(self._quantile * count)
        return self._ascending[position - 1] if 0 < position < count else math.inf

    def _remove_oldest(self) -> None:
        _, duration_s = self._recorded.popleft()
        del self._ascending[bisect_left(self._ascending, duration_s)]


@dataclass(slots=True)
class LateShare:
    """The share of the last calls that lasted longer than the threshold of their route."""

    value: float = 0.0

    def record(self, late: bool) -> None:
        """Record a call when it turns late or is answered in time."""
        self.value += LATE_WEIGHT * ((1.0 if late else 0.0) - self.value)

    @property
    def high(self) -> bool:
        """Return whether what is slow is more than a few upstreams."""
        return self.value >= LATE_SERVICE_SHARE


@dataclass(slots=True)
class WinRecord:
    """How often the hedges of a route win; if they hardly do, only a trial is allowed at times."""

    share: float = INITIAL_WIN_SHARE
    trial_at: float = -math.inf
    trial_interval_s: float = MIN_TRIAL_INTERVAL_S

    @property
    def paused(self) -> bool:
        """Return whether hedges win too seldom to be worth their cost."""
        return self.share < MIN_WIN_SHARE

    def allows(self, now: float) -> bool:
        """Return whether a hedge may be sent."""
        return not self.paused or now >= self.trial_at

    def record_sent(self, now: float) -> None:
        """Record that a hedge was sent; a trial is the only one until its outcome is known."""
        self.trial_at = now + self.trial_interval_s

    def record_outcome(self, won: bool, now: float) -> None:
        """Record the outcome of a hedge."""
        self.share += WIN_WEIGHT * ((1.0 if won else 0.0) - self.share)
        if not self.paused:
            self.trial_interval_s = MIN_TRIAL_INTERVAL_S
        elif not won:
            self.trial_at = now + self.trial_interval_s
            self.trial_interval_s = min(MAX_TRIAL_INTERVAL_S, 2 * self.trial_interval_s)


@dataclass(slots=True, eq=False)
class CallHedging:
    """What is known of a call and its hedge."""

    counted: bool = False  # by the limit
    late: bool = False
    over_limit: bool = False  # a hedge was left out for the limit
    second: Slot | None = None
    wins: WinRecord | None = None  # that the outcome is recorded in; None once it is
    winner: Slot | None = None  # whose attempt was answered first
    attempts_out: int = 0

    def record_answer(self, slot: Slot) -> None:
        """Record that an attempt was answered."""
        self.winner = self.winner or slot


@dataclass(slots=True, eq=False)
class _Service:
    """What is known of the hedges of one service."""

    limit: RetryBudget
    late: LateShare = field(default_factory=LateShare)
    late_by_zone: dict[str, LateShare] = field(default_factory=dict)

    def record(self, zone: str, late: bool) -> None:
        """Record a call on an upstream of a zone."""
        self.late.record(late)
        self.late_by_zone.setdefault(zone, LateShare()).record(late)


@dataclass(slots=True, eq=False)
class _Route:
    """What is known of the attempts and hedges of one route."""

    durations: RecentDurations
    # Of hedges of calls whose upstream is read as slow, and of all others. The first are likely to
    # win also where some requests take long on any upstream.
    wins_by_slow: dict[bool, WinRecord] = field(
        default_factory=lambda: {True: WinRecord(), False: WinRecord()}
    )


class TailHedging:
    """Sends hedges within the limit of each service; a ratio of 0 disables it."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        ratio: float,
        window_s: float,
        events: Counter[str],
        clock: Callable[[], float],
    ) -> None:
        self.enabled = ratio > 0
        self._dispatcher = dispatcher
        self._ratio = ratio
        self._window_s = window_s
        self._quantile = quantile_of(ratio)
        self._events = events
        self._clock = clock
        self._service_by_name: dict[str, _Service] = {}
        self._route_by_name: dict[str, _Route] = {}

    def record_attempt(self, call: CallHedging, service: str) -> None:
        """Record that an attempt begins; the first one of a call raises the limit."""
        call.attempts_out += 1
        if self.enabled and not call.counted:
            call.counted = True
            self._service(service).limit.record_call(self._clock())

    def next_check_s(self, route: str, first: Slot, check_s: float) -> float:
        """Return when to check a call next, `check_s` unless it turns late before."""
        if not self.enabled:
            return check_s
        now = self._clock()
        late_s = first.acquired_at + self._route(route).durations.threshold_s(now) - now
        return min(check_s, late_s) if late_s > TIMER_TOLERANCE_S else check_s

    def try_hedge(
        self,
        call: CallHedging,
        route: str,
        demand: Demand,
        tried_ids: Collection[str],
        first: Slot,
        may_use: Callable[[Slot], bool],
    ) -> Slot | None:
        """Return a slot for a hedge of the call if one is worth its cost and within the limits."""
        if not demand.idempotent or call.second is not None:
            return None
        now = self._clock()
        service = self._service(demand.service)
        known = self._route(route)
        zone = first.state.entry.availability_zone
        elapsed_s = now - first.acquired_at + TIMER_TOLERANCE_S
        threshold_s = known.durations.threshold_s(now)
        if elapsed_s >= threshold_s and not call.late:
            call.late = True
            service.record(zone, late=True)
        if service.late.high:
            return None
        avoid = self._avoided(service, demand, tried_ids, zone, now)
        second_s = self._dispatcher.expected_elsewhere_s(demand, avoid)
        if second_s is None:
            return None
        slowdown = self._slowdown(first.state, demand, now)
        late = elapsed_s >= threshold_s >= second_s and now + second_s <= demand.give_up_at
        if not late and not worth_hedging(demand, now, elapsed_s, slowdown, second_s):
            return None
        wins = known.wins_by_slow[second_s < SLOW_FRACTION * demand.work_s * slowdown]
        if not wins.allows(now) or not self._within_limits(call, service, demand, now):
            return None
        second = self._dispatcher.try_acquire(demand, avoid)
        if second is None:
            return None
        if not may_use(second):
            self._dispatcher.release(second)
            return None
        service.limit.try_spend(now)
        self._dispatcher.budget(demand.service).try_spend(now)
        wins.record_sent(now)
        call.second, call.wins = second, wins
        self._events["hedge"] += 1
        log_event(
            "hedged",
            id=demand.request_id,
            first=first.state.entry.id,
            elapsed_s=f"{elapsed_s:.3f}",
            threshold_s=f"{min(99.0, threshold_s):.3f}",
            late=late,
            late_share=f"{service.late.value:.2f}",
            win_share=f"{wins.share:.2f}",
            slowdown=f"{slowdown:.2f}",
            second=second.state.entry.id,
            second_s=f"{second_s:.3f}",
        )
        return second

    def record_end(self, call: CallHedging, route: str, demand: Demand, slot: Slot) -> None:
        """Record the end of an attempt, answered or not."""
        call.attempts_out -= 1
        if not self.enabled:
            return
        now = self._clock()
        durations = self._route(route).durations
        duration_s = now - slot.acquired_at
        answered = slot is call.winner
        in_time = duration_s <= durations.threshold_s(now)
        service = self._service(demand.service)
        if answered and in_time and not call.late:
            service.record(slot.state.entry.availability_zone, late=False)
        # A cancelled attempt lasted at least that long. Without these, each hedge that wins would
        # lower the threshold of the next. While the whole service is slow, its durations are no
        # measure of late calls; if it stays so, the threshold expires and is learnt anew.
        if (answered or not in_time) and not service.late.high:
            durations.record(duration_s, now)
        if call.wins is not None and (answered or not call.attempts_out):
            self._record_outcome(call, route, demand, call.winner is call.second)

    def _record_outcome(self, call: CallHedging, route: str, demand: Demand, won: bool) -> None:
        wins = call.wins
        assert wins is not None
        call.wins = None
        now = self._clock()
        was_paused = wins.paused
        wins.record_outcome(won, now)
        self._events["hedges_won" if won else "hedges_lost"] += 1
        log_routine("hedge_won" if won else "hedge_lost", id=demand.request_id, route=route)
        if wins.paused != was_paused:
            log_event(
                "hedges_paused" if wins.paused else "hedges_resumed",
                route=route,
                slow_upstreams=wins is self._route(route).wins_by_slow[True],
                win_share=f"{wins.share:.2f}",
            )

    def _within_limits(
        self, call: CallHedging, service: _Service, demand: Demand, now: float
    ) -> bool:
        if service.limit.remaining(now) < 1.0:
            if not call.over_limit:
                call.over_limit = True
                self._events["hedges_over_limit"] += 1
                log_routine("hedge_over_limit", id=demand.request_id, service=demand.service)
            return False
        return self._dispatcher.budget(demand.service).remaining(now) >= 1.0

    def _avoided(
        self,
        service: _Service,
        demand: Demand,
        tried_ids: Collection[str],
        first_zone: str,
        now: float,
    ) -> set[str]:
        """Return the upstreams that get no hedge of a call.

        These are also those that name a rate limit or are cold, as calls need what they can take,
        those that are slow, and those in the zone of the first attempt if calls are late there.
        """
        late = service.late_by_zone.get(first_zone)
        late_zone = first_zone if late is not None and late.high else None
        return {
            *tried_ids,
            *(
                state.entry.id
                for state in self._dispatcher.states_of(demand.service)
                if state.limited
                or state.cold_factor(now) > 1.0
                or self._slowdown(state, demand, now) > MAX_SECOND_SLOWDOWN
                or state.entry.availability_zone == late_zone
                or not self._allowed(state, demand)
            ),
        }

    def _allowed(self, state: UpstreamState, demand: Demand) -> bool:
        region = self._dispatcher.region_of(state.entry.availability_zone)
        return demand.regions is None or region in demand.regions

    def _slowdown(self, state: UpstreamState, demand: Demand, now: float) -> float:
        baseline = self._dispatcher.baseline_slowdown(demand.service)
        return state.slowdown_now(now, baseline) * state.cold_factor(now)

    def _service(self, name: str) -> _Service:
        service = self._service_by_name.get(name)
        if service is None:
            limit = create_retry_budget(self._ratio, self._window_s, 0.0)
            service = self._service_by_name[name] = _Service(limit)
        return service

    def _route(self, name: str) -> _Route:
        route = self._route_by_name.get(name)
        if route is None:
            route = self._route_by_name[name] = _Route(RecentDurations(self._quantile))
        return route


def quantile_of(ratio: float) -> float:
    """Return the quantile beyond which lie as many attempts as the limit allows hedges.

    With a lower one, calls of nearly usual length would use up the limit.
    """
    return min(MAX_QUANTILE, max(MIN_QUANTILE, 1.0 - RATIO_SAFETY_FACTOR * ratio))


def create_tail_hedging(
    dispatcher: Dispatcher,
    ratio: float,
    window_s: float,
    events: Counter[str],
    clock: Callable[[], float],
) -> TailHedging:
    """Create the hedging of all services; hedges are at most `ratio` of the calls in `window_s`."""
    return TailHedging(dispatcher, ratio, window_s, events, clock)
