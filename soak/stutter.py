"""Writes the answers of a connection, some of them twice, whole or in part."""

from __future__ import annotations

import asyncio
import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from soak.controls import Spell

__all__ = ["DUE_FORMS", "FORMS", "AnswerBytes", "StutteringWriter"]

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
# A refusal once more, where the next answer to the same id is due on the connection.
DUE_FORMS = ("due whole", "due without id")
_ID_LINE = re.compile(rb"X-Heatherhead-Request-Id: [^\r]*\r\n")
_ID_AND_STAMP_LINES = re.compile(rb"X-Heatherhead-(Request-Id|Server-Stamp): [^\r]*\r\n")


@dataclass(frozen=True, slots=True)
class AnswerBytes:
    """The bytes of an answer."""

    data: bytes
    other: bytes  # with another status
    request_id: str = ""
    refusal: bool = False  # it says that its request has not run


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
        self._earlier: AnswerBytes | None = None
        self._refusal_by_id: dict[str, bytes] = {}
        self._lock = asyncio.Lock()  # a late copy is not written between a head and its body
        self._late_writes: set[asyncio.Task[None]] = set()
        self._garbled = False  # a part of an answer was written, or one inside another

    def choose_form(self, spell: Spell | None, answer: AnswerBytes) -> str:
        """Return the form in which an answer is written twice, nothing if it isn't."""
        if spell is None or not spell.forms or self._rng.random() >= spell.share:
            return ""
        form = self._rng.choice(spell.forms)
        if form in DUE_FORMS:
            return form if answer.request_id in self._refusal_by_id else ""
        repeated = self._earlier if form.startswith(("before", "between")) else answer
        if repeated is None or (spell.only_refusals and not repeated.refusal):
            return ""
        return form

    def keeps_readable(self, form: str) -> bool:
        """Return whether the next answer, in this form, can be told from all others."""
        self._garbled = self._garbled or "cut" in form or form.startswith("between")
        return not self._garbled and form not in DUE_FORMS

    def abort(self) -> None:
        """Reset the connection."""
        self._writer.transport.abort()

    async def write(self, answer: AnswerBytes, form: str) -> None:
        """Write an answer in a form."""
        place, _, content = form.partition(" ")
        async with self._lock:
            if place in ("before", "due"):
                await self._write_ahead(answer, form)
            if place == "between":
                await self._write_between(answer.data)
            else:
                again = b""
                if place in ("behind", "late"):
                    repeated = answer.other if content == "other status" else answer.data
                    again = alter(repeated, content, self._rng)
                self._writer.write(answer.data + again if place == "behind" else answer.data)
                if place == "late":
                    task = asyncio.create_task(self._write_late(again))
                    self._late_writes.add(task)
                    task.add_done_callback(self._late_writes.discard)
        self._earlier = answer
        if answer.refusal:
            self._refusal_by_id[answer.request_id] = answer.data

    async def _write_ahead(self, answer: AnswerBytes, form: str) -> None:
        """Write an earlier answer again, some time before the next one."""
        earlier = self._earlier.data if self._earlier is not None else b""
        repeated = self._refusal_by_id[answer.request_id] if form in DUE_FORMS else earlier
        self._writer.write(alter(repeated, form.partition(" ")[2], self._rng))
        await asyncio.sleep(self._rng.uniform(*AHEAD_RANGE_S))

    async def _write_between(self, data: bytes) -> None:
        """Write the earlier answer between the head and the body of the next one."""
        earlier = self._earlier.data if self._earlier is not None else b""
        body_at = data.index(b"\r\n\r\n") + 4
        self._writer.write(data[:body_at])
        if self._rng.random() < 0.5:
            await asyncio.sleep(self._rng.uniform(*AHEAD_RANGE_S))
        self._writer.write(earlier + data[body_at:])

    async def _write_late(self, data: bytes) -> None:
        await asyncio.sleep(self._rng.uniform(*LATE_RANGE_S))
        async with self._lock:
            if not self._writer.is_closing():
                self._writer.write(data)
