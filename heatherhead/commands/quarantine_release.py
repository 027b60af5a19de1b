"""`heatherhead quarantine release`."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from heatherhead.commands.exit_codes import CommandError, ExitCode
from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.heatherhead_grpc import QuarantineStub

if TYPE_CHECKING:
    from collections.abc import Mapping

    from heatherhead.commands.session import Session

__all__ = ["USAGE", "run"]

USAGE = """Release the quarantined calls with a fingerprint, at all homes of the service.

FINGERPRINT is as `quarantine list` prints it.

Usage:
  heatherhead quarantine release SERVICE FINGERPRINT [--yes] [--address=ADDRESS]... [options]

Options:
  --yes              Release without confirmation.
"""

MAX_FINGERPRINT = 2**64 - 1


async def run(session: Session, arguments: Mapping[str, Any]) -> ExitCode:
    """Ask for confirmation and release the calls."""
    request = pb.ReleaseRequest(
        service=arguments["SERVICE"], fingerprint=_parse_fingerprint(arguments["FINGERPRINT"])
    )
    if not arguments["--yes"]:
        session.confirm("Release these calls? They have crashed upstreams.")
    await session.client.read(
        lambda channel, timeout_s: QuarantineStub(channel).Release(request, timeout=timeout_s)
    )
    if session.output.as_json:
        session.output.print_document({"released": arguments["FINGERPRINT"]})
    else:
        session.output.print_line(f"released {arguments['FINGERPRINT']} of {request.service}")
    return ExitCode.DONE


def _parse_fingerprint(text: str) -> int:
    try:
        fingerprint = int(text, 16)
    except ValueError:
        fingerprint = -1
    if not 0 <= fingerprint <= MAX_FINGERPRINT:
        raise CommandError(
            ExitCode.USAGE,
            f"{text} is not a fingerprint",
            remedy="copy it from: heatherhead quarantine list",
        )
    return fingerprint
