"""Selects the service of a call by its host name or path prefix."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from heatherhead.configuration.model import Service, ServiceRecord
    from heatherhead.configuration.replica import Replica

__all__ = ["ServiceSelector", "create_service_selector"]


class ServiceSelector:
    """Selects services by host name first, then by the longest path prefix.

    The time of a lookup depends on the depth of the path, not on the number of services.
    """

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._by_host: dict[str, Service] = {}
        self._by_prefix: dict[str, Service] = {}
        replica.subscribe(self._rebuild)
        self._rebuild(None)

    def _rebuild(self, _record: ServiceRecord | None) -> None:
        services = sorted(self._replica.services(), key=lambda service: service.name, reverse=True)
        self._by_host = {host.lower(): service for service in services for host in service.hosts}
        self._by_prefix = {
            prefix.rstrip("/"): service for service in services for prefix in service.path_prefixes
        }

    def select(self, host: str, target: str) -> Service | None:
        """Return the service for a Host header and a request target; `None` if nothing matches."""
        service = self._by_host.get(_host_name(host))
        if service is not None:
            return service
        prefix = target.partition("?")[0]
        while prefix:
            service = self._by_prefix.get(prefix)
            if service is not None:
                return service
            prefix = prefix.rpartition("/")[0]
        return self._by_prefix.get("")


def _host_name(host: str) -> str:
    """Return the host name in lower case, without a port."""
    name, separator, port = host.rpartition(":")
    if separator and port.isdigit() and (":" not in name or name.endswith("]")):
        return name.lower()
    return host.lower()


def create_service_selector(replica: Replica) -> ServiceSelector:
    """Create a selector that follows the changes of the replica."""
    return ServiceSelector(replica)
