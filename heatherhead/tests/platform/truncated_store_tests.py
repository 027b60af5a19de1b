"""Tests of `heatherhead.platform.store` against answers that break off, and invalid statuses."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

import pytest
from result import Err, Ok

from heatherhead.exceptions import StoreAmbiguousError, StoreUnavailableError
from heatherhead.platform.store import create_platform_store
from heatherhead.store.history import ranked_revision
from heatherhead.tests.truncating_server import (
    INVALID_STATUSES,
    UNREADABLE_BODY_BYTES,
    End,
    TruncatingServer,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from heatherhead.platform.store import PlatformStore

VERSIONS = pytest.mark.parametrize("version", ["HTTP/1.0", "HTTP/1.1"])
LISTING = {"items": [], "StoreRevision": 8}
CHANGES = {"events": [], "StoreRevision": 8}


def answer(status: str, body: Any, *, version: str = "HTTP/1.1", with_length: bool = True) -> bytes:
    """Encode an answer, with a length or delimited by the end of its connection."""
    data = b"" if body is None else json.dumps(body).encode()
    length = f"Content-Length: {len(data)}\r\n" if with_length else ""
    return f"{version} {status} Answer\r\n{length}\r\n".encode() + data


def run_calls(given: bytes, end: End, calls: Callable[[PlatformStore], Awaitable[None]]) -> None:
    """Make calls at a store that gives one answer to all of them."""

    async def main() -> None:
        async with TruncatingServer(given, end) as server:
            store = create_platform_store(f"127.0.0.1:{server.port}")
            async with asyncio.timeout(10):
                await calls(store)
            await store.close()

    asyncio.run(main())


async def next_change(store: PlatformStore) -> None:
    """Wait for the next change of a watch."""
    async for _ in store.watch("op/", ranked_revision(0, 6)):
        return


@VERSIONS
@pytest.mark.parametrize("value_bytes", [3, UNREADABLE_BODY_BYTES])
def test_write_counts_as_done_whose_answer_broke_off(value_bytes: int, version: str) -> None:
    """Its body may be read by the store to its end, or not."""

    async def calls(store: PlatformStore) -> None:
        written = await store.compare_and_swap("a", 0, bytes(value_bytes))
        assert isinstance(written.err_value, StoreAmbiguousError)

    given = answer("200", {"Revision": 7}, version=version, with_length=False)
    run_calls(given, End.RESET, calls)


@VERSIONS
def test_write_is_refused_whose_answer_ends_with_its_connection(version: str) -> None:
    async def calls(store: PlatformStore) -> None:
        assert (await store.compare_and_swap("a", 0, b"new")).ok_value.revision == 7

    given = answer("200", {"Revision": 7}, version=version, with_length=False)
    run_calls(given, End.ORDERLY, calls)


@VERSIONS
@pytest.mark.parametrize("status", ["200", "404"])
def test_lease_counts_as_ended_by_an_answer_that_broke_off(status: str, version: str) -> None:
    async def calls(store: PlatformStore) -> None:
        assert isinstance((await store.revoke_lease(1)).err_value, StoreAmbiguousError)

    run_calls(answer(status, None, version=version, with_length=False), End.RESET, calls)


@VERSIONS
def test_keys_are_read_from_an_answer_that_broke_off(version: str) -> None:
    async def calls(store: PlatformStore) -> None:
        assert isinstance((await store.read_prefix("op/")).err_value, StoreUnavailableError)

    run_calls(answer("200", LISTING, version=version, with_length=False), End.RESET, calls)


@VERSIONS
def test_watch_goes_on_behind_an_answer_that_broke_off(version: str) -> None:
    async def calls(store: PlatformStore) -> None:
        with pytest.raises(StoreUnavailableError):
            await next_change(store)

    run_calls(answer("200", CHANGES, version=version, with_length=False), End.RESET, calls)


@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_invalid_status_counts_as_an_answer(status: str) -> None:
    """No body makes it one, and a write may have been done."""

    async def calls(store: PlatformStore) -> None:
        written = await store.compare_and_swap("a", 0, b"new")
        assert isinstance(written.err_value, StoreAmbiguousError)
        assert isinstance((await store.revoke_lease(1)).err_value, StoreAmbiguousError)
        assert not isinstance(await store.renew_lease(1), Ok)
        assert isinstance(await store.read_prefix("op/"), Err)
        with pytest.raises(StoreUnavailableError):
            await next_change(store)

    body = {"Revision": 7, "TtlS_time": 5.0, **LISTING, **CHANGES}
    run_calls(answer(status, body), End.ORDERLY, calls)
