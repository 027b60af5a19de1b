"""Divides the upstreams of a service among its homes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.routing.rendezvous import score

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from heatherhead.configuration.model import Upstream

__all__ = ["owner_by_upstream"]


def owner_by_upstream(
    service: str, upstreams: Sequence[Upstream], zone_by_home: Mapping[str, str]
) -> dict[str, str]:
    """Assign each upstream to a home, in equal shares and to the same zone where possible.

    Upstreams and homes are both ordered by availability zone and then by hash; each home takes the
    next block of upstreams. Homes with different membership views only prefer different upstreams.
    """
    homes = sorted(zone_by_home, key=lambda home: (zone_by_home[home], score(service, home)))
    if not homes:
        return {}
    ordered = sorted(
        upstreams, key=lambda each: (each.availability_zone, score(service, each.id), each.id)
    )
    total = len(ordered)
    return {each.id: homes[index * len(homes) // total] for index, each in enumerate(ordered)}
