"""What the path and the operators ask of routing."""

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
    "HealthEvidence",
    "Home",
    "HomeSets",
    "QuarantineEntry",
    "Router",
    "Slot",
    "UpstreamEvidence",
]


class Slot(Protocol):
    """The right to send one attempt to `upstream`; given back exactly once by `finish`."""

    upstream: Upstream
    started_at: float

    def finish(self, result: AttemptResult) -> None:
        """Give the slot back and tell what the attempt showed."""
        ...


@dataclass(frozen=True, slots=True)
class UpstreamEvidence:
    """What this instance knows of an upstream, for operators."""

    upstream: Upstream
    state: str
    in_flight: int
    limit: float
    oldest_age_s: float
    reason: str


@dataclass(frozen=True, slots=True)
class QuarantineEntry:
    """A fingerprint of calls that crashed upstreams, held back until `expires_in_s`."""

    service: str
    fingerprint: int
    deaths: int
    expires_in_s: float
    example: str


class Router(Protocol):
    """Gives calls to upstreams, service by service."""

    async def acquire(
        self, call: Call, avoid: frozenset[str] = frozenset()
    ) -> Result[Slot, CallRefusedError]:
        """Wait in the service's queue for a slot on an upstream whose id is not in `avoid`.

        Never gives a slot after the call's deadline. A cancelled wait leaves the queue.
        """
        ...

    def try_acquire(self, call: Call, avoid: frozenset[str] = frozenset()) -> Slot | None:
        """Take a free slot without waiting, for a hedge."""
        ...

    def hedge_delay_s(self, call: Call) -> float | None:
        """Say how long to wait before a hedge is worth sending; `None` for never."""
        ...

    def update_service(self, name: str, service: Service | None) -> None:
        """Take a service's new configuration, or drop the service for `None`."""
        ...

    def evidence(self, service: str) -> list[UpstreamEvidence]:
        """List what is known of a service's upstreams."""
        ...

    def quarantined(self) -> list[QuarantineEntry]:
        """List the quarantined fingerprints."""
        ...

    def release(self, service: str, fingerprint: int) -> bool:
        """Release a fingerprint here and at the other homes; tell whether it was held."""
        ...


class HealthEvidence(Protocol):
    """What health checks ask of routing, and tell it."""

    def seen_at(self, service: str, upstream: Upstream) -> float:
        """Say when calls of this instance or of another home last showed the upstream's state.

        In seconds on the loop's clock; minus infinity for never.
        """
        ...

    def observe_health(self, service: str, upstream: Upstream, finding: HealthFinding) -> None:
        """Take in a finding; one about an unknown upstream has no effect."""
        ...


@dataclass(frozen=True, slots=True)
class Home:
    """An instance that callers of a service should use, with its share of the calls."""

    instance: Instance
    weight: float


class HomeSets(Protocol):
    """The instances that serve a service, region by region."""

    def homes(self, service: str, region: str) -> list[Home]:
        """List the homes of a service in a region, best first; never empty while one is live."""
        ...
