"""What health checks found, and what routing makes of it.

A finding is a hint: it decides only where this instance's own calls have shown nothing fresher. A
health endpoint may lag behind or mislead, so that

- a finding of trouble counts for nothing while own calls were answered well a short time ago,
- findings without the upstream's plain announcement leave out a bounded share of upstreams,
- a good answer changes nothing but the time of the trial call that an ejected upstream gets anyway.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from heatherhead.calls import LoadReport
    from heatherhead.routing.evidence import Evidence
    from heatherhead.routing.upstream_state import UpstreamState

__all__ = [
    "HealthDraining",
    "HealthFinding",
    "HealthFine",
    "HealthGone",
    "HealthSilent",
    "HealthUnclear",
    "record_finding",
    "apply_finding",
    "apply_hint",
]

UNANSWERED_CHECKS_TO_EJECT = 3
REPORT_INTERVAL_FRACTION = (
    0.5  # of the time that a sighting holds, after which the other homes are told again
)


@dataclass(frozen=True, slots=True)
class HealthFinding:
    """What one health check found; `sent_at` is in seconds on the loop's clock."""

    sent_at: float


@dataclass(frozen=True, slots=True)
class HealthFine(HealthFinding):
    """The upstream answered that it is fine."""

    report: LoadReport | None = None

    def __str__(self) -> str:
        return "fine"


@dataclass(frozen=True, slots=True)
class HealthDraining(HealthFinding):
    """The upstream drains; `announced` tells that a header of its own says so plainly."""

    announced: bool = False
    report: LoadReport | None = None

    def __str__(self) -> str:
        return "draining" if self.announced else "unavailable"


@dataclass(frozen=True, slots=True)
class HealthGone(HealthFinding):
    """Nothing listens at the upstream's address."""

    def __str__(self) -> str:
        return "it can't be connected to"


@dataclass(frozen=True, slots=True)
class HealthSilent(HealthFinding):
    """No answer came in time, or the connection ended without one."""

    def __str__(self) -> str:
        return "no answer"


@dataclass(frozen=True, slots=True)
class HealthUnclear(HealthFinding):
    """The answer says nothing of the upstream, as one that the path does not exist."""

    status: int = 0

    def __str__(self) -> str:
        return f"status {self.status}, which says nothing"


@singledispatch
def apply_finding(
    finding: HealthFinding, evidence: Evidence, state: UpstreamState, now: float
) -> None:
    """Change the state of an upstream as far as a finding allows."""
    raise TypeError(f"{type(finding).__name__} has no meaning; register one")


@apply_finding.register(HealthFine)
def _(finding: HealthFine, evidence: Evidence, state: UpstreamState, now: float) -> None:
    state.unanswered_checks = 0
    _apply_report(state, finding.report)
    evidence.exclusions.advance_trial(state, now)


@apply_finding.register(HealthDraining)
def _(finding: HealthDraining, evidence: Evidence, state: UpstreamState, now: float) -> None:
    state.unanswered_checks = 0
    _apply_report(state, finding.report)
    if finding.announced:
        evidence.exclusions.exclude_draining(state, now)
        _report_to_homes(evidence.on_draining, evidence, state, now)
    elif apply_hint(evidence, state, now):
        _report_to_homes(evidence.on_hint, evidence, state, now)


@apply_finding.register(HealthGone)
def _(finding: HealthGone, evidence: Evidence, state: UpstreamState, now: float) -> None:
    state.unanswered_checks = 0
    if _may_exclude(evidence, state, now):
        evidence.exclusions.exclude_unreachable(state, now)


@apply_finding.register(HealthSilent)
def _(finding: HealthSilent, evidence: Evidence, state: UpstreamState, now: float) -> None:
    state.unanswered_checks += 1
    if state.unanswered_checks < UNANSWERED_CHECKS_TO_EJECT or state.in_flight:
        return
    if not evidence.exclusions.own_calls_succeed(state, now):
        evidence.exclusions.eject_unresponsive(state, now)


@apply_finding.register(HealthUnclear)
def _(finding: HealthUnclear, evidence: Evidence, state: UpstreamState, now: float) -> None:
    state.unanswered_checks = 0


def record_finding(state: UpstreamState, finding: HealthFinding, now: float) -> None:
    """Keep a finding for operators."""
    state.health = str(finding)
    state.health_at = now


def apply_hint(evidence: Evidence, state: UpstreamState, now: float) -> bool:
    """Leave out an upstream that seems to drain, unless own calls say otherwise; tell whether."""
    if not _may_exclude(evidence, state, now):
        return False
    evidence.exclusions.exclude_draining(state, now)
    return True


def _may_exclude(evidence: Evidence, state: UpstreamState, now: float) -> bool:
    """Tell whether a hint may leave out an upstream, or keep it out."""
    if evidence.exclusions.own_calls_succeed(state, now):
        return False
    return bool(state.draining_until) or evidence.exclusions.may_exclude_on_hint()


def _apply_report(state: UpstreamState, report: LoadReport | None) -> None:
    if report is None:
        return
    if state.report is None or state.report.received_at < report.received_at:
        state.report = report


def _report_to_homes(
    report_to_homes: Callable[[UpstreamState], None] | None,
    evidence: Evidence,
    state: UpstreamState,
    now: float,
) -> None:
    """Tell the other homes at once, and again before the sighting they were told of ends."""
    if now >= state.next_report_at and report_to_homes is not None:
        state.next_report_at = (
            now + REPORT_INTERVAL_FRACTION * evidence.exclusions.draining_exclusion_s
        )
        report_to_homes(state)
