"""Peer messages of routing."""

from __future__ import annotations

from dataclasses import dataclass

from heatherhead.membership.messages import peer_message

__all__ = [
    "CallRates",
    "CrashRecords",
    "DrainReport",
    "HealthHint",
    "HomeCounts",
    "InFlightVectors",
    "QuarantineRelease",
]


@peer_message(40)
@dataclass(frozen=True, slots=True)
class InFlightVectors:
    """Calls in flight of a home on the upstreams of services, sent to its co-homes.

    `load` is the sender's calls a second over all services. A row is `[service, signature,
    data, partial]`: the signature identifies the list of upstreams; the data holds one octet for
    each of them or, if partial, a two-octet index and an octet for each that changed.
    """

    load: int
    rows: list[tuple[str, int, bytes, bool]]


@peer_message(41)
@dataclass(frozen=True, slots=True)
class DrainReport:
    """An upstream refused calls because it drains, or announced that it does."""

    service: str
    upstream_id: str


@peer_message(46)
@dataclass(frozen=True, slots=True)
class HealthHint:
    """A health check suggests that an upstream drains; ignored if the receiver's calls succeed."""

    service: str
    upstream_id: str


@peer_message(42)
@dataclass(frozen=True, slots=True)
class CrashRecords:
    """Fingerprints of calls that were in flight when upstreams died.

    A row is `[service, fingerprint, deaths, seconds until expiry, example]`; 0 deaths clear the
    suspicion.
    """

    rows: list[tuple[str, int, int, float, str]]


@peer_message(43)
@dataclass(frozen=True, slots=True)
class QuarantineRelease:
    """An operator released a fingerprint."""

    service: str
    fingerprint: int


@peer_message(44)
@dataclass(frozen=True, slots=True)
class CallRates:
    """Calls per second that the sender serves; a row is `[service, rate]`."""

    rows: list[tuple[str, float]]


@peer_message(45)
@dataclass(frozen=True, slots=True)
class HomeCounts:
    """Home counts of services in the sender's region; a row is `[service, count, version]`."""

    rows: list[tuple[str, int, int]]
