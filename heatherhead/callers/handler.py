"""The row of filters that a call passes through."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err

from heatherhead.callers.bodies import read_body
from heatherhead.callers.inbound import InboundCall
from heatherhead.callers.problems import problem_of, problem_response
from heatherhead.callers.relay import AnswerCutError, is_small, relay_answer
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
from heatherhead.upstreams.attempts import UNKNOWN_REMEDY, CallRun

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp.web import BaseRequest, StreamResponse

    from heatherhead.callers.keyed import KeyedCalls
    from heatherhead.callers.pauses import PauseWatch
    from heatherhead.callers.service_choice import ServiceChoice
    from heatherhead.callers.state import CallersState
    from heatherhead.settings.callers import CallersSettings
    from heatherhead.telemetry.interface import Telemetry
    from heatherhead.upstreams.attempts import AttemptRunner

    OwnHandler = Callable[[BaseRequest], Awaitable[StreamResponse]]

__all__ = ["CallHandler", "create_call_handler"]

OWN_PREFIX = "/v1/"


class CallHandler:
    """Serves each request of a caller."""

    def __init__(
        self,
        settings: CallersSettings,
        choice: ServiceChoice,
        runner: AttemptRunner,
        keyed: KeyedCalls,
        state: CallersState,
        telemetry: Telemetry,
        pauses: PauseWatch,
        own_by_path: dict[str, OwnHandler],
    ) -> None:
        self._settings = settings
        self._choice = choice
        self._runner = runner
        self._keyed = keyed
        self._state = state
        self._telemetry = telemetry
        self._pauses = pauses
        self._own_by_path = own_by_path

    async def handle(self, request: BaseRequest) -> StreamResponse:
        """Answer one request; each error becomes a problem that tells the outcome."""
        if request.raw_path.startswith(OWN_PREFIX):
            own = self._own_by_path.get(request.raw_path.partition("?")[0])
            if own is not None:
                return await own(request)
        self._state.begin()
        try:
            return await self._serve(self._take_in(request))
        except HeatherheadError as error:
            return self._refusal(error)
        finally:
            self._state.end()

    async def _serve(self, inbound: InboundCall) -> StreamResponse:
        """Serve a call of a known service, and count how it ends."""
        try:
            response = await self._check_and_serve(inbound)
        except CallCutError as error:
            self._count_cut(inbound)
            raise AnswerCutError(error.reason) from error
        except (AnswerCutError, asyncio.CancelledError):
            self._count_cut(inbound)
            raise
        except HeatherheadError as error:
            self._count_outcome(inbound, _OUTCOME_BY_REPORTED[problem_of(error).outcome])
            raise
        if not inbound.passed_on:
            self._count_outcome(inbound, CallOutcome.ANSWERED)
            self._telemetry.count("calls.answered")
        if inbound.run is not None:
            self._observe(inbound.run)
        return response

    def _count_cut(self, inbound: InboundCall) -> None:
        self._count_outcome(inbound, CallOutcome.CUT)
        self._telemetry.count("calls.cut")

    def _count_outcome(self, inbound: InboundCall, outcome: CallOutcome) -> None:
        self._telemetry.count_outcome(inbound.service.name, inbound.call.call_class, outcome)

    def _refusal(self, error: HeatherheadError) -> StreamResponse:
        problem = problem_of(error)
        self._telemetry.count(_COUNTER_BY_OUTCOME[problem.outcome])
        response = problem_response(problem)
        if self._state.closing_connections:
            response.force_close()
        return response

    async def _check_and_serve(self, inbound: InboundCall) -> StreamResponse:
        self._keyed.check(inbound)
        try:
            return await self._serve_in_time(inbound)
        except CallRefusedError as error:
            if inbound.key is None or inbound.reached_key_table:
                raise
            raise self._keyed.refuse(inbound.request, error) from error

    def _take_in(self, request: BaseRequest) -> InboundCall:
        try:
            target = target_of(request)
            service = service_of(request, target, self._choice)
            now = self._pauses.arrival(asyncio.get_running_loop().time())
            call, asked = call_of(request, target, service, self._settings, now)
        except CallRefusedError as error:
            raise self._keyed.refuse(request, error) from error
        return InboundCall(request, service, call, asked)

    async def _serve_in_time(self, inbound: InboundCall) -> StreamResponse:
        call = inbound.call
        try:
            async with asyncio.timeout_at(call.deadline) as scope:
                inbound.scope = scope
                inbound.body = await read_body(inbound.request, self._settings)
                inbound.loosen_for_upload()
                call.fingerprint = fingerprint_of(call, inbound.body)
                if inbound.key is not None:
                    return await self._keyed.serve(inbound)
                return await self._run(inbound, asyncio.get_running_loop().time())
        except TimeoutError:
            raise _deadline_error(inbound) from None

    async def _run(self, inbound: InboundCall, now: float) -> StreamResponse:
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
            if not is_small(opened.attempt.answer):
                inbound.loosen_for_answer()
            response = await relay_answer(
                inbound.request,
                opened.attempt.answer,
                self._settings,
                close=self._state.closing_connections,
            )
            complete = True
        finally:
            opened.close(complete=complete)
        return response

    def _observe(self, run: CallRun) -> None:
        now = asyncio.get_running_loop().time()
        added_s = now - run.began_at - run.upstream_s - run.queue_wait_s
        call = run.call
        observe = self._telemetry.observe
        observe(call.service, call.call_class, HistogramKind.ADDED, max(0.0, added_s))
        observe(call.service, call.call_class, HistogramKind.ATTEMPTS, call.attempts)


def _deadline_error(inbound: InboundCall) -> HeatherheadError:
    if inbound.maybe_ran:
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
    choice: ServiceChoice,
    runner: AttemptRunner,
    keyed: KeyedCalls,
    state: CallersState,
    telemetry: Telemetry,
    pauses: PauseWatch,
    own_by_path: dict[str, OwnHandler],
) -> CallHandler:
    """Create the handler; `own_by_path` holds the paths that this instance answers itself."""
    return CallHandler(settings, choice, runner, keyed, state, telemetry, pauses, own_by_path)
