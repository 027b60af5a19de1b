"""Tests of the instance list that the platform serves over HTTP."""

from __future__ import annotations

import asyncio
from typing import Any

from heatherhead.membership.instance_list import create_http_instance_list
from heatherhead.tests.fake_instance_list import create_fake_instance_list


def _entry(instance_id: str, **changes: object) -> dict[str, Any]:
    address = {"host": "127.0.0.1", "port": 80}
    return {
        "id": instance_id,
        "region": "r",
        "availability_zone": "z",
        "callers": address,
        "peers": address,
        "operators": address,
        **changes,
    }


def test_one_odd_entry_hides_the_whole_list() -> None:
    async def main() -> None:
        fake = create_fake_instance_list()
        instance_list = create_http_instance_list(await fake.start())
        nested: Any = 1
        for _ in range(50):
            nested = [nested]
        fake.replace(
            [
                _entry("first"),
                _entry("port", peers={"host": "127.0.0.1", "port": 99_999}),
                _entry("large", peers={"host": "127.0.0.1", "port": 10**40}),
                _entry("nested", region=nested),
                _entry("state", state="unknown"),
                {},
                None,
                _entry("last", later_field=nested),
            ]
        )
        await asyncio.sleep(0.05)
        listed = (await instance_list.read()).unwrap()
        assert [each.id for each in listed] == ["first", "last"]
        await instance_list.close()
        await fake.stop()

    asyncio.run(main())
