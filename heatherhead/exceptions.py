"""Typed errors of heatherhead, each with a message that names the remedy."""

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
    """What a caller is told about a call that has no answer."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


class HeatherheadError(Exception):
    """Base of every error that heatherhead raises or returns.

    `reason` says what is wrong and `remedy` what the reader can do about it.
    """

    def __init__(self, reason: str, *, remedy: str) -> None:
        super().__init__(f"{reason}; {remedy}")
        self.reason = reason
        self.remedy = remedy


@dataclass(frozen=True, slots=True)
class FieldProblem:
    """What is wrong with one field of a document; `path` names it, as `services.0.name`."""

    path: str
    reason: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.path}: {self.reason}; {self.remedy}"


class FieldError(HeatherheadError):
    """Values of a document are wrong; `path` names the first such field.

    `problems` holds the first problem and all `others`, and the message has a line for each.
    """

    def __init__(
        self, path: str, reason: str, *, remedy: str, others: tuple[FieldProblem, ...] = ()
    ) -> None:
        super().__init__(f"{path}: {reason}", remedy=remedy)
        self.path = path
        self.problems = (FieldProblem(path, reason, remedy), *others)

    def __str__(self) -> str:
        return "\n".join(str(problem) for problem in self.problems)


class SettingsError(FieldError):
    """The settings file can't be used."""


class ConfigurationError(FieldError):
    """A service's configuration is refused before it reaches the store."""


class ConflictError(HeatherheadError):
    """Another change came first; `revision` is the one now in the store."""

    def __init__(self, reason: str, *, revision: int, remedy: str) -> None:
        super().__init__(reason, remedy=remedy)
        self.revision = revision


class StoreUnavailableError(HeatherheadError):
    """The platform's store did not take the request; a write had no effect."""


class StoreAmbiguousError(HeatherheadError):
    """The platform's store gave no answer; a write may have had its effect."""


class PeerProtocolError(HeatherheadError):
    """A peer sent something that this version can't read."""


class CallRefusedError(HeatherheadError):
    """A call was not run and will not be; `status` is the HTTP status to answer with."""

    status = 503
    outcome = ReportedOutcome.NOT_RUN


class QueueFullError(CallRefusedError):
    """The queue of a service has reached its bound."""


class DeadlineUnreachableError(CallRefusedError):
    """The call could not have been answered before its deadline."""

    status = 504


class NoUpstreamError(CallRefusedError):
    """No upstream of the service may receive work now."""


class QuarantinedError(CallRefusedError):
    """Calls like this one have crashed upstreams and are held back for a while."""


class BadCallError(CallRefusedError):
    """The caller's request breaks a rule or a bound; `status` says which kind."""

    def __init__(self, reason: str, *, status: int, remedy: str) -> None:
        super().__init__(reason, remedy=remedy)
        self.status = status


class CallCutError(HeatherheadError):
    """The caller's connection or request body ended early."""


class OutcomeUnknownError(HeatherheadError):
    """The call may or may not have run; `status` is the HTTP status to answer with."""

    outcome = ReportedOutcome.UNKNOWN

    def __init__(self, reason: str, *, remedy: str, status: int = 502) -> None:
        super().__init__(reason, remedy=remedy)
        self.status = status
