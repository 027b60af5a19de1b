"""The health check that upstreams answer with their load."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from heatherhead.registry.entries import UpstreamEntry

__all__ = ["health_request"]


def health_request(entry: UpstreamEntry, path: str) -> bytes:
    """Encode the health check of an upstream."""
    return f"GET {path} HTTP/1.1\r\nHost: {entry.host}:{entry.port}\r\n\r\n".encode()
