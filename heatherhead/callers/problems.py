"""Answers that say what became of a call without an answer (RFC 9457)."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from functools import singledispatch

from aiohttp import web

from heatherhead.callers.headers import NO_RETRY, NOT_RUN
from heatherhead.exceptions import (
    CallRefusedError,
    HeatherheadError,
    OutcomeUnknownError,
    ReportedOutcome,
)

__all__ = ["Problem", "problem_of", "problem_response"]

CONTENT_TYPE = "application/problem+json"


@dataclass(frozen=True, slots=True)
class Problem:
    """What a caller is told: HTTP status, outcome of the call and remedy."""

    status: int
    title: str
    remedy: str
    outcome: ReportedOutcome
    kind: str = "about:blank"
    no_retry: bool = False
    headers: dict[str, str] = field(default_factory=dict)


@singledispatch
def problem_of(error: HeatherheadError, *, no_retry: bool = False) -> Problem:
    """Describe an error to a caller; one of no known kind leaves the outcome unknown."""
    return Problem(500, error.reason, error.remedy, ReportedOutcome.UNKNOWN, no_retry=no_retry)


@problem_of.register
def _(error: CallRefusedError, *, no_retry: bool = False) -> Problem:
    return Problem(
        error.status,
        error.reason,
        error.remedy,
        error.outcome,
        kind=_kind(error),
        no_retry=no_retry,
    )


@problem_of.register
def _(error: OutcomeUnknownError, *, no_retry: bool = False) -> Problem:
    return Problem(
        error.status,
        error.reason,
        error.remedy,
        error.outcome,
        kind=_kind(error),
        no_retry=no_retry,
    )


def _kind(error: HeatherheadError) -> str:
    name = type(error).__name__.removesuffix("Error")
    words = "".join(f"-{char.lower()}" if char.isupper() else char for char in name)
    return "urn:heatherhead:problem:" + words.lstrip("-")


def problem_response(problem: Problem) -> web.Response:
    """Build the HTTP answer of a problem."""
    document = {
        "type": problem.kind,
        "title": problem.title,
        "status": problem.status,
        "outcome": problem.outcome.value,
        "remedy": problem.remedy,
    }
    response = web.Response(
        status=problem.status,
        body=json.dumps(document).encode(),
        content_type=CONTENT_TYPE,
        headers=problem.headers,
    )
    if problem.outcome is ReportedOutcome.NOT_RUN:
        response.headers[NOT_RUN] = "true"
    if problem.no_retry:
        response.headers[NO_RETRY] = "true"
    return response
