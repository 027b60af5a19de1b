"""Hedges a slow attempt with a second one and cancels the one that answers later."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any

    from heatherhead.upstreams.attempts import OpenAnswer

__all__ = ["Hedge"]


class Hedge:
    """Sends a second attempt if the first has no answer after a delay.

    The first attempt runs in the task of the call, so that a call without a hedge needs one timer
    and no further task. If the second attempt wins, its completion cancels the wait for the first
    in that task, in the same way as `asyncio.timeout`.
    """

    def __init__(
        self, delay_s: float, send: Callable[[], Coroutine[Any, Any, OpenAnswer | None]]
    ) -> None:
        self._delay_s = delay_s
        self._send = send
        self._waiting: asyncio.Task[Any] | None = None
        self._second: asyncio.Task[OpenAnswer | None] | None = None
        self._second_won = False

    async def race(self, first: Coroutine[Any, Any, OpenAnswer]) -> OpenAnswer:
        """Return the attempt that is answered first, or the one that ended last if neither is.

        A refusal is no answer as long as the other attempt is out.
        """
        timer = asyncio.get_running_loop().call_later(self._delay_s, self._start)
        self._waiting = asyncio.current_task()
        try:
            opened = await first
        except asyncio.CancelledError:
            self._waiting = None
            if self._second_won and _uncancel() == 0:
                return self._winner()
            await self._cancel()
            raise
        except BaseException:
            self._waiting = None
            await self._cancel()
            raise
        finally:
            timer.cancel()
        self._waiting = None
        if self._second_won:
            _uncancel()
        return await self._resolve(opened)

    def _winner(self) -> OpenAnswer:
        assert self._second is not None
        winner = self._second.result()
        assert winner is not None
        return winner

    def _start(self) -> None:
        self._second = asyncio.get_running_loop().create_task(self._send())
        self._second.add_done_callback(self._on_second)

    def _on_second(self, second: asyncio.Task[OpenAnswer | None]) -> None:
        if self._waiting is None or second.cancelled() or second.exception() is not None:
            return
        opened = second.result()
        if opened is None:
            return
        if opened.attempt.answered:
            self._second_won = True
            self._waiting.cancel()
        elif opened.attempt.says_not_run:
            opened.close(complete=False)  # the slot is free though the first attempt goes on

    async def _resolve(self, opened: OpenAnswer) -> OpenAnswer:
        """Return the first attempt if it is answered; otherwise wait for the second."""
        if self._second is None:
            return opened
        if opened.attempt.answered:
            await self._cancel()
            return opened
        opened.close(complete=False)
        try:
            second = await self._second
        except BaseException:
            await self._cancel()
            raise
        return opened if second is None else second

    async def _cancel(self) -> None:
        task = self._second
        if task is None:
            return
        task.cancel()
        await asyncio.wait([task])
        if task.cancelled() or task.exception() is not None:
            return
        second = task.result()
        if second is not None:
            second.close(complete=False)


def _uncancel() -> int:
    """Undo one cancellation of the current task; return the number of those left."""
    task = asyncio.current_task()
    assert task is not None
    return task.uncancel()
