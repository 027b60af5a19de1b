"""Checks of services beyond the schema: overlaps between services, and likely mistakes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.exceptions import FieldProblem

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from heatherhead.configuration.model import Service

__all__ = ["all_overlaps", "overlaps", "warnings_of"]


class _Owners:
    """The service of each host name and path prefix; the first one added has precedence."""

    def __init__(self) -> None:
        self._by_host: dict[str, str] = {}
        self._by_prefix: dict[str, str] = {}

    def add(self, service: Service) -> None:
        """Add the host names and path prefixes of a service."""
        for host in service.hosts:
            self._by_host.setdefault(host.lower(), service.name)
        for prefix in service.path_prefixes:
            self._by_prefix.setdefault(prefix, service.name)

    def overlaps(self, service: Service) -> list[FieldProblem]:
        """List the host names and path prefixes of a service that belong to another one."""
        problems = []
        for index, host in enumerate(service.hosts):
            owner = self._by_host.get(host.lower(), service.name)
            if owner != service.name:
                problems.append(_overlap(f"hosts.{index}", f"host name {host}", owner))
        for index, prefix in enumerate(service.path_prefixes):
            owner = self._by_prefix.get(prefix, service.name)
            if owner != service.name:
                problems.append(_overlap(f"path_prefixes.{index}", f"path prefix {prefix}", owner))
        return problems


def overlaps(service: Service, others: Iterable[Service]) -> list[FieldProblem]:
    """List the host names and path prefixes of a service that other services have too."""
    owners = _Owners()
    for other in others:
        if other.name != service.name:
            owners.add(other)
    return owners.overlaps(service)


def all_overlaps(services: Iterable[Service]) -> Iterator[tuple[Service, FieldProblem]]:
    """Yield the overlaps of each service with those before it."""
    owners = _Owners()
    for service in services:
        for problem in owners.overlaps(service):
            yield service, problem
        owners.add(service)


def _overlap(path: str, what: str, owner: str) -> FieldProblem:
    return FieldProblem(
        path,
        f"{what} chooses service {owner} already",
        f"choose another one, or remove it from service {owner} first",
    )


def warnings_of(service: Service) -> list[FieldProblem]:
    """List the settings of a service that are valid but probably mistaken."""
    warnings = []
    if not service.upstreams:
        warnings.append(
            FieldProblem(
                "upstreams", "there is none, so every call is refused", "add at least one upstream"
            )
        )
    elif all(each.draining for each in service.upstreams):
        warnings.append(
            FieldProblem(
                "upstreams",
                "all are draining, so new calls are refused",
                "undrain one, or add another",
            )
        )
    if not service.hosts and not service.path_prefixes:
        warnings.append(
            FieldProblem(
                "hosts",
                "neither a host name nor a path prefix chooses the service",
                "add one of them, unless callers name the service themselves",
            )
        )
    return warnings
