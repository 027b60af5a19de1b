"""Tells on what a refusal of an upstream, that a request has not run, is believed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from heatherhead.proxy.dialect import AnswerMetadata
    from heatherhead.proxy.upstream_connection import UpstreamConnection

__all__ = ["PROMISE_STATUSES", "RefusalEvidence", "create_refusal_evidence"]

PROMISE_STATUSES = frozenset({408, 421, 429, 503})  # tell a caller: not run, and never will be
REFUSAL_STATUSES = PROMISE_STATUSES | {400}  # the latter of a request without an id
MAX_LOGGED_ID = 64  # characters


@dataclass(frozen=True, slots=True)
class RefusalEvidence:
    """What tells whether an answer is a refusal of the request that was sent."""

    status: int
    wrong_upstream: bool  # the status says that another upstream has the address
    marked: bool  # the answer says that its request has not run
    named: bool  # it names the request
    upstream: str  # that the request was sent to
    sender: str | None  # the upstream that the answer names as its own
    connection: int
    calls: int  # requests that the connection has carried, with this one
    id_carried: bool  # the connection had carried the id before, so that a copy may bear it too

    @property
    def proves_not_run(self) -> bool:
        """Return whether the request has not run, and never will."""
        if self.status not in REFUSAL_STATUSES or self.id_carried:
            return False
        if not self.named and self.calls > 1:
            return False
        return self.marked or self.misdirected

    @property
    def misdirected(self) -> bool:
        """Return whether another upstream than the one that the request was sent to answered."""
        if not self.wrong_upstream:
            return False
        return self.marked if self.sender is None else self.sender != self.upstream

    def log_fields(self) -> dict[str, object]:
        """Return the fields of a log line."""
        return {
            "status": self.status,
            "marked": self.marked,
            "named": self.named,
            "sender": (self.sender or "none")[:MAX_LOGGED_ID],
            "connection": self.connection,
            "calls": self.calls,
            "id_carried": self.id_carried,
        }


def create_refusal_evidence(
    status: int,
    metadata: AnswerMetadata,
    request_id: str,
    upstream: str,
    connection: UpstreamConnection,
) -> RefusalEvidence:
    """Collect the evidence of an answer to the last request of a connection."""
    return RefusalEvidence(
        status,
        metadata.wrong_upstream,
        metadata.not_run,
        bool(request_id) and metadata.request_id == request_id,
        upstream,
        metadata.sender,
        connection.number,
        connection.calls,
        connection.id_carried,
    )
