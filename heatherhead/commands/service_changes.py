"""Steps shared by the verbs that change a service.

A verb shows the differences, asks for confirmation, makes the change once (identified by its
change id) and, with --wait, waits until its revision is in force on every live instance.
"""

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
    "choose_change_id",
    "document_of_record",
    "explain_conflicts",
    "fetch_record",
    "parse_revision",
    "report_change",
    "show_change",
    "wait_in_force",
]

RECONNECT_DELAY_S = 0.5
MAX_USER_NAME_CHARS = 32

CHANGE_OPTIONS = """
Options of a change:
  --yes              Make the change without confirmation.
  --dry-run          Check the change and show what it would do.
  --wait             Return when the change is in force on every live instance.
  --wait-timeout=SECONDS  Maximum time to wait [default: 60].
  --change-id=ID     Id of this change. After a lost reply, repeat the command with the same id: the
                     change is never made twice."""


def choose_change_id(arguments: Mapping[str, Any]) -> str:
    """Return the given change id, or a random one that begins with the user's name."""
    given: str | None = arguments["--change-id"]
    return given or f"{_user_name()}-{secrets.token_hex(8)}"


def _user_name() -> str:
    try:
        name = getpass.getuser()
    except (KeyError, OSError):
        return "unknown"
    allowed = "".join(char for char in name if char.isascii() and char.isalnum())
    return allowed[:MAX_USER_NAME_CHARS] or "unknown"


async def fetch_record(session: Session, name: str) -> pb.ServiceRecord:
    """Fetch the record of a service; an empty one of revision 0 if it never existed."""
    request = pb.GetServiceRequest(name=name)
    try:
        return await session.client.read(
            lambda channel, timeout_s: ServicesStub(channel).Get(request, timeout=timeout_s)
        )
    except RefusedError as error:
        if error.detail.kind != pb.ERROR_KIND_NOT_FOUND:
            raise
        return pb.ServiceRecord(name=name)


def show_change(
    session: Session, differences: Sequence[Difference], warnings: Sequence[pb.FieldProblem]
) -> None:
    """Print the differences and warnings of a change as notes."""
    for difference in differences:
        session.output.print_note(str(difference))
    for warning in warnings:
        session.output.print_note(f"warning: {warning.path}: {warning.reason}; {warning.remedy}")


async def report_change(
    session: Session,
    reply: pb.ChangeReply,
    before: pb.ServiceRecord,
    differences: Sequence[Difference],
    arguments: Mapping[str, Any],
) -> ExitCode:
    """Print the result of a change and, with --wait, wait until it is in force.

    Raises `CommandError` if the change is not in force in time.
    """
    record = reply.record
    if not reply.dry_run and record.revision < before.revision:
        session.output.print_note(
            f"change {record.change_id} had been made before; revision {before.revision} of"
            f" change {before.change_id} was made after it, and nothing is changed now"
        )
    if not session.output.as_json:
        session.output.print_line(_change_summary(reply))
    should_wait = arguments["--wait"] and not reply.dry_run
    missing: list[str] = []
    if should_wait:
        timeout_s = parse_number("--wait-timeout", arguments["--wait-timeout"])
        missing = await wait_in_force(session, record.revision, timeout_s)
    if session.output.as_json:
        session.output.print_document(
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
                "missing": missing if should_wait else None,
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


def _change_summary(reply: pb.ChangeReply) -> str:
    record = reply.record
    if reply.dry_run:
        return f"service {record.name}: nothing was changed (dry run)"
    if reply.unchanged:
        return f"service {record.name}: nothing to change at revision {record.revision}"
    what = "changed" if record.HasField("service") else "deleted"
    return f"service {record.name}: {what} at revision {record.revision} ({record.change_id})"


async def wait_in_force(session: Session, revision: int, timeout_s: float) -> list[str]:
    """Wait until a revision is in force on every live instance, at most for `timeout_s`.

    Return the instances on which it is not in force yet. A broken connection is retried after
    `RECONNECT_DELAY_S`.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    follower = _RevisionFollower(session, revision)
    while loop.time() < deadline:
        try:
            async with asyncio.timeout_at(deadline):
                if await follower.follow():
                    return []
        except TimeoutError:
            break
        except (ReplyLostError, UnreachableError) as error:
            session.output.print_note(f"{error.reason}; trying again")
            await asyncio.sleep(min(RECONNECT_DELAY_S, max(0.0, deadline - loop.time())))
    return follower.missing


class _RevisionFollower:
    """Follows a revision and prints its progress, one note for each change."""

    def __init__(self, session: Session, revision: int) -> None:
        self._session = session
        self._revision = revision
        self._last_note = ""
        self.missing: list[str] = ["unknown instances"]

    async def follow(self) -> bool:
        """Follow on one instance; return whether the revision came in force on all instances."""
        replies = self._session.client.stream(
            lambda channel: ConfigurationStub(channel).Follow,
            pb.FollowRequest(revision=self._revision),
        )
        async for progress in replies:
            self._print_progress(progress)
            self.missing = _missing_instances(progress)
            if not progress.missing_count:
                return True
        return False

    def _print_progress(self, progress: pb.FollowProgress) -> None:
        known = progress.in_force + progress.missing_count
        text = f"revision {self._revision} in force on {progress.in_force} of {known} instances"
        if progress.missing_count:
            text += f", missing: {', '.join(_missing_instances(progress))}"
        if text != self._last_note:
            self._session.output.print_note(text)
            self._last_note = text


def _missing_instances(progress: pb.FollowProgress) -> list[str]:
    missing = list(progress.missing)
    more = progress.missing_count - len(missing)
    return [*missing, f"{more} more"] if more > 0 else missing


@asynccontextmanager
async def explain_conflicts(session: Session, before: pb.ServiceRecord) -> AsyncIterator[None]:
    """Print the conflicting change if the body of the block is refused because of one."""
    try:
        yield
    except RefusedError as error:
        if error.detail.HasField("conflicting_record"):
            await _show_conflicting_change(session, before, error.detail.conflicting_record)
        raise


async def _show_conflicting_change(
    session: Session, before: pb.ServiceRecord, other: pb.ServiceRecord
) -> None:
    if session.output.as_json:
        return
    if other.service_omitted:
        other = await fetch_record(session, other.name)
    session.output.print_note(f"conflicting change {other.change_id} at revision {other.revision}:")
    for difference in differences_of(document_of_record(before), document_of_record(other)):
        session.output.print_note(f"  {difference}")


def parse_revision(text: str | None, before: pb.ServiceRecord) -> int:
    """Parse the expected revision; by default it is that of the record before the change."""
    if text is None:
        return before.revision
    if not text.isdigit():
        raise CommandError(
            ExitCode.USAGE,
            f"--expected-revision={text} is not a revision",
            remedy="see the current one with: heatherhead services get",
        )
    return int(text)


def document_of_record(record: pb.ServiceRecord) -> dict[str, Any] | None:
    """Return the document of the service in a record, `None` if it holds none."""
    return document_of_service(record.service) if record.HasField("service") else None
