"""Classification of calls as idempotent or not."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from heatherhead.configuration.model import PathRule, Service

__all__ = ["is_idempotent"]

_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"})


def is_idempotent(service: Service, method: str, path: str) -> bool:
    """Return whether a call is idempotent, by the first matching path rule or else by RFC 9110."""
    for rule in service.path_rules:
        if _matches(rule, method, path):
            return rule.idempotent
    return method in _IDEMPOTENT_METHODS


def _matches(rule: PathRule, method: str, path: str) -> bool:
    return path.startswith(rule.path_prefix) and (not rule.methods or method in rule.methods)
