"""Finds the route and the customer of a call, and distributes a split route by weight."""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.routes.model import RouteConfiguration

if TYPE_CHECKING:
    from heatherhead.routes.model import Customer, Route

__all__ = ["RouteTable", "create_route_table"]


class RouteTable:
    """The active route configuration; an older version never replaces a newer one."""

    def __init__(self) -> None:
        self.configuration = RouteConfiguration(version=0)
        self._route_by_prefix_by_host: dict[str, dict[str, Route]] = {}
        self._credits_by_route: dict[str, dict[str, float]] = {}
        self._customer_by_key: dict[str, Customer] = {}

    @property
    def has_customers(self) -> bool:
        """Return whether calls need a customer's key."""
        return self.configuration.customer_by_name is not None

    @property
    def loaded(self) -> bool:
        """Return whether any version has been applied."""
        return self.configuration.version > 0

    def apply(self, configuration: RouteConfiguration) -> bool:
        """Apply a configuration if its version is newer; return whether it was."""
        if configuration.version <= self.configuration.version:
            return False
        by_host: dict[str, dict[str, Route]] = {}
        for route in configuration.route_by_name.values():
            by_host.setdefault(route.host.lower(), {})[route.prefix] = route
        previous = self.configuration.route_by_name
        for name in list(self._credits_by_route):
            route = configuration.route_by_name.get(name)
            if route is None or route.parts != previous[name].parts:
                del self._credits_by_route[name]
        self.configuration = configuration
        self._route_by_prefix_by_host = by_host
        customers = (configuration.customer_by_name or {}).values()
        self._customer_by_key = {key: each for each in customers for key in each.keys}
        return True

    def match(self, host: str, target: str) -> Route | None:
        """Return the route with the longest prefix that matches the path, if there is one."""
        by_prefix = self._route_by_prefix_by_host.get(_host_name(host))
        if by_prefix is None:
            return None
        path = target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def customer_of(self, key: str | None) -> Customer | None:
        """Return the customer that holds a key, if there is one."""
        return None if key is None else self._customer_by_key.get(key)

    def hosts(self) -> set[str]:
        """List the host names that have routes."""
        return set(self._route_by_prefix_by_host)

    def service_of(self, route: Route) -> str:
        """Choose the service of the next call by smooth weighted round robin."""
        if len(route.parts) == 1:
            return route.parts[0].service
        chosen, self._credits_by_route[route.name] = self._next_turn(route)
        return chosen

    def next_service_of(self, route: Route) -> str:
        """Return the service that the next call will get, without a turn being taken."""
        return self._next_turn(route)[0]

    def _next_turn(self, route: Route) -> tuple[str, dict[str, float]]:
        """Return the service of the next call, and the credits after it."""
        held = self._credits_by_route.get(route.name)
        credit_by_service = dict(held or dict.fromkeys((part.service for part in route.parts), 0.0))
        total = 0.0
        for part in route.parts:
            credit_by_service[part.service] += part.weight
            total += part.weight
        chosen = max(route.parts, key=lambda part: credit_by_service[part.service]).service
        credit_by_service[chosen] -= total
        return chosen, credit_by_service


def _host_name(host: str) -> str:
    """Return the lower-case name in a Host header without the port."""
    name, colon, port = host.rpartition(":")
    return (name if colon and port.isdigit() else host).lower()


def create_route_table() -> RouteTable:
    """Create a table without routes."""
    return RouteTable()
