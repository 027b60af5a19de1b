"""Prints errors: reason and remedy as text, or every field as JSON."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING, Any

from heatherhead.commands.exit_codes import exit_code_of
from heatherhead.commands.output import document_of
from heatherhead.exceptions import FieldError, HeatherheadError
from heatherhead.operators.client import RefusedError

if TYPE_CHECKING:
    from heatherhead.commands.output import Output

__all__ = ["report_error"]


def report_error(output: Output, error: HeatherheadError) -> None:
    """Print an error."""
    document = {"code": exit_code_of(error).name.lower(), **_error_document(error)}
    output.print_error(document, _error_text(error))


@singledispatch
def _error_document(error: HeatherheadError) -> dict[str, Any]:
    return {"reason": error.reason, "remedy": error.remedy}


@_error_document.register
def _(error: FieldError) -> dict[str, Any]:
    problems = [
        {"path": each.path, "reason": each.reason, "remedy": each.remedy} for each in error.problems
    ]
    first = problems[0]
    return {
        "field_path": first["path"],
        "reason": first["reason"],
        "remedy": first["remedy"],
        "problems": problems,
    }


@_error_document.register
def _(error: RefusedError) -> dict[str, Any]:
    document = document_of(error.detail)
    document.pop("kind")
    return document


@singledispatch
def _error_text(error: HeatherheadError) -> str:
    return f"error: {error.reason}\n  remedy: {error.remedy}"


@_error_text.register
def _(error: FieldError) -> str:
    return _format_problems(error.problems)


@_error_text.register
def _(error: RefusedError) -> str:
    if error.detail.problems:
        return _format_problems(error.detail.problems)
    return f"error: {error.reason}\n  remedy: {error.remedy}"


def _format_problems(problems: Any) -> str:
    return "\n".join(
        f"error: {each.path}: {each.reason}\n  remedy: {each.remedy}" for each in problems
    )
