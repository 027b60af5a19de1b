"""`heatherhead events`."""

from __future__ import annotations

import asyncio
from functools import singledispatch
from typing import TYPE_CHECKING, Any

from heatherhead.backoff import create_backoff
from heatherhead.commands.exit_codes import CommandError, ExitCode
from heatherhead.commands.options import parse_number
from heatherhead.commands.output import document_of
from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.client import ReplyLostError
from heatherhead.operators.heatherhead_grpc import EventsStub

if TYPE_CHECKING:
    from collections.abc import Mapping

    from heatherhead.commands.session import Session

__all__ = ["USAGE", "run"]

USAGE = """Print events of the answering instance as they happen, one line each.

Usage:
  heatherhead events [--kind=KIND]... [--address=ADDRESS]... [options]

Options:
  --kind=KIND        Only services, instances or notices (log lines). May be repeated.
  --count=N          Exit after N events.
"""

INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 10.0

_KIND_BY_NAME = {
    "services": pb.EVENT_KIND_SERVICE_CHANGED,
    "instances": pb.EVENT_KIND_INSTANCE_CHANGED,
    "notices": pb.EVENT_KIND_NOTICE,
}


async def run(session: Session, arguments: Mapping[str, Any]) -> ExitCode:
    """Print events until interrupted or `--count` is reached.

    After a broken connection the watch is started again; events in between may be missing.
    """
    request = pb.WatchRequest(kinds=[_parse_kind(each) for each in arguments["--kind"]])
    remaining = float("inf")
    if arguments["--count"]:
        remaining = int(parse_number("--count", arguments["--count"]))
    backoff = create_backoff(INITIAL_BACKOFF_S, MAX_BACKOFF_S)
    while True:
        events = session.client.stream(lambda channel: EventsStub(channel).Watch, request)
        try:
            async for event in events:
                backoff.reset()
                _print_event(session, event)
                remaining -= not event.HasField("watch_started")
                if remaining <= 0:
                    await events.aclose()
                    return ExitCode.DONE
        except ReplyLostError as error:
            session.output.print_note(f"{error.reason}; events may be missing here")
            await asyncio.sleep(backoff.next_delay_s())


def _parse_kind(text: str) -> pb.EventKind:
    if text not in _KIND_BY_NAME:
        raise CommandError(
            ExitCode.USAGE,
            f"--kind={text} is unknown",
            remedy=f"choose from {', '.join(_KIND_BY_NAME)}",
        )
    return _KIND_BY_NAME[text]


def _print_event(session: Session, event: pb.Event) -> None:
    field = event.WhichOneof("event")
    if field is None:
        return
    if session.output.as_json:
        session.output.print_json_line(document_of(event))
    elif field == "watch_started":
        session.output.print_note(f"events of {event.watch_started.instance_id}")
    else:
        session.output.print_line(f"{event.sequence} {_event_text(getattr(event, field))}")


@singledispatch
def _event_text(event: object) -> str:
    return f"event of an unknown kind: {event}"


@_event_text.register
def _(event: pb.ServiceChanged) -> str:
    what = "deleted" if event.deleted else "changed"
    return f"service {event.name} {what} at revision {event.revision} by change {event.change_id}"


@_event_text.register
def _(event: pb.InstanceChanged) -> str:
    old, new = event.old_state or "absent", event.new_state or "absent"
    return f"instance {event.instance_id}: {old} -> {new}"


@_event_text.register
def _(event: pb.Notice) -> str:
    pairs = " ".join(f"{name}={event.fields[name]}" for name in sorted(event.fields))
    return f"{event.level.lower()} {event.name} {pairs}".rstrip()


@_event_text.register
def _(event: pb.EventsLost) -> str:
    return f"{event.count} events lost: this watch read them too slowly"
