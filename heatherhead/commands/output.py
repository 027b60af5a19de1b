"""Prints results and notes as text or, with --json, as JSON."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence
    from typing import TextIO

    from google.protobuf.descriptor import FieldDescriptor
    from google.protobuf.message import Message

__all__ = ["Output", "document_of"]

COLUMN_GAP = "  "


class Output:
    """Prints results to standard output, and notes, progress and errors to standard error."""

    def __init__(self, stdout: TextIO, stderr: TextIO, *, as_json: bool) -> None:
        self._stdout = stdout
        self._stderr = stderr
        self.as_json = as_json

    def print_table(self, headers: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
        """Print aligned columns below a row of headers in capitals."""
        texts = [[header.upper() for header in headers]]
        texts += [[str(cell) for cell in row] for row in rows]
        widths = [max(len(row[column]) for row in texts) for column in range(len(headers))]
        for row in texts:
            cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
            self.print_line(COLUMN_GAP.join(cells).rstrip())

    def print_document(self, document: Any) -> None:
        """Print a document as indented JSON."""
        self.print_line(json.dumps(document, indent=2, ensure_ascii=False))

    def print_json_line(self, document: Any) -> None:
        """Print a document as one line of JSON."""
        self.print_line(json.dumps(document, ensure_ascii=False))

    def print_line(self, text: str) -> None:
        """Print a line of the result."""
        self._stdout.write(f"{text}\n")
        self._stdout.flush()

    def print_note(self, text: str) -> None:
        """Print a line that is not part of the result."""
        self._stderr.write(f"{text}\n")
        self._stderr.flush()

    def print_error(self, document: dict[str, Any], text: str) -> None:
        """Print an error: the document with --json, the text otherwise."""
        if self.as_json:
            self.print_note(json.dumps({"error": document}, ensure_ascii=False))
        else:
            self.print_note(text)


def document_of(message: Message) -> dict[str, Any]:
    """Convert a message into a JSON document with the field names of the proto file.

    Unlike the standard JSON mapping of protobuf, 64-bit integers are numbers and not strings, and
    fields without presence are included when they are empty.
    """
    return {
        field.name: _value_of(field, getattr(message, field.name))
        for field in message.DESCRIPTOR.fields
        if not field.has_presence or message.HasField(field.name)
    }


def _value_of(field: FieldDescriptor, value: Any) -> Any:
    if field.message_type is not None and field.message_type.GetOptions().map_entry:
        return dict(value)
    if field.is_repeated:
        return [_single_value_of(field, each) for each in value]
    return _single_value_of(field, value)


def _single_value_of(field: FieldDescriptor, value: Any) -> Any:
    if field.message_type is not None:
        return document_of(value)
    if field.enum_type is not None:
        known = field.enum_type.values_by_number.get(value)
        return known.name if known else value
    return value
