"""An HTTP server that answers before it has read a request, and ends its answer early."""

from __future__ import annotations

import asyncio
import socket
import struct
from enum import StrEnum

__all__ = [
    "BODY_PART",
    "END_DELAY_S",
    "INVALID_STATUSES",
    "RESETS",
    "UNREADABLE_BODY_BYTES",
    "End",
    "TruncatingServer",
]

BODY_PART = b"part of the body"
UNREADABLE_BODY_BYTES = 12 * 1024 * 1024  # more than the buffers of a loopback connection hold
RECEIVE_BUFFER_BYTES = 4096  # so that an upload is stalled when the connection ends
INVALID_STATUSES = ("000", "099", "1000", "abc", "600", "999")  # that no HTTP response has
END_DELAY_S = 0.05  # so that what has come is read before the connection ends
HOLD_S = 5.0  # for the client to close; only reached by a test that fails
_LINGER_ZERO = struct.pack("ii", 1, 0)  # close() sends a reset


class End(StrEnum):
    """How the connection ends behind a part of the answer."""

    RESET = "reset"
    UNREAD = "unread"  # closed with unread bytes of the request, which resets it
    ORDERLY = "orderly"  # the request stays unread, and the connection open for it


RESETS = (End.RESET, End.UNREAD)


class TruncatingServer:
    """Sends `answer` after the head of a request, reads no more of it and ends the connection."""

    def __init__(self, answer: bytes, end: End) -> None:
        self._answer = answer
        self._end = end
        self._server: asyncio.Server | None = None
        self.requests = 0
        self.port = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> TruncatingServer:
        """Listen on the loopback interface."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.bind(("127.0.0.1", 0))
        self._server = await asyncio.start_server(
            self.serve, sock=listener, limit=RECEIVE_BUFFER_BYTES
        )
        self.port = listener.getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop listening and end all connections."""
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            writer.write(self._answer)
            await asyncio.sleep(END_DELAY_S)
            if self._end is End.ORDERLY:
                writer.write_eof()
                writer.transport.pause_reading()
                await asyncio.sleep(HOLD_S)
            elif self._end is End.RESET:
                connection = writer.get_extra_info("socket")
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.transport.abort()
