"""Decides which services this instance can reach, from what it hears of their upstreams.

An instance may lose its links to all upstreams while callers and peers still reach it. Each
upstream then looks ill, and calls that wait for one of them are lost. A service is out of reach
after everything that was tried has failed: at several upstreams, for a while, with no answer in
between. The first answer of any upstream ends that; so upstreams out of reach are probed, whether
they get calls or not. An upstream that accepts a connection and doesn't answer may just be slow:
without a failed connection, more time has to pass.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = ["Reach", "create_reach"]

MIN_FAILED_UPSTREAMS = 2  # one alone may be ill; of a service with one upstream, that one
MIN_SILENCE_S = 0.25  # since the last answer, the time in which a load reading is answered
MIN_UNANSWERED_S = 1.0  # since the first failure, if connections are accepted


@dataclass(slots=True)
class _ServiceReach:
    """What was heard of the upstreams of one service."""

    answered_at: float = -math.inf
    failed_at: float = math.inf  # the first time since the last answer
    failed_ids: set[str] = field(default_factory=set)  # since the last answer
    unconnected_ids: set[str] = field(default_factory=set)  # those of them without a connection
    lost_at: float | None = None


class Reach:
    """The services that are out of this instance's reach."""

    def __init__(self, now: Callable[[], float], upstreams_of: Callable[[str], int]) -> None:
        self._now = now
        self._upstreams_of = upstreams_of
        self._reach_by_service: dict[str, _ServiceReach] = {}
        self.lost_services: frozenset[str] = frozenset()
        self.on_lost: Callable[[str], None] = lambda _: None
        # Called with a service whose upstreams should be probed.
        self.probe: Callable[[str], None] = lambda _: None
        self.on_regained: Callable[[str, float], None] = lambda _service, _lost_at: None

    def record_answer(self, service: str) -> None:
        """Record that an upstream of a service has answered, whatever the answer."""
        reach = self._reach_by_service.setdefault(service, _ServiceReach())
        reach.answered_at = self._now()
        reach.failed_at = math.inf
        reach.failed_ids.clear()
        reach.unconnected_ids.clear()
        if reach.lost_at is None:
            return
        lost_at, reach.lost_at = reach.lost_at, None
        self.lost_services -= {service}
        log_event("service_regained", service=service, lost_s=f"{self._now() - lost_at:.2f}")
        self.on_regained(service, lost_at)

    def record_failure(
        self,
        service: str,
        upstream_id: str,
        reason: str,
        *,
        connected: bool,
        confined: bool = False,
    ) -> None:
        """Record that an upstream did not answer; `connected` if it accepted the connection.

        Calls that are `confined` to other regions tell nothing of the local one: where they are the
        only ones, the loss of a region would look like that of all links. So others are probed.
        """
        if confined:
            self.probe(service)
            return
        reach = self._reach_by_service.setdefault(service, _ServiceReach())
        now = self._now()
        reach.failed_at = min(reach.failed_at, now)
        reach.failed_ids.add(upstream_id)
        if not connected:
            reach.unconnected_ids.add(upstream_id)
        if reach.lost_at is not None:
            return
        upstreams = self._upstreams_of(service)
        needed = min(MIN_FAILED_UPSTREAMS, max(1, upstreams))
        silence_s = now - reach.answered_at
        unconnected = len(reach.unconnected_ids) >= needed and silence_s >= MIN_SILENCE_S
        failing_s = now - reach.failed_at
        unanswered = len(reach.failed_ids) >= needed and failing_s >= MIN_UNANSWERED_S
        if not (unconnected or unanswered):
            if connected:
                self.probe(service)
            return
        reach.lost_at = now
        self.lost_services |= {service}
        log_event(
            "service_out_of_reach",
            level="WARNING",
            service=service,
            failed=len(reach.failed_ids),
            unconnected=len(reach.unconnected_ids),
            upstreams=upstreams,
            silence_s=f"{min(99.0, silence_s):.2f}",
            reason=reason,
        )
        self.on_lost(service)

    def answered_since(self, service: str, since: float) -> bool:
        """Return whether an upstream of a service has answered since a time."""
        reach = self._reach_by_service.get(service)
        return reach is not None and reach.answered_at >= since

    def is_cut(self, services: Iterable[str]) -> bool:
        """Return whether all of the services that have upstreams are out of reach."""
        served = [service for service in services if self._upstreams_of(service)]
        return bool(served) and self.lost_services.issuperset(served)


def create_reach(now: Callable[[], float], upstreams_of: Callable[[str], int]) -> Reach:
    """Create it with all services in reach; `upstreams_of` counts a service's upstreams."""
    return Reach(now, upstreams_of)
