"""Reads and writes HTTP/1.1 messages, for clients, servers and the store."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from asyncio import StreamReader

REQUEST_ID = "X-Heatherhead-Request-Id"
DEADLINE_MS = "X-Heatherhead-Deadline-Ms"


async def read_head(reader: StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line of a message and its headers, with names in lower case."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader: StreamReader, headers: dict[str, str]) -> int:
    """Read a body with a length and drop it; return its size."""
    size = left = int(headers.get("content-length", "0"))
    while left:
        data = await reader.read(min(left, 1 << 18))
        if not data:
            raise EOFError("the body broke off")
        left -= len(data)
    return size


def new_id() -> str:
    """Return an id of a client attempt."""
    return f"{random.getrandbits(64):016x}"


def request_head(
    method: str, path: str, host: str, request_id: str, deadline_ms: int, size: int = 0
) -> bytes:
    """Return the head of a client's request; `size` is that of its body."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        f"{REQUEST_ID}: {request_id}",
        f"{DEADLINE_MS}: {deadline_ms}",
    ]
    if method != "GET":
        lines.append(f"Content-Length: {size}")
    return "\r\n".join([*lines, "", ""]).encode()
