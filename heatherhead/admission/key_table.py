"""The key table: records the keyed calls of this process, so that each runs at most once.

All methods except `KeyTable.wait` are synchronous and therefore atomic on the event loop. Each call
costs amortised O(1), including the removal of expired entries. Times are seconds on the loop clock.
"""

from __future__ import annotations

import asyncio
import heapq
from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from heatherhead.admission.key_errors import (
    GrantClosedError,
    GrantExpiredError,
    KeyedCallError,
    KeyForgottenError,
    KeyMismatchError,
    KeyTableFullError,
)
from heatherhead.admission.key_states import (
    KeyInProgress,
    KeyResult,
    KeyState,
    RecordedAnswer,
    request_fingerprint,
)
from heatherhead.calls import AttemptState
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from types import TracebackType

    from heatherhead.admission.grants import Grant, GrantIssuer

__all__ = [
    "KeyResult",
    "KeyRun",
    "KeyState",
    "KeyTable",
    "KeyTableLimits",
    "KeyInProgress",
    "RecordedAnswer",
    "create_key_table",
    "request_fingerprint",
]

EXPIRY_BUCKET_S = 1.0
MAX_SWEEP_STEPS = 4  # per call; above 1, so that removal outpaces insertion in bounded time
MIN_FULL_LOG_INTERVAL_S = 10.0


@dataclass(frozen=True, slots=True)
class KeyTableLimits:
    """Bounds of the key table."""

    max_entries: int = 200_000
    max_recorded_bytes: int = 16 * 1024 * 1024
    max_answer_bytes: int = 64 * 1024
    retention_s: float = 60.0


@dataclass(slots=True)
class _Entry:
    """Table entry of one key."""

    state: KeyState
    fingerprint: int
    answer: RecordedAnswer | None = None
    waiters: asyncio.Future[KeyResult] | None = None


class KeyRun:
    """Exclusive permission to send the call of one key to upstreams; finishes exactly once.

    On leaving the context manager, an unfinished call is finished as not run if no attempt can have
    run, and as unknown otherwise.
    """

    __slots__ = ("_attempt", "_end", "_table", "name")

    def __init__(self, table: KeyTable, name: str) -> None:
        self._table = table
        self.name = name  # the serial number of the grant and the caller's id
        self._attempt = AttemptState.NOT_SENT
        self._end: KeyResult | None = None

    def begin_attempt(self) -> bool:
        """Begin an attempt; return `False` if the call may have run already or is finished."""
        if self._end is not None or not self._attempt.known_not_run:
            return False
        self._attempt = AttemptState.UNKNOWN
        return True

    def end_attempt(self, state: AttemptState) -> None:
        """Record how the latest attempt ended."""
        if self._end is None:
            self._attempt = state

    def finish_answered(self, answer: RecordedAnswer | None) -> KeyResult:
        """Finish with an upstream's answer, or with `None` for an answer too large to store.

        The state is UNKNOWN instead if the last attempt was not answered.
        """
        if self._attempt is not AttemptState.ANSWERED:
            return self.finish_unknown()
        return self._finish(KeyState.RECORDED if answer else KeyState.RAN, answer)

    def finish_unknown(self) -> KeyResult:
        """Finish a call that may have run and has no answer."""
        return self._finish(KeyState.UNKNOWN)

    def finish_not_run(self) -> KeyResult:
        """Finish a call that no upstream ran and close its key, so that it can't run later.

        The state is UNKNOWN instead if an attempt may have run; report the returned state.
        """
        if not self._attempt.known_not_run:
            return self.finish_unknown()
        return self._finish(KeyState.CLOSED)

    def __enter__(self) -> KeyRun:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.finish_not_run()

    def _finish(self, state: KeyState, answer: RecordedAnswer | None = None) -> KeyResult:
        if self._end is None:
            self._end = self._table._finish(self.name, state, answer)
        return self._end


