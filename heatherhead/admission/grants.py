"""Grants: signed tokens with which an instance permits a caller's non-idempotent calls.

A grant has the form `h1~INSTANCE~INCARNATION~SERIAL~EXPIRY~MAC`. Serial and expiry are hexadecimal.
The expiry is in milliseconds on the loop clock of the issuing instance, so that clocks of different
instances are never compared. Any instance can read who issued a grant, but only the issuing
incarnation can verify it. A request key is `GRANT.CALLER_ID`.
"""

from __future__ import annotations

import hmac
import re
import secrets
from base64 import urlsafe_b64encode
from dataclasses import dataclass
from enum import StrEnum

from result import Err, Ok, Result

from heatherhead.admission.key_errors import KeyMalformedError
from heatherhead.exceptions import SettingsError

__all__ = [
    "DEFAULT_GRANT_LIFETIME_S",
    "MAX_CALLER_ID_CHARS",
    "MAX_KEY_CHARS",
    "CallKey",
    "Grant",
    "GrantClaim",
    "GrantIssuer",
    "GrantProblem",
    "create_grant_issuer",
    "parse_key",
]

DEFAULT_GRANT_LIFETIME_S = 30.0
MAX_KEY_CHARS = 256
MAX_CALLER_ID_CHARS = 64
MAC_BYTES = 16
MAC_CHARS = 22  # base64 of MAC_BYTES without padding
SECRET_BYTES = 32

_NAME = r"[A-Za-z0-9._:-]{1,64}"
_GRANT = rf"(h1~({_NAME})~({_NAME})~([0-9a-f]{{1,12}})~([0-9a-f]{{1,14}}))~([\w-]{{{MAC_CHARS}}})"
_KEY_PATTERN = re.compile(rf"{_GRANT}\.([A-Za-z0-9._:-]{{1,{MAX_CALLER_ID_CHARS}}})", re.ASCII)
_NAME_PATTERN = re.compile(_NAME)


class GrantProblem(StrEnum):
    """Reason why this process did not accept a grant as its own."""

    OTHER_INSTANCE = "other-instance"
    OTHER_INCARNATION = "other-incarnation"
    FORGED = "forged"


@dataclass(frozen=True, slots=True)
class GrantClaim:
    """The parsed fields of a grant that has not been verified yet.

    `expires_at` is in seconds on the loop clock of the instance that issued it.
    """

    instance_id: str
    incarnation: str
    serial: int
    expires_at: float
    signed_text: str
    mac: str


@dataclass(frozen=True, slots=True)
class Grant:
    """A verified grant of this process; `expires_at` is in seconds on its loop clock."""

    serial: int
    expires_at: float


@dataclass(frozen=True, slots=True)
class CallKey:
    """A parsed request key: the unverified grant and the caller's own id for the call."""

    text: str
    grant: GrantClaim
    caller_id: str

    @property
    def name(self) -> str:
        """Return the name that log lines give the key, which holds no secret."""
        return f"{self.grant.serial:x}.{self.caller_id}"


def parse_key(text: str) -> Result[CallKey, KeyMalformedError]:
    """Parse a request key without verifying its grant."""
    match = _KEY_PATTERN.fullmatch(text) if len(text) <= MAX_KEY_CHARS else None
    if match is None:
        return Err(KeyMalformedError())
    signed_text, instance_id, incarnation, serial, expiry, mac, caller_id = match.groups()
    claim = GrantClaim(
        instance_id, incarnation, int(serial, 16), int(expiry, 16) / 1000, signed_text, mac
    )
    return Ok(CallKey(text, claim, caller_id))


class GrantIssuer:
    """Issues and verifies the grants of one incarnation of this process."""

    def __init__(
        self, instance_id: str, incarnation: str, lifetime_s: float, secret: bytes
    ) -> None:
        self.instance_id = instance_id
        self.incarnation = incarnation
        self.lifetime_s = lifetime_s
        self.last_serial = 0
        self._secret = secret
        self._prefix = f"h1~{instance_id}~{incarnation}~"

    def issue(self, now: float) -> str:
        """Return a new grant that expires `lifetime_s` seconds after `now`."""
        self.last_serial += 1
        expiry_ms = int((now + self.lifetime_s) * 1000)
        signed_text = f"{self._prefix}{self.last_serial:x}~{expiry_ms:x}"
        return f"{signed_text}~{self._mac(signed_text)}"

    def verify(self, claim: GrantClaim) -> Result[Grant, GrantProblem]:
        """Return the verified grant, or the reason why this process did not issue it.

        Expiry is checked by the key table, in the same step that begins the call.
        """
        if claim.instance_id != self.instance_id:
            return Err(GrantProblem.OTHER_INSTANCE)
        if claim.incarnation != self.incarnation:
            return Err(GrantProblem.OTHER_INCARNATION)
        if not hmac.compare_digest(self._mac(claim.signed_text), claim.mac):
            return Err(GrantProblem.FORGED)
        return Ok(Grant(claim.serial, claim.expires_at))

    def _mac(self, signed_text: str) -> str:
        digest = hmac.digest(self._secret, signed_text.encode("ascii"), "sha256")
        return urlsafe_b64encode(digest[:MAC_BYTES])[:MAC_CHARS].decode("ascii")


def create_grant_issuer(
    instance_id: str, incarnation: str, lifetime_s: float = DEFAULT_GRANT_LIFETIME_S
) -> GrantIssuer:
    """Create the issuer of one incarnation of this process, with a random secret.

    `incarnation` must differ at each start. Raises `SettingsError` for a name that can't be used
    in a header.
    """
    for path, name in (("instance.id", instance_id), ("incarnation", incarnation)):
        if _NAME_PATTERN.fullmatch(name) is None:
            raise SettingsError(
                path, f"{name!r} can't be part of a grant", remedy=f"choose a name like {_NAME}"
            )
    return GrantIssuer(instance_id, incarnation, lifetime_s, secrets.token_bytes(SECRET_BYTES))
