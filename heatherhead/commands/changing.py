"""The course of every change: shown, confirmed, made once, and followed until in force."""

from __future__ import annotations

import asyncio
import getpass
import secrets
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

from heatherhead.commands.differences import differences_of
from heatherhead.commands.documents import document_of_service
from heatherhead.commands.exit_codes import CommandError, ExitCode
from heatherhead.commands.options import parse_number
from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.client import RefusedError, ReplyLostError, UnreachableError
from heatherhead.operators.heatherhead_grpc import ConfigurationStub, ServicesStub

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping, Sequence

    from heatherhead.commands.differences import Difference
    from heatherhead.commands.session import Session

__all__ = [
    "CHANGE_OPTIONS",
    "change_id_of",
    "explain_conflicts",
    "find_record",
    "parse_revision",
    "report_change",
    "service_document",
    "show_change",
    "wait_in_force",
]

RECONNECT_PAUSE_S = 0.5
MAX_USER_CHARACTERS = 32

CHANGE_OPTIONS = """
Options of a change:
  --yes              Make the change without asking.
  --dry-run          Check the change and show what it would do.
  --wait             Return when the change is in force on every live instance.
  --wait-timeout=SECONDS  Time for that [default: 60].
  --change-id=ID     Name of this change. After a lost reply, give the same one again: the change is
                     never made twice."""


def change_id_of(arguments: Mapping[str, Any]) -> str:
    """Return the change id that was given, or a new one that begins with the user's name."""
    given: str | None = arguments["--change-id"]
    return given or f"{_user_name()}-{secrets.token_hex(8)}"


def _user_name() -> str:
    try:
        name = getpass.getuser()
    except (KeyError, OSError):
        return "unknown"
    kept = "".join(char for char in name if char.isascii() and char.isalnum())
    return kept[:MAX_USER_CHARACTERS] or "unknown"


async def find_record(session: Session, name: str) -> pb.ServiceRecord:
    """Get a service; one that never existed gives an empty record of revision 0."""
    request = pb.GetServiceRequest(name=name)
    try:
        return await session.client.read(
            lambda channel, left_s: ServicesStub(channel).Get(request, timeout=left_s)
        )
    except RefusedError as error:
        if error.detail.kind != pb.ERROR_KIND_NOT_FOUND:
            raise
        return pb.ServiceRecord(name=name)


def show_change(
    session: Session, differences: Sequence[Difference], warnings: Sequence[pb.FieldProblem]
) -> None:
    """Show a person what a change does."""
    for difference in differences:
        session.output.note(str(difference))
    for warning in warnings:
        session.output.note(f"warning: {warning.path}: {warning.reason}; {warning.remedy}")


async def report_change(
    session: Session,
    reply: pb.ChangeReply,
    before: pb.ServiceRecord,
    differences: Sequence[Difference],
    arguments: Mapping[str, Any],
) -> ExitCode:
    """Print the end of a change, after waiting until it is in force if asked to."""
    record = reply.record
    if not reply.dry_run and record.revision < before.revision:
        session.output.note(
            f"change {record.change_id} had been made before; revision {before.revision} of"
            f" change {before.change_id} has come on top of it, and nothing is changed now"
        )
    if not session.output.as_json:
        session.output.line(_sentence(reply))
    is_to_follow = arguments["--wait"] and not reply.dry_run
    missing: list[str] = []
    if is_to_follow:
        timeout_s = parse_number("--wait-timeout", arguments["--wait-timeout"])
        missing = await wait_in_force(session, record.revision, timeout_s)
    if session.output.as_json:
        session.output.document(
            {
                "service": record.name,
                "revision": record.revision,
                "change_id": record.change_id,
                "unchanged": reply.unchanged,
                "dry_run": reply.dry_run,
                "differences": [each.as_document() for each in differences],
                "warnings": [
                    {"path": each.path, "reason": each.reason, "remedy": each.remedy}
                    for each in reply.warnings
                ],
                "missing": missing if is_to_follow else None,
            }
        )
    if missing:
        raise CommandError(
            ExitCode.NOT_IN_FORCE,
            f"revision {record.revision} was accepted and is not in force on"
            f" {', '.join(missing)} yet",
            remedy=f"follow it with: heatherhead config status --revision {record.revision} --wait",
        )
    return ExitCode.DONE


