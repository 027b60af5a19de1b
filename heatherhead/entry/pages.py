"""The interface of the handlers for addresses, readiness and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from heatherhead.proxy.caller_connection import Exchange
    from heatherhead.proxy.messages import Answer

__all__ = ["PageHandlers"]


class PageHandlers(Protocol):
    """Answers requests that are not forwarded to upstreams."""

    async def handle(self, exchange: Exchange) -> Answer:
        """Answer one request of a caller or an operator."""
        ...

    async def handle_operator(self, exchange: Exchange) -> Answer:
        """Answer one request on an address that callers don't use."""
        ...
