"""Handler of `Quarantine`: list and release."""

from __future__ import annotations

from typing import TYPE_CHECKING

from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.errors import UnknownNameError
from heatherhead.operators.handlers.requests import receive_request
from heatherhead.operators.heatherhead_grpc import QuarantineBase
from heatherhead.operators.messages import FINGERPRINT_MASK, to_message
from heatherhead.telemetry.logs import log_event

if TYPE_CHECKING:
    from grpclib.server import Stream

    from heatherhead.operators.parts import DaemonParts

__all__ = ["QuarantineHandler"]

MAX_LISTED_ENTRIES = 1000


class QuarantineHandler(QuarantineBase):
    """Lists and releases quarantined fingerprints."""

    def __init__(self, parts: DaemonParts) -> None:
        self._router = parts.router
        self._membership = parts.membership

    async def List(self, stream: Stream[pb.ListQuarantineRequest, pb.ListQuarantineReply]) -> None:
        """List the entries of one service or of all."""
        request = await receive_request(stream)
        entries = [
            to_message(entry)
            for entry in self._router.quarantined()
            if request.service in ("", entry.service)
        ]
        await stream.send_message(
            pb.ListQuarantineReply(
                entries=entries[:MAX_LISTED_ENTRIES], instance_id=self._membership.own.id
            )
        )

    async def Release(self, stream: Stream[pb.ReleaseRequest, pb.ReleaseReply]) -> None:
        """Release an entry on this instance and on the other homes of the service."""
        request = await receive_request(stream)
        if not self._router.release(request.service, self._signed_fingerprint(request)):
            raise UnknownNameError(
                f"fingerprint {request.fingerprint:016x} of service {request.service}"
                f" is not held on {self._membership.own.id}; its homes were told to release it",
                remedy="see what is left with: heatherhead quarantine list --all",
            )
        log_event(
            "quarantine_released_by_operator",
            service=request.service,
            fingerprint=f"{request.fingerprint:016x}",
        )
        await stream.send_message(pb.ReleaseReply())

    def _signed_fingerprint(self, request: pb.ReleaseRequest) -> int:
        """Return the fingerprint as the router stores it, signed; the message has it unsigned."""
        for entry in self._router.quarantined():
            is_same = entry.fingerprint & FINGERPRINT_MASK == request.fingerprint
            if entry.service == request.service and is_same:
                return entry.fingerprint
        return request.fingerprint
