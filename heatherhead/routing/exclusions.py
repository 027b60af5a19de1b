"""Temporary exclusion of upstreams: outlier ejection, draining and unreachable ones.

An upstream is ejected after consecutive failures, unless too large a fraction is ejected already.
One that refuses calls because it drains, or that can't be connected to, gets no new calls for a
time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from heatherhead.routing.upstream_state import UpstreamState
    from heatherhead.settings.routing import RoutingSettings
    from heatherhead.telemetry.interface import Telemetry

__all__ = ["Exclusions", "create_exclusions"]

MAX_EJECTION_BACKOFF_EXPONENT = 5
UNREACHABLE_EXCLUSION_S = 2.0
MAX_HINT_EXCLUDED_FRACTION = 0.5  # of the upstreams, including the one to exclude
# Above it the calls are assumed to be at fault, and failures in a row eject no upstream.
MAX_FAILURE_FRACTION_FOR_EJECTION = 0.25
FAILURE_FRACTION_EWMA_WEIGHT = 0.02


class Exclusions:
    """Ejects and excludes upstreams of one service, and readmits them."""

    def __init__(
        self,
        settings: RoutingSettings,
        state_by_id: Mapping[str, UpstreamState],
        telemetry: Telemetry,
        pause_until: Callable[[UpstreamState, float], None],
    ) -> None:
        self._settings = settings
        self._state_by_id = state_by_id
        self._telemetry = telemetry
        self._pause_until = pause_until
        self._failure_fraction = 0.0

    def on_answered(self, state: UpstreamState, now: float) -> None:
        """Record a successful call."""
        self._failure_fraction *= 1 - FAILURE_FRACTION_EWMA_WEIGHT
        state.failures = 0
        state.last_success_at = now
        state.readmitted_by_health = False

    def on_failed(self, state: UpstreamState, now: float, *, at_once: bool) -> None:
        """Record a failed call; eject the upstream after several in a row, or `at_once`."""
        self._failure_fraction += (1 - self._failure_fraction) * FAILURE_FRACTION_EWMA_WEIGHT
        state.failures += 1
        limit = self._settings.eject_failures
        if state.ejected_until or (state.failures < limit and not at_once):
            return
        if not at_once and self._failure_fraction > MAX_FAILURE_FRACTION_FOR_EJECTION:
            return
        if self._may_eject():
            self._eject(state, now, f"{state.failures} calls failed in a row")

    def exclude_draining(self, state: UpstreamState, now: float) -> None:
        """Exclude a draining upstream for `draining_exclusion_s`."""
        if not state.draining_until:
            log_event("upstream_draining", upstream=state.upstream.id)
        until = now + self._settings.draining_ms / 1000
        self._exclude(state, until, "it was seen draining")

    def exclude_unreachable(self, state: UpstreamState, now: float) -> None:
        """Exclude for `UNREACHABLE_EXCLUSION_S` an upstream that can't be connected to."""
        if not state.draining_until:
            log_event("upstream_unreachable", upstream=state.upstream.id)
        self._exclude(state, now + UNREACHABLE_EXCLUSION_S, "it can't be connected to")

    def eject_unresponsive(self, state: UpstreamState, now: float) -> None:
        """Eject an upstream that does not answer health checks."""
        if not state.ejected_until and self._may_eject():
            self._eject(
                state, now, f"{state.unanswered_checks} health checks in a row had no answer"
            )

    def advance_trial(self, state: UpstreamState, now: float) -> None:
        """Shorten an ejection to the base ejection time after a passing health check.

        If the upstream is ejected again before it has answered a call, its health checks mislead:
        they shorten no further ejection until its limit has grown back to all slots.
        """
        if not state.ejected_until or not state.trusts_health_checks:
            return
        min_ejection_ends_at = state.ejected_at + self._settings.ejection_ms / 1000
        if min_ejection_ends_at < state.ejected_until:
            state.readmitted_by_health = True
            state.ejected_until = max(now, min_ejection_ends_at)
            self._pause_until(state, state.ejected_until)

    def end_expired(self, state: UpstreamState, now: float) -> None:
        """End the exclusions that have expired; the upstream restarts at a limit of one call."""
        if state.draining_until and state.draining_until <= now:
            state.draining_until = 0.0
            state.limit.restart()
        if state.ejected_until and state.ejected_until <= now:
            state.ejected_until = 0.0
            state.failures = self._settings.eject_failures - 1
            state.limit.restart()

    def may_exclude_on_hint(self) -> bool:
        """Return whether one more upstream may be excluded on a health check alone."""
        out = sum(1 for each in self._state_by_id.values() if not each.usable)
        return out + 1 <= MAX_HINT_EXCLUDED_FRACTION * len(self._state_by_id)

    def own_calls_succeed(self, state: UpstreamState, now: float) -> bool:
        """Return whether an own call succeeded within the last health interval."""
        return now - state.last_success_at < self._settings.health_interval_ms / 1000

    @property
    def draining_exclusion_s(self) -> float:
        """Duration in seconds of the exclusion of a draining upstream."""
        return self._settings.draining_ms / 1000

    def _may_eject(self) -> bool:
        ejected = sum(1 for each in self._state_by_id.values() if each.ejected_until)
        return ejected + 1 <= self._settings.ejected_share * len(self._state_by_id)

    def _eject(self, state: UpstreamState, now: float, reason: str) -> None:
        if state.readmitted_by_health:
            state.readmitted_by_health = False
            state.trusts_health_checks = False
        pause_s = (
            self._settings.ejection_ms
            / 1000
            * 2 ** min(state.ejections, MAX_EJECTION_BACKOFF_EXPONENT)
        )
        state.ejections += 1
        state.ejected_at = now
        state.ejected_until = now + pause_s
        state.reason = reason
        self._telemetry.count("routing.ejected")
        log_event("upstream_ejected", upstream=state.upstream.id, seconds=pause_s)
        self._pause_until(state, state.ejected_until)

    def _exclude(self, state: UpstreamState, until: float, reason: str) -> None:
        state.draining_until = max(state.draining_until, until)
        state.reason = reason
        self._pause_until(state, state.draining_until)


def create_exclusions(
    settings: RoutingSettings,
    state_by_id: Mapping[str, UpstreamState],
    telemetry: Telemetry,
    pause_until: Callable[[UpstreamState, float], None],
) -> Exclusions:
    """Create exclusions; `pause_until` schedules the end of one."""
    return Exclusions(settings, state_by_id, telemetry, pause_until)
