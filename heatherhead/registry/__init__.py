"""Registry of announced upstreams and their attributes, and of evacuated zones."""

from heatherhead.registry.entries import UpstreamEntry
from heatherhead.registry.evacuations import Evacuations, create_evacuations
from heatherhead.registry.registry import UpstreamRegistry, create_upstream_registry

__all__ = [
    "Evacuations",
    "UpstreamEntry",
    "UpstreamRegistry",
    "create_evacuations",
    "create_upstream_registry",
]
