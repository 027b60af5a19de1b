"""`heatherhead services get`."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from heatherhead.commands.documents import document_of_service, format_document
from heatherhead.commands.exit_codes import CommandError, ExitCode
from heatherhead.commands.service_changes import fetch_record

if TYPE_CHECKING:
    from collections.abc import Mapping

    from heatherhead.commands.session import Session

__all__ = ["USAGE", "run"]

USAGE = """Print a service as a document that `services put` reads.

Its revision and last change go to standard error.

Usage:
  heatherhead services get NAME [--address=ADDRESS]... [options]
"""


async def run(session: Session, arguments: Mapping[str, Any]) -> ExitCode:
    """Print the document of the service."""
    record = await fetch_record(session, arguments["NAME"])
    if not record.HasField("service"):
        state = f"deleted by change {record.change_id}" if record.change_id else "not configured"
        raise CommandError(
            ExitCode.NOT_FOUND,
            f"service {record.name} is {state}",
            remedy="see the names with: heatherhead services list",
        )
    document = document_of_service(record.service)
    if session.output.as_json:
        session.output.print_document(
            {"revision": record.revision, "change_id": record.change_id, "service": document}
        )
        return ExitCode.DONE
    session.output.print_note(f"revision {record.revision}, change {record.change_id}")
    session.output.print_line(format_document(document))
    return ExitCode.DONE
