"""A minimal aiohttp forwarder, the baseline for the latency that a balancer adds.

Run as `python -m bench.forwarder PORT UPSTREAM_HOST:PORT...`. It forwards to
the upstreams in round-robin order, without deadlines, limits or retries.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from itertools import cycle

import aiohttp
import uvloop
from aiohttp import web

__all__ = ["main"]

UNFORWARDED_HEADERS = {"connection", "transfer-encoding", "content-length", "keep-alive"}


async def _serve(port: int, upstreams: list[str]) -> None:
    upstream_urls = cycle(f"http://{upstream}" for upstream in upstreams)
    connector = aiohttp.TCPConnector(limit=0)
    jar = aiohttp.DummyCookieJar()
    async with aiohttp.ClientSession(
        connector=connector, cookie_jar=jar, auto_decompress=False
    ) as session:

        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            headers = [
                each
                for each in request.headers.items()
                if each[0].lower() not in UNFORWARDED_HEADERS
            ]
            async with session.request(
                request.method,
                next(upstream_urls) + request.raw_path,
                headers=headers,
                data=request.content if request.body_exists else None,
                allow_redirects=False,
            ) as answer:
                kept = [
                    each
                    for each in answer.headers.items()
                    if each[0].lower() not in UNFORWARDED_HEADERS
                ]
                return web.Response(
                    status=answer.status, headers=dict(kept), body=await answer.read()
                )

        runner = web.ServerRunner(web.Server(handle, access_log=None))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port, backlog=1024).start()
        print("ready", flush=True)
        stopped = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
        await stopped.wait()
        await runner.cleanup()


def main() -> None:
    """Forward until SIGTERM."""
    uvloop.run(_serve(int(sys.argv[1]), sys.argv[2:]))


if __name__ == "__main__":
    main()
