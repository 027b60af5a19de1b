"""The row of filters that a call passes through."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from heatherhead.callers.bodies import read_body
from heatherhead.callers.headers import end_to_end_headers
from heatherhead.callers.problems import problem_of, problem_response
from heatherhead.callers.relay import abort_connection, relay_answer
from heatherhead.callers.requests import (
    call_of,
    fingerprint_of,
    outbound_request,
    service_of,
    target_of,
)
from heatherhead.exceptions import (
    CallCutError,
    DeadlineUnreachableError,
    HeatherheadError,
    OutcomeUnknownError,
)
from heatherhead.telemetry.interface import HistogramKind
from heatherhead.upstreams.attempts import UNKNOWN_REMEDY, CallRun

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from aiohttp.web import BaseRequest, StreamResponse

    from heatherhead.callers.service_choice import ServiceChoice
    from heatherhead.callers.state import CallersState
    from heatherhead.settings.callers import CallersSettings
    from heatherhead.telemetry.interface import Telemetry
    from heatherhead.upstreams.attempts import AttemptRunner

    OwnHandler = Callable[[BaseRequest], Awaitable[StreamResponse]]

__all__ = ["CallHandler", "create_call_handler"]

_ = end_to_end_headers
