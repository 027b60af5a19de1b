"""The gRPC server of the port for operators."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from grpclib.config import Configuration
from grpclib.server import Server

from heatherhead.membership.interface import Address
from heatherhead.operators.errors import DetailsCodec
from heatherhead.operators.event_hub import create_event_hub
from heatherhead.operators.guard import guard_requests
from heatherhead.operators.handlers import create_handlers
from heatherhead.settings.tls import create_server_context

if TYPE_CHECKING:
    import ssl

    from heatherhead.operators.parts import DaemonParts
    from heatherhead.settings.operators import OperatorsSettings

__all__ = ["OperatorsServer", "create_operators_server"]

LISTEN_BACKLOG = 64
FLOW_CONTROL_WINDOW_BYTES = 256 * 1024
KEEPALIVE_INTERVAL_S = 30.0
KEEPALIVE_TIMEOUT_S = 10.0


class OperatorsServer:
    """Serves the port for operators between `start` and `stop`."""

    def __init__(self, settings: OperatorsSettings, parts: DaemonParts) -> None:
        self._settings = settings
        self._parts = parts
        self._hub = create_event_hub(parts)
        self._server: Server | None = None
        self._socket: socket.socket | None = None
        self.tls_context: ssl.SSLContext | None = None

    @property
    def address(self) -> Address:
        """Return the address that the server listens on."""
        assert self._socket is not None, "the server is not started"
        host, port, *_ = self._socket.getsockname()
        return Address(host, port)

    async def start(self) -> None:
        """Start listening.

        Raises `OSError` if the address can't be bound, and `SettingsError` for bad TLS files.
        """
        listen = self._settings.listen
        if listen.tls is not None:
            self.tls_context = create_server_context(listen.tls)
            self.tls_context.set_alpn_protocols(["h2"])
        self._server = Server(
            create_handlers(self._parts, self._hub),
            status_details_codec=DetailsCodec(),
            config=_transport_configuration(),
        )
        guard_requests(self._server)
        self._socket = _create_bound_socket(listen.host, listen.port)
        await self._server.start(sock=self._socket, backlog=LISTEN_BACKLOG, ssl=self.tls_context)
        self._hub.open()

    async def stop(self) -> None:
        """Stop listening and end running requests.

        Clients of changes in progress can't tell whether these were applied.
        """
        if self._server is None:
            return
        self._hub.close()
        self._server.close()
        await self._server.wait_closed()
        self._server = None


def _create_bound_socket(host: str, port: int) -> socket.socket:
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # IPPROTO_TCP is named, because event loops set TCP_NODELAY by the socket's protocol.
    bound = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind((host, port))
    except OSError:
        bound.close()
        raise
    return bound


def _transport_configuration() -> Configuration:
    """Limit the flow control windows, and detect dead connections by keepalive pings."""
    return Configuration(
        http2_connection_window_size=FLOW_CONTROL_WINDOW_BYTES,
        http2_stream_window_size=FLOW_CONTROL_WINDOW_BYTES,
        _keepalive_time=KEEPALIVE_INTERVAL_S,
        _keepalive_timeout=KEEPALIVE_TIMEOUT_S,
        _http2_max_pings_without_data=0,
        _http2_min_sent_ping_interval_without_data=KEEPALIVE_INTERVAL_S,
    )


def create_operators_server(settings: OperatorsSettings, parts: DaemonParts) -> OperatorsServer:
    """Create the server of the port for operators; `start` begins to listen."""
    return OperatorsServer(settings, parts)
