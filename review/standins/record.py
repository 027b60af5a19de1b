"""The record of a case: what was sent, answered and run, a line each with the time in seconds."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


class Record:
    """Lines of key=value pairs, kept in memory and written to a file."""

    def __init__(self, path: Path) -> None:
        self._began_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")
        self.rows: list[tuple[float, str, dict[str, object]]] = []

    def now(self) -> float:
        """Return the seconds since the record began."""
        return time.monotonic() - self._began_at

    def write(self, event: str, **fields: object) -> float:
        """Write a line, and return its time."""
        at = self.now()
        self.rows.append((at, event, fields))
        pairs = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at:8.3f} {event} {pairs}\n")
        self._file.flush()
        return at

    def of(self, event: str) -> list[tuple[float, dict[str, object]]]:
        """List the rows of one event."""
        return [(at, fields) for at, name, fields in self.rows if name == event]
