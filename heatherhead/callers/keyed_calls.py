"""Runs each non-idempotent call at most once.

Only the instance that issued the grant in a call's key runs the call; others forward it there.
"""

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
from heatherhead.callers.keyed_call_runner import StreamedAnswer
from heatherhead.callers.relay import relay_answer, send_recorded_answer
from heatherhead.callers.requests import outbound_request
from heatherhead.exceptions import HeatherheadError, OutcomeUnknownError, ReportedOutcome
from heatherhead.upstreams.attempts import UNKNOWN_REMEDY, CallRun

if TYPE_CHECKING:
    from aiohttp.web import BaseRequest, StreamResponse

    from heatherhead.admission.grants import CallKey, GrantIssuer
    from heatherhead.admission.key_table import KeyTable
    from heatherhead.callers.inbound import InboundCall
    from heatherhead.callers.keyed_call_runner import KeyedCallRunner
    from heatherhead.callers.owner_forwarder import OwnerForwarder
    from heatherhead.callers.state import CallersState
    from heatherhead.exceptions import CallRefusedError
    from heatherhead.settings.callers import CallersSettings
    from heatherhead.telemetry.interface import Telemetry

__all__ = ["KeyedCallHandler", "create_keyed_call_handler"]


class KeyedCallHandler:
    """Runs or forwards keyed calls and answers resends from the key table."""

    def __init__(
        self,
        issuer: GrantIssuer,
        table: KeyTable,
        runner: KeyedCallRunner,
        forwarder: OwnerForwarder,
        state: CallersState,
        settings: CallersSettings,
        telemetry: Telemetry,
    ) -> None:
        self._issuer = issuer
        self._table = table
        self._runner = runner
        self._forwarder = forwarder
        self._state = state
        self._settings = settings
        self._telemetry = telemetry

    def read_key(self, inbound: InboundCall) -> None:
        """Parse the key of a non-idempotent call, before its body is read.

        Raises `KeyedCallError` if the service requires a key and it is missing or malformed.
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

    def early_refusal_error(
        self, request: BaseRequest, error: CallRefusedError
    ) -> HeatherheadError:
        """Return the error to answer for a request refused before its key was looked up.

        Another request with the same key may have run the call, or may run it later. The answer
        is therefore "not-run" only if the key can be closed here, and "unknown" otherwise.
        """
        parsed = parse_key(request.headers.get(IDEMPOTENCY_KEY, ""))
        if isinstance(parsed, Err):
            return error
        if self._close_key(parsed.ok_value, request):
            error.remedy = f"{error.remedy}, with a new key"
            return error
        return OutcomeUnknownError(error.reason, remedy=UNKNOWN_REMEDY, status=error.status)

    def _close_key(self, key: CallKey, request: BaseRequest) -> bool:
        """Close a key that has not been used; return whether its call surely never runs."""
        verified = self._issuer.verify(key.grant)
        if isinstance(verified, Err):
            return verified.err_value is GrantProblem.FORGED
        fingerprint = _fingerprint_of_request(request, request.raw_path)
        now = asyncio.get_running_loop().time()
        result = self._table.begin(verified.ok_value, key.caller_id, fingerprint, now)
        if isinstance(result, Err):
            return result.err_value.outcome is ReportedOutcome.NOT_RUN
        found = result.ok_value
        if isinstance(found, KeyRun):
            found = found.finish_not_run()
        return isinstance(found, KeyResult) and found.state is KeyState.CLOSED

    async def serve(self, inbound: InboundCall) -> StreamResponse:
        """Answer a keyed call.

        The first request with a key runs the call, later ones wait for its result or get it from
        the key table. A call whose grant was issued by another instance is forwarded to it.
        """
        key = inbound.key
        assert key is not None
        inbound.reached_key_table = True
        verified = self._issuer.verify(key.grant)
        if isinstance(verified, Err):
            return await self._serve_unverified(inbound, verified.err_value)
        loop = asyncio.get_running_loop()
        call = inbound.call
        fingerprint = _fingerprint_of_request(inbound.request, call.target)
        result = self._table.begin(verified.ok_value, key.caller_id, fingerprint, loop.time())
        if isinstance(result, Err):
            raise result.err_value
        if isinstance(result.ok_value, KeyRun):
            return await self._serve_first_send(inbound, result.ok_value)
        inbound.may_have_run_elsewhere = True
        if isinstance(result.ok_value, KeyInProgress):
            return await self._answer_from_table(inbound, await self._table.wait(result.ok_value))
        return await self._answer_from_table(inbound, result.ok_value)

    async def _serve_unverified(
        self, inbound: InboundCall, problem: GrantProblem
    ) -> StreamResponse:
        if problem is GrantProblem.FORGED:
            raise GrantForgedError
        if problem is GrantProblem.OTHER_INCARNATION:
            raise GrantOwnerGoneError
        assert inbound.key is not None
        inbound.may_have_run_elsewhere = True
        return await self._forwarder.forward(inbound, inbound.key.grant)

    async def _serve_first_send(self, inbound: InboundCall, key_run: KeyRun) -> StreamResponse:
        now = asyncio.get_running_loop().time()
        request = outbound_request(inbound.request, inbound.call, inbound.body, now)
        request.idle_timeout_s = self._settings.answer_idle_timeout_s
        run = CallRun(inbound.call, inbound.service, request, inbound.body, began_at=now)
        inbound.run = run
        outcome = await self._runner.start(run, key_run).outcome()
        if isinstance(outcome, HeatherheadError):
            raise outcome
        if isinstance(outcome, StreamedAnswer):
            return await self._relay_streamed(inbound, outcome)
        return await send_recorded_answer(
            inbound.request,
            outcome,
            close_connection=self._state.should_close_connections,
            replayed=False,
        )

    async def _relay_streamed(
        self, inbound: InboundCall, streamed: StreamedAnswer
    ) -> StreamResponse:
        opened = streamed.opened
        complete = False
        try:
            assert opened.attempt.answer is not None
            response = await relay_answer(
                inbound.request,
                opened.attempt.answer,
                self._settings,
                close_connection=self._state.should_close_connections,
                body_start=streamed.body_start,
            )
            complete = True
        finally:
            opened.close(complete=complete)
        return response

    async def _answer_from_table(self, inbound: InboundCall, result: KeyResult) -> StreamResponse:
        error = result.error()
        if error is not None:
            raise error
        self._telemetry.count("keys.replayed")
        assert result.answer is not None
        return await send_recorded_answer(
            inbound.request,
            result.answer,
            close_connection=self._state.should_close_connections,
            replayed=True,
        )


def _fingerprint_of_request(request: BaseRequest, target: str) -> int:
    """Return the fingerprint of a request; no body equals a body of `Content-Length: 0`."""
    length = request.content_length if request.body_exists else 0
    return request_fingerprint(request.method, target, length)


def create_keyed_call_handler(
    issuer: GrantIssuer,
    table: KeyTable,
    runner: KeyedCallRunner,
    forwarder: OwnerForwarder,
    state: CallersState,
    settings: CallersSettings,
    telemetry: Telemetry,
) -> KeyedCallHandler:
    """Create the handler of keyed calls."""
    return KeyedCallHandler(issuer, table, runner, forwarder, state, settings, telemetry)
