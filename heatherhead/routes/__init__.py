"""Routes: map calls to services and hold the rules for handling them."""

from heatherhead.routes.model import (
    CallerLimits,
    RepeatRule,
    Route,
    RouteConfiguration,
    ServiceRules,
    TrafficPart,
)
from heatherhead.routes.table import RouteTable, create_route_table

__all__ = [
    "CallerLimits",
    "RepeatRule",
    "Route",
    "RouteConfiguration",
    "RouteTable",
    "ServiceRules",
    "TrafficPart",
    "create_route_table",
]
