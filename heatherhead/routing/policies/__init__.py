"""Load-balancing policies."""

from heatherhead.routing.policies.factory import create_policy
from heatherhead.routing.policies.interface import Policy

__all__ = ["Policy", "create_policy"]