def _sentence(reply: pb.ChangeReply) -> str:
    record = reply.record
    if reply.dry_run:
        return f"service {record.name}: nothing was changed (dry run)"
    if reply.unchanged:
        return f"service {record.name}: nothing to change at revision {record.revision}"
    what = "changed" if record.HasField("service") else "deleted"
    return f"service {record.name}: {what} at revision {record.revision} ({record.change_id})"


async def wait_in_force(session: Session, revision: int, timeout_s: float) -> list[str]:
    """Wait until a revision is in force everywhere; return the instances still missing."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + timeout_s
    follower = _Follower(session, revision)
    while loop.time() < ends_at:
        try:
            async with asyncio.timeout_at(ends_at):
                if await follower.follow():
                    return []
        except TimeoutError:
            break
        except (ReplyLostError, UnreachableError) as error:
            session.output.note(f"{error.reason}; trying again")
            await asyncio.sleep(min(RECONNECT_PAUSE_S, max(0.0, ends_at - loop.time())))
    return follower.missing


class _Follower:
    """Follows a revision and shows a line for each step of its progress."""

    def __init__(self, session: Session, revision: int) -> None:
        self._session = session
        self._revision = revision
        self._shown = ""
        self.missing: list[str] = ["unknown instances"]

    async def follow(self) -> bool:
        """Follow on one instance; tell whether the revision came in force everywhere."""
        replies = self._session.client.stream(
            lambda channel: ConfigurationStub(channel).Follow,
            pb.FollowRequest(revision=self._revision),
        )
        async for progress in replies:
            self._show(progress)
            self.missing = _missing_of(progress)
            if not progress.missing_count:
                return True
        return False

    def _show(self, progress: pb.FollowProgress) -> None:
        known = progress.in_force + progress.missing_count
        text = f"revision {self._revision} in force on {progress.in_force} of {known} instances"
        if progress.missing_count:
            text += f", missing: {', '.join(_missing_of(progress))}"
        if text != self._shown:
            self._session.output.note(text)
            self._shown = text


def _missing_of(progress: pb.FollowProgress) -> list[str]:
    missing = list(progress.missing)
    more = progress.missing_count - len(missing)
    return [*missing, f"{more} more"] if more > 0 else missing


@asynccontextmanager
async def explain_conflicts(session: Session, before: pb.ServiceRecord) -> AsyncIterator[None]:
    """Show a person what the other change did before a conflict ends the command."""
    try:
        yield
    except RefusedError as error:
        if error.detail.HasField("conflicting_record"):
            await _show_other_change(session, before, error.detail.conflicting_record)
        raise


async def _show_other_change(
    session: Session, before: pb.ServiceRecord, other: pb.ServiceRecord
) -> None:
    if session.output.as_json:
        return
    if other.service_omitted:
        other = await find_record(session, other.name)
    session.output.note(f"change {other.change_id} at revision {other.revision} came first:")
    for difference in differences_of(service_document(before), service_document(other)):
        session.output.note(f"  {difference}")


def parse_revision(text: str | None, before: pb.ServiceRecord) -> int:
    """Return the revision that was named, or the one of the record seen before the change."""
    if text is None:
        return before.revision
    if not text.isdigit():
        raise CommandError(
            ExitCode.USAGE,
            f"--expected-revision={text} is no revision",
            remedy="see it with: heatherhead services get",
        )
    return int(text)


def service_document(record: pb.ServiceRecord) -> dict[str, Any] | None:
    """Return the document of a record's service, `None` if there is none."""
    return document_of_service(record.service) if record.HasField("service") else None
