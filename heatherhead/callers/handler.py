"""The request pipeline: parses a call, serves it within its deadline and counts its outcome."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err

from heatherhead.callers.bodies import read_body
from heatherhead.callers.inbound import InboundCall
from heatherhead.callers.problems import problem_of, problem_response
from heatherhead.callers.relay import AnswerCutError, is_buffered, relay_answer
from heatherhead.callers.requests import (
    call_of,
    fingerprint_of,
    outbound_request,
    service_of,
    target_of,
)
from heatherhead.exceptions import (
    CallCutError,
    CallRefusedError,
    DeadlineUnreachableError,
    HeatherheadError,
    OutcomeUnknownError,
    ReportedOutcome,
)
from heatherhead.telemetry.interface import CallOutcome, HistogramKind
from heatherhead.telemetry.logs import log_event
from heatherhead.upstreams.attempts import UNKNOWN_REMEDY, CallRun

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp.web import BaseRequest, StreamResponse

    from heatherhead.callers.keyed_calls import KeyedCallHandler
    from heatherhead.callers.pauses import PauseDetector
    from heatherhead.callers.service_selector import ServiceSelector
    from heatherhead.callers.state import CallersState
    from heatherhead.settings.callers import CallersSettings
    from heatherhead.telemetry.interface import Telemetry
    from heatherhead.upstreams.attempts import AttemptRunner

    OwnHandler = Callable[[BaseRequest], Awaitable[StreamResponse]]

__all__ = ["CallHandler", "create_call_handler"]

OWN_PATH_PREFIX = "/v1/"


class CallHandler:
    """Handles each HTTP request of a caller."""

    def __init__(
        self,
        settings: CallersSettings,
        selector: ServiceSelector,
        runner: AttemptRunner,
        keyed: KeyedCallHandler,
        state: CallersState,
        telemetry: Telemetry,
        pause_detector: PauseDetector,
        own_handler_by_path: dict[str, OwnHandler],
    ) -> None:
        self._settings = settings
        self._selector = selector
        self._runner = runner
        self._keyed = keyed
        self._state = state
        self._telemetry = telemetry
        self._pause_detector = pause_detector
        self._own_handler_by_path = own_handler_by_path

    async def handle(self, request: BaseRequest) -> StreamResponse:
        """Answer one request; an error is answered as a problem that states the call's outcome."""
        if request.raw_path.startswith(OWN_PATH_PREFIX):
            own_handler = self._own_handler_by_path.get(request.raw_path.partition("?")[0])
            if own_handler is not None:
                return await own_handler(request)
        self._state.begin_call()
        try:
            return await self._serve_and_count(self._parse_request(request))
        except HeatherheadError as error:
            return self._problem_answer(error)
        finally:
            self._state.end_call()

    async def _serve_and_count(self, inbound: InboundCall) -> StreamResponse:
        """Serve a call of a known service and count its outcome."""
        try:
            response = await self._check_key_and_serve(inbound)
        except CallCutError as error:
            self._count_cut(inbound)
            raise AnswerCutError(error.reason) from error
        except (AnswerCutError, asyncio.CancelledError):
            self._count_cut(inbound)
            raise
        except HeatherheadError as error:
            problem = problem_of(error)
            self._count_outcome(inbound, _OUTCOME_BY_REPORTED[problem.outcome])
            if problem.outcome is ReportedOutcome.NOT_RUN and inbound.run is not None:
                _log_promise(inbound.run, problem.status)
            raise
        if not inbound.forwarded:
            self._count_outcome(inbound, CallOutcome.ANSWERED)
            self._telemetry.count("calls.answered")
        if inbound.run is not None:
            self._record_timings(inbound.run)
        return response

    def _count_cut(self, inbound: InboundCall) -> None:
        self._count_outcome(inbound, CallOutcome.CUT)
        self._telemetry.count("calls.cut")

    def _count_outcome(self, inbound: InboundCall, outcome: CallOutcome) -> None:
        self._telemetry.count_outcome(inbound.service.name, inbound.call.call_class, outcome)

    def _problem_answer(self, error: HeatherheadError) -> StreamResponse:
        problem = problem_of(error)
        self._telemetry.count(_COUNTER_BY_OUTCOME[problem.outcome])
        response = problem_response(problem)
        if self._state.should_close_connections:
            response.force_close()
        return response

    async def _check_key_and_serve(self, inbound: InboundCall) -> StreamResponse:
        """Serve a call.

        A refusal before the key is looked up is answered with the error of
        `KeyedCallHandler.early_refusal_error`, as another request with the key may run the call.
        """
        self._keyed.read_key(inbound)
        try:
            return await self._serve_until_deadline(inbound)
        except CallRefusedError as error:
            if inbound.key is None or inbound.reached_key_table:
                raise
            raise self._keyed.early_refusal_error(inbound.request, error) from error

    def _parse_request(self, request: BaseRequest) -> InboundCall:
        try:
            target = target_of(request)
            service = service_of(request, target, self._selector)
            now = self._pause_detector.earliest_arrival(asyncio.get_running_loop().time())
            call, deadline_requested = call_of(request, target, service, self._settings, now)
        except CallRefusedError as error:
            raise self._keyed.early_refusal_error(request, error) from error
        return InboundCall(request, service, call, deadline_requested)

    async def _serve_until_deadline(self, inbound: InboundCall) -> StreamResponse:
        call = inbound.call
        try:
            async with asyncio.timeout_at(call.deadline) as deadline_scope:
                inbound.deadline_scope = deadline_scope
                inbound.body = await read_body(inbound.request, self._settings)
                inbound.suspend_deadline_for_upload()
                call.fingerprint = fingerprint_of(call, inbound.body)
                if inbound.key is not None:
                    return await self._keyed.serve(inbound)
                return await self._serve_unkeyed(inbound, asyncio.get_running_loop().time())
        except TimeoutError:
            raise _deadline_error(inbound) from None

    async def _serve_unkeyed(self, inbound: InboundCall, now: float) -> StreamResponse:
        request = outbound_request(inbound.request, inbound.call, inbound.body, now)
        run = CallRun(inbound.call, inbound.service, request, inbound.body, began_at=now)
        inbound.run = run
        result = await self._runner.run(run)
        if isinstance(result, Err):
            raise result.err_value
        opened = result.ok_value
        complete = False
        try:
            assert opened.attempt.answer is not None
            if not is_buffered(opened.attempt.answer):
                inbound.lift_deadline_for_answer()
            response = await relay_answer(
                inbound.request,
                opened.attempt.answer,
                self._settings,
                close_connection=self._state.should_close_connections,
            )
            complete = True
        finally:
            opened.close(complete=complete)
        return response

    def _record_timings(self, run: CallRun) -> None:
        now = asyncio.get_running_loop().time()
        added_s = now - run.began_at - run.upstream_s - run.queue_wait_s
        call = run.call
        observe = self._telemetry.observe
        observe(call.service, call.call_class, HistogramKind.ADDED, max(0.0, added_s))
        observe(call.service, call.call_class, HistogramKind.ATTEMPTS, call.attempts)


