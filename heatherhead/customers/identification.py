"""Finds the customer of a call by its key, and the terms that follow from it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from heatherhead.routes.model import Customer, Route
    from heatherhead.routes.table import RouteTable

__all__ = ["Identity", "identify", "identify_by_name"]


@dataclass(frozen=True, slots=True)
class Identity:
    """Whose call it is; a call of a public route may have no `customer`.

    Without `keys_required`, the configuration knows no customers, and headers pass unchanged.
    """

    customer: Customer | None
    keys_required: bool

    @property
    def priority(self) -> int:
        """Return the customer's priority, which goes before that of the route."""
        return 0 if self.customer is None else self.customer.priority

    def allowed_regions(self, route: Route) -> frozenset[str] | None:
        """Return the regions that may serve a call, None for all; route and customer both bind."""
        limits = [route.allowed_regions]
        if self.customer is not None:
            limits.append(self.customer.allowed_regions)
        limits = [each for each in limits if each]
        return frozenset.intersection(*limits) if limits else None


def identify(table: RouteTable, route: Route, key: str | None) -> Identity | None:
    """Return whose call it is, None if the route needs a key that no customer holds."""
    return _identity_of(table, route, table.customer_of(key))


def identify_by_name(table: RouteTable, route: Route, name: str | None) -> Identity | None:
    """Return the same of a call with a key of a customer, by its name."""
    customers = table.configuration.customer_by_name or {}
    return _identity_of(table, route, None if name is None else customers.get(name))


def _identity_of(table: RouteTable, route: Route, customer: Customer | None) -> Identity | None:
    if not table.has_customers:
        return Identity(None, keys_required=False)
    if customer is None and not route.public:
        return None
    return Identity(customer, keys_required=True)
