"""The configuration of a run, as the platform's operators write it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from soak.customers import Customers

__all__ = ["HOST_NAME", "PUBLIC_PREFIX", "ROUTES", "SERVICES", "create_document", "prefixes_of"]

SERVICES = ("stock", "orders")
HOST_NAME = "shop.example"
PUBLIC_PREFIX = "/public/"  # of a route that needs no key; only in runs with customers

# Kind and services of the route of each path prefix, in the first configuration.
ROUTES: dict[str, tuple[str, tuple[str, ...]]] = {
    "/read/": ("idempotent", ("stock",)),
    "/order/": ("non_idempotent", ("orders",)),
    "/upload/": ("upload", ("orders", "stock")),
    PUBLIC_PREFIX: ("idempotent", ("stock",)),
}


def prefixes_of(routes: Iterable[str], customers: Customers | None) -> list[str]:
    """Return the path prefixes of a run, of those of all runs."""
    return [each for each in routes if customers is not None or each != PUBLIC_PREFIX]


def create_document(
    version: int, services_by_prefix: Mapping[str, tuple[str, ...]], customers: Customers | None
) -> dict[str, Any]:
    """Create a configuration in which prefixes go to some services."""
    document = {
        "ConfigVersion": version,
        "Routes": {
            "r" + prefix.strip("/"): _route(prefix, services)
            for prefix, services in services_by_prefix.items()
        },
        "Services": {name: _service() for name in SERVICES},
        "Limits": {},
    }
    if customers is not None:
        document["Tenants"] = customers.document()
    return document


def _route(prefix: str, services: tuple[str, ...]) -> dict[str, Any]:
    return {
        "Hostname": HOST_NAME,
        "Prefix": prefix,
        "RouteType": ROUTES[prefix][0],
        "TrafficSplit": [{"Service": each, "Weight": 1} for each in services],
        "MaxAttempts": 2,
        "TimeoutS": 1.5,
        "TargetLatencyS": 0.3,
        "Priority": 1,
        "Public": prefix == PUBLIC_PREFIX,
    }


def _service() -> dict[str, Any]:
    return {"HealthCheck": "/healthz"}
