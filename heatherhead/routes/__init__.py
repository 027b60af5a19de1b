"""Routes: map calls to services and hold the rules for handling them."""

from heatherhead.routes.model import (
    CallerLimits,
    Customer,
    RepeatRule,
    Route,
    RouteConfiguration,
    ServiceRules,
    TrafficPart,
    UsageCap,
)
from heatherhead.routes.table import RouteTable, create_route_table

__all__ = [
    "CallerLimits",
    "Customer",
    "RepeatRule",
    "Route",
    "RouteConfiguration",
    "RouteTable",
    "ServiceRules",
    "TrafficPart",
    "UsageCap",
    "create_route_table",
]
