"""Customers: whose call it is, what it may use, and how much of it."""

from heatherhead.customers.identification import Identity, identify
from heatherhead.customers.usage import CapDecision, UsageCaps

__all__ = ["CapDecision", "Identity", "UsageCaps", "identify"]