def _log_promise(run: CallRun, status: int) -> None:
    """Log that a caller is told that its call has not run though it was sent."""
    sent = sum(attempt.sent for attempt in run.attempts)
    if sent:
        log_event(
            "told_not_run",
            service=run.service.name,
            key=run.key_name,
            status=status,
            sent=sent,
            refused=sum(attempt.refused for attempt in run.attempts),
        )


def _deadline_error(inbound: InboundCall) -> HeatherheadError:
    if inbound.may_have_run:
        return OutcomeUnknownError(
            "the deadline passed before the answer", remedy=UNKNOWN_REMEDY, status=504
        )
    return DeadlineUnreachableError(
        "the deadline passed before the call was sent", remedy="allow the call more time"
    )


_COUNTER_BY_OUTCOME = {
    ReportedOutcome.NOT_RUN: "calls.not_run",
    ReportedOutcome.UNKNOWN: "calls.unknown",
    ReportedOutcome.RAN: "calls.ran",
}
_OUTCOME_BY_REPORTED = {
    ReportedOutcome.NOT_RUN: CallOutcome.NOT_RUN,
    ReportedOutcome.UNKNOWN: CallOutcome.UNKNOWN,
    ReportedOutcome.RAN: CallOutcome.RAN,
}


def create_call_handler(
    settings: CallersSettings,
    selector: ServiceSelector,
    runner: AttemptRunner,
    keyed: KeyedCallHandler,
    state: CallersState,
    telemetry: Telemetry,
    pause_detector: PauseDetector,
    own_handler_by_path: dict[str, OwnHandler],
) -> CallHandler:
    """Create the handler.

    `own_handler_by_path` maps the paths that this instance answers itself to their handlers.
    """
    return CallHandler(
        settings, selector, runner, keyed, state, telemetry, pause_detector, own_handler_by_path
    )
