"""Errors of the operators' interface and their encoding as gRPC status details."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING

from grpclib.const import Status as GrpcStatus
from grpclib.encoding.base import StatusDetailsCodecBase
from grpclib.exceptions import GRPCError

from heatherhead.exceptions import (
    FieldError,
    HeatherheadError,
    StoreAmbiguousError,
    StoreUnavailableError,
)
from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.messages import to_message

if TYPE_CHECKING:
    from collections.abc import Sequence

    from google.protobuf.message import Message

    from heatherhead.configuration.model import ServiceRecord

__all__ = [
    "ChangeConflictError",
    "DetailsCodec",
    "TooBusyError",
    "UnknownNameError",
    "detail_of",
    "to_grpc_error",
]

MAX_DETAIL_BYTES = 4096  # base64-encoded, it fits into the 8 KiB of headers that clients accept
MAX_TEXT_CHARS = 500

_STATUS_BY_KIND = {
    pb.ERROR_KIND_INVALID: GrpcStatus.INVALID_ARGUMENT,
    pb.ERROR_KIND_CONFLICT: GrpcStatus.ABORTED,
    pb.ERROR_KIND_NOT_FOUND: GrpcStatus.NOT_FOUND,
    pb.ERROR_KIND_STORE_UNAVAILABLE: GrpcStatus.UNAVAILABLE,
    pb.ERROR_KIND_OUTCOME_UNKNOWN: GrpcStatus.UNKNOWN,
    pb.ERROR_KIND_TOO_BUSY: GrpcStatus.RESOURCE_EXHAUSTED,
    pb.ERROR_KIND_INTERNAL: GrpcStatus.INTERNAL,
}


class UnknownNameError(HeatherheadError):
    """The named service, upstream or quarantine entry does not exist."""


class TooBusyError(HeatherheadError):
    """A limit of this instance is reached."""


class ChangeConflictError(HeatherheadError):
    """Another change of the service came first; `record` is its result, if there is one."""

    def __init__(self, reason: str, *, record: ServiceRecord | None, remedy: str) -> None:
        super().__init__(reason, remedy=remedy)
        self.record = record


@singledispatch
def detail_of(error: Exception) -> pb.ErrorDetail:
    """Convert an error into the detail that is sent to operators.

    An unexpected exception is reported by its class only; the log has the rest.
    """
    return pb.ErrorDetail(
        kind=pb.ERROR_KIND_INTERNAL,
        reason=f"{type(error).__name__} in the instance",
        remedy="look into the instance's log; ask again with the same change id",
    )


def _simple_detail(kind: pb.ErrorKind, error: HeatherheadError) -> pb.ErrorDetail:
    return pb.ErrorDetail(kind=kind, reason=_truncate(error.reason), remedy=_truncate(error.remedy))


@detail_of.register
def _(error: HeatherheadError) -> pb.ErrorDetail:
    return _simple_detail(pb.ERROR_KIND_INTERNAL, error)


@detail_of.register
def _(error: UnknownNameError) -> pb.ErrorDetail:
    return _simple_detail(pb.ERROR_KIND_NOT_FOUND, error)


@detail_of.register
def _(error: TooBusyError) -> pb.ErrorDetail:
    return _simple_detail(pb.ERROR_KIND_TOO_BUSY, error)


@detail_of.register
def _(error: StoreUnavailableError) -> pb.ErrorDetail:
    return _simple_detail(pb.ERROR_KIND_STORE_UNAVAILABLE, error)


@detail_of.register
def _(error: StoreAmbiguousError) -> pb.ErrorDetail:
    return _simple_detail(pb.ERROR_KIND_OUTCOME_UNKNOWN, error)


@detail_of.register
def _(error: FieldError) -> pb.ErrorDetail:
    first = error.problems[0]
    detail = pb.ErrorDetail(
        kind=pb.ERROR_KIND_INVALID,
        field_path=_truncate(first.path),
        reason=_truncate(first.reason),
        remedy=_truncate(first.remedy),
    )
    remaining_bytes = MAX_DETAIL_BYTES - detail.ByteSize()
    for problem in error.problems:
        message = pb.FieldProblem(
            path=_truncate(problem.path),
            reason=_truncate(problem.reason),
            remedy=_truncate(problem.remedy),
        )
        remaining_bytes -= message.ByteSize() + 3  # 3 bytes for the field's tag and length
        if remaining_bytes < 0:
            break
        detail.problems.append(message)
    return detail


@detail_of.register
def _(error: ChangeConflictError) -> pb.ErrorDetail:
    detail = _simple_detail(pb.ERROR_KIND_CONFLICT, error)
    if error.record is None:
        return detail
    record = to_message(error.record)
    if detail.ByteSize() + record.ByteSize() > MAX_DETAIL_BYTES:
        record.ClearField("service")
        record.service_omitted = True
    detail.conflicting_record.CopyFrom(record)
    return detail


def to_grpc_error(error: Exception) -> GRPCError:
    """Convert an error into a `GRPCError` that carries its detail."""
    detail = detail_of(error)
    return GRPCError(_STATUS_BY_KIND[detail.kind], detail.reason, [detail])


def _truncate(text: str) -> str:
    if len(text) <= MAX_TEXT_CHARS:
        return text
    return f"{text[:MAX_TEXT_CHARS]}..."


class DetailsCodec(StatusDetailsCodecBase):
    """Encodes error details in the wire format of google.rpc.Status."""

    def encode(self, status: GrpcStatus, message: str | None, details: Sequence[Message]) -> bytes:
        """Encode the details of a status."""
        packed = pb.Status(code=status.value, message=message or "")
        for detail in details or ():
            packed.details.add().Pack(detail)
        return packed.SerializeToString()

    def decode(
        self, status: GrpcStatus, message: str | None, data: bytes
    ) -> Sequence[pb.ErrorDetail]:
        """Decode the error details of a status; details of other types are skipped."""
        details = []
        for packed in pb.Status.FromString(data).details:
            detail = pb.ErrorDetail()
            if packed.Unpack(detail):
                details.append(detail)
        return details
