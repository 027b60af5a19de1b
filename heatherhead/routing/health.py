"""Findings of health checks and their effect on routing.

A finding is a hint that yields to newer evidence from this instance's own calls, because a health
endpoint may lag behind or mislead:

- negative findings are ignored while own calls succeeded within the last health interval,
- findings without an explicit announcement of draining exclude a bounded fraction of upstreams,
- a passing check only brings forward the trial call that ends an ejection.
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
    "HealthPassing",
    "HealthUnreachable",
    "HealthUnanswered",
    "HealthInconclusive",
    "record_finding",
    "apply_finding",
    "apply_hint",
]

UNANSWERED_CHECKS_TO_EJECT = 3
REPORT_INTERVAL_FRACTION = 0.5  # of the time an exclusion lasts; then it is reported again


@dataclass(frozen=True, slots=True)
class HealthFinding:
    """Result of a health check; `sent_at` is in seconds on the loop's clock."""

    sent_at: float


@dataclass(frozen=True, slots=True)
class HealthPassing(HealthFinding):
    """The check passed."""

    report: LoadReport | None = None

    def __str__(self) -> str:
        return "fine"


@dataclass(frozen=True, slots=True)
class HealthDraining(HealthFinding):
    """The upstream is draining; `announced` if it said so in a header of its own."""

    announced: bool = False
    report: LoadReport | None = None

    def __str__(self) -> str:
        return "draining" if self.announced else "unavailable"


@dataclass(frozen=True, slots=True)
class HealthUnreachable(HealthFinding):
    """The upstream can't be connected to."""

    def __str__(self) -> str:
        return "it can't be connected to"


@dataclass(frozen=True, slots=True)
class HealthUnanswered(HealthFinding):
    """No answer came in time, or the connection ended without one."""

    def __str__(self) -> str:
        return "no answer"


@dataclass(frozen=True, slots=True)
class HealthInconclusive(HealthFinding):
    """The answer doesn't show the upstream's state, such as a 404 for the health path."""

    status: int = 0

    def __str__(self) -> str:
        return f"status {self.status}, which says nothing"


@singledispatch
def apply_finding(
    finding: HealthFinding, evidence: Evidence, state: UpstreamState, now: float
) -> None:
    """Update the state of an upstream from a finding."""
    raise TypeError(f"no handler for {type(finding).__name__}")


@apply_finding.register(HealthPassing)
def _(finding: HealthPassing, evidence: Evidence, state: UpstreamState, now: float) -> None:
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


@apply_finding.register(HealthUnreachable)
def _(finding: HealthUnreachable, evidence: Evidence, state: UpstreamState, now: float) -> None:
    state.unanswered_checks = 0
    if _may_exclude(evidence, state, now):
        evidence.exclusions.exclude_unreachable(state, now)


@apply_finding.register(HealthUnanswered)
def _(finding: HealthUnanswered, evidence: Evidence, state: UpstreamState, now: float) -> None:
    state.unanswered_checks += 1
    if state.unanswered_checks < UNANSWERED_CHECKS_TO_EJECT or state.in_flight:
        return
    if not evidence.exclusions.own_calls_succeed(state, now):
        evidence.exclusions.eject_unresponsive(state, now)


@apply_finding.register(HealthInconclusive)
def _(finding: HealthInconclusive, evidence: Evidence, state: UpstreamState, now: float) -> None:
    state.unanswered_checks = 0


def record_finding(state: UpstreamState, finding: HealthFinding, now: float) -> None:
    """Record a finding for operators."""
    state.health = str(finding)
    state.health_at = now


def apply_hint(evidence: Evidence, state: UpstreamState, now: float) -> bool:
    """Exclude an upstream that seems to drain, unless own calls succeed; return whether done."""
    if not _may_exclude(evidence, state, now):
        return False
    evidence.exclusions.exclude_draining(state, now)
    return True


def _may_exclude(evidence: Evidence, state: UpstreamState, now: float) -> bool:
    """Return whether a hint may exclude an upstream or extend its exclusion."""
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
    """Report to the other homes at once, and again before their exclusion expires."""
    if now >= state.next_report_at and report_to_homes is not None:
        state.next_report_at = (
            now + REPORT_INTERVAL_FRACTION * evidence.exclusions.draining_exclusion_s
        )
        report_to_homes(state)
