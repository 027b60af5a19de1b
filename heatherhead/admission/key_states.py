"""States of a request key and the results that are reported to callers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from hashlib import blake2b

from heatherhead.admission.key_errors import (
    KeyAnswerGoneError,
    KeyClosedError,
    KeyedCallError,
    KeyUnknownError,
)

__all__ = ["KeyResult", "KeyState", "KeyInProgress", "RecordedAnswer", "request_fingerprint"]

ANSWER_OVERHEAD_BYTES = 512
HEADER_OVERHEAD_BYTES = 160
REQUEST_FINGERPRINT_BYTES = 7


class KeyState(StrEnum):
    """State of a key in the key table.

    The call of the key ran and its answer is stored (RECORDED) or not stored (RAN), may have run
    (UNKNOWN), or did not run and never will (CLOSED).
    """

    ABSENT = "absent"
    RUNNING = "running"
    RECORDED = "recorded"
    RAN = "ran"
    UNKNOWN = "unknown"
    CLOSED = "closed"


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """An upstream's complete answer, stored to answer resends of the call."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def size_bytes(self) -> int:
        """Estimate the memory that the answer occupies."""
        headers = sum(len(name) + len(value) for name, value in self.headers)
        overhead = ANSWER_OVERHEAD_BYTES + HEADER_OVERHEAD_BYTES * len(self.headers)
        return overhead + headers + len(self.body)


@dataclass(frozen=True, slots=True)
class KeyResult:
    """Final state of a key's call; `answer` is set in state RECORDED only."""

    state: KeyState
    answer: RecordedAnswer | None = None

    def error(self) -> KeyedCallError | None:
        """Return the error to report to the caller, or `None` if there is an answer."""
        kind = _error_by_state.get(self.state)
        return kind() if kind else None


_error_by_state: dict[KeyState, type[KeyedCallError]] = {
    KeyState.RAN: KeyAnswerGoneError,
    KeyState.UNKNOWN: KeyUnknownError,
    KeyState.CLOSED: KeyClosedError,
}


@dataclass(frozen=True, slots=True)
class KeyInProgress:
    """The call of the key is in progress; `KeyTable.wait` returns its result."""

    name: str


def request_fingerprint(method: str, target: str, content_length: int | None) -> int:
    """Hash the parts of a request that must be equal when it is resent."""
    text = f"{method} {content_length} {target}"
    digest = blake2b(
        text.encode("utf-8", "surrogateescape"), digest_size=REQUEST_FINGERPRINT_BYTES
    ).digest()
    return int.from_bytes(digest, "big")
