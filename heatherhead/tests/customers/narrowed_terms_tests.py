"""Tests of calls whose customer loses its key while they wait for a slot."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from heatherhead.routes.model import Customer
from heatherhead.tests.proxy.fakes import EntryPath, ScriptedUpstream, answer, request, run_path

SLOTS = 4  # of the upstream


def _apply(path: EntryPath, version: int, key: str) -> None:
    customers = {"shop": Customer("shop", (key,))}
    configuration = path.table.configuration
    path.table.apply(replace(configuration, version=version, customer_by_name=customers))


@pytest.mark.xfail(reason="KNOWN-RED.txt, issue 47", strict=True)
def test_call_that_waited_while_its_key_was_removed_is_sent() -> None:
    """Guards against a call that runs by a configuration that no longer allows it."""

    async def scenario(path: EntryPath, upstreams: list[ScriptedUpstream]) -> None:
        path.configure()
        _apply(path, 2, "old")
        calls = []
        for number in range(SLOTS + 1):
            data = request(request_id=f"r{number}", Authorization="Token old")
            calls.append(asyncio.create_task(path.send(data)))
            await asyncio.sleep(0.02)
        assert len(upstreams[0].requests) == SLOTS
        _apply(path, 3, "new")
        await asyncio.gather(*calls)
        assert len(upstreams[0].requests) == SLOTS

    run_path(scenario, [("wait", 0.3, answer(f"r{number}")) for number in range(SLOTS + 1)])