class KeyTable:
    """Keys of the calls that this process ran or closed, bounded in entries and answer bytes."""

    def __init__(self, issuer: GrantIssuer, limits: KeyTableLimits) -> None:
        self.limits = limits
        self.closed_watermark = 0
        self.recorded_bytes = 0
        self._issuer = issuer
        self._now = 0.0
        self._full_logged_at = -MIN_FULL_LOG_INTERVAL_S
        self._entry_by_name: dict[str, _Entry] = {}
        self._recorded_names: OrderedDict[str, None] = OrderedDict()
        self._names_by_expiry_bucket: dict[int, list[str]] = {}
        self._expiry_buckets: list[int] = []

    def __len__(self) -> int:
        return len(self._entry_by_name)

    def begin(
        self, grant: Grant, caller_id: str, fingerprint: int, now: float
    ) -> Result[KeyRun | KeyInProgress | KeyResult, KeyedCallError]:
        """Begin the call of a key, or return the state of the call that the key already has.

        Whoever gets a `KeyRun` must run the call and finish it. The checks and the insertion of
        the entry are one atomic step, so that a pause of the process can't separate them.
        """
        self._now = max(self._now, now)
        self._sweep()
        name = f"{grant.serial:x}.{caller_id}"
        entry = self._entry_by_name.get(name)
        if entry is not None:
            return self._result_for_resend(name, entry, fingerprint)
        rejection = self._rejection_of_new_key(grant)
        if rejection is not None:
            return Err(rejection)
        self._entry_by_name[name] = _Entry(KeyState.RUNNING, fingerprint)
        self._schedule_removal(name, grant.expires_at + self.limits.retention_s)
        return Ok(KeyRun(self, name))

    async def wait(self, running: KeyInProgress) -> KeyResult:
        """Wait for the result of a call in progress; cancelling a waiter affects no other."""
        entry = self._entry_by_name.get(running.name)
        if entry is None:
            return KeyResult(KeyState.UNKNOWN)
        if entry.state is not KeyState.RUNNING:
            return KeyResult(entry.state, entry.answer)
        if entry.waiters is None:
            entry.waiters = asyncio.get_running_loop().create_future()
        return await asyncio.shield(entry.waiters)

    def state(self, grant: Grant, caller_id: str) -> KeyState:
        """Return the state of a key."""
        entry = self._entry_by_name.get(f"{grant.serial:x}.{caller_id}")
        return entry.state if entry else KeyState.ABSENT

    def _result_for_resend(
        self, name: str, entry: _Entry, fingerprint: int
    ) -> Result[KeyRun | KeyInProgress | KeyResult, KeyedCallError]:
        if entry.fingerprint != fingerprint:
            return Err(KeyMismatchError())
        if entry.state is KeyState.RUNNING:
            return Ok(KeyInProgress(name))
        return Ok(KeyResult(entry.state, entry.answer))

    def _rejection_of_new_key(self, grant: Grant) -> KeyedCallError | None:
        """Return the error for an absent key whose call may not begin, or `None`."""
        if self._now >= grant.expires_at + self.limits.retention_s:
            return KeyForgottenError()
        if self._now >= grant.expires_at:
            return GrantExpiredError()
        if grant.serial <= self.closed_watermark:
            return GrantClosedError()
        if len(self._entry_by_name) >= self.limits.max_entries:
            self._close_grants()
            return KeyTableFullError()
        return None

    def _close_grants(self) -> None:
        """Close all grants issued so far to new keys, and log this at a limited rate."""
        self.closed_watermark = self._issuer.last_serial
        if self._now - self._full_logged_at >= MIN_FULL_LOG_INTERVAL_S:
            self._full_logged_at = self._now
            log_event("key_table_full", level="WARNING", entries=len(self._entry_by_name))

    def _finish(self, name: str, state: KeyState, answer: RecordedAnswer | None) -> KeyResult:
        entry = self._entry_by_name[name]
        result = KeyResult(state, answer)
        entry.state = state
        if answer is not None:
            self._record_answer(name, entry, answer)
        if entry.waiters is not None:
            entry.waiters.set_result(result)
            entry.waiters = None
        return result

    def _record_answer(self, name: str, entry: _Entry, answer: RecordedAnswer) -> None:
        """Store an answer if it fits, evicting the oldest answers to make room."""
        if answer.size_bytes > self.limits.max_answer_bytes:
            entry.state = KeyState.RAN
            return
        entry.answer = answer
        self._recorded_names[name] = None
        self.recorded_bytes += answer.size_bytes
        while self.recorded_bytes > self.limits.max_recorded_bytes:
            self._evict_answer()

    def _evict_answer(self) -> None:
        name, _ = self._recorded_names.popitem(last=False)
        entry = self._entry_by_name[name]
        self.recorded_bytes -= entry.answer.size_bytes if entry.answer else 0
        entry.answer = None
        entry.state = KeyState.RAN

    def _schedule_removal(self, name: str, due_at: float) -> None:
        bucket = int(due_at // EXPIRY_BUCKET_S) + 1
        names = self._names_by_expiry_bucket.get(bucket)
        if names is None:
            names = self._names_by_expiry_bucket[bucket] = []
            heapq.heappush(self._expiry_buckets, bucket)
        names.append(name)

    def _sweep(self) -> None:
        """Remove a bounded number of entries whose retention has ended; calls in progress stay."""
        for _ in range(MAX_SWEEP_STEPS):
            if not self._expiry_buckets or self._expiry_buckets[0] * EXPIRY_BUCKET_S > self._now:
                return
            bucket = self._expiry_buckets[0]
            names = self._names_by_expiry_bucket[bucket]
            if names:
                self._remove(names.pop())
            else:
                heapq.heappop(self._expiry_buckets)
                del self._names_by_expiry_bucket[bucket]

    def _remove(self, name: str) -> None:
        entry = self._entry_by_name[name]
        if entry.state is KeyState.RUNNING:
            self._schedule_removal(name, self._now + self.limits.retention_s)
            return
        del self._entry_by_name[name]
        if entry.answer is not None:
            del self._recorded_names[name]
            self.recorded_bytes -= entry.answer.size_bytes


def create_key_table(issuer: GrantIssuer, limits: KeyTableLimits | None = None) -> KeyTable:
    """Create an empty key table for the grants of one issuer."""
    return KeyTable(issuer, limits or KeyTableLimits())
