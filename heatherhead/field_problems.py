"""Converts pydantic validation errors into field problems with a remedy."""

from __future__ import annotations

import difflib
from typing import TYPE_CHECKING, Any, get_args

from pydantic import BaseModel

from heatherhead.exceptions import FieldProblem

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pydantic import ValidationError
    from pydantic_core import ErrorDetails

__all__ = ["WHOLE_DOCUMENT", "problems_of"]

WHOLE_DOCUMENT = "(document)"
MAX_SHOWN_VALUE_CHARS = 60

_DEFAULT_REMEDY = "correct the value"
_REMEDY_BY_TYPE = {
    "bool_parsing": "set it to true or false",
    "bool_type": "set it to true or false",
    "float_parsing": "set it to a number",
    "float_type": "set it to a number",
    "greater_than": "raise the value",
    "greater_than_equal": "raise the value",
    "int_from_float": "set it to a whole number",
    "int_parsing": "set it to a whole number",
    "int_type": "set it to a whole number",
    "ip_any_address": "set it to an IP number; host names are not looked up",
    "less_than": "lower the value",
    "less_than_equal": "lower the value",
    "literal_error": "set it to one of the values named",
    "missing": "add the field",
    "model_type": "write it as an object in braces",
    "string_pattern_mismatch": "write it in the form named",
    "string_too_long": "shorten the text",
    "string_too_short": "write at least one character",
    "string_type": "write it as text in quotes",
    "too_long": "remove entries",
    "too_short": "add an entry, or leave the field out",
    "tuple_type": "write it as a list in brackets",
    "value_error": "make the values agree with each other",
}


def problems_of(
    error: ValidationError, model: type[BaseModel], prefix: str = ""
) -> tuple[FieldProblem, ...]:
    """List all problems that validation found in a document described by `model`.

    `prefix` is prepended to each path, for a document that is nested in another one.
    """
    return tuple(_problem_of(each, model, prefix) for each in error.errors(include_url=False))


def _problem_of(detail: ErrorDetails, model: type[BaseModel], prefix: str) -> FieldProblem:
    path = ".".join(str(part) for part in (prefix, *detail["loc"]) if part != "")
    if detail["type"] == "extra_forbidden":
        return _unknown_field(path, detail["loc"], model)
    remedy = _REMEDY_BY_TYPE.get(detail["type"], _DEFAULT_REMEDY)
    return FieldProblem(path or WHOLE_DOCUMENT, _reason_of(detail), remedy)


def _reason_of(detail: ErrorDetails) -> str:
    message = detail["msg"].removeprefix("Value error, ")
    reason = message[:1].lower() + message[1:]
    value = detail["input"]
    if detail["type"] == "missing" or isinstance(value, dict | list | tuple | BaseModel):
        return reason
    shown = repr(value)
    if len(shown) > MAX_SHOWN_VALUE_CHARS:
        shown = f"{shown[:MAX_SHOWN_VALUE_CHARS]}..."
    return f"{reason}, and it is {shown}"


def _unknown_field(
    path: str, location: Sequence[int | str], model: type[BaseModel]
) -> FieldProblem:
    known = _field_names(model, location[:-1])
    similar = difflib.get_close_matches(str(location[-1]), known, n=1)
    if similar:
        remedy = f"write {similar[0]} instead"
    elif known:
        remedy = f"remove it; the fields here are {', '.join(known)}"
    else:
        remedy = "remove it"
    return FieldProblem(path, "unknown field", remedy)


def _field_names(model: type[BaseModel], location: Sequence[int | str]) -> list[str]:
    current: type[BaseModel] | None = model
    for part in location:
        if isinstance(part, str) and current is not None:
            field = current.model_fields.get(part)
            current = _find_model(field.annotation) if field else None
    return list(current.model_fields) if current else []


def _find_model(annotation: Any) -> type[BaseModel] | None:
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    for argument in get_args(annotation):
        nested = _find_model(argument)
        if nested is not None:
            return nested
    return None
