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

USAGE = """List the instances of heatherhead as the answering one sees them.

Usage:
  heatherhead instances [--address=ADDRESS]... [options]
"""


async def run(session: Session, arguments: Mapping[str, Any]) -> ExitCode:
    """Print a row for each instance."""
    reply = await session.client.read(
        lambda channel, left_s: InstancesStub(channel).List(
            pb.ListInstancesRequest(), timeout=left_s
        )
    )
    if session.output.as_json:
        instances = [document_of(each) for each in reply.instances]
        session.output.document({"instance_id": reply.instance_id, "instances": instances})
        return ExitCode.DONE
    session.output.note(f"as seen by {reply.instance_id}")
    session.output.table(
        ("id", "region", "zone", "state", "revision", "heard", "callers", "operators"),
        [_row(each) for each in reply.instances],
    )
    return ExitCode.DONE


def _row(status: pb.InstanceStatus) -> tuple[object, ...]:
    is_heard = status.HasField("applied_revision")
    return (
        status.id,
        status.region,
        status.availability_zone,
        status.state,
        status.applied_revision if is_heard else "-",
        f"{status.applied_age_s:.1f} s ago" if is_heard else "-",
        status.callers_address,
        status.operators_address,
    )
