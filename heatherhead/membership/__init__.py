"""Membership of the fleet: the state and place of each instance, and the peer network."""

from heatherhead.membership.service import Membership, create_membership

__all__ = ["Membership", "create_membership"]
