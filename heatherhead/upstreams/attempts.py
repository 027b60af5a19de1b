"""Runs a call in one or more attempts until it has an answer or has failed."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from result import Err, Ok

from heatherhead.admission.retry_budget import RetryBudget, create_retry_budget
from heatherhead.calls import AttemptResult, AttemptState
from heatherhead.exceptions import (
    CallRefusedError,
    DeadlineUnreachableError,
    HeatherheadError,
    OutcomeUnknownError,
)
from heatherhead.telemetry.interface import HistogramKind
from heatherhead.telemetry.logs import log_event
from heatherhead.upstreams.answers import (
    is_final,
    load_report,
    signal_of_answer,
)
from heatherhead.upstreams.client import Attempt, Destination
from heatherhead.upstreams.hedge_limit import create_hedge_limit
from heatherhead.upstreams.hedging import Hedge

if TYPE_CHECKING:
    from result import Result

    from heatherhead.admission.key_table import KeyRun
    from heatherhead.callers.bodies import CallBody
    from heatherhead.calls import Call
    from heatherhead.configuration.model import Service
    from heatherhead.routing.interface import Router, Slot
    from heatherhead.settings.admission import AdmissionSettings
    from heatherhead.telemetry.interface import Telemetry
    from heatherhead.upstreams.client import OutboundRequest, UpstreamClient

__all__ = ["UNKNOWN_REMEDY", "AttemptRunner", "CallRun", "OpenAnswer", "create_attempt_runner"]

RETRYABLE_STATUS = 503
UNKNOWN_REMEDY = "the call may have run: ask the service, or send it again with the same key"


@dataclass(slots=True)
class CallRun:
    """A call in progress, with all its attempts."""

    call: Call
    service: Service
    request: OutboundRequest
    body: CallBody
    avoid: set[str] = field(default_factory=set)
    key_run: KeyRun | None = None
    began_at: float = 0.0
    attempts: list[Attempt] = field(default_factory=list)
    queue_wait_s: float = 0.0
    upstream_s: float = 0.0

    @property
    def key_name(self) -> str:
        """Return the name of the call's key for log lines."""
        return "none" if self.key_run is None else self.key_run.name

    @property
    def may_have_run(self) -> bool:
        """Return whether an upstream may have run the call, as far as known now."""
        return any(not attempt_state(attempt).known_not_run for attempt in self.attempts)


class OpenAnswer:
    """An attempt that holds a slot; `close` releases the slot once."""

    def __init__(self, run: CallRun, slot: Slot, attempt: Attempt, telemetry: Telemetry) -> None:
        self.slot = slot
        self.attempt = attempt
        self._run = run
        self._telemetry = telemetry
        self._open = True

    def close(self, *, complete: bool) -> None:
        """Release the slot; the connection of an incomplete answer is closed."""
        if not self._open:
            return
        self._open = False
        attempt = self.attempt
        now = asyncio.get_running_loop().time()
        duration_s = now - attempt.started_at if attempt.started_at else 0.0
        if attempt.answer is not None and not complete:
            attempt.answer.close()
        self._run.upstream_s = duration_s
        call = self._run.call
        self._telemetry.observe(call.service, call.call_class, HistogramKind.UPSTREAM, duration_s)
        self.slot.finish(_result_of(attempt, duration_s, now))


def attempt_state(attempt: Attempt) -> AttemptState:
    """Return an attempt's state; `REFUSED` if the answer guarantees that the call did not run."""
    return AttemptState.REFUSED if attempt.refused else attempt.state


def _result_of(attempt: Attempt, duration_s: float, now: float) -> AttemptResult:
    answer = attempt.answer
    if answer is None:
        return AttemptResult(
            attempt.state, 0, duration_s, attempt.signal, cancelled=attempt.cancelled
        )
    signal = signal_of_answer(answer, attempt.connection_calls)
    report = load_report(answer, now)
    return AttemptResult(attempt_state(attempt), answer.status, duration_s, signal, report)


