"""Typed errors of keyed calls: what a caller is told, and what it can do next."""

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
    """Base of the errors of keyed calls; `status` is the HTTP status to answer with."""

    status = 500
    outcome = ReportedOutcome.UNKNOWN
    reason_text = ""
    remedy_text = ""

    def __init__(self) -> None:
        super().__init__(self.reason_text, remedy=self.remedy_text)


class KeyMissingError(KeyedCallError):
    """A non-idempotent call came without a key."""

    status = 428
    outcome = ReportedOutcome.NOT_RUN
    reason_text = "a non-idempotent call needs an Idempotency-Key"
    remedy_text = "ask /v1/addresses for a grant and send Idempotency-Key: <grant>.<your id>"


class KeyMalformedError(KeyedCallError):
    """The key can't be read, so no instance ever runs it."""

    status = 400
    outcome = ReportedOutcome.NOT_RUN
    reason_text = "the Idempotency-Key is not <grant>.<your id>"
    remedy_text = "send a grant as it was given, a dot, and 1 to 64 of A-Z a-z 0-9 . _ : -"


class GrantForgedError(KeyedCallError):
    """The owner named in the grant never issued it, so no instance ever runs the key."""

    status = 403
    outcome = ReportedOutcome.NOT_RUN
    reason_text = "the grant in the Idempotency-Key was not issued by this instance"
    remedy_text = _NEW_GRANT


class GrantExpiredError(KeyedCallError):
    """The grant expired before the key was ever begun."""

    status = 428
    outcome = ReportedOutcome.NOT_RUN
    reason_text = "the grant in the Idempotency-Key has expired"
    remedy_text = _NEW_GRANT


class GrantClosedError(KeyedCallError):
    """The grant was closed for new keys while the key table was full."""

    status = 428
    outcome = ReportedOutcome.NOT_RUN
    reason_text = "the grant in the Idempotency-Key was closed for new calls"
    remedy_text = _NEW_GRANT


class KeyTableFullError(KeyedCallError):
    """The key table can't remember another key."""

    status = 503
    outcome = ReportedOutcome.NOT_RUN
    reason_text = "this instance can't take further non-idempotent calls at the moment"
    remedy_text = f"wait a second, {_NEW_GRANT}"


class KeyClosedError(KeyedCallError):
    """The key was told as not run, and never runs."""

    status = 409
    outcome = ReportedOutcome.NOT_RUN
    reason_text = "the call of this Idempotency-Key was not run and will not be"
    remedy_text = _NEW_KEY


class KeyMismatchError(KeyedCallError):
    """The key belongs to another request, whose outcome may differ from this one's.

    Told as unknown: a caller that changed the form of its request between two sends must not
    take the refusal for news of the first.
    """

    status = 422
    outcome = ReportedOutcome.UNKNOWN
    reason_text = "the Idempotency-Key was first used with another method, target or length"
    remedy_text = "send the first request unchanged to learn its outcome, or use a key once only"


class KeyAnswerGoneError(KeyedCallError):
    """The call ran, and its answer is no longer kept."""

    status = 409
    outcome = ReportedOutcome.RAN
    reason_text = "the call of this Idempotency-Key ran, but its answer is no longer kept"
    remedy_text = "read the result from the service"


class KeyUnknownError(KeyedCallError):
    """The call was sent and no answer is known."""

    status = 502
    reason_text = "the call of this Idempotency-Key was sent, but its outcome is not known"
    remedy_text = _CHECK_SERVICE_FIRST


class KeyForgottenError(KeyedCallError):
    """The grant expired so long ago that its keys are no longer known."""

    status = 410
    reason_text = "the grant expired too long ago to tell whether the call ran"
    remedy_text = _CHECK_SERVICE_FIRST


class GrantOwnerGoneError(KeyedCallError):
    """The process that issued the grant is gone or can't be reached."""

    status = 502
    reason_text = "the instance that issued the grant is gone or out of reach"
    remedy_text = f"send the call again with the same key, then {_CHECK_SERVICE_FIRST}"
