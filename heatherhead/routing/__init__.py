"""Selection of an upstream for each call."""

from heatherhead.routing.homes import create_home_sets
from heatherhead.routing.router import create_router

__all__ = ["create_home_sets", "create_router"]
