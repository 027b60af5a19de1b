"""`heatherhead trace`."""

from __future__ import annotations

import re
from dataclasses import dataclass
from datetime import datetime, timedelta
from pathlib import Path
from typing import TYPE_CHECKING, Any

from heatherhead.commands.exit_codes import CommandError, ExitCode

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from heatherhead.commands.session import Session

__all__ = ["USAGE", "LogLine", "read_lines", "run", "trace"]

USAGE = """Print what the logs of instances say of one request, in order of time.

Usage:
  heatherhead trace REQUEST_ID [--around=SECONDS] [options] FILE...

FILE is a log of one instance; the name of the file stands before its lines. `-` is standard input.

Options:
  --around=SECONDS  Lines on the request's upstreams, and warnings, that came within this time
                    before or after it are printed too [default: 1].
"""

UPSTREAM_FIELDS = ("upstream", "first", "second", "upstreams")
UPSTREAM_EVENTS = frozenset(
    {"upstream", "connect_failed", "wrong_upstream", "upstream_lapsed", "attempt_broken"}
)
_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log."""

    at: datetime
    source: str
    text: str
    value_by_field: Mapping[str, str]


def read_lines(source: str, lines: Iterable[str]) -> list[LogLine]:
    """Parse log lines; lines of another form are left out, as a log may begin or end in one."""
    found = []
    for text in lines:
        value_by_field = {name: value.strip('"') for name, value in _FIELD.findall(text)}
        try:
            at = datetime.fromisoformat(value_by_field["time"])
        except (KeyError, ValueError):
            continue
        found.append(LogLine(at, source, text.strip(), value_by_field))
    return found


def trace(lines: Iterable[LogLine], request_id: str, around_s: float) -> list[LogLine]:
    """Choose the lines that tell of a request, in order of time."""
    ordered = sorted(lines, key=lambda line: line.at)
    own = [line for line in ordered if line.value_by_field.get("id") == request_id]
    if not own:
        return []
    margin = timedelta(seconds=around_s)
    first, last = own[0].at - margin, own[-1].at + margin
    upstreams = {
        upstream
        for line in own
        for field in UPSTREAM_FIELDS
        for upstream in line.value_by_field.get(field, "").split(",")
        if upstream
    }
    sources = {line.source for line in own}
    return [
        line
        for line in ordered
        if line.value_by_field.get("id") == request_id
        or (first <= line.at <= last and _bears_on(line, upstreams, sources))
    ]


def _bears_on(line: LogLine, upstreams: set[str], sources: set[str]) -> bool:
    fields = line.value_by_field
    if fields.get("event") in UPSTREAM_EVENTS and fields.get("upstream") in upstreams:
        return True
    return line.source in sources and fields.get("level") in ("WARNING", "ERROR")


async def run(session: Session, arguments: Mapping[str, Any]) -> ExitCode:
    """Print the lines on a request."""
    try:
        around_s = float(arguments["--around"])
    except ValueError:
        raise CommandError(
            ExitCode.USAGE, "--around is no number", remedy="give it in seconds"
        ) from None
    lines: list[LogLine] = []
    for name in arguments["FILE"]:
        lines += _read(session, name)
    found = trace(lines, arguments["REQUEST_ID"], around_s)
    if not found:
        raise CommandError(
            ExitCode.NOT_FOUND,
            "no line bears this request id",
            remedy="give the logs of all instances of the caller's region",
        )
    if session.output.as_json:
        session.output.document([{"source": line.source, **line.value_by_field} for line in found])
        return ExitCode.DONE
    for line in found:
        session.output.line(f"{line.source}: {line.text}")
    return ExitCode.DONE


def _read(session: Session, name: str) -> list[LogLine]:
    if name == "-":
        return read_lines("-", session.stdin)
    try:
        with Path(name).open(encoding="utf-8", errors="replace") as log:
            return read_lines(Path(name).stem, log)
    except OSError as error:
        raise CommandError(
            ExitCode.USAGE, f"{name} can't be read: {error.strerror}", remedy="name a log file"
        ) from error
