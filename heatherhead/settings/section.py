"""The base of every settings section."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict

__all__ = ["Section"]


class Section(BaseModel):
    """A part of the settings that refuses unknown fields and never changes."""

    model_config = ConfigDict(extra="forbid", frozen=True)
