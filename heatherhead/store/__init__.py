"""The platform's configuration store behind a small interface."""

from heatherhead.store.errors import CompactedError, LeaseLapsedError
from heatherhead.store.factory import create_store
from heatherhead.store.interface import Store

__all__ = ["CompactedError", "LeaseLapsedError", "Store", "create_store"]
