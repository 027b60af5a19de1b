"""Outlier detection: updates upstream states from finished and overdue attempts.

An upstream is marked slow when its oldest call in flight exceeds the slow threshold. It is paused,
then gets trial calls when no other upstream of its region has a free slot, and is cleared once a
call sent after the mark is answered within the threshold. Exclusions after failures and of
draining upstreams are decided in `exclusions`.
"""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count
from typing import TYPE_CHECKING

from heatherhead.calls import AttemptState, UpstreamSignal
from heatherhead.routing.exclusions import create_exclusions
from heatherhead.routing.loop_lag import create_loop_lag

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from heatherhead.calls import AttemptResult
    from heatherhead.routing.policies import Policy
    from heatherhead.routing.service_time import ServiceTime
    from heatherhead.routing.slot import RoutedSlot
    from heatherhead.routing.upstream_state import UpstreamState
    from heatherhead.settings.routing import RoutingSettings
    from heatherhead.telemetry.interface import Telemetry

__all__ = ["Evidence", "create_evidence"]

JITTER_MARGIN_S = 0.002  # allowance for jitter of the network and of busy event loops
DEFAULT_P90_FACTOR = 1.2  # times the P90 of the service times
MAX_SLOW_BACKOFF_EXPONENT = 4
SLOT_COUNT_CACHE_S = 0.02
MIN_TRIAL_DELAY_SERVICE_TIMES = 2
MIN_SLOW_PAUSE_SERVICE_TIMES = 10
MIN_FAILURE_STATUS = 500


