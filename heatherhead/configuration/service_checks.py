"""Checks of services that need more than the schema of one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.exceptions import FieldProblem

if TYPE_CHECKING:
    from collections.abc import Iterable

    from heatherhead.configuration.model import Service

__all__ = ["overlaps", "warnings_of"]


def overlaps(service: Service, others: Iterable[Service]) -> list[FieldProblem]:
    """List the host names and path prefixes of a service that other services have too."""
    name_by_host: dict[str, str] = {}
    name_by_prefix: dict[str, str] = {}
    for other in others:
        if other.name == service.name:
            continue
        name_by_host.update((host.lower(), other.name) for host in other.hosts)
        name_by_prefix.update((prefix, other.name) for prefix in other.path_prefixes)
    problems = []
    for index, host in enumerate(service.hosts):
        owner = name_by_host.get(host.lower())
        if owner is not None:
            problems.append(_taken(f"hosts.{index}", f"host name {host}", owner))
    for index, prefix in enumerate(service.path_prefixes):
        owner = name_by_prefix.get(prefix)
        if owner is not None:
            problems.append(_taken(f"path_prefixes.{index}", f"path prefix {prefix}", owner))
    return problems


def _taken(path: str, what: str, owner: str) -> FieldProblem:
    return FieldProblem(
        path,
        f"{what} chooses service {owner} already",
        f"choose another one, or remove it from service {owner} first",
    )


def warnings_of(service: Service) -> list[FieldProblem]:
    """List what is allowed in a service and may still be a mistake."""
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
