"""Files beside the run log by which a run controls its upstreams while they run.

One makes an upstream refuse requests and write answers twice, the other one makes it start again.
"""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

__all__ = [
    "Spell",
    "Start",
    "read_spell",
    "read_start",
    "spell_path",
    "start_path",
    "write_control",
]


@dataclass(frozen=True)
class Spell:
    """How an upstream misbehaves at present."""

    forms: tuple[str, ...]  # of answers that are written twice
    share: float  # of the answers
    only_refusals: bool = False  # are written twice
    refused_share: float = 0.0  # of the requests
    unmarked_share: float = 0.0  # of the orders that run, answered as if they had not


@dataclass(frozen=True)
class Start:
    """A start of an upstream, which goes by an id from then on."""

    id: str
    number: int


def spell_path(run_log: Path, name: str) -> Path:
    """Return the path of the file that makes an upstream misbehave."""
    return run_log.with_name(f"{name}.spell")


def start_path(run_log: Path, name: str) -> Path:
    """Return the path of the file that makes an upstream start again."""
    return run_log.with_name(f"{name}.start")


def write_control(path: Path, control: Spell | Start) -> None:
    """Write a file that controls an upstream."""
    path.write_text(json.dumps(asdict(control)))


def read_spell(path: Path) -> Spell | None:
    """Read how an upstream misbehaves; `None` if it doesn't."""
    try:
        return Spell(**json.loads(path.read_text()))
    except (FileNotFoundError, json.JSONDecodeError):  # the latter while it is written
        return None


def read_start(path: Path) -> Start | None:
    """Read the last start of an upstream; `None` if it has not started again."""
    try:
        return Start(**json.loads(path.read_text()))
    except (FileNotFoundError, json.JSONDecodeError):
        return None
