"""One peer stream: frames of length, traffic and message, in both directions."""

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
    """Put a message's length before it."""
    return _HEADER.pack(len(payload)) + payload


async def read_message(reader: asyncio.StreamReader) -> tuple[object | None, int]:
    """Read one message and the bytes it took; raises `PeerProtocolError` or `EOFError`."""
    (length,) = _HEADER.unpack(await reader.readexactly(FRAME_HEADER_BYTES))
    if length > MAX_MESSAGE_BYTES:
        raise PeerProtocolError(
            f"peer message of {length} bytes",
            remedy="check that the peers port is reached by heatherhead instances only",
        )
    return decode(await reader.readexactly(length)), FRAME_HEADER_BYTES + length


class PeerConnection:
    """A greeted stream to `peer`; `dialer_id` names the end that opened it.

    `wanted_until` tells for how long the peer surely sees the stream as one of the overlay.
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
        self.used_at = self.heard_at = asyncio.get_running_loop().time()
        self.wanted_until = 0.0
        self._reader = reader
        self._writer = writer

    @property
    def is_wanted_by_peer(self) -> bool:
        """Tell whether the peer sees the stream as one of the overlay."""
        return asyncio.get_running_loop().time() < self.wanted_until

    def has_room_for(self, size: int, limit: int) -> bool:
        """Tell whether `size` more bytes keep the buffer below `limit`."""
        if self._writer.is_closing():
            return False
        return self._writer.transport.get_write_buffer_size() + size <= limit

    def write(self, data: bytes) -> None:
        """Hand a frame to the socket."""
        self._writer.write(data)

    async def read_all(self, handle: Callable[[object | None, int], None]) -> None:
        """Hand each message and its size to `handle` until the stream ends."""
        count = 0
        with suppress(EOFError, ConnectionError, TimeoutError, OSError):
            while True:
                handle(*await read_message(self._reader))
                count += 1
                if count % MESSAGES_BEFORE_YIELD == 0:
                    await asyncio.sleep(0)

    def close(self) -> None:
        """Close the stream after what is buffered."""
        self._writer.close()

    def abort(self) -> None:
        """Close the stream at once."""
        self._writer.transport.abort()