class Evidence:
    """Outlier detection for the upstreams of one service."""

    def __init__(
        self,
        settings: RoutingSettings,
        policy: Policy,
        service_time: ServiceTime,
        state_by_id: Mapping[str, UpstreamState],
        telemetry: Telemetry,
    ) -> None:
        self.lag = create_loop_lag()
        self._slow_after_s = 0.0
        self.min_remaining_s = 0.0
        self.on_draining: Callable[[UpstreamState], None] | None = None
        self.on_hint: Callable[[UpstreamState], None] | None = None
        self._settings = settings
        self.exclusions = create_exclusions(settings, state_by_id, telemetry, self._pause_until)
        self._policy = policy
        self._service_time = service_time
        self._state_by_id = state_by_id
        self._telemetry = telemetry
        self._pauses: list[tuple[float, int, UpstreamState]] = []
        self._serial = count()
        self._local_slot_count = 0
        self._slot_count_at = float("-inf")

    def slow_after_s(self, now: float) -> float:
        """Return the age in seconds at which a call marks its upstream as slow; zero while unknown.

        Twice the event loop's lag is added: a late loop delays both the sending of a call and the
        receipt of its answer, which makes calls look older.
        """
        return self._slow_after_s and self._slow_after_s + 2 * self.lag.at(now)

    def threshold_s(self, factor: float, p90_factor: float = DEFAULT_P90_FACTOR) -> float:
        """Return the greater of `factor` times the median and `p90_factor` times the P90.

        Of the service time, in seconds, plus `JITTER_MARGIN_S`.
        """
        times = self._service_time
        return max(factor * times.median_s, p90_factor * times.p90_s) + JITTER_MARGIN_S

    def on_attempt_finished(self, slot: RoutedSlot, result: AttemptResult, now: float) -> None:
        """Apply the result of an attempt."""
        state = slot.state
        if not result.cancelled:
            state.last_observed_at = now
        if result.report is not None:
            state.report = result.report
        duration_s = result.duration_s or now - slot.started_at
        is_late = slot.is_overdue or 0 < self.slow_after_s(now) < duration_s
        if is_late and not slot.is_overdue:
            self.on_overdue(slot, now)
        if result.signal is UpstreamSignal.DRAINING:
            self._on_draining_refusal(state, result, now)
        elif result.signal is UpstreamSignal.SHEDDING:
            state.limit.on_shed(state.in_flight + 1)
        elif result.signal is UpstreamSignal.DIED or _failed(result):
            self.exclusions.on_failed(state, now, at_once=result.signal is UpstreamSignal.DIED)
        elif result.state is AttemptState.ANSWERED:
            self._on_answered(slot, duration_s, now, is_late=is_late)

    def _on_draining_refusal(self, state: UpstreamState, result: AttemptResult, now: float) -> None:
        """Exclude a draining upstream; one that can't be connected to only for a short time."""
        if result.state is AttemptState.NOT_SENT:
            self.exclusions.exclude_unreachable(state, now)
            return
        is_first_report = not state.draining_until
        self.exclusions.exclude_draining(state, now)
        if is_first_report and self.on_draining is not None:
            self.on_draining(state)

    def on_overdue(self, slot: RoutedSlot, now: float) -> None:
        """Mark an upstream as slow because of an overdue call.

        While the upstream is slow, a call sent before its latest mark has no effect: it shows
        nothing new.
        """
        state = slot.state
        if state.slow and slot.started_at < state.slow_since:
            return
        self._mark_slow(state, now)

    def end_pauses(self, now: float) -> None:
        """End the exclusions and pauses that are over; a slow upstream enters its trial."""
        while self._pauses and self._pauses[0][0] <= now:
            _, _, state = heappop(self._pauses)
            self.invalidate_slot_count()
            if state.removed:
                continue
            self.exclusions.end_expired(state, now)
            if state.trial_at and state.trial_at <= now:
                state.trial_at = 0.0
                state.on_trial = True
                pause_s = self._slow_pause_s() * 2**state.slow_backoff_exponent
                state.trial_ends_at = state.slow_since + pause_s
                self._pause_until(state, state.trial_ends_at)
            elif state.on_trial and state.trial_ends_at <= now:
                state.on_trial = False
            self._policy.refresh(state)

    def next_pause_end(self) -> float | None:
        """Return when the next pause ends."""
        return self._pauses[0][0] if self._pauses else None

    def local_slot_count(self, now: float) -> int:
        """Return the slots of this region's usable upstreams, cached for `SLOT_COUNT_CACHE_S`."""
        if now >= self._slot_count_at + SLOT_COUNT_CACHE_S:
            self._slot_count_at = now
            self._local_slot_count = sum(
                each.upstream.slots
                for each in self._state_by_id.values()
                if each.local_region and each.usable
            )
        return self._local_slot_count

    def invalidate_slot_count(self) -> None:
        """Discard the cached slot count after a change of the upstreams."""
        self._slot_count_at = float("-inf")

    def _on_answered(
        self, slot: RoutedSlot, duration_s: float, now: float, *, is_late: bool
    ) -> None:
        state = slot.state
        self.exclusions.on_answered(state, now)
        self._service_time.add(duration_s)
        if self._service_time.median_s:
            self._slow_after_s = self.threshold_s(self._settings.slow_factor)
            self.min_remaining_s = self.threshold_s(1.0)
        if is_late:
            return
        state.limit.on_quick_answer()
        if state.slow and slot.started_at >= state.slow_since:
            state.slow = False
            state.on_trial = False
            state.trial_at = 0.0
            state.reason = ""
        if state.limit.allowed >= state.limit.slots:
            state.ejections = 0
            state.trusts_health_checks = True

    def _mark_slow(self, state: UpstreamState, now: float) -> None:
        """Pause an upstream; each time that it is slow again after its trial, the pause doubles."""
        self._telemetry.count("routing.slow")
        if not state.slow:
            state.slow_backoff_exponent = 0
        elif not state.on_trial:
            state.slow_backoff_exponent = min(
                state.slow_backoff_exponent + 1, MAX_SLOW_BACKOFF_EXPONENT
            )
        state.slow = True
        state.slow_since = now
        state.reason = "its calls take far longer than usual"
        state.limit.restart()
        state.on_trial = False
        state.trial_at = now + max(
            self._settings.trial_delay_ms / 1000,
            MIN_TRIAL_DELAY_SERVICE_TIMES * self._service_time.median_s,
        )
        self._pause_until(state, state.trial_at)

    def _slow_pause_s(self) -> float:
        return max(
            self._settings.slow_pause_ms / 1000,
            MIN_SLOW_PAUSE_SERVICE_TIMES * self._service_time.median_s,
        )

    def _pause_until(self, state: UpstreamState, until: float) -> None:
        self.invalidate_slot_count()
        heappush(self._pauses, (until, next(self._serial), state))
        self._policy.refresh(state)


def _failed(result: AttemptResult) -> bool:
    if result.cancelled:
        return False
    if result.state is AttemptState.ANSWERED:
        return result.status >= MIN_FAILURE_STATUS
    return True


def create_evidence(
    settings: RoutingSettings,
    policy: Policy,
    service_time: ServiceTime,
    state_by_id: Mapping[str, UpstreamState],
    telemetry: Telemetry,
) -> Evidence:
    """Create outlier detection without observations."""
    return Evidence(settings, policy, service_time, state_by_id, telemetry)
