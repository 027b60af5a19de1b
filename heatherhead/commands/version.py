"""`heatherhead version`."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from heatherhead.commands.exit_codes import ExitCode
from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.client import UnreachableError
from heatherhead.operators.handlers.instances import installed_version
from heatherhead.operators.heatherhead_grpc import InstancesStub

if TYPE_CHECKING:
    from collections.abc import Mapping

    from heatherhead.commands.session import Session

__all__ = ["USAGE", "run"]

USAGE = """Print the version of the tool, and of the instance if one answers.

Usage:
  heatherhead version [--address=ADDRESS]... [options]
"""


async def run(session: Session, arguments: Mapping[str, Any]) -> ExitCode:
    """Print the versions of the tool and of the answering instance."""
    document = {"tool": installed_version(), "instance_id": None, "instance": None}
    try:
        reply = await session.client.read(
            lambda channel, timeout_s: InstancesStub(channel).Describe(
                pb.DescribeRequest(), timeout=timeout_s
            )
        )
    except UnreachableError as error:
        session.output.print_note(error.reason)
    else:
        document.update(instance_id=reply.instance_id, instance=reply.version)
    if session.output.as_json:
        session.output.print_document(document)
        return ExitCode.DONE
    session.output.print_line(f"heatherhead {document['tool']}")
    if document["instance"]:
        session.output.print_line(f"instance {document['instance_id']}: {document['instance']}")
    return ExitCode.DONE
