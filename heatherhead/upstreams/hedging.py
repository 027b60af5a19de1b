"""Races a slow attempt against a second one and cancels the loser."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any

    from heatherhead.upstreams.attempts import OpenAnswer

__all__ = ["Hedge"]


class Hedge:
    """Sends a second attempt when the first has no answer after a delay.

    The first attempt runs in the task of the call, so that a call without a hedge costs one timer
    and no further task.
    """

    def __init__(
        self, delay_s: float, send: Callable[[], Coroutine[Any, Any, OpenAnswer | None]]
    ) -> None:
        self._delay_s = delay_s
        self._send = send
        self._scope: asyncio.Timeout | None = None
        self._task: asyncio.Task[OpenAnswer | None] | None = None
        self._racing = True

    async def race(self, first: Coroutine[Any, Any, OpenAnswer]) -> OpenAnswer:
        """Return the attempt that has an answer first, or the first one if neither has."""
        loop = asyncio.get_running_loop()
        timer = loop.call_later(self._delay_s, self._start)
        try:
            async with asyncio.timeout(None) as self._scope:
                opened = await first
        except TimeoutError:
            if not self._won:
                raise
            assert self._task is not None
            winner = self._task.result()
            assert winner is not None
            return winner
        except BaseException:
            await self._cancel()
            raise
        finally:
            self._racing = False
            timer.cancel()
        return await self._settle(opened)

    @property
    def _won(self) -> bool:
        task = self._task
        if task is None or not task.done() or task.cancelled() or task.exception() is not None:
            return False
        second = task.result()
        return second is not None and second.attempt.answer is not None

    def _start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._send())
        self._task.add_done_callback(self._on_second)

    def _on_second(self, _task: asyncio.Task[OpenAnswer | None]) -> None:
        if self._racing and self._won:
            assert self._scope is not None
            self._scope.reschedule(asyncio.get_running_loop().time())

    async def _settle(self, opened: OpenAnswer) -> OpenAnswer:
        """Keep the first attempt if it is answered; else wait for the second."""
        if self._task is None:
            return opened
        if opened.attempt.answer is not None:
            await self._cancel()
            return opened
        try:
            second = await self._task
        except BaseException:
            await self._cancel()
            opened.close(complete=False)
            raise
        if second is None:
            return opened
        opened.close(complete=False)
        return second

    async def _cancel(self) -> None:
        task = self._task
        if task is None:
            return
        task.cancel()
        await asyncio.wait([task])
        if task.cancelled() or task.exception() is not None:
            return
        second = task.result()
        if second is not None:
            second.close(complete=False)
