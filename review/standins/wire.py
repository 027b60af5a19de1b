"""HTTP/1.1 for the stand-ins: heads, bodies and answers over asyncio streams."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio


@dataclass
class Message:
    """A request or an answer; `first` is its first line, header names are in lower case."""

    first: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first.split(" ", 2)[1])

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.first.split(" ", 1)[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.first.split(" ", 2)[1]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message whose body has a length; raises `asyncio.IncompleteReadError` at the end."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(first, headers, body)


def answer_bytes(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Encode an answer."""
    lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def request_bytes(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encode a request."""
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {headers[name]}" for name in headers)]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
