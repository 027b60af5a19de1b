"""One instance's access to a shared in-memory store, with injected faults."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err

from heatherhead.store.errors import ambiguous_error, unavailable_error

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from typing import Any

    from result import Result

    from heatherhead.exceptions import HeatherheadError
    from heatherhead.store.interface import RangeAnswer, StoreLease, WatchEvent, WriteAnswer
    from heatherhead.store.memory import MemoryStore

__all__ = ["FaultyStore", "create_faulty_store"]

WATCH_POLL_S = 0.1
LATE_WRITE_DELAY_S = 3.0


class FaultyStore:
    """Implements `Store` and injects faults.

    The next `replies_to_lose` writes take effect but are not answered. The next `late_writes`
    writes are not answered either and take effect only after a delay.
    """

    def __init__(self, store: MemoryStore) -> None:
        self.is_down = False
        self.replies_to_lose = 0
        self.late_writes = 0
        self.delay_s = 0.0
        self.calls = 0
        self._late_write_tasks: set[asyncio.Task[object]] = set()
        self._store = store

    async def read_prefix(
        self, prefix: str, *, stale: bool = False
    ) -> Result[RangeAnswer, HeatherheadError]:
        """Read all keys with a prefix."""
        return await self._call(self._store.read_prefix(prefix, stale=stale))

    async def compare_and_swap(
        self, key: str, expected_revision: int, value: bytes | None, lease_id: int = 0
    ) -> Result[WriteAnswer, HeatherheadError]:
        """Write if the key is at a revision; the reply may be lost."""
        if self.late_writes > 0 and not self.is_down:
            self.late_writes -= 1
            self.calls += 1
            self._write_late(key, expected_revision, value)
            return Err(ambiguous_error("timeout"))
        answer = await self._call(
            self._store.compare_and_swap(key, expected_revision, value, lease_id)
        )
        if self.replies_to_lose > 0 and not isinstance(answer, Err):
            self.replies_to_lose -= 1
            return Err(ambiguous_error("reply lost"))
        return answer

    async def grant_lease(self, ttl_s: float) -> Result[StoreLease, HeatherheadError]:
        """Obtain a lease."""
        return await self._call(self._store.grant_lease(ttl_s))

    async def renew_lease(self, lease_id: int) -> Result[StoreLease, HeatherheadError]:
        """Renew a lease."""
        return await self._call(self._store.renew_lease(lease_id))

    async def revoke_lease(self, lease_id: int) -> Result[None, HeatherheadError]:
        """Revoke a lease."""
        return await self._call(self._store.revoke_lease(lease_id))

    async def watch(self, prefix: str, from_revision: int) -> AsyncIterator[WatchEvent]:
        """Yield changes until the store is down."""
        self.calls += 1
        events = self._store.watch(prefix, from_revision)
        next_event = asyncio.ensure_future(anext(events))
        try:
            while True:
                done, _ = await asyncio.wait([next_event], timeout=WATCH_POLL_S)
                if self.is_down:
                    raise unavailable_error("down")
                if done:
                    event = next_event.result()
                    next_event = asyncio.ensure_future(anext(events))
                    yield event
        finally:
            next_event.cancel()
            await asyncio.gather(next_event, return_exceptions=True)
            await events.aclose()

    async def close(self) -> None:
        """Do nothing; the shared store stays open."""

    def _write_late(self, key: str, expected_revision: int, value: bytes | None) -> None:
        loop = asyncio.get_running_loop()

        def write() -> None:
            writing = loop.create_task(self._store.compare_and_swap(key, expected_revision, value))
            self._late_write_tasks.add(writing)
            writing.add_done_callback(self._late_write_tasks.discard)

        loop.call_later(LATE_WRITE_DELAY_S, write)

    async def _call(self, call: Any) -> Any:
        self.calls += 1
        if self.is_down:
            call.close()
            return Err(unavailable_error("down"))
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        return await call


def create_faulty_store(store: MemoryStore) -> FaultyStore:
    """Create access to a store, initially without faults."""
    return FaultyStore(store)
