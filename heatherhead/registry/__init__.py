"""Registry of announced upstreams and their attributes."""

from heatherhead.registry.entries import UpstreamEntry
from heatherhead.registry.registry import UpstreamRegistry, create_upstream_registry

__all__ = ["UpstreamEntry", "UpstreamRegistry", "create_upstream_registry"]
