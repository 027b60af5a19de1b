"""Runs each keyed call in its own task.

If the caller disconnects, the task continues, and a resend with the same key gets the answer.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp
from result import Err

from heatherhead.admission.key_errors import KeyClosedError, KeyUnknownError
from heatherhead.admission.key_table import KeyState, RecordedAnswer
from heatherhead.callers.relay import answer_headers
from heatherhead.exceptions import (
    CallCutError,
    CallRefusedError,
    HeatherheadError,
    OutcomeUnknownError,
)
from heatherhead.upstreams.attempts import UNKNOWN_REMEDY

if TYPE_CHECKING:
    from heatherhead.admission.key_table import KeyRun
    from heatherhead.callers.state import CallersState
    from heatherhead.upstreams.attempts import AttemptRunner, CallRun, OpenAnswer

__all__ = ["KeyedCallRunner", "KeyedCallTask", "StreamedAnswer", "create_keyed_call_runner"]

NEW_KEY_REMEDY = "send the call again with a new key"


@dataclass(frozen=True, slots=True)
class StreamedAnswer:
    """An answer too large to record: `body_start` has been read, the rest is still open."""

    opened: OpenAnswer
    body_start: bytes


KeyedCallOutcome = RecordedAnswer | StreamedAnswer | HeatherheadError


class KeyedCallTask:
    """The task that runs a keyed call for the first request with its key."""

    def __init__(self, run: CallRun, task: asyncio.Task[KeyedCallOutcome]) -> None:
        self._run = run
        self._task = task

    async def outcome(self) -> KeyedCallOutcome:
        """Wait for the outcome.

        If the wait is cancelled, a call that was already sent continues until it is recorded.
        """
        try:
            return await asyncio.shield(self._task)
        except asyncio.CancelledError:
            await self._abandon()
            raise

    async def _abandon(self) -> None:
        """Cancel the call, which closes its key, unless an upstream may have run it."""
        self._task.add_done_callback(_close_unread_answer)
        if not self._run.may_have_run:
            self._task.cancel()
            await asyncio.wait([self._task])


def _close_unread_answer(task: asyncio.Task[KeyedCallOutcome]) -> None:
    if task.cancelled() or task.exception() is not None:
        return
    outcome = task.result()
    if isinstance(outcome, StreamedAnswer):
        outcome.opened.close(complete=False)


class KeyedCallRunner:
    """Runs keyed calls to completion and records their outcomes in the key table."""

    def __init__(self, runner: AttemptRunner, state: CallersState, max_answer_bytes: int) -> None:
        self._runner = runner
        self._state = state
        self._max_answer_bytes = max_answer_bytes
        self._tasks: set[asyncio.Task[KeyedCallOutcome]] = set()

    def start(self, run: CallRun, key_run: KeyRun) -> KeyedCallTask:
        """Start a keyed call in a new task."""
        run.key_run = key_run
        task = asyncio.get_running_loop().create_task(self._run(run, key_run))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return KeyedCallTask(run, task)

    async def _run(self, run: CallRun, key_run: KeyRun) -> KeyedCallOutcome:
        self._state.begin_call()
        try:
            with key_run:
                result = await self._runner.run(run)
                if isinstance(result, Err):
                    return _finish_without_answer(key_run, result.err_value)
                return await self._record_answer(key_run, result.ok_value)
        finally:
            self._state.end_call()

    async def _record_answer(self, key_run: KeyRun, opened: OpenAnswer) -> KeyedCallOutcome:
        try:
            body, complete = await self._read_up_to_limit(opened)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            opened.close(complete=False)
            key_run.finish_unknown()
            return OutcomeUnknownError("the upstream's answer ended early", remedy=UNKNOWN_REMEDY)
        except BaseException:
            opened.close(complete=False)
            raise
        if not complete:
            key_run.finish_answered(None)
            return StreamedAnswer(opened, body)
        answer = opened.attempt.answer
        assert answer is not None
        recorded = RecordedAnswer(answer.status, tuple(answer_headers(answer).items()), body)
        opened.close(complete=True)
        key_run.finish_answered(recorded)
        return recorded

    async def _read_up_to_limit(self, opened: OpenAnswer) -> tuple[bytes, bool]:
        """Read until the answer ends or exceeds the recording limit.

        Return the bytes read and whether they are the complete body.
        """
        answer = opened.attempt.answer
        assert answer is not None
        if (answer.content_length or 0) > self._max_answer_bytes:
            return b"", False
        parts = []
        size = 0
        while chunk := await answer.content.readany():
            parts.append(chunk)
            size += len(chunk)
            if size > self._max_answer_bytes:
                return b"".join(parts), False
        return b"".join(parts), True


def _finish_without_answer(key_run: KeyRun, error: HeatherheadError) -> HeatherheadError:
    """Finish a run without an answer and return the error that matches the key's final state."""
    result = key_run.finish_not_run()
    if result.state is not KeyState.CLOSED:
        return error if isinstance(error, OutcomeUnknownError | CallCutError) else KeyUnknownError()
    if isinstance(error, CallRefusedError):
        error.remedy = NEW_KEY_REMEDY
        return error
    return error if isinstance(error, CallCutError) else KeyClosedError()


def create_keyed_call_runner(
    runner: AttemptRunner, state: CallersState, max_answer_bytes: int
) -> KeyedCallRunner:
    """Create the runner of keyed calls; larger answers than `max_answer_bytes` aren't recorded."""
    return KeyedCallRunner(runner, state, max_answer_bytes)
