"""Handler of `Instances`: list and describe."""

from __future__ import annotations

from functools import cache
from importlib.metadata import PackageNotFoundError, version
from typing import TYPE_CHECKING

from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.handlers.requests import receive_request
from heatherhead.operators.heatherhead_grpc import InstancesBase

if TYPE_CHECKING:
    from grpclib.server import Stream

    from heatherhead.configuration.interface import AppliedRevision
    from heatherhead.membership.interface import Instance
    from heatherhead.operators.parts import DaemonParts

__all__ = ["InstancesHandler", "installed_version"]


class InstancesHandler(InstancesBase):
    """Answers from this instance's view of the membership."""

    def __init__(self, parts: DaemonParts) -> None:
        self._membership = parts.membership
        self._status = parts.status

    async def List(self, stream: Stream[pb.ListInstancesRequest, pb.ListInstancesReply]) -> None:
        """List the known instances with the revision that each has applied."""
        await receive_request(stream)
        own = self._membership.own
        instance_by_id = {own.id: own, **self._membership.by_id}
        applied_by_id = {each.instance_id: each for each in self._status.applied()}
        instances = [
            _status_of(instance_by_id[key], applied_by_id.get(key))
            for key in sorted(instance_by_id)
        ]
        await stream.send_message(pb.ListInstancesReply(instances=instances, instance_id=own.id))

    async def Describe(self, stream: Stream[pb.DescribeRequest, pb.DescribeReply]) -> None:
        """Return the name and version of this instance."""
        await receive_request(stream)
        reply = pb.DescribeReply(instance_id=self._membership.own.id, version=installed_version())
        await stream.send_message(reply)


@cache
def installed_version() -> str:
    """Return the version of the installed package, or 'unknown' if it is not installed."""
    try:
        return version("heatherhead")
    except PackageNotFoundError:
        return "unknown"


def _status_of(instance: Instance, applied: AppliedRevision | None) -> pb.InstanceStatus:
    status = pb.InstanceStatus(
        id=instance.id,
        incarnation=instance.incarnation,
        region=instance.region,
        availability_zone=instance.availability_zone,
        callers_address=str(instance.callers),
        peers_address=str(instance.peers),
        operators_address=str(instance.operators),
        state=str(instance.state),
    )
    if applied is not None and applied.revision >= 0:
        status.applied_revision = applied.revision
        status.applied_age_s = applied.age_s
    return status
