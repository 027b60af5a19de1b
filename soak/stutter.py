"""Writes the answers of a connection, some of them twice, whole or in part.

A file beside the run log makes an upstream stutter: a JSON object of the names of the forms, and
of the share of its answers that it writes twice.
"""

from __future__ import annotations

import asyncio
import json
import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path
    from random import Random

__all__ = ["FORMS", "Spell", "StutteringWriter", "read_spell"]

AHEAD_RANGE_S = (0.002, 0.03)
LATE_RANGE_S = (0.001, 0.05)
PLACES = ("before", "behind", "late", "between")  # the last: between head and body
WHOLE_CONTENTS = ("whole", "without id", "other status")
CUTS = ("cut in status line", "cut in date", "cut in head", "cut at line", "cut in body")
FORMS = tuple(
    f"{place} {content}"
    for place in PLACES
    for content in (*WHOLE_CONTENTS, *CUTS)
    # An earlier answer has no other status; a part of one inside a body is not told from the body.
    if not (place == "before" and content == "other status")
    and not (place == "between" and content != "whole")
)
_ID_LINE = re.compile(rb"X-Heatherhead-Request-Id: [^\r]*\r\n")
_ID_AND_STAMP_LINES = re.compile(rb"X-Heatherhead-(Request-Id|Server-Stamp): [^\r]*\r\n")


@dataclass(frozen=True)
class Spell:
    """How an upstream stutters at present."""

    forms: tuple[str, ...]
    share: float  # of the answers


def read_spell(path: Path) -> Spell | None:
    """Read how an upstream stutters; `None` if it doesn't."""
    try:
        return Spell(**json.loads(path.read_text()))
    except (FileNotFoundError, json.JSONDecodeError):  # the latter while it is written
        return None


def alter(answer: bytes, content: str, rng: Random) -> bytes:
    """Return an answer as a form's content has it: whole, without its id, or cut."""
    head_end = answer.index(b"\r\n\r\n") + 4
    line_ends = [match.end() for match in re.finditer(b"\r\n", answer[: head_end - 2])]
    match content:
        case "without id":
            return rng.choice((_ID_LINE, _ID_AND_STAMP_LINES)).sub(b"", answer)
        case "cut in status line":
            return answer[: rng.randrange(1, line_ends[0] - 1)]
        case "cut in date":
            return answer[: rng.randrange(line_ends[0] + len("Date:"), line_ends[1] - 1)]
        case "cut in head":
            return answer[: rng.randrange(1, head_end)]
        case "cut at line":
            return answer[: rng.choice(line_ends)]
        case "cut in body":
            return answer[: rng.randrange(head_end, max(head_end + 1, len(answer)))]
        case _:
            return answer


class StutteringWriter:
    """Writes answers to a connection one after the other."""

    def __init__(self, writer: asyncio.StreamWriter, rng: Random) -> None:
        self._writer = writer
        self._rng = rng
        self._earlier = b""
        self._lock = asyncio.Lock()  # a late copy is not written between a head and its body
        self._late_writes: set[asyncio.Task[None]] = set()
        self._garbled = False  # a part of an answer was written, or one inside another

    def choose_form(self, spell: Spell | None) -> str:
        """Return the form in which the next answer is written twice, nothing if it isn't."""
        if spell is None or not spell.forms or self._rng.random() >= spell.share:
            return ""
        form = self._rng.choice(spell.forms)
        return form if self._earlier or not form.startswith(("before", "between")) else ""

    def keeps_readable(self, form: str) -> bool:
        """Return whether the next answer, in this form, can be told from all others."""
        self._garbled = self._garbled or "cut" in form or form.startswith("between")
        return not self._garbled

    def abort(self) -> None:
        """Reset the connection."""
        self._writer.transport.abort()

    async def write(self, answer: bytes, form: str, other: bytes) -> None:
        """Write an answer in a form; `other` has another status."""
        place, _, content = form.partition(" ")
        async with self._lock:
            if place == "before":
                self._writer.write(alter(self._earlier, content, self._rng))
                await asyncio.sleep(self._rng.uniform(*AHEAD_RANGE_S))
            if place == "between":
                body_at = answer.index(b"\r\n\r\n") + 4
                self._writer.write(answer[:body_at])
                if self._rng.random() < 0.5:
                    await asyncio.sleep(self._rng.uniform(*AHEAD_RANGE_S))
                self._writer.write(self._earlier + answer[body_at:])
            else:
                again = b""
                if place in ("behind", "late"):
                    repeated = other if content == "other status" else answer
                    again = alter(repeated, content, self._rng)
                self._writer.write(answer + again if place == "behind" else answer)
                if place == "late":
                    task = asyncio.create_task(self._write_late(again))
                    self._late_writes.add(task)
                    task.add_done_callback(self._late_writes.discard)
        self._earlier = answer

    async def _write_late(self, data: bytes) -> None:
        await asyncio.sleep(self._rng.uniform(*LATE_RANGE_S))
        async with self._lock:
            if not self._writer.is_closing():
                self._writer.write(data)
