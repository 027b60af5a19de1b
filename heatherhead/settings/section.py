"""The base class of settings sections."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict

__all__ = ["Section"]


class Section(BaseModel):
    """A section of the settings; it is immutable and refuses unknown fields."""

    model_config = ConfigDict(extra="forbid", frozen=True)
