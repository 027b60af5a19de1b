"""Selects the store adapter according to the settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.store.etcd import create_etcd_store
from heatherhead.store.memory import create_memory_store

if TYPE_CHECKING:
    from heatherhead.settings.store import StoreSettings
    from heatherhead.store.interface import Store

__all__ = ["create_store"]


def create_store(settings: StoreSettings) -> Store:
    """Create the etcd adapter, or the in-memory store if no URL is set."""
    if not settings.urls:
        return create_memory_store()
    return create_etcd_store(settings)
