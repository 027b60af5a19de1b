"""What other instances report of their reach: which services they can't send calls to."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Container

    from heatherhead.fleet.peer_messages import ReachReport

__all__ = ["PeerReach", "create_peer_reach"]

REPORT_TTL_S = 1.0  # four reports; an instance reports as long as a service is out of its reach


@dataclass(frozen=True, slots=True)
class _LastReport:
    reported_at: float
    cut: bool
    lost_services: frozenset[str]


class PeerReach:
    """The last reports of other instances; one that reports nothing reaches all services."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._report_by_id: dict[str, _LastReport] = {}

    def apply(self, report: ReachReport) -> None:
        """Apply a report; an empty one ends those before it."""
        held = self._report_by_id.get(report.sender)
        if held is None or held.cut != report.cut:
            log_event("peer_reach", peer=report.sender, cut=report.cut)
        self._report_by_id.pop(report.sender, None)
        if report.lost_services:
            lost_services = frozenset(report.lost_services)
            self._report_by_id[report.sender] = _LastReport(self._now(), report.cut, lost_services)

    def is_cut(self, instance_id: str) -> bool:
        """Return whether an instance is cut from all upstreams."""
        report = self._recent(instance_id)
        return report is not None and report.cut

    def reaches(self, instance_id: str, service: str) -> bool:
        """Return whether an instance may reach a service."""
        report = self._recent(instance_id)
        return report is None or service not in report.lost_services

    def retain(self, ids: Container[str]) -> None:
        """Forget the reports of all other instances."""
        self._report_by_id = {id_: each for id_, each in self._report_by_id.items() if id_ in ids}

    def _recent(self, instance_id: str) -> _LastReport | None:
        report = self._report_by_id.get(instance_id)
        if report is None or self._now() - report.reported_at > REPORT_TTL_S:
            return None
        return report


def create_peer_reach(now: Callable[[], float]) -> PeerReach:
    """Create it without reports; `now` returns the time of the loop's clock."""
    return PeerReach(now)
