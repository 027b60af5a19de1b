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

USAGE = """Print the lines about one request from the logs of instances, in order of time.

Usage:
  heatherhead trace REQUEST_ID [--around=SECONDS] [options] FILE...

FILE is a log of one instance; its lines are prefixed with its name. `-` is standard input.

Options:
  --around=SECONDS  Also print lines about the request's upstreams, and warnings, up to this time
                    before and after the request [default: 1].
"""

UPSTREAM_FIELDS = ("upstream", "first", "second", "upstreams")
UPSTREAM_EVENTS = frozenset(
    {"upstream", "connect_failed", "wrong_upstream", "upstream_lapsed", "attempt_broken"}
)
_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


@dataclass(frozen=True, slots=True)
class LogLine:
    """One parsed line of a log; `source` names the log."""

    at: datetime
    source: str
    text: str
    value_by_field: Mapping[str, str]


def read_lines(source: str, lines: Iterable[str]) -> list[LogLine]:
    """Parse log lines.

    Lines without a valid time are skipped: a log may begin or end in the middle of a line.
    """
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
    """Select the lines about a request, in order of time.

    These are the lines with its id, the events of its upstreams in all logs, and the warnings in
    the logs that have its id. Events and warnings are selected from `around_s` before the first
    line with the id to `around_s` after the last.
    """
    ordered = sorted(lines, key=lambda line: line.at)
    request_lines = [line for line in ordered if line.value_by_field.get("id") == request_id]
    if not request_lines:
        return []
    around = timedelta(seconds=around_s)
    first, last = request_lines[0].at - around, request_lines[-1].at + around
    upstreams = {
        upstream
        for line in request_lines
        for field in UPSTREAM_FIELDS
        for upstream in line.value_by_field.get(field, "").split(",")
        if upstream
    }
    sources = {line.source for line in request_lines}
    return [
        line
        for line in ordered
        if line.value_by_field.get("id") == request_id
        or (first <= line.at <= last and _is_related(line, upstreams, sources))
    ]


def _is_related(line: LogLine, upstreams: set[str], sources: set[str]) -> bool:
    fields = line.value_by_field
    if fields.get("event") in UPSTREAM_EVENTS and fields.get("upstream") in upstreams:
        return True
    return line.source in sources and fields.get("level") in ("WARNING", "ERROR")


async def run(session: Session, arguments: Mapping[str, Any]) -> ExitCode:
    """Print the lines about a request."""
    try:
        around_s = float(arguments["--around"])
    except ValueError:
        raise CommandError(
            ExitCode.USAGE, "--around is not a number", remedy="give it in seconds"
        ) from None
    lines: list[LogLine] = []
    for name in arguments["FILE"]:
        lines += _read_log(session, name)
    found = trace(lines, arguments["REQUEST_ID"], around_s)
    if not found:
        raise CommandError(
            ExitCode.NOT_FOUND,
            "no line has this request id",
            remedy="give the logs of all instances of the caller's region",
        )
    if session.output.as_json:
        session.output.print_document(
            [{"source": line.source, **line.value_by_field} for line in found]
        )
        return ExitCode.DONE
    for line in found:
        session.output.print_line(f"{line.source}: {line.text}")
    return ExitCode.DONE


def _read_log(session: Session, name: str) -> list[LogLine]:
    if name == "-":
        return read_lines("-", session.stdin)
    try:
        with Path(name).open(encoding="utf-8", errors="replace") as log:
            return read_lines(Path(name).stem, log)
    except OSError as error:
        raise CommandError(
            ExitCode.USAGE, f"{name} can't be read: {error.strerror}", remedy="name a log file"
        ) from error
