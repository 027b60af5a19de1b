"""Runs a keyed call in a task of its own, so that a resend finds its answer."""

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

__all__ = ["KeyRunner", "KeyedTask", "StreamedAnswer", "create_key_runner"]

NEW_KEY_REMEDY = "send the call again with a new key"


@dataclass(frozen=True, slots=True)
class StreamedAnswer:
    """An answer too large to record: its open rest, and what has been read of it."""

    opened: OpenAnswer
    begun: bytes


KeyOutcome = RecordedAnswer | StreamedAnswer | HeatherheadError


class KeyedTask:
    """The task of one keyed call's first send."""

    def __init__(self, run: CallRun, task: asyncio.Task[KeyOutcome]) -> None:
        self._run = run
        self._task = task

    async def outcome(self) -> KeyOutcome:
        """Wait for the outcome; when that is cancelled, a call that was sent goes on alone."""
        try:
            return await asyncio.shield(self._task)
        except asyncio.CancelledError:
            await self._abandon()
            raise

    async def _abandon(self) -> None:
        """Give up a call that no upstream has seen, which closes its key."""
        self._task.add_done_callback(_discard)
        if not self._run.maybe_ran:
            self._task.cancel()
            await asyncio.wait([self._task])


def _discard(task: asyncio.Task[KeyOutcome]) -> None:
    if task.cancelled() or task.exception() is not None:
        return
    outcome = task.result()
    if isinstance(outcome, StreamedAnswer):
        outcome.opened.close(complete=False)


class KeyRunner:
    """Runs keyed calls to their end and records what became of them."""

    def __init__(self, runner: AttemptRunner, state: CallersState, max_answer_bytes: int) -> None:
        self._runner = runner
        self._state = state
        self._max_answer_bytes = max_answer_bytes
        self._tasks: set[asyncio.Task[KeyOutcome]] = set()

    def start(self, run: CallRun, key_run: KeyRun) -> KeyedTask:
        """Start the run of a key."""
        run.key_run = key_run
        task = asyncio.get_running_loop().create_task(self._run(run, key_run))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return KeyedTask(run, task)

    async def _run(self, run: CallRun, key_run: KeyRun) -> KeyOutcome:
        self._state.begin()
        try:
            with key_run:
                result = await self._runner.run(run)
                if isinstance(result, Err):
                    return _failed(key_run, result.err_value)
                return await self._answered(key_run, result.ok_value)
        finally:
            self._state.end()

    async def _answered(self, key_run: KeyRun, opened: OpenAnswer) -> KeyOutcome:
        try:
            body, whole = await self._read(opened)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            opened.close(complete=False)
            key_run.finish_unknown()
            return OutcomeUnknownError("the upstream's answer ended early", remedy=UNKNOWN_REMEDY)
        except BaseException:
            opened.close(complete=False)
            raise
        if not whole:
            key_run.finish_answered(None)
            return StreamedAnswer(opened, body)
        answer = opened.attempt.answer
        assert answer is not None
        recorded = RecordedAnswer(answer.status, tuple(answer_headers(answer).items()), body)
        opened.close(complete=True)
        key_run.finish_answered(recorded)
        return recorded

    async def _read(self, opened: OpenAnswer) -> tuple[bytes, bool]:
        """Read an answer up to the size that is recorded; tell whether that was all of it."""
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


def _failed(key_run: KeyRun, error: HeatherheadError) -> HeatherheadError:
    """End a run without an answer and word the error as the key table sees the outcome."""
    end = key_run.finish_not_run()
    if end.state is not KeyState.CLOSED:
        return error if isinstance(error, OutcomeUnknownError | CallCutError) else KeyUnknownError()
    if isinstance(error, CallRefusedError):
        error.remedy = NEW_KEY_REMEDY
        return error
    return error if isinstance(error, CallCutError) else KeyClosedError()


def create_key_runner(
    runner: AttemptRunner, state: CallersState, max_answer_bytes: int
) -> KeyRunner:
    """Create the runner of keyed calls."""
    return KeyRunner(runner, state, max_answer_bytes)
