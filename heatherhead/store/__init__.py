"""Interface to the platform's configuration store; adapters are imported from their modules."""

from heatherhead.store.errors import CompactedError, LeaseLapsedError
from heatherhead.store.interface import Store

__all__ = ["CompactedError", "LeaseLapsedError", "Store"]
