"""Sends and receives UDP datagrams between instances."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from heatherhead.entry.settings import HostPort
from heatherhead.fleet.peer_messages import decode_message, encode_message
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from heatherhead.fleet.members import Member
    from heatherhead.fleet.peer_messages import PeerMessage

__all__ = ["PeerChannel", "create_peer_channel"]


class PeerChannel(asyncio.DatagramProtocol):
    """One UDP socket for all peers."""

    def __init__(self, on_message: Callable[[PeerMessage, HostPort], None]) -> None:
        self._on_message = on_message
        self._transport: asyncio.DatagramTransport | None = None
        self.sent_bytes = 0

    def connection_made(self, transport: Any) -> None:
        """Store the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, address: Any) -> None:
        """Decode a message and pass it to the handler, with the address that sent it."""
        message = decode_message(data)
        if message is None:
            log_event("peer_message_unreadable", bytes=len(data))
            return
        self._on_message(message, HostPort(address[0], address[1]))

    def error_received(self, _error: OSError) -> None:
        """Ignore errors: a lost peer is detected by its silence."""

    def send(self, members: Iterable[Member], message: PeerMessage) -> None:
        """Send a message to members."""
        self.send_to((member.peer_address for member in members), message)

    def send_to(self, addresses: Iterable[HostPort], message: PeerMessage) -> None:
        """Send a message to the instances at some addresses."""
        if self._transport is None:
            return
        data = encode_message(message)
        for address in addresses:
            self._transport.sendto(data, (address.host, address.port))
            self.sent_bytes += len(data)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()


async def create_peer_channel(
    host: str, port: int, on_message: Callable[[PeerMessage, HostPort], None]
) -> PeerChannel:
    """Open the UDP socket of an instance."""
    loop = asyncio.get_running_loop()
    _, channel = await loop.create_datagram_endpoint(
        lambda: PeerChannel(on_message), local_addr=(host, port)
    )
    return channel
