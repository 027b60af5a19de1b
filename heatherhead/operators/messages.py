"""Converts between the daemon's data classes and protobuf messages."""

from __future__ import annotations

from functools import singledispatch
from typing import Any

from google.protobuf.message import Message
from pydantic import ValidationError

from heatherhead.configuration.interface import AppliedRevision
from heatherhead.configuration.model import CallClass, PathRule, Service, ServiceRecord, Upstream
from heatherhead.configuration.schema import ServiceSchema, service_from_schema
from heatherhead.exceptions import ConfigurationError, FieldProblem
from heatherhead.field_problems import problems_of
from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.routing.interface import QuarantineEntry
from heatherhead.telemetry.interface import (
    Distribution,
    HistogramKind,
    HistogramReading,
    OutcomeReading,
)

__all__ = ["message_of_schema", "schema_of_message", "summary_of_record", "to_message"]

FINGERPRINT_MASK = 2**64 - 1

_PROTO_KIND_BY_KIND = {
    HistogramKind.ADDED: pb.HISTOGRAM_KIND_ADDED,
    HistogramKind.UPSTREAM: pb.HISTOGRAM_KIND_UPSTREAM,
    HistogramKind.QUEUE_WAIT: pb.HISTOGRAM_KIND_QUEUE_WAIT,
    HistogramKind.ATTEMPTS: pb.HISTOGRAM_KIND_ATTEMPTS,
}


def schema_of_message(message: pb.Service) -> ServiceSchema:
    """Validate a received service; raises `ConfigurationError` with all invalid fields."""
    document = _sent_fields(message)
    try:
        return ServiceSchema.model_validate(document)
    except ValidationError as error:
        first, *other_problems = problems_of(error, ServiceSchema)
        raise ConfigurationError(
            first.path, first.reason, remedy=first.remedy, other_problems=tuple(other_problems)
        ) from error


def _sent_fields(message: Message) -> dict[str, Any]:
    """Convert a message into a dictionary of the fields that are set."""
    return {field.name: _plain_value(value) for field, value in message.ListFields()}


def _plain_value(value: Any) -> Any:
    if isinstance(value, Message):
        return _sent_fields(value)
    if isinstance(value, str | int | float):
        return value
    return [_plain_value(each) for each in value]


def message_of_schema(schema: ServiceSchema) -> pb.Service:
    """Convert a validated service into a message in which defaults are filled in."""
    return to_message(service_from_schema(schema))


def summary_of_record(record: ServiceRecord) -> pb.ServiceSummary:
    """Summarise a record whose service has not been deleted."""
    assert record.service is not None
    service = record.service
    return pb.ServiceSummary(
        name=record.name,
        revision=record.revision,
        change_id=record.change_id,
        upstreams=len(service.upstreams),
        draining_upstreams=sum(each.draining for each in service.upstreams),
        hosts=service.hosts,
        path_prefixes=service.path_prefixes,
    )


@singledispatch
def to_message(value: Any) -> Message:
    """Convert a data class into the corresponding message."""
    raise TypeError(f"{type(value).__name__} has no protobuf message; register a conversion")


@to_message.register
def _(value: Service) -> pb.Service:
    return pb.Service(
        name=value.name,
        upstreams=[to_message(each) for each in value.upstreams],
        hosts=value.hosts,
        path_prefixes=value.path_prefixes,
        default_deadline_ms=value.default_deadline_ms,
        queue_limit=value.queue_limit,
        classes=[to_message(each) for each in value.classes],
        path_rules=[to_message(each) for each in value.path_rules],
        retry_share=value.retry_share,
        hedge_share=value.hedge_share,
        key_required=value.key_required,
        health_path=value.health_path,
    )


@to_message.register
def _(value: Upstream) -> pb.Upstream:
    return pb.Upstream(
        id=value.id,
        host=value.host,
        port=value.port,
        region=value.region,
        availability_zone=value.availability_zone,
        slots=value.slots,
        draining=value.draining,
    )


@to_message.register
def _(value: CallClass) -> pb.CallClass:
    return pb.CallClass(name=value.name, weight=value.weight)


@to_message.register
def _(value: PathRule) -> pb.PathRule:
    return pb.PathRule(
        path_prefix=value.path_prefix, idempotent=value.idempotent, methods=value.methods
    )


@to_message.register
def _(value: ServiceRecord) -> pb.ServiceRecord:
    service = to_message(value.service) if value.service else None
    return pb.ServiceRecord(
        name=value.name, revision=value.revision, change_id=value.change_id, service=service
    )


@to_message.register
def _(value: FieldProblem) -> pb.FieldProblem:
    return pb.FieldProblem(path=value.path, reason=value.reason, remedy=value.remedy)


@to_message.register
def _(value: QuarantineEntry) -> pb.QuarantineEntry:
    return pb.QuarantineEntry(
        service=value.service,
        fingerprint=value.fingerprint & FINGERPRINT_MASK,
        deaths=value.deaths,
        expires_in_s=value.expires_in_s,
        example=value.example,
    )


@to_message.register
def _(value: AppliedRevision) -> pb.AppliedRevision:
    message = pb.AppliedRevision(instance_id=value.instance_id)
    if value.revision >= 0:
        message.revision = value.revision
        message.age_s = value.age_s
    return message


@to_message.register
def _(value: Distribution) -> pb.Distribution:
    return pb.Distribution(
        count=value.count,
        mean=value.mean,
        p50=value.p50,
        p90=value.p90,
        p99=value.p99,
        p999=value.p999,
        maximum=value.maximum,
    )


@to_message.register
def _(value: HistogramReading) -> pb.Histogram:
    return pb.Histogram(
        service=value.service,
        call_class=value.call_class,
        kind=_PROTO_KIND_BY_KIND[value.kind],
        recent=to_message(value.recent),
        total=to_message(value.total),
        encoded=value.encoded,
    )


@to_message.register
def _(value: OutcomeReading) -> pb.OutcomeCount:
    return pb.OutcomeCount(
        service=value.service,
        call_class=value.call_class,
        outcome=value.outcome,
        recent=value.recent,
        total=value.total,
    )
