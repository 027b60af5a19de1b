"""The listening socket for callers, with a shutdown that lets calls in progress finish."""

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

LISTEN_BACKLOG = 1024
SHUTDOWN_TIMEOUT_S = 1.0


def bind(listen: ListenSettings) -> socket.socket:
    """Bind a socket, which fixes the port if the settings ask for any; raises `OSError`."""
    family = socket.AF_INET6 if ":" in listen.host else socket.AF_INET
    listening_socket = socket.socket(family, socket.SOCK_STREAM)
    listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listening_socket.bind((listen.host, listen.port))
    except OSError:
        listening_socket.close()
        raise
    return listening_socket


class CallersListener:
    """Accepts connections from callers."""

    def __init__(
        self, server: CallersServer, settings: CallersSettings, listening_socket: socket.socket
    ) -> None:
        self._server = server
        self._settings = settings
        self._listening_socket = listening_socket
        self._tls: ssl.SSLContext | None = None
        self._acceptor: asyncio.Server | None = None

    async def start(self) -> None:
        """Start accepting connections."""
        tls = self._settings.listen.tls
        self._tls = create_server_context(tls) if tls is not None else None
        self._acceptor = await asyncio.get_running_loop().create_server(
            self._server, sock=self._listening_socket, ssl=self._tls, backlog=LISTEN_BACKLOG
        )
        host, port = self._listening_socket.getsockname()[:2]
        log_event("listening", listener="callers", host=host, port=port)

    def reload_tls(self) -> None:
        """Reload the certificate; raises `SettingsError` and keeps the old one if that fails."""
        tls = self._settings.listen.tls
        if self._tls is not None and tls is not None:
            reload_certificate(self._tls, tls)

    def connections(self) -> list[CallersProtocol]:
        """List the open connections."""
        return self._server.open_connections()

    def stop_accepting(self) -> None:
        """Stop accepting connections and close the idle ones."""
        if self._acceptor is not None:
            self._acceptor.close()
        for connection in self.connections():
            if connection.is_idle:
                connection.force_close()

    async def close(self) -> None:
        """Close every connection."""
        await self._server.shutdown(SHUTDOWN_TIMEOUT_S)


def create_callers_listener(
    server: CallersServer, settings: CallersSettings, listening_socket: socket.socket
) -> CallersListener:
    """Create the listener on a bound socket."""
    return CallersListener(server, settings, listening_socket)
