"""The data classes of services and their upstreams."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["CallClass", "EarlierChange", "PathRule", "Service", "ServiceRecord", "Upstream"]

DEFAULT_DEADLINE_MS = 30_000
DEFAULT_QUEUE_LIMIT = 512
DEFAULT_SLOTS = 4


@dataclass(frozen=True, slots=True)
class Upstream:
    """One server of a service; `id` is unique within the service."""

    id: str
    host: str
    port: int
    region: str = "local"
    availability_zone: str = "local"
    slots: int = DEFAULT_SLOTS
    draining: bool = False


@dataclass(frozen=True, slots=True)
class PathRule:
    """Sets whether calls with a path prefix are idempotent; empty `methods` match all."""

    path_prefix: str
    idempotent: bool
    methods: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class CallClass:
    """A class of calls or a tenant, and its weight in sharing the slots of a service."""

    name: str
    weight: int = 1


@dataclass(frozen=True, slots=True)
class Service:
    """One service with its upstreams and rules."""

    name: str
    upstreams: tuple[Upstream, ...] = ()
    hosts: tuple[str, ...] = ()
    path_prefixes: tuple[str, ...] = ()
    default_deadline_ms: int = DEFAULT_DEADLINE_MS
    queue_limit: int = DEFAULT_QUEUE_LIMIT
    classes: tuple[CallClass, ...] = (CallClass("default"),)
    path_rules: tuple[PathRule, ...] = ()
    retry_share: float = 0.1
    hedge_share: float = 0.05
    key_required: bool = True
    health_path: str | None = None

    def upstream(self, upstream_id: str) -> Upstream | None:
        """Return an upstream by its id, or `None`."""
        return next((each for each in self.upstreams if each.id == upstream_id), None)


@dataclass(frozen=True, slots=True)
class EarlierChange:
    """A change of a service that was replaced by a later one."""

    change_id: str
    revision: int


@dataclass(frozen=True, slots=True)
class ServiceRecord:
    """A service at one revision of the store; `service` is `None` in a deleted one's tombstone.

    `earlier_changes` lists the latest changes before this one, newest last, so that a change whose
    reply was lost is still found after later changes.
    """

    name: str
    revision: int
    change_id: str
    service: Service | None = field(default=None)
    earlier_changes: tuple[EarlierChange, ...] = ()
