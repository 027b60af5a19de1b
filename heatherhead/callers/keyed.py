"""Runs non-idempotent calls at most once, by the grant in their key."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err

from heatherhead.admission.grants import GrantProblem, parse_key
from heatherhead.admission.key_errors import (
    GrantForgedError,
    GrantOwnerGoneError,
    KeyMissingError,
)
from heatherhead.admission.key_table import (
    KeyInProgress,
    KeyResult,
    KeyRun,
    KeyState,
    request_fingerprint,
)
from heatherhead.callers.headers import IDEMPOTENCY_KEY
from heatherhead.callers.key_runs import StreamedAnswer
from heatherhead.callers.relay import relay_answer, relay_recorded
from heatherhead.callers.requests import outbound_request
from heatherhead.exceptions import HeatherheadError, OutcomeUnknownError, ReportedOutcome
from heatherhead.upstreams.attempts import UNKNOWN_REMEDY, CallRun

if TYPE_CHECKING:
    from aiohttp.web import BaseRequest, StreamResponse

    from heatherhead.admission.grants import CallKey, GrantIssuer
    from heatherhead.admission.key_table import KeyTable
    from heatherhead.callers.inbound import InboundCall
    from heatherhead.callers.key_runs import KeyRunner
    from heatherhead.callers.pass_on import PassOn
    from heatherhead.callers.state import CallersState
    from heatherhead.exceptions import CallRefusedError
    from heatherhead.settings.callers import CallersSettings
    from heatherhead.telemetry.interface import Telemetry

__all__ = ["KeyedCalls", "create_keyed_calls"]


class KeyedCalls:
    """Decides who runs a keyed call, and answers resends from the key table."""

    def __init__(
        self,
        issuer: GrantIssuer,
        table: KeyTable,
        runner: KeyRunner,
        pass_on: PassOn,
        state: CallersState,
        settings: CallersSettings,
        telemetry: Telemetry,
    ) -> None:
        self._issuer = issuer
        self._table = table
        self._runner = runner
        self._pass_on = pass_on
        self._state = state
        self._settings = settings
        self._telemetry = telemetry

    def check(self, inbound: InboundCall) -> None:
        """Read the key of a non-idempotent call, before its body is asked for.

        Raises `KeyedCallError` for a missing or malformed key, unless the service needs none.
        """
        call = inbound.call
        if call.idempotent:
            return
        if call.key is None:
            if inbound.service.key_required:
                raise KeyMissingError
            return
        parsed = parse_key(call.key)
        if not isinstance(parsed, Err):
            inbound.key = parsed.ok_value
        elif inbound.service.key_required:
            raise parsed.err_value

    def refuse(self, request: BaseRequest, error: CallRefusedError) -> HeatherheadError:
        """Word the refusal of a request that was refused before the key table saw its key.

        Another copy of a keyed call may have run, or may run later; so the refusal says not-run
        only if the key can be closed here, and else that the outcome is unknown.
        """
        parsed = parse_key(request.headers.get(IDEMPOTENCY_KEY, ""))
        if isinstance(parsed, Err):
            return error
        if self._close(parsed.ok_value, request):
            error.remedy = f"{error.remedy}, with a new key"
            return error
        return OutcomeUnknownError(error.reason, remedy=UNKNOWN_REMEDY, status=error.status)

    def _close(self, key: CallKey, request: BaseRequest) -> bool:
        """Close a key that was never begun; tell whether it is sure that it never runs."""
        verified = self._issuer.verify(key.grant)
        if isinstance(verified, Err):
            return verified.err_value is GrantProblem.FORGED
        fingerprint = _fingerprint(request, request.raw_path)
        now = asyncio.get_running_loop().time()
        begun = self._table.begin(verified.ok_value, key.caller_id, fingerprint, now)
        if isinstance(begun, Err):
            return begun.err_value.outcome is ReportedOutcome.NOT_RUN
        found = begun.ok_value
        if isinstance(found, KeyRun):
            found = found.finish_not_run()
        return isinstance(found, KeyResult) and found.state is KeyState.CLOSED

    async def serve(self, inbound: InboundCall) -> StreamResponse:
        """Run a keyed call, wait for its run, answer it from the table or pass it on."""
        key = inbound.key
        assert key is not None
        inbound.reached_key_table = True
        verified = self._issuer.verify(key.grant)
        if isinstance(verified, Err):
            return await self._serve_foreign(inbound, verified.err_value)
        loop = asyncio.get_running_loop()
        call = inbound.call
        fingerprint = _fingerprint(inbound.request, call.target)
        begun = self._table.begin(verified.ok_value, key.caller_id, fingerprint, loop.time())
        if isinstance(begun, Err):
            raise begun.err_value
        if isinstance(begun.ok_value, KeyRun):
            return await self._first(inbound, begun.ok_value)
        inbound.maybe_ran_before = True
        if isinstance(begun.ok_value, KeyInProgress):
            return await self._ended(inbound, await self._table.wait(begun.ok_value))
        return await self._ended(inbound, begun.ok_value)

    async def _serve_foreign(self, inbound: InboundCall, problem: GrantProblem) -> StreamResponse:
        if problem is GrantProblem.FORGED:
            raise GrantForgedError
        if problem is GrantProblem.OTHER_INCARNATION:
            raise GrantOwnerGoneError
        assert inbound.key is not None
        inbound.maybe_ran_before = True
        return await self._pass_on.pass_on(inbound, inbound.key.grant)

    async def _first(self, inbound: InboundCall, key_run: KeyRun) -> StreamResponse:
        now = asyncio.get_running_loop().time()
        request = outbound_request(inbound.request, inbound.call, inbound.body, now)
        request.idle_timeout_s = self._settings.answer_idle_timeout_s
        run = CallRun(inbound.call, inbound.service, request, inbound.body, began_at=now)
        inbound.run = run
        outcome = await self._runner.start(run, key_run).outcome()
        if isinstance(outcome, HeatherheadError):
            raise outcome
        if isinstance(outcome, StreamedAnswer):
            return await self._stream(inbound, outcome)
        return await relay_recorded(
            inbound.request, outcome, close=self._state.closing_connections, replayed=False
        )

    async def _stream(self, inbound: InboundCall, streamed: StreamedAnswer) -> StreamResponse:
        opened = streamed.opened
        complete = False
        try:
            assert opened.attempt.answer is not None
            response = await relay_answer(
                inbound.request,
                opened.attempt.answer,
                self._settings,
                close=self._state.closing_connections,
                begun=streamed.begun,
            )
            complete = True
        finally:
            opened.close(complete=complete)
        return response

    async def _ended(self, inbound: InboundCall, end: KeyResult) -> StreamResponse:
        error = end.error()
        if error is not None:
            raise error
        self._telemetry.count("keys.replayed")
        assert end.answer is not None
        return await relay_recorded(
            inbound.request, end.answer, close=self._state.closing_connections, replayed=True
        )


def _fingerprint(request: BaseRequest, target: str) -> int:
    """Condense a request; one without a body may or may not say that its length is 0."""
    length = request.content_length if request.body_exists else 0
    return request_fingerprint(request.method, target, length)


def create_keyed_calls(
    issuer: GrantIssuer,
    table: KeyTable,
    runner: KeyRunner,
    pass_on: PassOn,
    state: CallersState,
    settings: CallersSettings,
    telemetry: Telemetry,
) -> KeyedCalls:
    """Create the filter of keyed calls."""
    return KeyedCalls(issuer, table, runner, pass_on, state, settings, telemetry)
