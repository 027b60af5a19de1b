"""Reads settings files: JSON with comments."""

from __future__ import annotations

from pathlib import Path

import pyjson5
from pydantic import ValidationError

from heatherhead.exceptions import SettingsError
from heatherhead.field_problems import problems_of
from heatherhead.settings.schema import Settings

__all__ = ["load_settings", "parse_settings"]


def load_settings(path: str) -> Settings:
    """Load a settings file; raises `SettingsError` with all invalid fields."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(
            path, f"can't be read: {error.strerror}", remedy="name a readable settings file"
        ) from error
    return parse_settings(text)


def parse_settings(text: str) -> Settings:
    """Parse the text of a settings file; raises `SettingsError` with all invalid fields."""
    try:
        document = pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        raise SettingsError(
            "(file)", f"not JSON with comments: {error}", remedy="correct the syntax"
        ) from error
    try:
        return Settings.model_validate(document)
    except ValidationError as error:
        first, *other_problems = problems_of(error, Settings)
        raise SettingsError(
            first.path, first.reason, remedy=first.remedy, other_problems=tuple(other_problems)
        ) from error
