"""Service documents: read as JSON with comments, printed as JSON."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import pyjson5
from pydantic import ValidationError

from heatherhead.commands.exit_codes import CommandError, ExitCode
from heatherhead.configuration.schema import ServiceSchema
from heatherhead.exceptions import ConfigurationError
from heatherhead.field_problems import WHOLE_DOCUMENT, problems_of
from heatherhead.operators.messages import schema_of_message

if TYPE_CHECKING:
    from heatherhead.operators import heatherhead_pb2 as pb

__all__ = ["document_of_service", "format_document", "parse_service", "read_service"]

MAX_DOCUMENT_CHARS = 4 * 1024 * 1024


def read_service(path: str) -> ServiceSchema:
    """Read a service document from a file, or from standard input for `-`.

    Raises `CommandError` if the file can't be read, `ConfigurationError` if its content is invalid.
    """
    try:
        text = sys.stdin.read() if path == "-" else Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise CommandError(
            ExitCode.USAGE, f"{path} can't be read: {error}", remedy="name a readable file"
        ) from error
    return parse_service(text)


def parse_service(text: str) -> ServiceSchema:
    """Parse a service document; raises `ConfigurationError` with every invalid field."""
    if len(text) > MAX_DOCUMENT_CHARS:
        raise ConfigurationError(
            WHOLE_DOCUMENT,
            f"the document has {len(text)} characters, more than {MAX_DOCUMENT_CHARS}",
            remedy="split the service into several",
        )
    try:
        return ServiceSchema.model_validate(pyjson5.decode(text))
    except pyjson5.Json5Exception as error:
        raise ConfigurationError(
            WHOLE_DOCUMENT, f"not JSON with comments: {error}", remedy="correct the syntax"
        ) from error
    except ValidationError as error:
        first, *other_problems = problems_of(error, ServiceSchema)
        raise ConfigurationError(
            first.path, first.reason, remedy=first.remedy, other_problems=tuple(other_problems)
        ) from error


def document_of_service(service: pb.Service | ServiceSchema) -> dict[str, Any]:
    """Convert a service into a document for `services put`, with every field."""
    schema = service if isinstance(service, ServiceSchema) else schema_of_message(service)
    return schema.model_dump(mode="json")


def format_document(document: dict[str, Any]) -> str:
    """Format a service document with one line for each field, upstream, class and rule."""
    lines = []
    for name, value in document.items():
        if isinstance(value, list) and value and isinstance(value[0], dict):
            entries = ",\n".join(f"    {json.dumps(each, ensure_ascii=False)}" for each in value)
            lines.append(f"  {json.dumps(name)}: [\n{entries}\n  ]")
        else:
            lines.append(f"  {json.dumps(name)}: {json.dumps(value, ensure_ascii=False)}")
    return "{\n" + ",\n".join(lines) + "\n}"
