"""Factory of load-balancing policies."""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.routing.policies.baselines import (
    create_least_in_flight,
    create_random_choice,
    create_round_robin,
    create_two_choices,
)
from heatherhead.routing.policies.late_binding import create_late_binding

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from heatherhead.routing.policies.interface import Policy

__all__ = ["create_policy"]

_create_by_name: dict[str, Callable[[Random], Policy]] = {
    "late_binding": create_late_binding,
    "least_in_flight": create_least_in_flight,
    "random": create_random_choice,
    "round_robin": create_round_robin,
    "two_choices": create_two_choices,
}


def create_policy(name: str, rng: Random) -> Policy:
    """Create the policy with a name from the settings, without upstreams."""
    return _create_by_name[name](rng)
