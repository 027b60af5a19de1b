"""Problem details (RFC 9457): HTTP answers for calls that failed, with their outcome."""

from __future__ import annotations

import json
from dataclasses import dataclass
from functools import singledispatch

from aiohttp import web

from heatherhead.admission.key_errors import KeyedCallError
from heatherhead.callers.headers import NO_RETRY, NOT_RUN, SERVER_NAME
from heatherhead.exceptions import (
    CallRefusedError,
    HeatherheadError,
    OutcomeUnknownError,
    ReportedOutcome,
)

__all__ = ["Problem", "problem_of", "problem_response"]

PROBLEM_CONTENT_TYPE = "application/problem+json"


@dataclass(frozen=True, slots=True)
class Problem:
    """A problem document: HTTP status, title, remedy and outcome of the call."""

    status: int
    title: str
    remedy: str
    outcome: ReportedOutcome
    type_uri: str = "about:blank"

    @property
    def no_retry(self) -> bool:
        """Return whether layers above should not retry, since this one is closer to the failure."""
        return self.status >= 500


@singledispatch
def problem_of(error: HeatherheadError) -> Problem:
    """Convert an error to a problem; error types without an outcome are reported as unknown."""
    return Problem(500, error.reason, error.remedy, ReportedOutcome.UNKNOWN)


@problem_of.register(CallRefusedError)
@problem_of.register(KeyedCallError)
@problem_of.register(OutcomeUnknownError)
def _(
    error: CallRefusedError | KeyedCallError | OutcomeUnknownError,
) -> Problem:
    return Problem(
        error.status, error.reason, error.remedy, error.outcome, type_uri=_type_uri(error)
    )


def _type_uri(error: HeatherheadError) -> str:
    name = type(error).__name__.removesuffix("Error")
    words = "".join(f"-{char.lower()}" if char.isupper() else char for char in name)
    return "urn:heatherhead:problem:" + words.lstrip("-")


def problem_response(problem: Problem) -> web.Response:
    """Build the HTTP answer for a problem."""
    document = {
        "type": problem.type_uri,
        "title": problem.title,
        "status": problem.status,
        "outcome": problem.outcome.value,
        "remedy": problem.remedy,
    }
    response = web.Response(
        status=problem.status,
        body=json.dumps(document).encode(),
        content_type=PROBLEM_CONTENT_TYPE,
        headers={"Server": SERVER_NAME},
    )
    if problem.outcome is ReportedOutcome.NOT_RUN:
        response.headers[NOT_RUN] = "true"
    if problem.no_retry:
        response.headers[NO_RETRY] = "true"
    return response
