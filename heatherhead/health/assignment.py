"""Assigns the health checks of upstreams to instances.

Each upstream is checked by one home of its service in its own region, chosen by rendezvous hashing.
While the homes have different views of the fleet, an upstream may be checked by two homes or by
none.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.routing.rendezvous import score

if TYPE_CHECKING:
    from collections.abc import Sequence

    from heatherhead.configuration.model import Service, Upstream
    from heatherhead.membership.interface import Instance

__all__ = ["assigned_upstreams"]


def assigned_upstreams(service: Service, own: Instance, home_ids: Sequence[str]) -> list[Upstream]:
    """List the upstreams that the instance `own` checks; `home_ids` are the homes in its region."""
    if service.health_path is None or own.id not in home_ids:
        return []
    return [
        each
        for each in service.upstreams
        if each.region == own.region
        and not each.draining
        and _checker_id(service.name, each, home_ids) == own.id
    ]


def _checker_id(service: str, upstream: Upstream, home_ids: Sequence[str]) -> str:
    key = f"health\0{service}\0{upstream.id}"
    return max(home_ids, key=lambda each: (score(key, each), each))
