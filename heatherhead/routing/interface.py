"""Interfaces of routing for the proxy path, the operators and the health checks."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from result import Result

    from heatherhead.calls import AttemptResult, Call
    from heatherhead.configuration.model import Service, Upstream
    from heatherhead.exceptions import CallRefusedError
    from heatherhead.membership.interface import Instance
    from heatherhead.routing.health import HealthFinding

__all__ = [
    "HealthObserver",
    "Home",
    "HomeSets",
    "QuarantineEntry",
    "Router",
    "Slot",
    "UpstreamSnapshot",
]


class Slot(Protocol):
    """The permission to send one attempt to `upstream`; released exactly once by `finish`."""

    upstream: Upstream
    started_at: float

    def finish(self, result: AttemptResult) -> None:
        """Release the slot and record the result of the attempt."""
        ...


@dataclass(frozen=True, slots=True)
class UpstreamSnapshot:
    """The state of an upstream as this instance sees it, for operators."""

    upstream: Upstream
    state: str
    in_flight: int
    limit: float
    oldest_age_s: float
    reason: str


@dataclass(frozen=True, slots=True)
class QuarantineEntry:
    """A quarantined fingerprint of calls that crashed upstreams; expires in `expires_in_s`."""

    service: str
    fingerprint: int
    deaths: int
    expires_in_s: float
    example: str


class Router(Protocol):
    """Assigns calls to upstreams, separately for each service."""

    async def acquire(
        self, call: Call, avoid: frozenset[str] = frozenset()
    ) -> Result[Slot, CallRefusedError]:
        """Wait in the service's queue for a slot on an upstream whose id is not in `avoid`.

        Never returns a slot after the call's deadline. A cancelled wait is removed from the queue.
        """
        ...

    def try_acquire(self, call: Call, avoid: frozenset[str] = frozenset()) -> Slot | None:
        """Return a free slot without waiting, for a hedge, or `None`."""
        ...

    def hedge_delay_s(self, call: Call) -> float | None:
        """Return the delay in seconds before a hedge is sent; `None` for no hedge."""
        ...

    def update_service(self, name: str, service: Service | None) -> None:
        """Apply a service's new configuration, or remove the service for `None`."""
        ...

    def evidence(self, service: str) -> list[UpstreamSnapshot]:
        """List the states of a service's upstreams."""
        ...

    def quarantined(self) -> list[QuarantineEntry]:
        """List the quarantined fingerprints."""
        ...

    def release(self, service: str, fingerprint: int) -> bool:
        """Release a fingerprint here and at the other homes; return whether it was held here."""
        ...


class HealthObserver(Protocol):
    """Interface of routing for health checks."""

    def last_observed_at(self, service: str, upstream: Upstream) -> float:
        """Return when calls of this instance or another home last gave evidence of an upstream.

        In seconds on the loop's clock; minus infinity for never.
        """
        ...

    def observe_health(self, service: str, upstream: Upstream, finding: HealthFinding) -> None:
        """Apply a health check's finding; one about an unknown upstream has no effect."""
        ...


@dataclass(frozen=True, slots=True)
class Home:
    """An instance to which callers of a service are sent, with its weight among the homes."""

    instance: Instance
    weight: float


class HomeSets(Protocol):
    """The instances that serve a service, region by region."""

    def homes(self, service: str, region: str) -> list[Home]:
        """List the homes of a service in a region, best first; never empty while one is live."""
        ...
