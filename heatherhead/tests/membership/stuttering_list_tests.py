"""Tests of the instance list against a server that sends answers twice."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from heatherhead.membership.instance_list import create_http_instance_list
from heatherhead.tests.stuttering_server import READ_GAP_S, Stutter, StutteringServer, encode_answer


def _list_of(instance_id: str) -> bytes:
    address = {"host": "127.0.0.1", "port": 80}
    entry: dict[str, Any] = {"id": instance_id, "region": "r", "availability_zone": "z"}
    entry |= {"callers": address, "peers": address, "operators": address}
    return encode_answer(200, {"instances": [entry]})


@pytest.mark.parametrize("stutter", list(Stutter))
def test_earlier_list_is_taken_for_the_present_one(stutter: Stutter) -> None:
    # An instance that was gone was listed again, and a new one was missing.
    async def main() -> None:
        server = StutteringServer([_list_of("gone"), _list_of("new")], stutter)
        instance_list = create_http_instance_list(f"http://{await server.start()}/instances")
        try:
            async with asyncio.timeout(20):
                assert [each.id for each in (await instance_list.read()).ok_value] == ["gone"]
                await asyncio.sleep(2 * READ_GAP_S)
                assert [each.id for each in (await instance_list.read()).ok_value] == ["new"]
        finally:
            await instance_list.close()
            server.stop()

    asyncio.run(main())
