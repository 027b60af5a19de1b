"""Handler of `Services`: list, get, put and delete."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from heatherhead.operators import heatherhead_pb2 as pb
from heatherhead.operators.changes import Change, ServiceChanger
from heatherhead.operators.errors import UnknownNameError
from heatherhead.operators.handlers.requests import collect_page, receive_request
from heatherhead.operators.heatherhead_grpc import ServicesBase
from heatherhead.operators.messages import schema_of_message, summary_of_record, to_message

if TYPE_CHECKING:
    from grpclib.server import Stream

    from heatherhead.operators.parts import DaemonParts

__all__ = ["ServicesHandler"]


class ServicesHandler(ServicesBase):
    """Reads services from the replica and changes them through the editor."""

    def __init__(self, parts: DaemonParts) -> None:
        self._replica = parts.replica
        self._changer = ServiceChanger(parts)

    async def List(self, stream: Stream[pb.ListServicesRequest, pb.ListServicesReply]) -> None:
        """List services page by page."""
        request = await receive_request(stream)
        record_by_name = {
            name: record for name, record in self._replica.by_name.items() if record.service
        }
        services, token = await collect_page(
            record_by_name,
            request.page_token,
            lambda name: [summary_of_record(record_by_name[name])],
        )
        await stream.send_message(
            pb.ListServicesReply(
                services=services, next_page_token=token, revision=self._replica.revision
            )
        )

    async def Get(self, stream: Stream[pb.GetServiceRequest, pb.ServiceRecord]) -> None:
        """Get one service; for a deleted one the reply is its tombstone."""
        request = await receive_request(stream)
        record = self._replica.by_name.get(request.name)
        if record is None:
            raise UnknownNameError(
                f"there is no service {request.name}",
                remedy="see the names with: heatherhead services list",
            )
        await stream.send_message(to_message(record))

    async def Put(self, stream: Stream[pb.PutServiceRequest, pb.ChangeReply]) -> None:
        """Create or replace a service."""
        request = await receive_request(stream)
        change = Change(request.change_id, request.expected_revision, request.dry_run)
        schema = schema_of_message(request.service)
        await asyncio.sleep(0)  # lets calls proceed; validating a large service takes long
        await stream.send_message(await self._changer.put(schema, change))

    async def Delete(self, stream: Stream[pb.DeleteServiceRequest, pb.ChangeReply]) -> None:
        """Delete a service."""
        request = await receive_request(stream)
        change = Change(request.change_id, request.expected_revision, request.dry_run)
        await stream.send_message(await self._changer.delete(request.name, change))
