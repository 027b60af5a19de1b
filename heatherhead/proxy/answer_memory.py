"""Bounds the memory that answer bodies use, over all calls, until their callers have read them.

The bound matters when several faulty upstreams send endless answers at once, or callers don't read.
The first bytes of each answer are not counted, so that small answers are served even when large
ones use the whole bound. While answers use memory that need no more, others wait for it in order;
if only growing ones do, which could wait for each other, the first one is refused.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass

__all__ = ["AnswerMemory", "AnswerMemoryError", "HeldAnswer", "create_answer_memory"]

UNCOUNTED_BYTES_PER_ANSWER = 64 * 1024  # the upstreams' slots bound the number of answers
MAX_SINGLE_ANSWER_FRACTION = 0.5  # of `max_bytes`
MAX_WAIT_S = 3.0  # longer than a caller may take without reading
DEFAULT_MAX_BYTES = 64 * 1024 * 1024


class AnswerMemoryError(Exception):
    """An answer exceeds the memory that is left for answers."""


@dataclass(frozen=True, slots=True, eq=False)
class _Waiter:
    """An answer that waits for `size` bytes, after which it needs no more if `settles`."""

    size: int
    settles: bool
    served: asyncio.Future[bool]


class AnswerMemory:
    """Counts the bytes of answers that are received or delivered."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self.settled_bytes = 0  # of those that need no more, as they are complete or have room
        self._waiters: deque[_Waiter] = deque()

    @property
    def is_awaited(self) -> bool:
        """Return whether answers wait for memory."""
        return bool(self._waiters)

    def check_content_length(self, size: int) -> None:
        """Refuse an answer whose announced size exceeds the bound; raises `AnswerMemoryError`."""
        if size > UNCOUNTED_BYTES_PER_ANSWER + self.max_bytes * MAX_SINGLE_ANSWER_FRACTION:
            raise AnswerMemoryError(f"an answer of {size} bytes; raise the instance's memory")

    def try_reserve(self, size: int) -> bool:
        """Count bytes if there is room, and no answer waits for it."""
        if self._waiters or self.held_bytes + size > self.max_bytes:
            return False
        self.held_bytes += size
        return True

    async def reserve(self, size: int, *, settles: bool) -> None:
        """Count bytes once there is room; raises `AnswerMemoryError` if there is none in time."""
        waiter = _Waiter(size, settles, asyncio.get_running_loop().create_future())
        self._waiters.append(waiter)
        self._serve_waiters()
        served = False
        try:
            async with asyncio.timeout(MAX_WAIT_S):
                served = await waiter.served
        except TimeoutError:
            pass  # not served
        finally:
            if not served:
                self._give_back(waiter)
        if not served:
            raise AnswerMemoryError("answers hold all memory for them; raise the instance's memory")

    def release(self, size: int, *, settled: bool) -> None:
        """Release bytes, and give them to the answers that wait for memory."""
        self.held_bytes -= size
        if settled:
            self.settled_bytes -= size
        self._serve_waiters()

    def _give_back(self, waiter: _Waiter) -> None:
        """Remove a waiter, or release what it was given but can't use any more."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)
            self._serve_waiters()
        elif not waiter.served.cancelled() and waiter.served.result():
            self.release(waiter.size, settled=waiter.settles)
        else:
            asyncio.get_running_loop().call_soon(self._serve_waiters)  # once its memory is released

    def _serve_waiters(self) -> None:
        while self._waiters:
            waiter = self._waiters[0]
            fits = self.held_bytes + waiter.size <= self.max_bytes
            if not fits and self.settled_bytes:
                return
            self._waiters.popleft()
            if waiter.served.done():
                continue
            waiter.served.set_result(fits)
            if not fits:
                return  # what it holds is released next
            self.held_bytes += waiter.size
            if waiter.settles:
                self.settled_bytes += waiter.size


class HeldAnswer:
    """The memory of one answer; released at the latest when nothing refers to it any more."""

    __slots__ = ("_settled", "_memory", "_size")

    def __init__(self, memory: AnswerMemory) -> None:
        self._memory = memory
        self._size = 0
        self._settled = False

    def __del__(self) -> None:
        self.release()

    async def grow(self, size: int, announced_size: int = 0) -> None:
        """Count an answer that has grown to `size` bytes; raises `AnswerMemoryError`.

        One that has to wait gets the memory for all that is announced, so that it can end.
        """
        self._memory.check_content_length(size)
        added_bytes = _counted_bytes(size) - self._size
        if added_bytes <= 0:
            return
        if self._memory.try_reserve(added_bytes):
            self._size += added_bytes
            return
        added_bytes = max(added_bytes, _counted_bytes(announced_size) - self._size)
        settles = self._size + added_bytes == _counted_bytes(announced_size)
        await self._memory.reserve(added_bytes, settles=settles)
        if settles:
            self.settle()
        self._size += added_bytes

    def settle(self) -> None:
        """Count the answer as one that needs no more memory."""
        if not self._settled:
            self._settled = True
            self._memory.settled_bytes += self._size

    def release(self) -> None:
        """Release the memory; may be called again."""
        size, self._size = self._size, 0
        if size:
            self._memory.release(size, settled=self._settled)


def _counted_bytes(size: int) -> int:
    return max(0, size - UNCOUNTED_BYTES_PER_ANSWER)


def create_answer_memory(max_bytes: int = DEFAULT_MAX_BYTES) -> AnswerMemory:
    """Create a counter that is bounded to `max_bytes`."""
    return AnswerMemory(max_bytes)
