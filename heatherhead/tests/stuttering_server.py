"""An HTTP server that sends answers of a connection twice, whole or cut."""

from __future__ import annotations

import asyncio
import json
from enum import StrEnum
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["Stutter", "StutteringServer", "encode_answer", "head_size"]

READ_GAP_S = 0.02  # bytes written this much apart come in different reads
_HEAD_END = b"\r\n\r\n"


class Stutter(StrEnum):
    """Where the copy of an answer comes."""

    IN_SAME_READ = "in the read of the answer"
    IN_READ_OF_BODY = "in the read of the answer's body, which is not that of its head"
    ON_IDLE = "after the answer, on an idle connection"
    BEFORE_NEXT = "before the next answer"


class StutteringServer:
    """Gives the answers in turn, whatever is asked, each with `copied_bytes` of a copy."""

    def __init__(
        self, answers: Sequence[bytes], stutter: Stutter, copied_bytes: int | None = None
    ) -> None:
        self._answers = list(answers)
        self._stutter = stutter
        self._copied_bytes = copied_bytes  # the whole answer for None
        self._server: asyncio.Server | None = None
        self.connections = 0

    async def start(self) -> str:
        """Listen on the loopback interface and return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        earlier = b""
        try:
            while True:
                await _read_request(reader)
                answer = self._answers.pop(0)
                if self._stutter is Stutter.BEFORE_NEXT and earlier:
                    writer.write(earlier[: self._copied_bytes])
                    await asyncio.sleep(READ_GAP_S)
                await self._write(writer, answer)
                earlier = answer
        except (asyncio.IncompleteReadError, OSError):
            pass  # the client has closed
        finally:
            writer.close()

    async def _write(self, writer: asyncio.StreamWriter, answer: bytes) -> None:
        copy = answer[: self._copied_bytes]
        if self._stutter is Stutter.IN_SAME_READ:
            writer.write(answer + copy)
        elif self._stutter is Stutter.IN_READ_OF_BODY:
            writer.write(answer[: head_size(answer)])
            await asyncio.sleep(READ_GAP_S)
            writer.write(answer[head_size(answer) :] + copy)
        else:
            writer.write(answer)
        if self._stutter is Stutter.ON_IDLE:
            await asyncio.sleep(READ_GAP_S)
            writer.write(copy)


async def _read_request(reader: asyncio.StreamReader) -> None:
    head = await reader.readuntil(_HEAD_END)
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            await reader.readexactly(int(value))


def head_size(answer: bytes) -> int:
    """Return the size of an answer's head in bytes."""
    return answer.index(_HEAD_END) + len(_HEAD_END)


def encode_answer(status: int, body: Any = None, **headers: str) -> bytes:
    """Encode an answer with a JSON body, or with an empty one for `None`."""
    data = b"" if body is None else json.dumps(body).encode()
    lines = [
        f"HTTP/1.1 {status} Answer",
        *(f"{name.replace('_', '-')}: {value}" for name, value in headers.items()),
        "Content-Type: application/json",
        f"Content-Length: {len(data)}",
    ]
    return "\r\n".join(lines).encode() + _HEAD_END + data
