"""Reads and writes HTTP/1.1 messages, for servers and clients that follow PROTOCOL.md."""

from __future__ import annotations

import asyncio
import hashlib
from dataclasses import dataclass, field

ID = "x-heatherhead-request-id"
STAMP = "x-heatherhead-server-stamp"
NOT_RUN = "x-heatherhead-not-executed"
INSTANCE = "x-heatherhead-instance-id"
EXPECT = "x-heatherhead-expect-instance"
DEADLINE = "x-heatherhead-deadline-ms"
LOAD = "x-heatherhead-server-load"


class BrokenMessageError(Exception):
    """The bytes are no whole message."""


@dataclass
class Message:
    """A request or an answer."""

    first_line: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.first_line.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.first_line.split(" ")[1]

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first_line.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a head; returns None if the connection ends before its first byte."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise BrokenMessageError(f"a head cut short: {error.partial[:80]!r}") from error
        return None
    except asyncio.LimitOverrunError as error:
        raise BrokenMessageError("a head too long") from error
    lines = data.decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines[1:]:
        if line:
            name, colon, value = line.partition(":")
            if not colon:
                raise BrokenMessageError(f"no header: {line[:80]!r}")
            headers[name.lower()] = value.strip()
    return Message(lines[0], headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    """Read the body that a head announces, with a length or in chunks."""
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            parts = []
            while True:
                line = await reader.readuntil(b"\r\n")
                size = int(line.split(b";")[0], 16)
                if not size:
                    while await reader.readuntil(b"\r\n") != b"\r\n":
                        pass
                    return b"".join(parts)
                parts.append(await reader.readexactly(size))
                if await reader.readexactly(2) != b"\r\n":
                    raise BrokenMessageError("no line end behind a chunk")
        return await reader.readexactly(int(message.headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ValueError) as error:
        raise BrokenMessageError(f"a body cut short: {error!r}") from error


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Read a whole request."""
    message = await read_head(reader)
    if message is not None:
        message.body = await read_body(reader, message)
    return message


async def read_answer(reader: asyncio.StreamReader, method: str) -> Message | None:
    """Read a whole answer; one without a length ends with its connection."""
    message = await read_head(reader)
    if message is None:
        return None
    if not message.first_line.startswith("HTTP/1.1 "):
        raise BrokenMessageError(f"no answer: {message.first_line[:80]!r}")
    if method == "HEAD" or message.status in (204, 304) or message.status < 200:
        return message
    if "content-length" in message.headers or "transfer-encoding" in message.headers:
        message.body = await read_body(reader, message)
    else:
        message.body = await reader.read(-1)
    return message


def stamp(request_id: str, server: str, body: bytes) -> str:
    """Return the stamp of a server's whole body."""
    digest = hashlib.sha256(f"{request_id} {server} ".encode() + body).hexdigest()[:16]
    return f"{server}.{len(body)}.{digest}"


def is_whole(request_id: str, message: Message) -> bool:
    """Return whether a success bears the stamp of its whole body."""
    text = message.headers.get(STAMP, "")
    return bool(text) and text == stamp(request_id, text.split(".")[0], message.body)
