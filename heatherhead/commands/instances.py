"""`heatherhead instances`."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from heatherhead.commands.exit_codes import ExitCode
from heatherhead.commands.output import document_of
from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.heatherhead_grpc import InstancesStub

if TYPE_CHECKING:
    from collections.abc import Mapping

    from heatherhead.commands.session import Session

__all__ = ["USAGE", "run"]

USAGE = """List the instances as seen by the answering instance.

Usage:
  heatherhead instances [--address=ADDRESS]... [options]
"""


async def run(session: Session, arguments: Mapping[str, Any]) -> ExitCode:
    """Print a row for each instance."""
    reply = await session.client.read(
        lambda channel, timeout_s: InstancesStub(channel).List(
            pb.ListInstancesRequest(), timeout=timeout_s
        )
    )
    if session.output.as_json:
        instances = [document_of(each) for each in reply.instances]
        session.output.print_document({"instance_id": reply.instance_id, "instances": instances})
        return ExitCode.DONE
    session.output.print_note(f"as seen by {reply.instance_id}")
    session.output.print_table(
        ("id", "region", "zone", "state", "revision", "heard", "callers", "operators"),
        [_row(each) for each in reply.instances],
    )
    return ExitCode.DONE


def _row(status: pb.InstanceStatus) -> tuple[object, ...]:
    has_reported = status.HasField("applied_revision")
    return (
        status.id,
        status.region,
        status.availability_zone,
        status.state,
        status.applied_revision if has_reported else "-",
        f"{status.applied_age_s:.1f} s ago" if has_reported else "-",
        status.callers_address,
        status.operators_address,
    )
