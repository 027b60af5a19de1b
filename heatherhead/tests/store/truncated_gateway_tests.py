"""Tests of `heatherhead.store.etcd` against replies that break off, and invalid statuses."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

import pytest
from result import Err

from heatherhead.exceptions import StoreAmbiguousError, StoreUnavailableError
from heatherhead.settings.store import StoreSettings
from heatherhead.store.factory import create_store
from heatherhead.tests.truncating_server import (
    INVALID_STATUSES,
    UNREADABLE_BODY_BYTES,
    End,
    TruncatingServer,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from heatherhead.store.interface import Store

VERSIONS = pytest.mark.parametrize("version", ["HTTP/1.0", "HTTP/1.1"])
WRITTEN = {"header": {"revision": "7"}, "succeeded": True}


def reply(status: str, body: Any, *, version: str = "HTTP/1.1", with_length: bool = True) -> bytes:
    """Encode a reply, with a length or delimited by the end of its connection."""
    data = json.dumps(body).encode()
    length = f"Content-Length: {len(data)}\r\n" if with_length else ""
    return f"{version} {status} Reply\r\n{length}\r\n".encode() + data


def run_calls(given: bytes, end: End, calls: Callable[[Store], Awaitable[None]]) -> None:
    """Make calls at a gateway that gives one reply to all of them."""

    async def main() -> None:
        async with TruncatingServer(given, end) as server:
            store = create_store(StoreSettings(urls=(f"http://127.0.0.1:{server.port}",)))
            async with asyncio.timeout(10):
                await calls(store)
            await store.close()

    asyncio.run(main())


async def next_change(store: Store) -> None:
    """Wait for the next change of a watch."""
    async for _ in store.watch("/a", 6):
        return


@VERSIONS
@pytest.mark.parametrize("value_bytes", [3, UNREADABLE_BODY_BYTES])
def test_write_counts_as_done_whose_reply_broke_off(value_bytes: int, version: str) -> None:
    """Its body may be read by the gateway to its end, or not."""

    async def calls(store: Store) -> None:
        written = await store.compare_and_swap("/a", 0, bytes(value_bytes))
        assert isinstance(written.err_value, StoreAmbiguousError)

    run_calls(reply("200", WRITTEN, version=version, with_length=False), End.RESET, calls)


@VERSIONS
def test_write_is_refused_whose_reply_ends_with_its_connection(version: str) -> None:
    async def calls(store: Store) -> None:
        assert (await store.compare_and_swap("/a", 0, b"new")).ok_value.succeeded

    run_calls(reply("200", WRITTEN, version=version, with_length=False), End.ORDERLY, calls)


@VERSIONS
def test_watch_takes_the_part_of_a_line_for_a_change(version: str) -> None:
    async def calls(store: Store) -> None:
        with pytest.raises(StoreUnavailableError):
            await next_change(store)

    run_calls(reply("200", WRITTEN, version=version, with_length=False), End.RESET, calls)


@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_invalid_status_counts_as_a_reply(status: str) -> None:
    """No body makes it one, and a write may have been done."""

    async def calls(store: Store) -> None:
        written = await store.compare_and_swap("/a", 0, b"new")
        assert isinstance(written.err_value, StoreAmbiguousError)
        assert isinstance(await store.read_prefix("/a"), Err)
        with pytest.raises(StoreUnavailableError):
            await next_change(store)

    run_calls(reply(status, WRITTEN), End.ORDERLY, calls)
