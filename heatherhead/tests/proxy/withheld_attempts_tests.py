"""Tests of attempts that may no longer be sent when their connection is open."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from heatherhead.tests.proxy.fakes import (
    EntryPath,
    ScriptedUpstream,
    answer,
    request,
    run_path,
)

if TYPE_CHECKING:
    from heatherhead.proxy.upstream_connection import UpstreamConnection
    from heatherhead.proxy.upstream_pool import Destination

OPENING_S = 0.3


def _open_slowly(path: EntryPath) -> None:
    """Have each connection to an upstream take `OPENING_S`."""
    open_now = path.pool._open

    async def open_late(destination: Destination, *, with_body: bool = True) -> UpstreamConnection:
        await asyncio.sleep(OPENING_S)
        return await open_now(destination, with_body=with_body)

    path.pool._open = open_late  # type: ignore[method-assign]


def test_connection_of_a_head_request_that_was_not_sent_serves_a_get() -> None:
    """It was kept, and the answer to the next call on it was passed on without its body."""

    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure(timeout_s=OPENING_S - 0.05)  # with its grace, it ends after the opening
        _open_slowly(path)
        _, writer = await path.connect()
        writer.write(request(method="HEAD"))
        await asyncio.sleep(1.5 * OPENING_S)
        writer.close()
        assert not upstreams[0].requests
        held = path.table.configuration
        routes = {name: replace(route, timeout_s=1.5) for name, route in held.route_by_name.items()}
        path.table.apply(replace(held, version=2, route_by_name=routes))
        received = await path.send(request(X_Heatherhead_Request_Id="r2"))
        assert received.endswith(b"whole")

    run_path(scenario, [answer().replace(b": r1", b": r2")])
