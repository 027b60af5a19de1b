"""Keeps tasks running that must not end: an unexpected error is logged, and the task runs anew."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from heatherhead.backoff import create_backoff
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ["run_supervised"]

INITIAL_RESTART_DELAY_S = 0.1
MAX_RESTART_DELAY_S = 2.0
MAX_ERROR_CHARS = 200


async def run_supervised(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a task until it returns or is cancelled, and again after each error."""
    backoff = create_backoff(INITIAL_RESTART_DELAY_S, MAX_RESTART_DELAY_S)
    while True:
        try:
            await run()
        except Exception as error:
            log_event("task_failed", level="ERROR", task=name, error=repr(error)[:MAX_ERROR_CHARS])
            await asyncio.sleep(backoff.next_delay_s())
        else:
            return
