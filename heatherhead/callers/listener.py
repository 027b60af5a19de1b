"""The callers' listening socket, and leaving without cutting a call off."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from heatherhead.settings.tls import create_server_context, reload_certificate
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    import ssl

    from heatherhead.callers.protocol import CallersProtocol, CallersServer
    from heatherhead.settings.callers import CallersSettings
    from heatherhead.settings.instance import ListenSettings

__all__ = ["CallersListener", "bind", "create_callers_listener"]

BACKLOG = 1024
SHUTDOWN_S = 1.0


def bind(listen: ListenSettings) -> socket.socket:
    """Bind a listening socket, whose port is then known; raises `OSError`."""
    family = socket.AF_INET6 if ":" in listen.host else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        bound.bind((listen.host, listen.port))
    except OSError:
        bound.close()
        raise
    return bound


class CallersListener:
    """Accepts callers until `close`."""

    def __init__(
        self, server: CallersServer, settings: CallersSettings, bound: socket.socket
    ) -> None:
        self._server = server
        self._settings = settings
        self._bound = bound
        self._tls: ssl.SSLContext | None = None
        self._accepting: asyncio.Server | None = None

    async def start(self) -> None:
        """Begin to accept connections."""
        tls = self._settings.listen.tls
        self._tls = create_server_context(tls) if tls is not None else None
        self._accepting = await asyncio.get_running_loop().create_server(
            self._server, sock=self._bound, ssl=self._tls, backlog=BACKLOG
        )
        host, port = self._bound.getsockname()[:2]
        log_event("listening", listener="callers", host=host, port=port)

    def reload_tls(self) -> None:
        """Read the certificate again; raises `SettingsError` and then keeps the old one."""
        tls = self._settings.listen.tls
        if self._tls is not None and tls is not None:
            reload_certificate(self._tls, tls)

    def connections(self) -> list[CallersProtocol]:
        """List the open connections."""
        return self._server.callers_connections()

    def stop_accepting(self) -> None:
        """Accept no more connections and close those without a call."""
        if self._accepting is not None:
            self._accepting.close()
        for connection in self.connections():
            if connection.waits_for_call:
                connection.force_close()

    async def close(self) -> None:
        """Close every connection."""
        await self._server.shutdown(SHUTDOWN_S)


def create_callers_listener(
    server: CallersServer, settings: CallersSettings, bound: socket.socket
) -> CallersListener:
    """Create the listener on a bound socket."""
    return CallersListener(server, settings, bound)
