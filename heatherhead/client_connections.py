"""Connections of aiohttp's client that tell a cut answer from a complete one.

aiohttp's own end a body without a length when their connection is lost, also by a reset.
"""

from __future__ import annotations

from contextlib import suppress
from functools import partial
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError

from heatherhead.proxy.payloads import fail_payload

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

__all__ = ["ClientConnection", "create_client_connection", "create_client_connector"]


class ClientConnection(ResponseHandler):
    """A connection whose answer fails if it is reset, and ends with an orderly end."""

    def eof_received(self) -> None:
        """End a body without a length.

        aiohttp's own does so once the rest of the request has been written, which an upstream that
        has answered may never read.
        """
        super().eof_received()
        payload = self._payload
        if self._parser is None or payload is None or payload.is_eof():
            return
        with suppress(HttpProcessingError):  # a body cut short fails when the connection is lost
            self._parser.feed_eof()
        if payload.is_eof():
            self._parser = None  # which would take a second end for that of another message

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the call in progress, and the body that is being read unless the end was orderly."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            fail_payload(self._loop, payload, aiohttp.ClientPayloadError(f"connection lost: {exc}"))
            self._parser = None  # which would end the body
        super().connection_lost(exc)


class _ClientConnector(aiohttp.TCPConnector):
    """A connector that creates connections with a function."""

    def __init__(
        self,
        create_connection: Callable[[asyncio.AbstractEventLoop], ClientConnection],
        **options: Any,
    ) -> None:
        super().__init__(**options)
        self._factory = partial(create_connection, self._loop)


def create_client_connection(loop: asyncio.AbstractEventLoop) -> ClientConnection:
    """Create the protocol of a new connection."""
    return ClientConnection(loop)


def create_client_connector(
    create_connection: Callable[
        [asyncio.AbstractEventLoop], ClientConnection
    ] = create_client_connection,
    **options: Any,
) -> aiohttp.TCPConnector:
    """Create a connector with aiohttp's options; must be called inside the running loop."""
    return _ClientConnector(create_connection, **options)
