"""Typed errors of keyed calls, with the outcome and the remedy that are reported to the caller.

Class names reach callers, in kebab case and without `Error`, as `type` of the problem document.
"""

from __future__ import annotations

from heatherhead.exceptions import HeatherheadError, ReportedOutcome

__all__ = [
    "GrantClosedError",
    "GrantExpiredError",
    "GrantForgedError",
    "GrantOwnerGoneError",
    "KeyAnswerGoneError",
    "KeyClosedError",
    "KeyedCallError",
    "KeyForgottenError",
    "KeyMalformedError",
    "KeyMismatchError",
    "KeyMissingError",
    "KeyTableFullError",
    "KeyUnknownError",
]

_NEW_GRANT = "ask /v1/addresses for a new grant and send the call with a new key"
_NEW_KEY = "send the call again with a new key"
_CHECK_SERVICE_FIRST = (
    "find out at the service whether the call ran before sending it with a new key"
)


class KeyedCallError(HeatherheadError):
    """Base class of the errors of keyed calls; `status` is the HTTP status of the answer."""

    status = 500
    outcome = ReportedOutcome.UNKNOWN
    reason_text = ""
    remedy_text = ""

    def __init__(self) -> None:
        super().__init__(self.reason_text, remedy=self.remedy_text)


class KeyMissingError(KeyedCallError):
    """A non-idempotent call has no key."""

    status = 428
    outcome = ReportedOutcome.NOT_RUN
    reason_text = "a non-idempotent call needs an Idempotency-Key"
    remedy_text = "ask /v1/addresses for a grant and send Idempotency-Key: <grant>.<your id>"


class KeyMalformedError(KeyedCallError):
    """The key can't be parsed, so no instance runs its call."""

    status = 400
    outcome = ReportedOutcome.NOT_RUN
    reason_text = "the Idempotency-Key is not <grant>.<your id>"
    remedy_text = "send a grant as it was given, a dot, and 1 to 64 of A-Z a-z 0-9 . _ : -"


class GrantForgedError(KeyedCallError):
    """The instance named in the grant did not issue it, so no instance runs the key's call."""

    status = 403
    outcome = ReportedOutcome.NOT_RUN
    reason_text = "the grant in the Idempotency-Key was not issued by this instance"
    remedy_text = _NEW_GRANT


class GrantExpiredError(KeyedCallError):
    """The grant expired before the key was first used."""

    status = 428
    outcome = ReportedOutcome.NOT_RUN
    reason_text = "the grant in the Idempotency-Key has expired"
    remedy_text = _NEW_GRANT


class GrantClosedError(KeyedCallError):
    """The grant was closed to new keys when the key table was full."""

    status = 428
    outcome = ReportedOutcome.NOT_RUN
    reason_text = "the grant in the Idempotency-Key was closed for new calls"
    remedy_text = _NEW_GRANT


class KeyTableFullError(KeyedCallError):
    """The key table has no room for another key."""

    status = 503
    outcome = ReportedOutcome.NOT_RUN
    reason_text = "this instance can't take further non-idempotent calls at the moment"
    remedy_text = f"wait a second, {_NEW_GRANT}"


class KeyClosedError(KeyedCallError):
    """The call of the key was reported as not run, so the key can't run again."""

    status = 409
    outcome = ReportedOutcome.NOT_RUN
    reason_text = "the call of this Idempotency-Key was not run and will not be"
    remedy_text = _NEW_KEY


class KeyMismatchError(KeyedCallError):
    """The key belongs to a different request, whose outcome may differ.

    The outcome is reported as unknown, since a caller that changed its request between two sends
    must not read this error as the outcome of the first one.
    """

    status = 422
    outcome = ReportedOutcome.UNKNOWN
    reason_text = "the Idempotency-Key was first used with another method, target or length"
    remedy_text = "send the first request unchanged to learn its outcome, or use a key once only"


class KeyAnswerGoneError(KeyedCallError):
    """The call ran, but its answer is not stored any more."""

    status = 409
    outcome = ReportedOutcome.RAN
    reason_text = "the call of this Idempotency-Key ran, but its answer is no longer kept"
    remedy_text = "read the result from the service"


class KeyUnknownError(KeyedCallError):
    """The call was sent, but no answer was received."""

    status = 502
    reason_text = "the call of this Idempotency-Key was sent, but its outcome is not known"
    remedy_text = _CHECK_SERVICE_FIRST


class KeyForgottenError(KeyedCallError):
    """The retention of the grant's keys has ended, so the outcome can't be looked up."""

    status = 410
    reason_text = "the grant expired too long ago to tell whether the call ran"
    remedy_text = _CHECK_SERVICE_FIRST


class GrantOwnerGoneError(KeyedCallError):
    """The process that issued the grant has stopped or can't be reached."""

    status = 502
    reason_text = "the instance that issued the grant is gone or out of reach"
    remedy_text = f"send the call again with the same key, then {_CHECK_SERVICE_FIRST}"