class AttemptRunner:
    """Acquires slots, sends attempts, hedges and retries within the service's budgets."""

    def __init__(
        self,
        router: Router,
        client: UpstreamClient,
        settings: AdmissionSettings,
        telemetry: Telemetry,
        hedge_ratio: float,
    ) -> None:
        self.router = router
        self._client = client
        self._settings = settings
        self._telemetry = telemetry
        self._retries_by_service: dict[str, RetryBudget] = {}
        self._hedges_by_service: dict[str, RetryBudget] = {}
        self._hedge_limit = create_hedge_limit(hedge_ratio)

    def discard_budgets(self, service: str) -> None:
        """Discard the budgets of a service that was removed."""
        self._retries_by_service.pop(service, None)
        self._hedges_by_service.pop(service, None)
        self._hedge_limit.discard(service)

    async def run(self, run: CallRun) -> Result[OpenAnswer, HeatherheadError]:
        """Run a call; return its answer once the head has arrived, or the error.

        The caller of this method closes the answer. On cancellation `run.may_have_run` states
        whether an upstream may have received the call.
        """
        self._budget(self._retries_by_service, run, run.service.retry_share).deposit()
        self._budget(self._hedges_by_service, run, run.service.hedge_share).deposit()
        self._hedge_limit.record_call(run.service.name, asyncio.get_running_loop().time())
        while True:
            slot = await self._acquire(run)
            if isinstance(slot, Err):
                return self._failed(run, slot.err_value)
            opened = await self._attempt(run, slot.ok_value)
            if opened.attempt.answer is not None and not self._retry_answered(run, opened):
                return self._answered(run, opened)
            opened.close(complete=False)
            if opened.attempt.answer is None and not self._retry_failed(run, opened):
                return self._failed(run, _error_of(run, opened.attempt))
            self._telemetry.count("retries")

    async def _acquire(self, run: CallRun) -> Result[Slot, CallRefusedError]:
        loop = asyncio.get_running_loop()
        started = loop.time()
        acquired = await self.router.acquire(run.call, frozenset(run.avoid))
        waited_s = loop.time() - started
        run.queue_wait_s += waited_s
        call = run.call
        self._telemetry.observe(call.service, call.call_class, HistogramKind.QUEUE_WAIT, waited_s)
        return acquired

    async def _attempt(self, run: CallRun, slot: Slot) -> OpenAnswer:
        delay_s = self._hedge_delay_s(run)
        if delay_s is None:
            return await self.send(run, slot)
        hedge = Hedge(delay_s, lambda: self._send_hedge(run, slot))
        return await hedge.race(self.send(run, slot))

    def _hedge_delay_s(self, run: CallRun) -> float | None:
        if not run.call.idempotent or not run.body.empty:
            return None
        return self.router.hedge_delay_s(run.call)

    async def _send_hedge(self, run: CallRun, first: Slot) -> OpenAnswer | None:
        budget = self._budget(self._hedges_by_service, run, run.service.hedge_share)
        if budget.tokens < 1.0:
            return None
        now = asyncio.get_running_loop().time()
        if not self._hedge_limit.allows(run.service.name, now):
            self._telemetry.count("hedges_over_limit")
            return None
        slot = self.router.try_acquire(run.call, frozenset({*run.avoid, first.upstream.id}))
        if slot is None:
            return None
        budget.try_withdraw()
        self._hedge_limit.record_hedge(run.service.name, now)
        self._telemetry.count("hedges")
        return await self.send(run, slot)

    async def send(self, run: CallRun, slot: Slot) -> OpenAnswer:
        """Send one attempt on a slot, which is released on cancellation."""
        run.call.attempts += 1
        attempt = Attempt(run.call.deadline)
        opened = OpenAnswer(run, slot, attempt, self._telemetry)
        upstream = slot.upstream
        destination = Destination(upstream.host, upstream.port, upstream.id)
        if run.key_run is not None and not run.key_run.begin_attempt():
            attempt.state = AttemptState.UNKNOWN
            return opened
        run.attempts.append(attempt)
        try:
            await self._client.send(destination, run.request, attempt)
        except BaseException:
            opened.close(complete=False)
            raise
        finally:
            if run.key_run is not None:
                run.key_run.end_attempt(attempt_state(attempt))
        if attempt.says_not_run:
            run.avoid.add(upstream.id)
            _log_refusal(run, slot, attempt)
        return opened

    def _answered(self, run: CallRun, opened: OpenAnswer) -> Result[OpenAnswer, HeatherheadError]:
        if not opened.attempt.says_not_run:
            return Ok(opened)
        opened.close(complete=False)
        return self._failed(
            run,
            CallRefusedError(
                "every upstream that was tried refused the call",
                remedy="send the call again later",
            ),
        )

    def _retry_answered(self, run: CallRun, opened: OpenAnswer) -> bool:
        answer = opened.attempt.answer
        assert answer is not None
        if answer.status != RETRYABLE_STATUS or is_final(answer):
            return False
        safe = opened.attempt.refused or run.call.idempotent
        return safe and self._may_retry(run, opened, costs_token=True)

    def _retry_failed(self, run: CallRun, opened: OpenAnswer) -> bool:
        attempt = opened.attempt
        if attempt.deadline_passed:
            return False
        if attempt.state.known_not_run:
            return self._may_retry(run, opened, costs_token=False)
        return run.call.idempotent and self._may_retry(run, opened, costs_token=True)

    def _may_retry(self, run: CallRun, opened: OpenAnswer, *, costs_token: bool) -> bool:
        """Return whether one more attempt is allowed; spends a budget token if `costs_token`.

        After an attempt of which no byte was sent, a retry is free: it put no load on an upstream.
        """
        run.avoid.add(opened.slot.upstream.id)
        if len(run.avoid) >= len(run.service.upstreams):
            return False
        if run.call.attempts >= self._settings.max_attempts or not run.body.retryable:
            return False
        if asyncio.get_running_loop().time() >= run.call.deadline:
            return False
        if not costs_token:
            return True
        return self._budget(self._retries_by_service, run, run.service.retry_share).try_withdraw()

    def _failed(
        self, run: CallRun, error: HeatherheadError
    ) -> Result[OpenAnswer, HeatherheadError]:
        if run.may_have_run and isinstance(error, CallRefusedError):
            status = 502 if error.status == CallRefusedError.status else error.status
            return Err(OutcomeUnknownError(error.reason, remedy=UNKNOWN_REMEDY, status=status))
        return Err(error)

    def _budget(
        self, by_service: dict[str, RetryBudget], run: CallRun, share: float
    ) -> RetryBudget:
        budget = by_service.get(run.service.name)
        if budget is None or budget.share != share:
            budget = create_retry_budget(share, self._settings.retry_burst)
            by_service[run.service.name] = budget
        return budget


def _log_refusal(run: CallRun, slot: Slot, attempt: Attempt) -> None:
    log_event(
        "upstream_refused",
        service=run.service.name,
        key=run.key_name,
        upstream=slot.upstream.id,
        attempt=run.call.attempts,
        calls=attempt.connection_calls,
        believed=attempt.refused,
    )


def _error_of(run: CallRun, attempt: Attempt) -> HeatherheadError:
    if attempt.deadline_passed:
        return DeadlineUnreachableError(
            "the deadline passed before the call was sent", remedy="allow the call more time"
        )
    stream = run.body.stream
    if stream is not None and stream.error is not None:
        return stream.error
    if attempt.state.known_not_run:
        return CallRefusedError(
            f"no upstream could be reached: {attempt.error}", remedy="send the call again later"
        )
    return OutcomeUnknownError(
        f"the upstream gave no answer: {attempt.error}", remedy=UNKNOWN_REMEDY
    )


def create_attempt_runner(
    router: Router,
    client: UpstreamClient,
    settings: AdmissionSettings,
    telemetry: Telemetry,
    hedge_ratio: float,
) -> AttemptRunner:
    """Create the runner of all calls' attempts."""
    return AttemptRunner(router, client, settings, telemetry, hedge_ratio)
