"""Encoding of a service record as the JSON document in the store and between peers."""

from __future__ import annotations

import json
from dataclasses import fields, is_dataclass
from functools import cache
from typing import Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from heatherhead.configuration.model import EarlierChange, ServiceRecord
from heatherhead.configuration.schema import ServiceSchema, service_from_schema
from heatherhead.exceptions import ConfigurationError

__all__ = ["MAX_DOCUMENT_BYTES", "decode_record", "encode_record"]

MAX_DOCUMENT_BYTES = 1_000_000  # the store accepts values of up to one megabyte
MAX_CHANGE_ID_CHARS = 128
FORMAT = 1


class _EarlierChange(BaseModel):
    """A change that came before the one in this document."""

    model_config = ConfigDict(extra="forbid", from_attributes=True)

    change_id: str = Field(max_length=MAX_CHANGE_ID_CHARS)
    revision: int = Field(ge=1)


class _Document(BaseModel):
    """A service, or the tombstone of a deleted one, with its latest changes."""

    model_config = ConfigDict(extra="forbid")

    format: Literal[1]
    name: str
    change_id: str = Field(max_length=MAX_CHANGE_ID_CHARS)
    earlier_changes: list[_EarlierChange]
    service: ServiceSchema | None


def encode_record(record: ServiceRecord) -> bytes:
    """Encode a record; raises `ConfigurationError` if it is too large for the store."""
    document = {
        "format": FORMAT,
        "name": record.name,
        "change_id": record.change_id,
        "earlier_changes": _plain(record.earlier_changes),
        "service": _plain(record.service),
    }
    data = json.dumps(document, ensure_ascii=False, separators=(",", ":")).encode()
    if len(data) > MAX_DOCUMENT_BYTES:
        raise ConfigurationError(
            "upstreams",
            f"the service takes {len(data)} bytes and the store holds {MAX_DOCUMENT_BYTES}",
            remedy="divide it into several services",
        )
    return data


def _plain(value: Any) -> Any:
    """Convert nested data classes into maps, without the fields that have their default value."""
    if isinstance(value, tuple):
        return [_plain(each) for each in value]
    if not is_dataclass(value):
        return value
    plain = {}
    for name, default in _default_by_field(type(value)):
        held = getattr(value, name)
        if held != default:
            plain[name] = _plain(held) if isinstance(held, tuple) else held
    return plain


@cache
def _default_by_field(data_class: type) -> tuple[tuple[str, Any], ...]:
    return tuple((each.name, each.default) for each in fields(data_class))


def decode_record(data: bytes, revision: int) -> ServiceRecord:
    """Decode the record of a revision; raises `ConfigurationError` if it is malformed."""
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
