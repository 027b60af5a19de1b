"""Exceptions of heatherhead; each message names a remedy."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "BadCallError",
    "CallCutError",
    "CallRefusedError",
    "ConfigurationError",
    "ConflictError",
    "DeadlineUnreachableError",
    "FieldError",
    "FieldProblem",
    "HeatherheadError",
    "NoUpstreamError",
    "OutcomeUnknownError",
    "PeerProtocolError",
    "QuarantinedError",
    "QueueFullError",
    "ReportedOutcome",
    "SettingsError",
    "StoreAmbiguousError",
    "StoreUnavailableError",
]


class ReportedOutcome(StrEnum):
    """What is reported to a caller about a call that has no answer."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


class HeatherheadError(Exception):
    """Base of every error that heatherhead raises or returns.

    `reason` states what is wrong, and `remedy` what the reader can do about it.
    """

    def __init__(self, reason: str, *, remedy: str) -> None:
        super().__init__(f"{reason}; {remedy}")
        self.reason = reason
        self.remedy = remedy


@dataclass(frozen=True, slots=True)
class FieldProblem:
    """A problem with one field of a document; `path` locates it, such as `services.0.name`."""

    path: str
    reason: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.path}: {self.reason}; {self.remedy}"


class FieldError(HeatherheadError):
    """Fields of a document are invalid; `path` locates the first of them.

    `problems` holds the first problem and all `other_problems`; the message has one line for each.
    """

    def __init__(
        self, path: str, reason: str, *, remedy: str, other_problems: tuple[FieldProblem, ...] = ()
    ) -> None:
        super().__init__(f"{path}: {reason}", remedy=remedy)
        self.path = path
        self.problems = (FieldProblem(path, reason, remedy), *other_problems)

    def __str__(self) -> str:
        return "\n".join(str(problem) for problem in self.problems)


class SettingsError(FieldError):
    """The settings file can't be used."""


class ConfigurationError(FieldError):
    """The configuration of a service is invalid and was not written to the store."""


class ConflictError(HeatherheadError):
    """Another change was written first; `revision` is the current one in the store."""

    def __init__(self, reason: str, *, revision: int, remedy: str) -> None:
        super().__init__(reason, remedy=remedy)
        self.revision = revision


class StoreUnavailableError(HeatherheadError):
    """The platform's store did not accept the request; a write had no effect."""


class StoreAmbiguousError(HeatherheadError):
    """The platform's store did not answer; a write may have taken effect."""


class PeerProtocolError(HeatherheadError):
    """A peer sent something that this version can't read."""


class CallRefusedError(HeatherheadError):
    """The call has not run and will not run; `status` is the HTTP status of the answer."""

    status = 503
    outcome = ReportedOutcome.NOT_RUN


class QueueFullError(CallRefusedError):
    """The queue of a service is full."""


class DeadlineUnreachableError(CallRefusedError):
    """The call could not be answered before its deadline."""

    status = 504


class NoUpstreamError(CallRefusedError):
    """No upstream of the service is available at the moment."""


class QuarantinedError(CallRefusedError):
    """Calls like this one have crashed upstreams and are rejected for a while."""


class BadCallError(CallRefusedError):
    """The caller's request is malformed or exceeds a limit; `status` tells which."""

    def __init__(self, reason: str, *, status: int, remedy: str) -> None:
        super().__init__(reason, remedy=remedy)
        self.status = status


class CallCutError(HeatherheadError):
    """The caller's connection ended before the request body was complete."""


class OutcomeUnknownError(HeatherheadError):
    """The call may or may not have run; `status` is the HTTP status of the answer."""

    outcome = ReportedOutcome.UNKNOWN

    def __init__(self, reason: str, *, remedy: str, status: int = 502) -> None:
        super().__init__(reason, remedy=remedy)
        self.status = status
