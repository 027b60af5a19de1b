"""Instances of the system: who is live, where, and how they reach each other."""

from heatherhead.membership.service import Membership, create_membership

__all__ = ["Membership", "create_membership"]
