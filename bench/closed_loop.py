"""Closed-loop callers: each sends its next call after the answer to the previous one.

Run as `python -m bench.closed_loop HOST PORT CALLERS SECONDS`; the last line printed is JSON.
"""

from __future__ import annotations

import asyncio
import json
import sys

import uvloop

__all__ = ["main"]

WARM_UP_S = 1.0
REQUEST = b"GET /stock HTTP/1.1\r\nHost: bench\r\n\r\n"


async def _call(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(REQUEST)
    head = await reader.readuntil(b"\r\n\r\n")
    if not head.startswith(b"HTTP/1.1 200"):
        raise RuntimeError(head.decode())
    start = head.index(b"Content-Length: ") + len(b"Content-Length: ")
    length = int(head[start : head.index(b"\r", start)])
    await reader.readexactly(length)


async def _caller(host: str, port: int, measured_from: float, end: float) -> int:
    loop = asyncio.get_running_loop()
    reader, writer = await asyncio.open_connection(host, port)
    calls = 0
    while (now := loop.time()) < end:
        await _call(reader, writer)
        calls += now >= measured_from
    writer.close()
    return calls


async def _run(host: str, port: int, callers: int, seconds: float) -> None:
    measured_from = asyncio.get_running_loop().time() + WARM_UP_S
    end = measured_from + seconds
    counts = await asyncio.gather(
        *(_caller(host, port, measured_from, end) for _ in range(callers))
    )
    print(json.dumps({"calls": sum(counts), "per_s": sum(counts) / seconds}), flush=True)


def main() -> None:
    """Run the callers named on the command line."""
    host, port, callers, seconds = sys.argv[1:5]
    uvloop.run(_run(host, int(port), int(callers), float(seconds)))


if __name__ == "__main__":
    main()
