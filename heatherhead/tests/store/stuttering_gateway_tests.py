"""Tests of `heatherhead.store.etcd` against a gateway that sends answers twice."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from result import Err, Ok

from heatherhead.settings.store import StoreSettings
from heatherhead.store import LeaseExpiredError
from heatherhead.store.factory import create_store
from heatherhead.tests.stuttering_server import READ_GAP_S, Stutter, StutteringServer, encode_answer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from heatherhead.store.interface import Store

ALL_STUTTERS = pytest.mark.parametrize("stutter", list(Stutter))
IDLE_S = 2 * READ_GAP_S


def _run(
    calls: Callable[[Store], Awaitable[None]], answers: Sequence[bytes], stutter: Stutter
) -> None:
    async def main() -> None:
        server = StutteringServer(answers, stutter)
        store = create_store(StoreSettings(urls=(f"http://{await server.start()}",)))
        try:
            async with asyncio.timeout(20):
                await calls(store)
        finally:
            await store.close()
            server.stop()

    asyncio.run(main())


@ALL_STUTTERS
def test_write_that_never_happened_is_taken_for_done(stutter: Stutter) -> None:
    # The answer to the second write was that to the first.
    async def calls(store: Store) -> None:
        assert (await store.compare_and_swap("/a", 0, b"new")).ok_value.succeeded
        await asyncio.sleep(IDLE_S)
        assert not (await store.compare_and_swap("/b", 0, b"new")).ok_value.succeeded

    answers = [
        encode_answer(200, {"header": {"revision": "7"}, "succeeded": True}),
        encode_answer(200, {"header": {"revision": "8"}}),
    ]
    _run(calls, answers, stutter)


@ALL_STUTTERS
def test_ended_lease_is_taken_for_renewed(stutter: Stutter) -> None:
    # The answer to the second renewal was that to the first.
    async def calls(store: Store) -> None:
        assert isinstance(await store.renew_lease(1), Ok)
        await asyncio.sleep(IDLE_S)
        second = await store.renew_lease(1)
        assert isinstance(second, Err)
        assert isinstance(second.err_value, LeaseExpiredError)

    answers = [
        encode_answer(200, {"result": {"ID": "1", "TTL": "5"}}),
        encode_answer(200, {"result": {"ID": "1"}}),
    ]
    _run(calls, answers, stutter)
