"""Tests that retries do not multiply across several layers of proxies."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack

import aiohttp
from aiohttp import web

from heatherhead.callers.headers import NO_RETRY
from heatherhead.tests.callers.fakes import FakeUpstream, settings_for, stand, started

LAYERS_ABOVE = 3
MAX_ATTEMPTS = 3


async def fail(_: FakeUpstream, __: web.BaseRequest) -> web.Response:
    return web.Response(status=503, text="overloaded")


def test_only_the_layer_closest_to_the_failure_retries_a_call() -> None:
    asyncio.run(check_layers())


async def check_layers() -> None:
    async with AsyncExitStack() as stack:
        bottom = await stack.enter_async_context(stand(fail, fail, fail, fail))
        port = bottom.assembly.settings.callers.listen.port
        for _ in range(LAYERS_ABOVE):
            above = await stack.enter_async_context(started(settings_for([port, port, port])))
            port = above.settings.callers.listen.port
        session = await stack.enter_async_context(aiohttp.ClientSession())
        async with session.get(f"http://127.0.0.1:{port}/stock") as answer:
            assert answer.status == 503
            assert answer.headers[NO_RETRY] == "true"
        attempts = sum(len(upstream.seen) for upstream in bottom.upstreams)
        assert 1 < attempts <= MAX_ATTEMPTS
