"""Chooses the service of a call by its host name or the start of its path."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from heatherhead.configuration.model import Service, ServiceRecord
    from heatherhead.configuration.replica import Replica

__all__ = ["ServiceChoice", "create_service_choice"]


class ServiceChoice:
    """Finds services; a host name goes before a path prefix, a longer prefix before a shorter."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._by_host: dict[str, Service] = {}
        self._by_prefix: list[tuple[str, Service]] = []
        replica.subscribe(self._rebuild)
        self._rebuild(None)

    def _rebuild(self, _record: ServiceRecord | None) -> None:
        services = sorted(self._replica.services(), key=lambda service: service.name)
        self._by_host = {
            host.lower(): service for service in reversed(services) for host in service.hosts
        }
        prefixes = [(prefix, service) for service in services for prefix in service.path_prefixes]
        self._by_prefix = sorted(prefixes, key=lambda pair: len(pair[0]), reverse=True)

    def choose(self, host: str, path: str) -> Service | None:
        """Find the service for a Host header and a path; `None` if no rule matches."""
        name = host.rpartition(":")[0] if _has_port(host) else host
        service = self._by_host.get(name.lower())
        if service is not None:
            return service
        for prefix, candidate in self._by_prefix:
            if _below(path, prefix):
                return candidate
        return None


def _has_port(host: str) -> bool:
    return host.rpartition(":")[2].isdigit() and (host.count(":") == 1 or "]:" in host)


def _below(path: str, prefix: str) -> bool:
    if not path.startswith(prefix):
        return False
    rest = path[len(prefix) :]
    return prefix.endswith("/") or not rest or rest[0] in "/?"


def create_service_choice(replica: Replica) -> ServiceChoice:
    """Create a choice that follows the replica."""
    return ServiceChoice(replica)
