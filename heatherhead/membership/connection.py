"""One peer stream: messages as length-prefixed frames in both directions."""

from __future__ import annotations

import asyncio
import struct
from contextlib import suppress
from typing import TYPE_CHECKING

from heatherhead.exceptions import PeerProtocolError
from heatherhead.membership.messages import MAX_MESSAGE_BYTES, decode

if TYPE_CHECKING:
    from collections.abc import Callable

    from heatherhead.membership.member_table import Member

__all__ = ["FRAME_HEADER_BYTES", "PeerConnection", "frame", "read_message"]

_HEADER = struct.Struct("!I")
FRAME_HEADER_BYTES = _HEADER.size
MESSAGES_BEFORE_YIELD = 16


def frame(payload: bytes) -> bytes:
    """Prefix a message with its length."""
    return _HEADER.pack(len(payload)) + payload


async def read_message(reader: asyncio.StreamReader) -> tuple[object | None, int]:
    """Read one message; return it and its size on the wire.

    Raises `PeerProtocolError` or `EOFError`.
    """
    (length,) = _HEADER.unpack(await reader.readexactly(FRAME_HEADER_BYTES))
    if length > MAX_MESSAGE_BYTES:
        raise PeerProtocolError(
            f"peer message of {length} bytes is too long",
            remedy="check that the peers port is reached by heatherhead instances only",
        )
    return decode(await reader.readexactly(length)), FRAME_HEADER_BYTES + length


class PeerConnection:
    """A stream to `peer` after the greeting; `dialer_id` is the instance that opened it.

    Until `neighbour_until` the peer counts this instance among its overlay neighbours.
    """

    def __init__(
        self,
        peer: Member,
        dialer_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.peer = peer
        self.dialer_id = dialer_id
        self.used_at = self.received_at = asyncio.get_running_loop().time()
        self.neighbour_until = 0.0
        self._reader = reader
        self._writer = writer

    @property
    def is_neighbour_of_peer(self) -> bool:
        """Return whether the peer counts this instance among its overlay neighbours."""
        return asyncio.get_running_loop().time() < self.neighbour_until

    def has_room_for(self, size: int, limit: int) -> bool:
        """Return whether the write buffer stays within `limit` after `size` more bytes."""
        if self._writer.is_closing():
            return False
        return self._writer.transport.get_write_buffer_size() + size <= limit

    def write(self, data: bytes) -> None:
        """Write a frame to the socket's buffer."""
        self._writer.write(data)

    async def read_all(self, handle: Callable[[object | None, int], None]) -> None:
        """Call `handle` with each message and its size until the stream ends."""
        count = 0
        with suppress(EOFError, ConnectionError, TimeoutError, OSError):
            while True:
                handle(*await read_message(self._reader))
                count += 1
                if count % MESSAGES_BEFORE_YIELD == 0:
                    await asyncio.sleep(0)

    def close(self) -> None:
        """Close the stream after sending what is buffered."""
        self._writer.close()

    def abort(self) -> None:
        """Close the stream at once and discard what is buffered."""
        self._writer.transport.abort()
