"""Reads JSON from writers that are not trusted to write sensible values."""

from __future__ import annotations

import json
from typing import Any

from pydantic import ValidationError

__all__ = ["problem_of", "read_json"]


def read_json(data: bytes) -> Any:
    """Return the value; raises `ValueError` if it can't be read."""
    try:
        return json.loads(data)
    except RecursionError as error:
        raise ValueError("it is nested too deeply") from error


def problem_of(error: Exception) -> str:
    """Describe why a value was refused, without the value, which may be of any size and depth."""
    if not isinstance(error, ValidationError):
        return str(error)
    first = error.errors(include_input=False, include_url=False)[0]
    return f"{'.'.join(str(part) for part in first['loc'])}: {first['msg']}"
