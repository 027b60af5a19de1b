"""The form in which the store and the peers hold one service: a JSON document."""

from __future__ import annotations

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from heatherhead.configuration.model import EarlierChange, ServiceRecord
from heatherhead.configuration.schema import (
    ServiceSchema,
    service_from_schema,
    service_to_schema,
)
from heatherhead.exceptions import ConfigurationError

__all__ = ["MAX_DOCUMENT_BYTES", "decode_record", "encode_record"]

MAX_DOCUMENT_BYTES = 1_000_000  # the store holds values up to a megabyte
MAX_CHANGE_ID_LENGTH = 128


class _EarlierChange(BaseModel):
    """A change that this document has replaced."""

    model_config = ConfigDict(extra="forbid", from_attributes=True)

    change_id: str = Field(max_length=MAX_CHANGE_ID_LENGTH)
    revision: int = Field(ge=1)


class _Document(BaseModel):
    """One service, or the tombstone of a deleted one, with the changes that led to it."""

    model_config = ConfigDict(extra="forbid")

    format: Literal[1]
    name: str
    change_id: str = Field(max_length=MAX_CHANGE_ID_LENGTH)
    earlier_changes: list[_EarlierChange]
    service: ServiceSchema | None


def encode_record(record: ServiceRecord) -> bytes:
    """Pack a record; raises `ConfigurationError` when it is too large for the store."""
    document = _Document(
        format=1,
        name=record.name,
        change_id=record.change_id,
        earlier_changes=[_EarlierChange.model_validate(each) for each in record.earlier_changes],
        service=service_to_schema(record.service) if record.service else None,
    )
    data = document.model_dump_json(exclude_defaults=True).encode()
    if len(data) > MAX_DOCUMENT_BYTES:
        raise ConfigurationError(
            "upstreams",
            f"the service takes {len(data)} bytes and the store holds {MAX_DOCUMENT_BYTES}",
            remedy="divide it into several services",
        )
    return data


def decode_record(data: bytes, revision: int) -> ServiceRecord:
    """Unpack a record of a revision; raises `ConfigurationError` for anything else."""
    try:
        document = _Document.model_validate_json(data)
    except ValidationError as error:
        first = error.errors()[0]
        raise ConfigurationError(
            ".".join(str(part) for part in first["loc"]) or "(document)",
            first["msg"],
            remedy="change services through the operators' interface only",
        ) from error
    return ServiceRecord(
        document.name,
        revision,
        document.change_id,
        service_from_schema(document.service) if document.service else None,
        tuple(EarlierChange(each.change_id, each.revision) for each in document.earlier_changes),
    )
