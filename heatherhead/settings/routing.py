"""Settings of `routing`."""

from __future__ import annotations

from heatherhead.settings.section import Section

__all__ = ["RoutingSettings"]


class RoutingSettings(Section):
    """Bounds and addresses of `routing`."""
