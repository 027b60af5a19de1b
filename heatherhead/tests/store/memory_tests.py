"""Tests of `heatherhead.store.memory`."""

from __future__ import annotations

import asyncio

import pytest

from heatherhead.store import CompactedError
from heatherhead.store.memory import MAX_EVENTS, create_memory_store
from heatherhead.tests.base import run_with_paused_clock


def test_lease_expires_by_the_clock_and_its_keys_are_deleted() -> None:
    async def scenario() -> None:
        store = create_memory_store()
        lease = (await store.grant_lease(10)).ok_value
        await store.compare_and_swap("/a", 0, b"held", lease.id)
        await asyncio.sleep(9)
        assert (await store.renew_lease(lease.id)).is_ok()
        await asyncio.sleep(9)
        assert "/a" in store.by_key
        watch = store.watch("/", store.revision + 1)
        assert (await anext(watch)).value is None
        assert asyncio.get_running_loop().time() == pytest.approx(1_019)
        assert (await store.renew_lease(lease.id)).is_err()
        await watch.aclose()

    run_with_paused_clock(scenario())


def test_history_is_bounded_and_older_watches_raise() -> None:
    async def scenario() -> None:
        store = create_memory_store()
        for _ in range(MAX_EVENTS + 1):
            held = store.by_key.get("/a")
            await store.compare_and_swap("/a", held.mod_revision if held else 0, b"x")
        assert len(store.events_from(0)) <= MAX_EVENTS
        with pytest.raises(CompactedError):
            await anext(store.watch("/", 2))

    run_with_paused_clock(scenario())
